//! Service documents: what a service team writes and owns.

pub mod check;
pub mod put;
pub mod stored;
pub mod text;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, ServiceId, TargetId};

/// One service's document, checked and in force as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The service's name, the first segment of callers' paths.
    pub service: ServiceId,
    /// Whether each key has one owner, or any target serves any key.
    pub ownership: Ownership,
    /// How many groups the targets form; fixed once the service exists.
    pub groups: u32,
    /// How many ranges each target starts with, at the least 1.
    pub ranges: u32,
    /// What a second of unavailable time costs, relative to `churn_weight`.
    pub unavailable_weight: f64,
    /// What the move of a range costs, relative to `unavailable_weight`.
    pub churn_weight: f64,
    /// The largest body of a request, in bytes.
    pub body_limit: u64,
    /// Classes of work, tried in order; the first that matches a request takes it.
    pub classes: IndexMap<String, Class>,
    /// The targets, by name.
    pub targets: IndexMap<TargetId, Target>,
}

/// Who may serve a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ownership {
    /// One target at a time.
    Exclusive,
    /// Any target.
    Shared,
}

/// A class of work, with its share of the targets' slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The methods it takes; empty for all.
    pub methods: Vec<String>,
    /// The start of the path after the key that it takes; empty for all.
    pub path: String,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Its share of the slots, in percent; what it leaves unused is lent.
    pub share: u32,
    /// The longest deadline a request may have.
    pub deadline: Duration,
    /// The longest time a request may wait for a slot.
    pub queue: Duration,
}

/// A target, as the document describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// `IP:port`.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Whether it checks who gives it an order.
    pub fencing: Fencing,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// Whether it is to hold work.
    pub state: TargetState,
}

/// Whether a target checks grants; unknown counts as unchecked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses work without a live grant of the right epoch.
    Checked,
    /// It runs whatever it is sent; senders hold a lease instead.
    Unchecked,
}

/// What the document wants of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes work.
    Serving,
    /// It hands its ranges over and takes no new work.
    Leaving,
}
