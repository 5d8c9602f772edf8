//! What a membership is told, what it wants done, and what its messages hold.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, VmId};

/// Number of a call, unique at the process that numbers it.
pub type CallId = u64;
/// Number of a VM's statements about itself; the higher refutes the lower.
pub type Incarnation = u64;

/// A process of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its identity, new on each start: `name#start`.
    pub vm: VmId,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
}

/// A VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Its name, without a start.
    pub name: String,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What is held of a member; at one incarnation the later in this order wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    #[default]
    Live,
    /// It answers and takes no new duty.
    Leaving,
    /// It has answered nobody lately.
    Suspect,
    /// The suspicion was not refuted, or another start answered in its place.
    Gone,
    /// It said that it stopped.
    Left,
}

/// News of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The member.
    pub peer: Peer,
    /// The incarnation that the standing refers to.
    pub incarnation: Incarnation,
    /// What is said of it.
    pub standing: Standing,
}

/// A message between two processes; a request, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The sender's word on itself.
    pub sender: Update,
    /// Hash of the sender's view of the duty members.
    pub view: u64,
    /// What it asks or answers.
    pub body: Body,
    /// News that travels along.
    pub updates: Vec<Update>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver is there.
    Probe,
    /// Answers a probe.
    Answer,
    /// Asks the receiver to probe another.
    Relay(Peer),
    /// Answers [`Body::Relay`]: whether the other answered.
    Relayed(bool),
    /// Compares views: the sender's hash of each failure domain.
    Compare(IndexMap<DomainId, u64>),
    /// Members of the failure domains that differ.
    Members(Vec<Update>),
}

/// What happens to a membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; several times a period.
    Tick,
    /// The platform's list was read.
    List(Vec<Listed>),
    /// Addresses from the settings.
    Seeds(Vec<String>),
    /// Another process asks; its task numbered the call.
    Asked {
        /// The task's number of the call.
        call: CallId,
        /// What is asked.
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
    /// This process begins to stop: it takes no new duty.
    Leave,
    /// This process has handed its duties over and ends.
    Stop,
}

/// What a membership wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// The number to answer with.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// What to ask.
        message: Message,
        /// How long the answer may take.
        within: Duration,
    },
    /// Answer a call of [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A member's standing changed, for the log and the time line.
    Changed(Update),
}
