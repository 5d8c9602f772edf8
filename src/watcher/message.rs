//! What a watcher is told, what it wants done, and its times and bounds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Version;

/// A key and the version of its value; 0 when it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The version of its value.
    pub version: Version,
}

/// Keys as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// The store's revision.
    pub revision: Version,
    /// The keys.
    pub keys: Vec<Change>,
}

/// What happens to a watcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This VM's place among the watchers of its failure domain, from 0, or none; and the size of
    /// the fleet, as membership estimates it.
    Role {
        /// The place.
        rank: Option<usize>,
        /// The size.
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
    /// This version of a key of the platform is held, from whatever source.
    Stored(Change),
    /// A watcher of some failure domain, this one too, said that it hears from the platform.
    Heartbeat {
        /// Whether it is of this VM's own failure domain.
        own: bool,
    },
}

/// What was asked of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The keys.
    List,
    /// The changes.
    Watch,
    /// The value of a key.
    Read(String),
}

/// What a watcher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// List the keys.
    List,
    /// Wait for changes after a revision.
    Watch(Version),
    /// Read a key's value, expected at this version or a higher one, and put it into the store.
    Read(Change),
    /// The key was deleted at a revision: put a tombstone into the store.
    Removed(Change),
    /// Say that this failure domain's watchers hear from the platform.
    Heartbeat,
    /// The platform began to answer (`true`) or to fail (`false`), for the log.
    Reachable(bool),
}

/// The times and bounds of a watcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Watchers of a failure domain.
    pub count: usize,
    /// The first wait after a failure; it doubles.
    pub first: Duration,
    /// The longest wait after a failure.
    pub longest: Duration,
    /// How much later each further watcher reads.
    pub stagger: Duration,
    /// Between two marks of a failure domain.
    pub mark: Duration,
    /// Without any mark for so long, a VM asks itself.
    pub silence: Duration,
    /// The whole fleet's calls a second without marks.
    pub fallback: u32,
    /// Reads under way at once.
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

/// What was asked of the platform so far.
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
