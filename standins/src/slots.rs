//! A target's slots, with a bounded queue in order of arrival.

use std::collections::VecDeque;

use futures_channel::oneshot;

/// How a request stands when it asks for a slot.
#[derive(Debug)]
pub enum Admission {
    /// It has a slot.
    Slot,
    /// It waits, until the sender of this fires.
    Queued(oneshot::Receiver<()>),
    /// The queue is full.
    Full,
}

/// The slots.
///
/// # Example
///
/// ```
/// use bramleypier_standins::slots::{Admission, Slots};
///
/// let mut slots = Slots::new(1, 0);
/// assert!(matches!(slots.acquire(), Admission::Slot));
/// assert!(matches!(slots.acquire(), Admission::Full));
/// slots.release();
/// assert!(matches!(slots.acquire(), Admission::Slot));
/// ```
#[derive(Debug)]
pub struct Slots {
    count: usize,
    limit: usize,
    busy: usize,
    queue: VecDeque<oneshot::Sender<()>>,
}

impl Slots {
    /// Creates slots with a queue of at most `limit`.
    pub fn new(count: usize, limit: usize) -> Self {
        Self {
            count,
            limit,
            busy: 0,
            queue: VecDeque::new(),
        }
    }

    /// Asks for a slot.
    pub fn acquire(&mut self) -> Admission {
        if self.busy < self.count {
            self.busy += 1;
            return Admission::Slot;
        }
        self.queue.retain(|waiter| !waiter.is_canceled());
        if self.queue.len() >= self.limit {
            return Admission::Full;
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.push_back(sender);
        Admission::Queued(receiver)
    }

    /// Gives a slot back; the first that waits gets it.
    pub fn release(&mut self) {
        while let Some(waiter) = self.queue.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        self.busy -= 1;
    }

    /// Returns running and waiting requests for each slot.
    #[allow(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn load(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / self.count.max(1) as f64
    }
}
