//! The events, effects and messages of the membership protocol.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, VmId};

/// Call number, unique within the process that assigned it.
pub type CallId = u64;
/// Number that a VM raises to refute a wrong update about itself; the higher number wins.
pub type Incarnation = u64;

/// A process of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Identity, new at each start: `name#start`.
    pub vm: VmId,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Name, without a start.
    pub name: String,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// State of a member. At equal incarnations the later variant in this order wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    #[default]
    Live,
    /// It answers but takes on no new role.
    Leaving,
    /// It answered neither a direct probe nor one through other members.
    Suspect,
    /// It was declared lost: the suspicion was not refuted in time, or another start answered at its
    /// address.
    Gone,
    /// It announced that it stopped, or another start is known to have replaced it.
    Left,
}

/// An update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The member.
    pub peer: Peer,
    /// The incarnation that the standing refers to.
    pub incarnation: Incarnation,
    /// The state of the member.
    pub standing: Standing,
}

/// A request or a response between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The sender's update about itself.
    pub sender: Update,
    /// Hash of the eligible members in the sender's view.
    pub view: u64,
    /// The request or response.
    pub body: Body,
    /// Updates sent along with it.
    pub updates: Vec<Update>,
}

/// The request or response in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to respond.
    Probe,
    /// Responds to a probe or to [`Body::Members`].
    Answer,
    /// Asks the receiver to probe another process.
    Relay(Peer),
    /// Responds to [`Body::Relay`]: whether the other process answered.
    Relayed(bool),
    /// Asks for a comparison of views; holds the sender's hash of each failure domain.
    Compare(IndexMap<DomainId, u64>),
    /// Eligible and lost members of the failure domains whose hashes differ.
    Members(Vec<Update>),
}

/// An input of a [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent several times per probe period.
    Tick,
    /// The platform's list of VMs was read.
    List(Vec<Listed>),
    /// Seed addresses from the settings.
    Seeds(Vec<String>),
    /// A request from another process.
    Asked {
        /// Call number, assigned by the task that owns the membership.
        call: CallId,
        /// The request.
        message: Message,
    },
    /// A call of [`Effect::Ask`] was answered.
    Answered {
        /// The number in the effect.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A call of [`Effect::Ask`] failed or timed out.
    Failed {
        /// The number in the effect.
        call: CallId,
    },
    /// This process starts to drain and takes on no new role.
    Leave,
    /// This process has handed over its roles and is about to exit.
    Stop,
}

/// An action that the owning task has to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// Call number; the result is reported under it.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// The request.
        message: Message,
        /// Timeout of the call.
        within: Duration,
    },
    /// Answer the request of an [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A member's standing changed; recorded in the log and the time line.
    Changed(Update),
}
