//! What a connection holds in memory: received bytes that hyper may not take yet, and the response that is being sent.

use std::task::Waker;

use crate::memory::{Full, Held, Memory};

/// The memory of one connection.
#[derive(Debug)]
pub(super) struct Holding {
    received: Held,
    /// Whether there was no memory for what has arrived.
    starved: bool,
    /// What is held for the response that is being sent.
    response: Option<Held>,
}

impl Holding {
    pub(super) fn new(memory: &Memory) -> Self {
        Self {
            received: memory.hold(),
            starved: false,
            response: None,
        }
    }

    /// Holds this many received bytes from now on.
    ///
    /// # Errors
    ///
    /// There is no memory for more; what has arrived stays unread.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let resized = self.received.resize_spare(bytes);
        self.starved = resized.is_err();
        resized
    }

    /// Holds only this many received bytes from now on: hyper has taken the others.
    pub(super) fn shrink(&mut self, bytes: usize) {
        self.received.force(bytes);
        self.starved = false;
    }

    /// Returns whether something that has arrived stays unread for lack of memory.
    pub(super) fn is_starved(&self) -> bool {
        self.starved
    }

    /// Takes what is held for a response whose turn it is; its connection may have to give it up from now on.
    pub(super) fn begin_response(&mut self, held: Option<Held>) {
        if let Some(held) = &held {
            held.set_waiting(true);
        }
        self.response = held;
    }

    /// Frees what is held for a response that has been sent.
    pub(super) fn end_response(&mut self) {
        self.response = None;
    }

    /// Returns whether a response is being sent for which something is held.
    pub(super) fn has_response(&self) -> bool {
        self.response.is_some()
    }

    /// Returns whether the response has to be given up; if not, `waker` is woken once it has.
    pub(super) fn must_give_up(&self, waker: &Waker) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|it| it.watch().is_asked(waker))
    }
}
