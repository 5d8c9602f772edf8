//! The events, effects and limits of a watcher.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Version;

/// A key and the version of its value; 0 if it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The version of its value.
    pub version: Version,
}

/// The listed or changed keys as of a revision of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// The store's revision.
    pub revision: Version,
    /// The keys.
    pub keys: Vec<Change>,
}

/// An input of a [`Watcher`](super::Watcher).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This VM's rank among the watcher candidates of its failure domain, and the size of the
    /// fleet.
    Role {
        /// Rank from 0, or none if this VM is not a candidate.
        rank: Option<usize>,
        /// Estimated number of live VMs.
        fleet_size: usize,
    },
    /// [`Effect::List`] was answered.
    Listed(Listing),
    /// [`Effect::Watch`] was answered.
    Watched(Listing),
    /// [`Effect::Read`] was answered, and the value was put into the store.
    Read(Change),
    /// A list, watch or read failed.
    Failed(Call),
    /// This VM stores this version of a key of the platform, from any source.
    Stored(Change),
    /// A watcher of any failure domain sent the heartbeat that the platform answers.
    Heartbeat {
        /// Whether it is in this VM's failure domain.
        own: bool,
    },
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Lists the keys.
    List,
    /// Waits for changes.
    Watch,
    /// Reads the value of a key.
    Read(String),
}

/// An action that the owning task has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// List the keys.
    List,
    /// Wait for changes after a revision.
    Watch(Version),
    /// Read a key's value, expected at this version or a higher one, and put it into the item store.
    Read(Change),
    /// The key was deleted at a revision: put a tombstone into the item store.
    Removed(Change),
    /// Send the heartbeat that the platform answers this failure domain's watchers.
    Heartbeat,
    /// The platform started to answer (`true`) or to fail (`false`); recorded in the log.
    Reachable(bool),
}

/// Intervals and limits of a watcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Watchers per failure domain.
    pub count: usize,
    /// Initial back-off after a failure; doubles with each further one.
    pub first: Duration,
    /// Maximum back-off after a failure.
    pub longest: Duration,
    /// Additional delay of reads for each further watcher.
    pub stagger: Duration,
    /// Interval between two heartbeats of a failure domain.
    pub mark: Duration,
    /// Time without any heartbeat after which a VM lists the keys itself.
    pub silence: Duration,
    /// Calls per second of the whole fleet while there are no heartbeats.
    pub fallback: u32,
    /// Maximum number of concurrent reads.
    pub reads: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            count: 2,
            first: Duration::from_millis(250),
            longest: Duration::from_secs(10),
            stagger: Duration::from_millis(300),
            mark: Duration::from_secs(10),
            silence: Duration::from_secs(30),
            fallback: 2,
            reads: 16,
        }
    }
}

/// Numbers of calls to the platform since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads.
    pub reads: u64,
    /// Calls that failed.
    pub failures: u64,
}
