//! Intervals, timeouts and limits of the membership protocol.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between two probe rounds.
    pub period: Duration,
    /// Probes per round.
    pub probes: usize,
    /// Timeout of a direct probe.
    pub direct: Duration,
    /// Timeout of a probe through another member.
    pub indirect: Duration,
    /// Members asked to probe one that did not answer.
    pub helpers: usize,
    /// Time after which a suspected member is declared lost, in a fleet of up to 16 VMs; a larger
    /// fleet waits longer.
    pub suspicion: Duration,
    /// Interval between attempts to reach a process that is not a live member.
    pub retry: Duration,
    /// Minimum interval between two comparisons of views.
    pub compare: Duration,
    /// How long a member that returned after a loss is not a candidate; doubles at each return.
    pub hold: Duration,
    /// How long a lost member stays in the view.
    pub forget: Duration,
    /// How far the platform's list of VMs may lag behind.
    pub lag: Duration,
    /// Members kept per failure domain that are eligible for roles.
    pub duty: usize,
    /// Other members kept.
    pub others: usize,
    /// Maximum number of queued updates per message.
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
