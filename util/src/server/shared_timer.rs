//! The timer of a connection, as its task, its stream and its service use it.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    task::{Poll, ready},
    time::Duration,
};

use futures_util::{
    FutureExt,
    future::{self, LocalBoxFuture},
};

use super::{ConnectionLimits, MIN_BUFFER_BYTES};
use crate::{clock::Clock, stream::StreamObserver, timer::ConnectionTimer};

/// A connection's timer, shared by its task, its stream and its service.
#[derive(Clone, Debug)]
pub(super) struct SharedTimer {
    pub(super) clock: Clock,
    pub(super) limits: ConnectionLimits,
    /// When the latest bytes were read or written.
    last_bytes: Rc<Cell<Duration>>,
    timer: Rc<RefCell<ConnectionTimer>>,
}

impl SharedTimer {
    pub(super) fn new(
        clock: Clock,
        limits: ConnectionLimits,
        last_bytes: Rc<Cell<Duration>>,
    ) -> Self {
        let timer = ConnectionTimer::new(limits, clock.now());
        Self {
            clock,
            limits,
            last_bytes,
            timer: Rc::new(RefCell::new(timer)),
        }
    }

    /// Returns the size of hyper's read buffer, which limits a head.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.limits.head_bytes.max(MIN_BUFFER_BYTES)
    }

    pub(super) fn on_request(&self) {
        self.timer.borrow_mut().on_request();
    }

    pub(super) fn on_response(&self) {
        self.timer.borrow_mut().on_response(self.clock.now());
    }

    /// Records received or sent bytes; `record` records them on an idle connection.
    fn on_bytes(&self, record: fn(&mut ConnectionTimer, Duration)) {
        let now = self.clock.now();
        self.last_bytes.set(now);
        let mut timer = self.timer.borrow_mut();
        if timer.is_idle() {
            record(&mut timer, now);
        }
    }

    /// Waits until the connection's deadline has passed, and the time until which `kept_until` keeps it.
    ///
    /// This is polled after each step of the connection, so a new sleep is started only if the deadline
    /// has become earlier than the end of the current sleep.
    pub(super) async fn expired<K>(&self, kept_until: K)
    where
        K: Fn() -> Option<Duration>,
    {
        let mut current: Option<(Duration, LocalBoxFuture<'_, ()>)> = None;
        future::poll_fn(|context| {
            loop {
                let Some(deadline) = self.timer.borrow().deadline() else {
                    return Poll::Pending;
                };
                let deadline = kept_until().map_or(deadline, |it| it.max(deadline));
                if current.as_ref().is_none_or(|(end, _)| *end > deadline) {
                    let left = deadline.saturating_sub(self.clock.now());
                    if left.is_zero() {
                        return Poll::Ready(());
                    }
                    current = Some((deadline, self.clock.sleep(left).boxed_local()));
                }
                if let Some((_, sleep)) = &mut current {
                    ready!(sleep.as_mut().poll(context));
                }
                current = None;
            }
        })
        .await;
    }
}

impl StreamObserver for SharedTimer {
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !bytes.is_empty() {
            self.on_bytes(ConnectionTimer::on_read);
        }
        Ok(())
    }

    fn on_write(&mut self, _bytes: usize) {
        self.on_bytes(ConnectionTimer::on_write);
    }
}
