//! A target's concurrency limit: a fixed number of slots with a bounded first-in, first-out queue.

use std::collections::VecDeque;

use futures_channel::oneshot;

/// The result of asking for a slot.
#[derive(Debug)]
pub enum Admission {
    /// The request has a slot.
    Slot,
    /// The request is queued and gets its slot when the receiver fires.
    Queued(oneshot::Receiver<()>),
    /// The queue is full; the request is rejected.
    Full,
}

/// The slots and the queue of a target.
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
    /// Creates `count` slots with a queue of at most `limit` requests.
    pub fn new(count: usize, limit: usize) -> Self {
        Self {
            count,
            limit,
            busy: 0,
            queue: VecDeque::new(),
        }
    }

    /// Takes a free slot, or joins the queue if there is none.
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

    /// Frees a slot and gives it to the first queued request, if there is one.
    pub fn release(&mut self) {
        while let Some(waiter) = self.queue.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        self.busy -= 1;
    }

    /// Returns the number of running and queued requests per slot.
    #[allow(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn load(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / self.count.max(1) as f64
    }
}
