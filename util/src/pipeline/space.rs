//! Bounds the bytes of responses that wait for their turn, for each connection and for all of a server.
//!
//! A response that is not finished counts with the most that it can hold. Connections that find no space queue for it,
//! first come, first served, so that one with many requests doesn't keep out the others.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    task::Waker,
};

/// The most bytes that wait on one connection: eight unfinished responses of 1 MiB.
pub const CONNECTION_BYTES: usize = 9 << 20;
/// The most bytes that wait on all connections of a server: a fifth of the smallest VM's memory.
pub const TOTAL_BYTES: usize = 32 << 20;

#[derive(Debug, Default)]
struct Total {
    used: Cell<usize>,
    /// The connections that wait for space, by number.
    queue: RefCell<VecDeque<(u64, Waker)>>,
    connections: Cell<u64>,
}

impl Total {
    fn wake_first(&self) {
        // The first one stays in the queue until it has taken space or left.
        if let Some((_, waker)) = self.queue.borrow().front() {
            waker.wake_by_ref();
        }
    }
}

/// The space of a server; clones share it.
///
/// # Example
///
/// ```
/// use std::task::Waker;
///
/// use bramleypier_util::pipeline::space::{CONNECTION_BYTES, ServerSpace};
///
/// let server = ServerSpace::default();
/// let space = server.connect();
/// let reserved = space.reserve(CONNECTION_BYTES, Waker::noop()).unwrap();
/// assert!(space.reserve(1, Waker::noop()).is_err());
/// reserved.shrink(100);
/// assert!(space.reserve(1, Waker::noop()).is_ok());
/// assert_eq!(server.used(), 100);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerSpace(Rc<Total>);

impl ServerSpace {
    /// Returns the space of a new connection.
    ///
    /// # Example
    ///
    /// See [`ServerSpace`].
    pub fn connect(&self) -> Space {
        let number = self.0.connections.get() + 1;
        self.0.connections.set(number);
        Space {
            total: self.0.clone(),
            number,
            own: Rc::default(),
        }
    }

    /// Returns the bytes that are in use.
    ///
    /// # Example
    ///
    /// See [`ServerSpace`].
    pub fn used(&self) -> usize {
        self.0.used.get()
    }
}

/// Which space is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// That of the connection.
    Connection,
    /// That of the server.
    Server,
}

#[derive(Debug, Default)]
struct Own {
    used: Cell<usize>,
    /// Woken when this connection's space grows.
    waker: RefCell<Option<Waker>>,
}

/// The space of a connection.
#[derive(Debug)]
pub struct Space {
    total: Rc<Total>,
    number: u64,
    own: Rc<Own>,
}

impl Space {
    /// Reserves bytes.
    ///
    /// # Errors
    ///
    /// Which space is used up; `waker` is woken when there may be some again.
    ///
    /// # Example
    ///
    /// See [`ServerSpace`].
    pub fn reserve(&self, bytes: usize, waker: &Waker) -> Result<Reserved, Full> {
        let (own, total) = (self.own.used.get() + bytes, self.total.used.get() + bytes);
        if own > CONNECTION_BYTES {
            self.leave();
            *self.own.waker.borrow_mut() = Some(waker.clone());
            return Err(Full::Connection);
        }
        if !self.is_first() || total > TOTAL_BYTES {
            self.enqueue(waker);
            return Err(Full::Server);
        }
        self.own.used.set(own);
        self.total.used.set(total);
        self.leave();
        Ok(Reserved {
            bytes: Cell::new(bytes),
            own: self.own.clone(),
            total: self.total.clone(),
        })
    }

    /// Leaves the queue for space.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::pipeline::space::ServerSpace;
    ///
    /// ServerSpace::default().connect().leave();
    /// ```
    pub fn leave(&self) {
        let mut queue = self.total.queue.borrow_mut();
        let before = queue.len();
        queue.retain(|(number, _)| *number != self.number);
        let left = queue.len() < before;
        drop(queue);
        if left {
            self.total.wake_first();
        }
    }

    fn is_first(&self) -> bool {
        let queue = self.total.queue.borrow();
        queue
            .front()
            .is_none_or(|(number, _)| *number == self.number)
    }

    fn enqueue(&self, waker: &Waker) {
        let mut queue = self.total.queue.borrow_mut();
        match queue.iter_mut().find(|(number, _)| *number == self.number) {
            Some((_, known)) => known.clone_from(waker),
            None => queue.push_back((self.number, waker.clone())),
        }
    }
}

impl Drop for Space {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Reserved bytes; dropping it frees them.
#[derive(Debug)]
pub struct Reserved {
    bytes: Cell<usize>,
    own: Rc<Own>,
    total: Rc<Total>,
}

impl Reserved {
    /// Returns the reserved bytes.
    ///
    /// # Example
    ///
    /// See [`ServerSpace`].
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Frees all but `bytes`.
    ///
    /// # Example
    ///
    /// See [`ServerSpace`].
    pub fn shrink(&self, bytes: usize) {
        let freed = self.bytes.get().saturating_sub(bytes);
        if freed == 0 {
            return;
        }
        self.bytes.set(bytes);
        self.own.used.set(self.own.used.get() - freed);
        self.total.used.set(self.total.used.get() - freed);
        if let Some(waker) = self.own.waker.take() {
            waker.wake();
        }
        self.total.wake_first();
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
