//! The record of one service: its ranges of keys with their owners, as kept in the store.
//!
//! It is written by the manager only, by compare-and-swap, and sent to every VM.

use std::{net::SocketAddr, time::Duration};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::packed::{Details, Packed};
use crate::{
    catalogue::{StartTime, Target, TargetId},
    store::Era,
};

/// The number that identifies a key in requests and ranges.
pub type RequestKey = u64;
/// A fencing token; a target refuses a grant below one that it has seen.
pub type Fence = u64;
/// The number of a manager among all managers of a service; each takeover adds one.
///
/// Its high bits are the store's era, so that no term is used twice when the store forgets the last ones.
pub type Term = u64;

/// How many low bits of a fence count within a term; they allow 16 million changes.
const COUNTER_BITS: u32 = 24;
/// How many low bits of a term count within an era of the store; they allow 65,536 takeovers.
const ERA_TERM_BITS: u32 = 16;
/// The last era that terms tell apart: a higher one would overflow fences.
pub const MAX_ERA: Era = (1 << (63 - ERA_TERM_BITS - COUNTER_BITS)) - 1;

quick_error! {
    /// Why a record can't be read.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes don't decode as a record.
        Unreadable(cause: rmp_serde::decode::Error) {
            display("step=decode peer=record cause={cause}")
            source(cause)
        }
        /// The range at this index is empty, exceeds the largest key or names an owner that isn't in the table.
        InvalidRange(index: usize) {
            display("step=decode peer=record cause=range {index} is empty, overflows or has an unknown owner")
        }
    }
}

/// Returns the first term of an era.
///
/// # Example
///
/// See [`Record::era`].
pub fn first_term(era: Era) -> Term {
    era.min(MAX_ERA) << ERA_TERM_BITS
}

/// Returns the era of the store in which a term began.
///
/// # Example
///
/// See [`Record::era`].
pub fn era_of(term: Term) -> Era {
    term >> ERA_TERM_BITS
}

/// One incarnation of a target, that is one run of its process, as an owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Incarnation {
    /// The target's id.
    pub id: TargetId,
    /// When this incarnation started.
    #[serde(rename = "born")]
    pub start_time: StartTime,
    /// The address at which it serves.
    pub address: SocketAddr,
}

impl Incarnation {
    /// Returns the incarnation that a target announced.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Incarnation;
    ///
    /// let incarnation = Incarnation { id: "a".into(), start_time: 1, address: "127.0.0.1:1".parse().unwrap() };
    /// assert_eq!(incarnation, incarnation.clone());
    /// ```
    pub fn of(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            start_time: target.start_time,
            address: target.address,
        }
    }

    /// Returns whether a target announced this incarnation.
    ///
    /// # Example
    ///
    /// See [`Incarnation::of`].
    pub fn is_announced_by(&self, target: &Target) -> bool {
        self.id == target.id && self.start_time == target.start_time
    }
}

/// A range of keys with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub from: RequestKey,
    /// The last key.
    pub to: RequestKey,
    /// The fence of the owner's grant.
    pub fence: Fence,
    /// The owner; `None` while no target may be granted the range.
    pub owner: Option<Incarnation>,
}

impl KeyRange {
    /// Returns how many keys the range has.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::KeyRange;
    ///
    /// let range = KeyRange { from: 4, to: 7, fence: 1, owner: None };
    /// assert_eq!(range.width(), 4);
    /// ```
    pub fn width(&self) -> u64 {
        self.to - self.from + 1
    }
}

/// All ranges of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The term of the manager that wrote it.
    pub term: Term,
    /// The process start of that manager, which identifies it.
    pub manager: String,
    /// Whether that manager has stopped for good and renews no more grants.
    pub resigned: bool,
    /// How many fences this term has used.
    pub counter: u64,
    /// The ranges in order; they cover all keys.
    pub ranges: Vec<KeyRange>,
    /// Whether all managers of earlier terms are known to have stopped for good.
    pub settled: bool,
    /// How long the grants of the manager that wrote it may still last, if it has resigned; `None` if it didn't say.
    pub grants_left: Option<Duration>,
}

impl Record {
    /// Creates the record of a service whose keys have never had an owner; its keys are 0 to `last`.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// assert_eq!(Record::unowned(65_535).ranges[0].width(), 65_536);
    /// ```
    pub fn unowned(last: RequestKey) -> Self {
        let whole = KeyRange {
            from: 0,
            to: last,
            fence: 0,
            owner: None,
        };
        Self {
            ranges: vec![whole],
            ..Self::default()
        }
    }

    /// Returns the era of the store in which it was written first.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::{self, Record};
    ///
    /// let record = Record { term: record::first_term(3) + 1, ..Record::unowned(9) };
    /// assert_eq!(record.era(), 3);
    /// ```
    pub fn era(&self) -> Era {
        era_of(self.term)
    }

    /// Returns whether it was written before another record of the same service.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// let first = Record::unowned(9);
    /// let mut second = first.clone();
    /// second.next_fence();
    /// assert!(first.is_older_than(&second));
    /// ```
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.term, self.counter) < (other.term, other.counter)
    }

    /// Returns the next fence, which is two above the last: the number between them is for a release.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// let mut record = Record::unowned(9);
    /// assert!(record.next_fence() < record.next_fence());
    /// ```
    pub fn next_fence(&mut self) -> Fence {
        self.counter += 2;
        (self.term << COUNTER_BITS) | self.counter
    }

    /// Returns the range of a key.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// assert_eq!(Record::unowned(9).find(3).unwrap().to, 9);
    /// assert!(Record::unowned(9).find(10).is_none());
    /// ```
    pub fn find(&self, key: RequestKey) -> Option<&KeyRange> {
        let index = self.ranges.partition_point(|range| range.to < key);
        self.ranges.get(index).filter(|range| range.from <= key)
    }

    /// Splits ranges so that one begins at `from` and one ends at `to`.
    ///
    /// The pieces keep owner and fence.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// let mut record = Record::unowned(9);
    /// record.split(3, 5);
    /// let bounds: Vec<_> = record.ranges.iter().map(|range| (range.from, range.to)).collect();
    /// assert_eq!(bounds, [(0, 2), (3, 5), (6, 9)]);
    /// ```
    pub fn split(&mut self, from: RequestKey, to: RequestKey) {
        self.split_before(from);
        if let Some(next) = to.checked_add(1) {
            self.split_before(next);
        }
    }

    /// Splits the range that contains `key`, so that one begins at `key`.
    fn split_before(&mut self, key: RequestKey) {
        let index = self.ranges.partition_point(|range| range.to < key);
        let Some(range) = self.ranges.get_mut(index) else {
            return;
        };
        if range.from >= key {
            return;
        }
        let mut upper = range.clone();
        upper.from = key;
        range.to = key - 1;
        self.ranges.insert(index + 1, upper);
    }

    /// Encodes the record for the store.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::record::Record;
    ///
    /// let record = Record::unowned(9);
    /// assert_eq!(Record::decode(&record.encode()).unwrap(), record);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Encoding can't fail: a record holds numbers and text only.
        let mut bytes = rmp_serde::to_vec(&Packed::from(self)).unwrap_or_default();
        let details = Details::from(self);
        if details != Details::default() {
            bytes.extend(rmp_serde::to_vec_named(&details).unwrap_or_default());
        }
        bytes
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the bytes don't decode, [`Error::InvalidRange`] when a range is invalid.
    ///
    /// # Example
    ///
    /// See [`Record::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let mut reader = bytes;
        let mut decoder = rmp_serde::Deserializer::new(&mut reader);
        let packed = Packed::deserialize(&mut decoder).map_err(Error::Unreadable)?;
        // Without readable details the successor waits for the longest grants.
        let details: Details = rmp_serde::from_slice(reader).unwrap_or_default();
        packed.unpack(&details)
    }
}
