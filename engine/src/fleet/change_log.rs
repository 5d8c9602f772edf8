//! What a VM has taken in lately, so that others can be told only what they lack.

use std::{
    collections::{HashSet, VecDeque},
    rc::Rc,
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store::{Change, Item, Revision};

/// How many changes are kept; who lacks more is told everything.
const CHANGES: usize = 512;

/// How far somebody has followed a VM's journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LogPosition {
    /// The start of the process whose journal it is.
    pub start: String,
    /// How many of its changes are known.
    pub count: u64,
}

/// What somebody lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relay {
    /// Some changes.
    Changes {
        /// The newest change of each key, oldest first.
        changes: Vec<Change>,
        /// By prefix: who takes the changes knows what stood there in the store at this revision.
        followed: IndexMap<String, Revision>,
        /// Where that leads.
        place: LogPosition,
    },
    /// Everything that is known.
    Whole {
        /// The items.
        items: Vec<Item>,
        /// By prefix: what stood there in the store at this revision is among them.
        ///
        /// Of a prefix that isn't named, anything may be missing.
        followed: IndexMap<String, Revision>,
        /// Where that leads.
        place: LogPosition,
    },
}

impl Relay {
    /// Returns where the relay leads.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{LogPosition, Relay};
    ///
    /// let relay = Relay::Whole {
    ///     items: vec![],
    ///     followed: [].into(),
    ///     place: LogPosition::default(),
    /// };
    /// assert_eq!(relay.position().count, 0);
    /// assert!(relay.followed().is_empty());
    /// ```
    pub fn position(&self) -> &LogPosition {
        match self {
            Self::Changes { place, .. } | Self::Whole { place, .. } => place,
        }
    }

    /// Returns up to which revision each prefix is known by whoever takes the relay in.
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

/// The latest changes, with a count of all before.
///
/// # Example
///
/// ```
/// use bramleypier_engine::{
///     fleet::{ChangeLog, Relay},
///     store::Change,
/// };
///
/// let mut journal = ChangeLog::default();
/// let place = journal.position("start");
/// journal.add(&Change::Removed { key: "a".into(), revision: 1 });
/// let relay = journal.since("start", &place).unwrap();
/// assert!(matches!(relay, Relay::Changes { changes, .. } if changes.len() == 1));
/// assert!(journal.since("another start", &place).is_none());
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
        if self.changes.len() >= CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Rc::new(change.clone()));
        self.count += 1;
    }

    /// Returns the place after the last change.
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

    /// Returns the changes after a place; none if the place is another process's or too old.
    ///
    /// # Example
    ///
    /// See [`ChangeLog`].
    pub fn since(&self, start: &str, place: &LogPosition) -> Option<Relay> {
        let lacking = self.count.checked_sub(place.count)?;
        let lacking = usize::try_from(lacking).ok()?;
        if place.start != start || lacking > self.changes.len() {
            return None;
        }
        let first = self.changes.len() - lacking;
        // Of a key that changed several times only the newest is of use; records are large and change often.
        let mut told = HashSet::new();
        let newest = self.changes.range(first..).rev();
        let mut changes: Vec<Change> = newest
            .filter(|it| told.insert(it.key()))
            .map(|it| Change::clone(it))
            .collect();
        changes.reverse();
        Some(Relay::Changes {
            changes,
            followed: IndexMap::new(),
            place: self.position(start),
        })
    }
}
