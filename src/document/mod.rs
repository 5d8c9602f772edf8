//! Service documents.
//!
//! A document configures one service: its targets, the classes of its requests and their limits. The service's team
//! writes it as INI text and puts it into the platform's service.

pub mod check;
pub mod put;
pub mod stored;
pub mod text;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, ServiceId, TargetId};

/// The document of one service, which is validated and takes effect as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The service's name, which is the first segment of the path in callers' requests.
    pub service: ServiceId,
    /// Whether each key has one owner or any target may serve any key.
    pub ownership: Ownership,
    /// The number of groups that the targets form; fixed once the service exists.
    pub groups: u32,
    /// The number of ranges that each target starts with, at least 1.
    pub ranges: u32,
    /// The cost of one second of unavailability, relative to `churn_weight`.
    pub unavailable_weight: f64,
    /// The cost of moving one range, relative to `unavailable_weight`.
    pub churn_weight: f64,
    /// The largest allowed request body, in bytes.
    pub body_limit: u64,
    /// The request classes; a request belongs to the first class that matches it.
    pub classes: IndexMap<String, Class>,
    /// The targets, by name.
    pub targets: IndexMap<TargetId, Target>,
}

/// The targets that may serve a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ownership {
    /// One target at a time may serve a key.
    Exclusive,
    /// Any target may serve any key.
    Shared,
}

/// A class of requests, with its share of the targets' slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The methods that it matches; empty matches all.
    pub methods: Vec<String>,
    /// The prefix that it matches in the path after the key; empty matches all.
    pub path: String,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Its share of the slots, in percent; other classes may use its unused slots.
    pub share: u32,
    /// The longest deadline that a request may have.
    pub deadline: Duration,
    /// The longest time that a request may wait for a slot.
    pub queue: Duration,
}

/// A target as configured in the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The address, as `IP:port`.
    pub address: String,
    /// The failure domain of the target.
    pub domain: DomainId,
    /// Whether the target checks grants.
    pub fencing: Fencing,
    /// The number of requests that the target runs at a time.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target is meant to serve requests.
    pub state: TargetState,
}

/// Whether a target checks grants; a target of unknown behaviour counts as unchecked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses requests without an unexpired grant of the right epoch.
    Checked,
    /// It runs every request that it receives, so senders must hold a lease instead.
    Unchecked,
}

/// The state of a target that the document asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It serves requests.
    Serving,
    /// It hands its ranges over and gets no new requests.
    Leaving,
}
