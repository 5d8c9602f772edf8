//! The times and bounds of a membership.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The times and bounds of a membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Between two rounds of probes.
    pub period: Duration,
    /// Probes in a round.
    pub probes: usize,
    /// How long a probe may take.
    pub direct: Duration,
    /// How long a probe through another may take.
    pub indirect: Duration,
    /// How many others are asked to probe.
    pub helpers: usize,
    /// How long a suspicion stands before it is a loss, in a fleet of up to 16.
    pub suspicion: Duration,
    /// Between two attempts to reach a process that is not a live member.
    pub retry: Duration,
    /// Between two comparisons of views.
    pub compare: Duration,
    /// How long a member that came back is no candidate; doubles at each return.
    pub hold: Duration,
    /// How long a loss is remembered.
    pub forget: Duration,
    /// How far the platform's list may lag.
    pub lag: Duration,
    /// Duty members kept of each failure domain.
    pub duty: usize,
    /// Further members kept.
    pub others: usize,
    /// Updates in one message.
    pub updates: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            probes: 2,
            direct: Duration::from_millis(200),
            indirect: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_millis(800),
            retry: Duration::from_secs(1),
            compare: Duration::from_secs(1),
            hold: Duration::from_secs(5),
            forget: Duration::from_hours(2),
            lag: Duration::from_mins(2),
            duty: 32,
            others: 32,
            updates: 8,
        }
    }
}
