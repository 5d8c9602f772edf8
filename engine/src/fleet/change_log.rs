//! Keeps the changes that a VM has recently applied, so that other VMs can get only the changes that they lack.

use std::{
    collections::{HashSet, VecDeque},
    rc::Rc,
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store::{Change, Item, Revision};

/// How many changes are kept; a VM that lacks more gets the whole state.
const MAX_CHANGES: usize = 512;

/// How far a VM has read another VM's change log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LogPosition {
    /// The start of the process that keeps the log.
    pub start: String,
    /// The number of its changes that have been read.
    pub count: u64,
}

/// The state that one VM relays to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relay {
    /// The changes that the receiver lacks.
    Changes {
        /// The newest change of each key, oldest first.
        changes: Vec<Change>,
        /// By prefix: the revision of the store up to which a receiver of the changes is up to date.
        followed: IndexMap<String, Revision>,
        /// The log position after these changes.
        #[serde(rename = "place")]
        position: LogPosition,
    },
    /// The whole state.
    Whole {
        /// The items.
        items: Vec<Item>,
        /// By prefix: the revision of the store as of which the items are complete.
        ///
        /// Any item may be missing under a prefix that isn't listed here.
        followed: IndexMap<String, Revision>,
        /// The log position after these items.
        #[serde(rename = "place")]
        position: LogPosition,
    },
}

impl Relay {
    /// Returns the log position of a receiver that has applied the relay.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{LogPosition, Relay};
    ///
    /// let relay = Relay::Whole {
    ///     items: vec![],
    ///     followed: [].into(),
    ///     position: LogPosition::default(),
    /// };
    /// assert_eq!(relay.position().count, 0);
    /// assert!(relay.followed().is_empty());
    /// ```
    pub fn position(&self) -> &LogPosition {
        match self {
            Self::Changes { position, .. } | Self::Whole { position, .. } => position,
        }
    }

    /// Returns the revision, by prefix, up to which a receiver that has applied the relay is up to date.
    ///
    /// # Example
    ///
    /// See [`Relay::position`].
    pub fn followed(&self) -> &IndexMap<String, Revision> {
        match self {
            Self::Changes { followed, .. } | Self::Whole { followed, .. } => followed,
        }
    }
}

/// The latest changes, and the number of all changes so far.
///
/// # Example
///
/// ```
/// use bramleypier_engine::{
///     fleet::{ChangeLog, Relay},
///     store::Change,
/// };
///
/// let mut change_log = ChangeLog::default();
/// let position = change_log.position("start");
/// change_log.add(&Change::Removed { key: "a".into(), revision: 1 });
/// let relay = change_log.since("start", &position).unwrap();
/// assert!(matches!(relay, Relay::Changes { changes, .. } if changes.len() == 1));
/// assert!(change_log.since("another start", &position).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Rc<Change>>,
    count: u64,
}

impl ChangeLog {
    /// Adds a change.
    ///
    /// # Example
    ///
    /// See [`ChangeLog`].
    pub fn add(&mut self, change: &Change) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Rc::new(change.clone()));
        self.count += 1;
    }

    /// Forgets all changes: whoever hasn't read them gets the whole state.
    pub(super) fn clear(&mut self) {
        self.changes.clear();
        // Who has read everything needs the whole state too.
        self.count += 1;
    }

    /// Returns the log position after the last change.
    ///
    /// # Example
    ///
    /// See [`ChangeLog`].
    pub fn position(&self, start: &str) -> LogPosition {
        LogPosition {
            start: start.to_owned(),
            count: self.count,
        }
    }

    /// Returns the changes after a log position; `None` if it belongs to another process or is too old.
    ///
    /// # Example
    ///
    /// See [`ChangeLog`].
    pub fn since(&self, start: &str, position: &LogPosition) -> Option<Relay> {
        let missing = self.count.checked_sub(position.count)?;
        let missing = usize::try_from(missing).ok()?;
        if position.start != start || missing > self.changes.len() {
            return None;
        }
        let first = self.changes.len() - missing;
        // Only the newest change of each key is sent; records are large and change often.
        let mut seen = HashSet::new();
        let newest = self.changes.range(first..).rev();
        let mut changes: Vec<Change> = newest
            .filter(|it| seen.insert(it.key()))
            .map(|it| Change::clone(it))
            .collect();
        changes.reverse();
        Some(Relay::Changes {
            changes,
            followed: IndexMap::new(),
            position: self.position(start),
        })
    }
}
