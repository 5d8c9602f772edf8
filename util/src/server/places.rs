//! The places of a server's connections: when all are taken, the one whose peer has been silent for longest is closed.

use std::{
    cell::{Cell, RefCell},
    fmt, future,
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

use futures_channel::oneshot;
use indexmap::IndexMap;

/// The places of a server; clones share them.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_util::server::places::{Places, Step};
///
/// let places = Places::new(1);
/// let Step::Taken(place, _closing) = places.take(Duration::ZERO, || true) else { panic!() };
/// assert!(matches!(places.take(Duration::ZERO, || true), Step::Closing(_)));
/// drop(place);
/// let Step::Taken(_place, _closing) = places.take(Duration::ZERO, || false) else { panic!() };
/// assert!(matches!(places.take(Duration::ZERO, || true), Step::Full));
/// ```
#[derive(Clone, Debug)]
pub struct Places(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    numbers: Cell<u64>,
    taken: RefCell<IndexMap<u64, Entry>>,
    /// Woken when a place becomes free.
    waiting: RefCell<Option<Waker>>,
}

struct Entry {
    last_bytes: Rc<Cell<Duration>>,
    /// Whether the connection waits for its peer.
    waits: Box<dyn Fn() -> bool>,
    closing: Option<oneshot::Sender<()>>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("last_bytes", &self.last_bytes)
            .finish_non_exhaustive()
    }
}

/// What becomes of a new connection.
#[derive(Debug)]
pub enum Step {
    /// It has a place; the receiver completes when the connection has to be closed.
    Taken(Place, oneshot::Receiver<()>),
    /// Another one is being closed for it, whose peer sent or took the latest bytes at this time; see [`Places::until_free`].
    Closing(Duration),
    /// There is no place, and all connections are at work.
    Full,
}

impl Places {
    /// Creates this many places.
    ///
    /// # Example
    ///
    /// See [`Places`].
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(Shared {
            limit,
            numbers: Cell::default(),
            taken: RefCell::default(),
            waiting: RefCell::default(),
        }))
    }

    /// Takes a place for a connection that is opened at `now`, or has another one closed.
    ///
    /// `waits` returns whether the connection waits for its peer at the moment; only then it may be closed for another one.
    ///
    /// # Example
    ///
    /// See [`Places`].
    pub fn take<F>(&self, now: Duration, waits: F) -> Step
    where
        F: Fn() -> bool + 'static,
    {
        if self.0.taken.borrow().len() >= self.0.limit {
            return self.close_silent();
        }
        let number = self.0.numbers.get() + 1;
        self.0.numbers.set(number);
        let (sender, receiver) = oneshot::channel();
        let last_bytes = Rc::new(Cell::new(now));
        let entry = Entry {
            last_bytes: last_bytes.clone(),
            waits: Box::new(waits),
            closing: Some(sender),
        };
        self.0.taken.borrow_mut().insert(number, entry);
        let place = Place {
            number,
            last_bytes,
            places: self.clone(),
        };
        Step::Taken(place, receiver)
    }

    /// Waits for a free place; only one task may wait.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::server::places::Places;
    /// use futures_util::FutureExt;
    ///
    /// assert!(Places::new(1).until_free().now_or_never().is_some());
    /// assert!(Places::new(0).until_free().now_or_never().is_none());
    /// ```
    pub async fn until_free(&self) {
        future::poll_fn(|context| {
            if self.0.taken.borrow().len() < self.0.limit {
                return Poll::Ready(());
            }
            *self.0.waiting.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Has the connection closed that waits for its peer and whose peer has been silent for longest.
    fn close_silent(&self) -> Step {
        let mut taken = self.0.taken.borrow_mut();
        let waiting = taken.values_mut();
        let waiting = waiting.filter(|it| it.closing.is_some() && (it.waits)());
        let silent = waiting.min_by_key(|it| it.last_bytes.get());
        let Some(entry) = silent else {
            return Step::Full;
        };
        entry.closing = None;
        Step::Closing(entry.last_bytes.get())
    }
}

/// The place of one connection; dropping it frees it.
#[derive(Debug)]
pub struct Place {
    number: u64,
    last_bytes: Rc<Cell<Duration>>,
    places: Places,
}

impl Place {
    /// Returns where the time of the latest bytes is kept.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::server::places::{Places, Step};
    ///
    /// let Step::Taken(place, _) = Places::new(1).take(Duration::ZERO, || true) else { panic!() };
    /// place.last_bytes().set(Duration::from_secs(1));
    /// ```
    pub fn last_bytes(&self) -> Rc<Cell<Duration>> {
        self.last_bytes.clone()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let shared = &self.places.0;
        shared.taken.borrow_mut().swap_remove(&self.number);
        if let Some(waker) = shared.waiting.take() {
            waker.wake();
        }
    }
}
