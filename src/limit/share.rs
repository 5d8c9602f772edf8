//! How the slots of one target are divided among the classes of requests.
//!
//! Each class has slots of its own by its share, and borrows idle slots of other classes. The
//! functions here decide which class may send next; they hold no state.

use std::time::Duration;

/// The current state of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassState {
    /// Its share of the slots, in percent.
    pub share: u32,
    /// The number of its requests in flight.
    pub in_flight: u32,
    /// The number of its queued requests.
    pub queued: usize,
    /// The average time of one of its requests at the target, as measured.
    pub service_time: Duration,
    /// The longest time for which one of its requests may be queued.
    pub max_wait: Duration,
    /// The time for which its requests have held slots so far, divided by its share in percent.
    pub virtual_time: Duration,
}

/// Returns how many of `limit` slots belong to each class, by the largest remainder method.
///
/// # Example
///
/// ```
/// use bramleypier::limit::share;
///
/// assert_eq!(share::own_slots(4, &[60, 30, 10]), [3, 1, 0]);
/// assert_eq!(share::own_slots(10, &[60, 30, 10]), [6, 3, 1]);
/// ```
pub fn own_slots(limit: u32, shares: &[u32]) -> Vec<u32> {
    let total = shares.iter().sum::<u32>().max(1);
    let mut own: Vec<_> = shares.iter().map(|share| limit * share / total).collect();
    let mut order: Vec<_> = (0..shares.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(limit * shares[*index] % total));
    let mut remaining = limit - own.iter().sum::<u32>();
    for index in order {
        if remaining > 0 && shares[index] > 0 {
            own[index] += 1;
            remaining -= 1;
        }
    }
    own
}

/// Returns whether a request of the class `index` may be sent now.
///
/// - A class that uses fewer than its own slots may send while any slot is free. The last free slot
///   is reserved for a class that has requests queued, no slot of its own and no request in flight,
///   if its virtual time is the lowest of all classes with queued requests. Virtual time counts how
///   long slots were held, so that long requests don't get a larger part of a slot than short ones.
/// - A class that uses all of its own slots borrows idle ones of other classes, but only while no
///   class with idle slots has requests queued.
/// - A class whose requests are shorter than the lender's longest wait may borrow all idle slots,
///   since the lender gets them back in time. Longer requests leave half of each lender's idle
///   slots free, rounded up, so that a burst of look-ups finds free slots despite file requests.
/// - A class without a slot of its own may use a single one if another slot stays free, or if the
///   target is idle.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::share::{self, ClassState};
///
/// let ms = Duration::from_millis;
/// let lookup = ClassState {
///     share: 75,
///     in_flight: 0,
///     queued: 0,
///     service_time: ms(5),
///     max_wait: ms(50),
///     virtual_time: Duration::ZERO,
/// };
/// let file = ClassState {
///     share: 25,
///     in_flight: 2,
///     queued: 1,
///     service_time: ms(900),
///     max_wait: ms(500),
///     virtual_time: Duration::ZERO,
/// };
/// assert!(!share::may_send(4, &[lookup, file], 1)); // two of three idle slots stay free
/// assert!(share::may_send(4, &[lookup, file], 0));
/// ```
pub fn may_send(limit: u32, classes: &[ClassState], index: usize) -> bool {
    let in_flight: u32 = classes.iter().map(|class| class.in_flight).sum();
    if in_flight >= limit {
        return false;
    }
    let shares: Vec<_> = classes.iter().map(|class| class.share).collect();
    let own = own_slots(limit, &shares);
    let class = &classes[index];
    let reserved = reserved_class(classes, &own, index);
    if reserved == Some(index) {
        return true;
    }
    if reserved.is_some() && limit - in_flight == 1 {
        return false;
    }
    if class.in_flight < own[index] {
        return true;
    }
    let others = || {
        let others = classes.iter().zip(&own).enumerate();
        others.filter(move |(other, _)| *other != index)
    };
    let idle = |class: &ClassState, own: u32| own.saturating_sub(class.in_flight);
    if others().any(|(_, (other, own))| other.queued > 0 && idle(other, *own) > 0) {
        return false;
    }
    let free = limit - in_flight - 1;
    if own[index] == 0 && class.in_flight == 0 && (free > 0 || in_flight == 0) {
        return true;
    }
    let kept_free = others().map(|(_, (other, own))| {
        if class.service_time <= other.max_wait {
            0
        } else {
            idle(other, *own).div_ceil(2)
        }
    });
    free >= kept_free.sum()
}

/// Returns the class for which the last free slot is reserved, if there is one.
///
/// It has no slot of its own, and the lowest virtual time of all classes with queued requests. The
/// class `asking` counts as one of these.
fn reserved_class(classes: &[ClassState], own: &[u32], asking: usize) -> Option<usize> {
    let has_queued = |index: &usize| classes[*index].queued > 0 || *index == asking;
    let candidates = (0..classes.len()).filter(has_queued);
    // At equal virtual times a class with slots of its own goes first.
    let lowest = candidates.min_by_key(|index| (classes[*index].virtual_time, own[*index] == 0));
    lowest.filter(|index| {
        own[*index] == 0 && classes[*index].in_flight == 0 && classes[*index].share > 0
    })
}

/// Returns the class whose queued request is sent next, if any may be sent.
///
/// The class with the fewest requests in flight relative to its share goes first; of equal ones
/// that with the lowest virtual time, then the first.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::share::{self, ClassState};
///
/// let ms = Duration::from_millis;
/// let lookup = ClassState {
///     share: 50,
///     in_flight: 1,
///     queued: 1,
///     service_time: ms(5),
///     max_wait: ms(50),
///     virtual_time: Duration::ZERO,
/// };
/// let order = ClassState { in_flight: 0, ..lookup };
/// assert_eq!(share::next(2, &[lookup, order]), Some(1));
/// ```
pub fn next(limit: u32, classes: &[ClassState]) -> Option<usize> {
    let candidates = (0..classes.len()).filter(|index| classes[*index].queued > 0);
    let allowed = candidates.filter(|index| may_send(limit, classes, *index));
    allowed.min_by(|a, b| {
        let load = |index: &usize| {
            f64::from(classes[*index].in_flight) / f64::from(classes[*index].share.max(1))
        };
        let virtual_time = |index: &usize| classes[*index].virtual_time;
        load(a)
            .total_cmp(&load(b))
            .then_with(|| virtual_time(a).cmp(&virtual_time(b)))
    })
}
