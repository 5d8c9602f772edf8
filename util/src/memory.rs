//! Bounds the bytes that a process holds for others, and chooses who gives them up when there are too many.
//!
//! Bodies of requests and responses, and the heads of open requests, share one limit. Each holder counts what it holds
//! before it takes it. A part of the limit is kept for small holders, so that ordinary requests get through beside large
//! ones. Once the rest is in use, the holders that wait for their peers are asked to give up, the oldest first.

use std::{
    cell::{Cell, RefCell},
    future,
    rc::Rc,
    task::{Poll, Waker},
};

use indexmap::IndexMap;

/// The largest size of a small holder, in bytes: the head and the body of an ordinary request.
pub const SMALL_BYTES: usize = 32 * 1024;

/// The memory that a process has for what it holds for others; clones share it.
///
/// # Example
///
/// ```
/// use bramleypier_util::memory::{Memory, SMALL_BYTES};
///
/// let memory = Memory::new(4 * SMALL_BYTES);
/// let large = memory.hold();
/// assert!(large.resize(3 * SMALL_BYTES).is_ok());
/// assert!(large.resize(4 * SMALL_BYTES).is_err(), "the rest is for small holders");
/// let small = memory.hold();
/// assert!(small.resize(SMALL_BYTES).is_ok());
/// assert!(memory.hold().resize(1).is_err());
/// drop(large);
/// assert_eq!(memory.used(), SMALL_BYTES);
/// ```
#[derive(Clone, Debug)]
pub struct Memory(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// The limit in bytes.
    limit: usize,
    used: Cell<usize>,
    /// The part of it that holders have been asked to give up.
    leaving: Cell<usize>,
    /// The holders that may be asked to give up, the oldest first.
    waiting: RefCell<IndexMap<u64, Rc<Holder>>>,
    holders: Cell<u64>,
}

/// There is no memory left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Memory {
    /// Creates a memory of `limit` bytes.
    ///
    /// # Example
    ///
    /// See [`Memory`].
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(Shared {
            limit,
            used: Cell::default(),
            leaving: Cell::default(),
            waiting: RefCell::default(),
            holders: Cell::default(),
        }))
    }

    /// Returns the bytes that are held.
    ///
    /// # Example
    ///
    /// See [`Memory`].
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Creates a holder, which holds nothing yet.
    ///
    /// # Example
    ///
    /// See [`Memory`].
    pub fn hold(&self) -> Held {
        let number = self.0.holders.get() + 1;
        self.0.holders.set(number);
        Held {
            memory: self.clone(),
            holder: Rc::new(Holder {
                number,
                bytes: Cell::default(),
                asked: Cell::default(),
                waker: RefCell::default(),
            }),
        }
    }

    /// The bytes that large holders may use, of all that is held.
    fn large_limit(&self) -> usize {
        self.0.limit / 4 * 3
    }

    /// Asks the oldest waiting holders but `asking` to give up, until `wanted` bytes more fit in the part for large ones.
    fn ask_oldest(&self, asking: &Holder, wanted: usize) {
        let shared = &self.0;
        let waiting = shared.waiting.borrow();
        for holder in waiting.values() {
            if self.remaining() + wanted <= self.large_limit() {
                return;
            }
            if holder.number != asking.number && !holder.asked.get() {
                shared
                    .leaving
                    .set(shared.leaving.get() + holder.bytes.get());
                holder.ask();
            }
        }
    }

    /// Returns the bytes that are held by those who haven't been asked to give up.
    fn remaining(&self) -> usize {
        self.used() - self.0.leaving.get()
    }
}

#[derive(Debug)]
struct Holder {
    number: u64,
    bytes: Cell<usize>,
    /// Whether it has been asked to give up.
    asked: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Holder {
    fn ask(&self) {
        self.asked.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// What one request or response holds; dropping it frees the bytes.
#[derive(Debug)]
pub struct Held {
    memory: Memory,
    holder: Rc<Holder>,
}

impl Held {
    /// Returns the bytes that it holds.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::memory::Memory;
    ///
    /// assert_eq!(Memory::new(0).hold().bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.holder.bytes.get()
    }

    /// Holds this many bytes from now on.
    ///
    /// # Errors
    ///
    /// There is no memory for more; it holds what it did before.
    ///
    /// # Example
    ///
    /// See [`Memory`].
    pub fn resize(&self, bytes: usize) -> Result<(), Full> {
        let Some(wanted) = bytes.checked_sub(self.bytes()) else {
            self.force(bytes);
            return Ok(());
        };
        let memory = &self.memory;
        memory.ask_oldest(&self.holder, wanted);
        let fits = memory.used() + wanted <= memory.0.limit;
        let is_small = bytes <= SMALL_BYTES;
        if !fits || !is_small && memory.remaining() + wanted > memory.large_limit() {
            return Err(Full);
        }
        self.force(bytes);
        Ok(())
    }

    /// Holds this many bytes from now on, for what can also be left unread: nobody is asked to give up for it.
    ///
    /// # Errors
    ///
    /// There is no memory for more but that for small holders; it holds what it did before.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::memory::Memory;
    ///
    /// let memory = Memory::new(100);
    /// assert!(memory.hold().resize_spare(75).is_ok());
    /// assert!(memory.hold().resize_spare(76).is_err());
    /// ```
    pub fn resize_spare(&self, bytes: usize) -> Result<(), Full> {
        let wanted = bytes.saturating_sub(self.bytes());
        if wanted > 0 && self.memory.used() + wanted > self.memory.large_limit() {
            return Err(Full);
        }
        self.force(bytes);
        Ok(())
    }

    /// Holds this many bytes from now on, also beyond the limit.
    ///
    /// For what can't be refused any more, such as a response that is passed on as it comes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::memory::Memory;
    ///
    /// let memory = Memory::new(10);
    /// memory.hold().force(11);
    /// assert_eq!(memory.used(), 0);
    /// ```
    pub fn force(&self, bytes: usize) {
        let before = self.holder.bytes.replace(bytes);
        let used = &self.memory.0.used;
        used.set(used.get() - before + bytes);
        if self.holder.asked.get() {
            let leaving = &self.memory.0.leaving;
            leaving.set(leaving.get() - before + bytes);
        }
        self.memory.ask_oldest(&self.holder, 0);
    }

    /// Lets it be asked to give up while `waiting` is true; it takes its place behind those that wait already.
    ///
    /// # Example
    ///
    /// See [`Held::until_asked`].
    pub fn set_waiting(&self, waiting: bool) {
        let mut holders = self.memory.0.waiting.borrow_mut();
        if waiting {
            holders.insert(self.holder.number, self.holder.clone());
        } else {
            holders.shift_remove(&self.holder.number);
        }
    }

    /// Returns what tells that it is asked to give up.
    ///
    /// # Example
    ///
    /// See [`Held::until_asked`].
    pub fn watch(&self) -> HolderWatch {
        HolderWatch(self.holder.clone())
    }

    /// Waits until it is asked to give up.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::memory::{Memory, SMALL_BYTES};
    /// use futures_util::FutureExt;
    ///
    /// let memory = Memory::new(4 * SMALL_BYTES);
    /// let (older, newer) = (memory.hold(), memory.hold());
    /// older.set_waiting(true);
    /// older.resize(2 * SMALL_BYTES).unwrap();
    /// newer.force(2 * SMALL_BYTES);
    /// assert!(older.until_asked().now_or_never().is_some());
    /// assert!(newer.until_asked().now_or_never().is_none());
    /// ```
    pub async fn until_asked(&self) {
        let watch = self.watch();
        future::poll_fn(|context| {
            if watch.is_asked(context.waker()) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set_waiting(false);
        self.force(0);
    }
}

/// Tells whether a holder is asked to give up.
#[derive(Clone, Debug)]
pub struct HolderWatch(Rc<Holder>);

impl HolderWatch {
    /// Returns whether it is; if not, `waker` is woken once it is, instead of an earlier one.
    ///
    /// # Example
    ///
    /// ```
    /// use std::task::Waker;
    ///
    /// use bramleypier_util::memory::Memory;
    ///
    /// assert!(!Memory::new(1).hold().watch().is_asked(Waker::noop()));
    /// ```
    pub fn is_asked(&self, waker: &Waker) -> bool {
        if !self.0.asked.get() {
            *self.0.waker.borrow_mut() = Some(waker.clone());
        }
        self.0.asked.get()
    }
}
