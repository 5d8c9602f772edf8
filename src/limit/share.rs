//! How the requests in flight at one target are divided among classes of work.

use std::time::Duration;

/// One class, as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Its share, in percent.
    pub share: u32,
    /// How many of its requests are in flight.
    pub used: u32,
    /// How many wait.
    pub waiting: usize,
    /// How long one of its requests takes, as measured.
    pub hold: Duration,
    /// How long one of its requests may wait.
    pub queue: Duration,
    /// For how long its requests have held slots so far, for each percent of its share.
    pub passed: Duration,
}

/// Returns how many of `limit` slots belong to each class, by largest remainder.
///
/// # Example
///
/// ```
/// use bramleypier::limit::share;
///
/// assert_eq!(share::own(4, &[60, 30, 10]), [3, 1, 0]);
/// assert_eq!(share::own(10, &[60, 30, 10]), [6, 3, 1]);
/// ```
pub fn own(limit: u32, shares: &[u32]) -> Vec<u32> {
    let total = shares.iter().sum::<u32>().max(1);
    let mut own: Vec<_> = shares.iter().map(|share| limit * share / total).collect();
    let mut order: Vec<_> = (0..shares.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(limit * shares[*index] % total));
    let mut left = limit - own.iter().sum::<u32>();
    for index in order {
        if left > 0 && shares[index] > 0 {
            own[index] += 1;
            left -= 1;
        }
    }
    own
}

/// Returns whether a request of the class `index` may be sent now.
///
/// - A class below its own slots may, as long as any slot is free. The last free one is left to a
///   waiting class that has no slot of its own, and none in flight, if that class has had least for
///   its share of all that wait: by time, so that long work gets no more of a slot than short.
/// - Beyond them it borrows, and only while no class below its own slots waits.
/// - Work that ends sooner than the lender's requests may wait can borrow everything: the lender
///   has its slots back in time. Longer work leaves half of each lender's idle slots free, rounded
///   up, so that a burst of look-ups finds room behind file pulls at once.
/// - A class without a slot of its own may have a single one if another stays free, or if the
///   target is idle.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::share::{self, Lane};
///
/// let ms = Duration::from_millis;
/// let passed = Duration::ZERO;
/// let lookup = Lane { share: 75, used: 0, waiting: 0, hold: ms(5), queue: ms(50), passed };
/// let file = Lane { share: 25, used: 2, waiting: 1, hold: ms(900), queue: ms(500), passed };
/// assert!(!share::may_send(4, &[lookup, file], 1)); // two of three idle slots stay free
/// assert!(share::may_send(4, &[lookup, file], 0));
/// ```
pub fn may_send(limit: u32, lanes: &[Lane], index: usize) -> bool {
    let used: u32 = lanes.iter().map(|lane| lane.used).sum();
    if used >= limit {
        return false;
    }
    let shares: Vec<_> = lanes.iter().map(|lane| lane.share).collect();
    let own = own(limit, &shares);
    let lane = &lanes[index];
    let owed = owed(lanes, &own, index);
    if owed == Some(index) {
        return true;
    }
    if owed.is_some() && limit - used == 1 {
        return false;
    }
    if lane.used < own[index] {
        return true;
    }
    let others = || {
        let others = lanes.iter().zip(&own).enumerate();
        others.filter(move |(other, _)| *other != index)
    };
    let idle = |lane: &Lane, own: u32| own.saturating_sub(lane.used);
    if others().any(|(_, (lane, own))| lane.waiting > 0 && idle(lane, *own) > 0) {
        return false;
    }
    let free = limit - used - 1;
    if own[index] == 0 && lane.used == 0 && (free > 0 || used == 0) {
        return true;
    }
    let kept = others().map(|(_, (other, own))| {
        if lane.hold <= other.queue {
            0
        } else {
            idle(other, *own).div_ceil(2)
        }
    });
    free >= kept.sum()
}

/// Returns the class without a slot of its own that is owed one before all others that wait, if
/// there is one; `asking` counts as waiting.
fn owed(lanes: &[Lane], own: &[u32], asking: usize) -> Option<usize> {
    let waits = |index: &usize| lanes[*index].waiting > 0 || *index == asking;
    let waiting = (0..lanes.len()).filter(waits);
    // Of those that have had as little, one with slots of its own is never put off.
    let least = waiting.min_by_key(|index| (lanes[*index].passed, own[*index] == 0));
    least.filter(|index| own[*index] == 0 && lanes[*index].used == 0 && lanes[*index].share > 0)
}

/// Returns the class whose waiting request goes next, if any may be sent.
///
/// The class that uses the least of its own slots goes first; of equal ones the one that has had
/// least for its share, then the first.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::share::{self, Lane};
///
/// let ms = Duration::from_millis;
/// let passed = Duration::ZERO;
/// let lookup = Lane { share: 50, used: 1, waiting: 1, hold: ms(5), queue: ms(50), passed };
/// let order = Lane { share: 50, used: 0, waiting: 1, hold: ms(5), queue: ms(50), passed };
/// assert_eq!(share::next(2, &[lookup, order]), Some(1));
/// ```
pub fn next(limit: u32, lanes: &[Lane]) -> Option<usize> {
    let waiting = (0..lanes.len()).filter(|index| lanes[*index].waiting > 0);
    let fit = waiting.filter(|index| may_send(limit, lanes, *index));
    fit.min_by(|a, b| {
        let load =
            |index: &usize| f64::from(lanes[*index].used) / f64::from(lanes[*index].share.max(1));
        let passed = |index: &usize| lanes[*index].passed;
        load(a)
            .total_cmp(&load(b))
            .then_with(|| passed(a).cmp(&passed(b)))
    })
}
