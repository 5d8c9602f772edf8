//! Writes a request unless its time has ended or its sender has withdrawn it, and counts what is read and written.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use compio::net::TcpStream;
use futures_util::{FutureExt, future::LocalBoxFuture};

use super::{Error, SendGuard, received::Received};
use crate::{clock::Clock, socket, stream::StreamObserver};

/// The maximum size of a response's head, with the interim responses before it.
///
/// hyper reads any number of interim responses without a pause, so nothing else would end them.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// How long after the end of a peer's side a reset is waited for.
const RESET_WAIT: Duration = Duration::from_millis(100);

/// How far an exchange has got.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Whether a connection has been chosen for it.
    pub(super) connected: Rc<Cell<bool>>,
    /// Whether a byte of the request may have been sent.
    pub(super) sent: Rc<Cell<bool>>,
    /// Whether no byte may be sent any more if none was.
    pub(super) withdrawn: Rc<Cell<bool>>,
    /// Whether it is the first exchange on its connection.
    pub(super) first: Rc<Cell<bool>>,
}

impl Progress {
    /// Withdraws a request that has not been written, and returns the error of a timeout.
    pub(super) fn on_timeout(&self, peer: SocketAddr) -> Error {
        self.withdrawn.set(!self.sent.get());
        if self.connected.get() && !self.sent.get() {
            Error::Withdrawn(peer)
        } else {
            Error::Timeout(peer, self.sent.get())
        }
    }
}

/// How much of a request has been written.
#[derive(Debug, Default)]
pub(super) struct RequestWrite {
    /// Whether it has a body.
    pub(super) has_body: Cell<bool>,
    /// Whether hyper has taken all of its body.
    pub(super) taken: Cell<bool>,
    /// Whether all of it is with the operating system.
    pub(super) flushed: Cell<bool>,
}

/// A request that was given to a connection and has not been written yet.
pub(super) struct NextWrite {
    /// When its timeout ends.
    pub(super) deadline: Duration,
    pub(super) clock: Clock,
    pub(super) progress: Progress,
    /// Whether its peer's window may close before all of it is acknowledged.
    pub(super) is_long: bool,
    pub(super) guard: Option<Rc<dyn SendGuard>>,
}

impl NextWrite {
    /// Begins to write the request, unless its time has ended or it has been withdrawn.
    fn begin(&self) -> io::Result<()> {
        let progress = &self.progress;
        let in_time = !progress.withdrawn.get() && self.clock.now() < self.deadline;
        if in_time && self.guard.as_ref().is_none_or(|it| it.may_write()) {
            progress.sent.set(true);
            return Ok(());
        }
        progress.withdrawn.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl std::fmt::Debug for NextWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NextWrite")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

/// What is known of a connection's stream; it observes the stream.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamState {
    /// How many bytes were written.
    pub(super) written: Rc<Cell<u64>>,
    /// The request that is to be written next.
    pub(super) next_write: Rc<RefCell<Option<NextWrite>>>,
    /// How many bytes were read since the request, while its response has not begun.
    pub(super) head_bytes: Rc<Cell<Option<usize>>>,
    /// Whether reading or writing has failed.
    pub(super) failed: Rc<Cell<bool>>,
    /// How much of the latest request has been written.
    pub(super) request: Rc<RefCell<Rc<RequestWrite>>>,
    /// What has been received since the request.
    pub(super) received: Rc<RefCell<Received>>,
}

/// Observes a connection's stream, whose socket it shares.
pub(super) struct Observer {
    pub(super) state: StreamState,
    pub(super) socket: TcpStream,
    pub(super) clock: Clock,
    /// How long sent bytes may stay unacknowledged.
    pub(super) ack_timeout: Duration,
    /// Waits for a reset after the end of the peer's side.
    pub(super) end_wait: Option<LocalBoxFuture<'static, ()>>,
    /// Whether that wait has ended; the end of the stream may be read more than once.
    pub(super) end_waited: bool,
}

impl std::fmt::Debug for Observer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Observer")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl Observer {
    /// Lets the peer of a long request leave it unread until the request's deadline.
    ///
    /// The connection keeps that: a peer may respond early and read the rest of the body later, while the next request waits.
    fn allow_pause(&mut self, next: &NextWrite) {
        let left = next.deadline.saturating_sub(self.clock.now());
        if next.is_long && left > self.ack_timeout {
            self.ack_timeout = left;
            socket::set_ack_timeout(&self.socket, left);
        }
    }
}

impl StreamObserver for Observer {
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = &self.state;
        if bytes.is_empty() {
            // A write may have reported the reset, which a read then takes for an orderly close.
            if state.failed.get() || socket::has_failed(&self.socket) {
                state.failed.set(true);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        let read = state.head_bytes.get().map(|it| it + bytes.len());
        state.head_bytes.set(read);
        if read.is_some_and(|it| it > MAX_HEAD_BYTES) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        state.received.borrow_mut().on_read(bytes);
        Ok(())
    }

    /// A peer that ends its side without having read the whole request resets the connection shortly after.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_certain = !self.state.received.borrow().is_unframed();
        if is_certain || self.end_waited || !self.state.request.borrow().has_body.get() {
            return Poll::Ready(());
        }
        let wait = self.end_wait.get_or_insert_with(|| {
            let clock = self.clock.clone();
            async move { clock.sleep(RESET_WAIT).await }.boxed_local()
        });
        ready!(wait.poll_unpin(context));
        self.end_waited = true;
        Poll::Ready(())
    }

    fn on_flush(&mut self) {
        let request = self.state.request.borrow();
        request.flushed.set(request.taken.get());
    }

    fn on_failure(&mut self) {
        self.state.failed.set(true);
    }

    fn before_write(&mut self) -> io::Result<()> {
        let Some(next) = self.state.next_write.take() else {
            return Ok(());
        };
        next.begin()?;
        self.allow_pause(&next);
        Ok(())
    }

    fn on_write(&mut self, bytes: usize) {
        let written = &self.state.written;
        written.set(written.get() + bytes as u64);
    }
}
