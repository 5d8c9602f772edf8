//! How old a VM's knowledge of the store is, and who says so.
//!
//! Whoever says that a route doesn't exist, or relays changes to other VMs, must know until when it knows all of them.

use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    time::Duration,
};

use super::{VmId, pauses::Pauses};

/// How long a confirmation that a VM knows the whole state of the store counts.
///
/// A VM that says that a route doesn't exist must know all routes that were added two seconds before.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(1800);

/// How long a VM may send requests to targets by what it knows: one that leaves gets none from two seconds after the store
/// has accepted that.
pub const SEND_TIME: Duration = Duration::from_millis(1950);
/// How long a question counts whose answer was that nobody knows more.
const NO_NEWS_TIME: Duration = Duration::from_secs(1);

/// Who confirms that a VM knows the whole state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, by the response to a watch.
    Store,
    /// The manager, which relays the changes.
    Manager(VmId),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Manager(vm) => f.write_str(vm),
        }
    }
}

/// A confirmation that a VM knew the whole state of the store at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The latest time at which it certainly knew all.
    pub at: Duration,
    /// Who confirms it.
    pub source: Source,
}

/// The confirmations of one VM; clones share them.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::fleet::{CONFIRMATION_TIME, Confirmations};
///
/// let now = Duration::from_secs(60);
/// let confirmations = Confirmations::default();
/// assert!(!confirmations.is_by_store(now));
/// confirmations.add_by_store(now);
/// assert!(confirmations.is_by_store(now + CONFIRMATION_TIME));
/// assert!(!confirmations.is_by_store(now + 2 * CONFIRMATION_TIME));
/// confirmations.add_by_manager(now + Duration::from_secs(1), "vm-1");
/// assert_eq!(confirmations.latest().unwrap().source.to_string(), "vm-1");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    /// When the store last confirmed that this VM knows all of it, unless its watch has failed since.
    by_store: Rc<Cell<Option<Duration>>>,
    latest: Rc<RefCell<Option<Confirmation>>>,
    /// When this process had no processor time.
    pauses: Rc<RefCell<Pauses>>,
    /// When the latest question was asked that was answered by somebody who doesn't follow the store either.
    no_news: Rc<Cell<Option<Duration>>>,
}

impl Confirmations {
    /// Records that the store confirms at `now` that this VM, which follows it itself, knows all of it.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn add_by_store(&self, now: Duration) {
        self.by_store.set(Some(now));
        self.add(Confirmation {
            at: now,
            source: Source::Store,
        });
    }

    /// Records that a watch that began at `asked` was answered, and its response read at `now`.
    ///
    /// If this process had no processor time in between, the response may have arrived when that began.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let ms = Duration::from_millis;
    /// let confirmations = Confirmations::default();
    /// confirmations.record_turn(ms(1000));
    /// confirmations.record_turn(ms(3000));
    /// confirmations.add_by_watch(ms(500), ms(3010));
    /// assert_eq!(confirmations.age(ms(3010)), Some(ms(2010)));
    /// confirmations.add_by_watch(ms(3010), ms(3020));
    /// assert_eq!(confirmations.age(ms(3020)), Some(ms(0)));
    /// ```
    pub fn add_by_watch(&self, asked: Duration, now: Duration) {
        self.add_by_store(self.pauses.borrow().first_since(asked, now).unwrap_or(now));
    }

    /// Records that this process has processor time; to be called every [`TURN_INTERVAL`](super::TURN_INTERVAL).
    ///
    /// Returns how long it had none, if that was so long that news may have lain unread.
    ///
    /// # Example
    ///
    /// See [`Confirmations::add_by_watch`].
    pub fn record_turn(&self, now: Duration) -> Option<Duration> {
        self.pauses.borrow_mut().record_turn(now)
    }

    /// Records that this VM doesn't follow the store itself any more.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_store(Duration::ZERO);
    /// confirmations.end_by_store();
    /// assert!(!confirmations.is_by_store(Duration::ZERO));
    /// assert!(confirmations.latest().is_some());
    /// ```
    pub fn end_by_store(&self) {
        self.by_store.set(None);
    }

    /// Records that the manager has relayed everything that it knew at `at`.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn add_by_manager(&self, at: Duration, manager: &str) {
        self.add(Confirmation {
            at,
            source: Source::Manager(manager.to_owned()),
        });
    }

    fn add(&self, confirmation: Confirmation) {
        let mut latest = self.latest.borrow_mut();
        if latest.as_ref().is_none_or(|it| it.at <= confirmation.at) {
            *latest = Some(confirmation);
        }
    }

    /// Records that a question that was asked at `asked` was answered by a VM that doesn't follow the store either, or that
    /// the store refused it.
    ///
    /// # Example
    ///
    /// See [`Confirmations::allow_sending`].
    pub fn add_no_news(&self, asked: Duration) {
        self.no_news.set(self.no_news.get().max(Some(asked)));
    }

    /// Returns whether requests may be sent to targets by what this VM knows.
    ///
    /// If it is too old, this VM asks; it has to go on with what it knows if nobody knows more, as in an outage of the
    /// store, and before it has first heard of anybody.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::{Confirmations, SEND_TIME};
    ///
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_manager(Duration::ZERO, "vm-1");
    /// assert!(confirmations.allow_sending(SEND_TIME));
    /// let later = 2 * SEND_TIME;
    /// assert!(!confirmations.allow_sending(later));
    /// confirmations.add_no_news(later);
    /// assert!(confirmations.allow_sending(later));
    /// ```
    pub fn allow_sending(&self, now: Duration) -> bool {
        let is_young = self.age(now).is_none_or(|age| age <= SEND_TIME);
        let no_news = self.no_news.get();
        is_young || no_news.is_some_and(|asked| now <= asked + NO_NEWS_TIME)
    }

    /// Returns whether the store has confirmed lately that this VM, which follows it itself, knows all of it.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn is_by_store(&self, now: Duration) -> bool {
        let at = self.by_store.get();
        at.is_some_and(|at| now <= at + CONFIRMATION_TIME)
    }

    /// Returns how long ago this VM certainly knew the whole state of the store; `None` if nobody has confirmed that.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_store(Duration::from_secs(1));
    /// assert_eq!(confirmations.age(Duration::from_secs(3)), Some(Duration::from_secs(2)));
    /// ```
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let latest = self.latest.borrow();
        latest.as_ref().map(|it| now.saturating_sub(it.at))
    }

    /// Returns whether anybody has confirmed lately that this VM knows the whole state of the store.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::{CONFIRMATION_TIME, Confirmations};
    ///
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_manager(Duration::ZERO, "vm-1");
    /// assert!(confirmations.is_recent(CONFIRMATION_TIME));
    /// assert!(!confirmations.is_recent(2 * CONFIRMATION_TIME));
    /// ```
    pub fn is_recent(&self, now: Duration) -> bool {
        let latest = self.latest.borrow();
        latest
            .as_ref()
            .is_some_and(|it| now <= it.at + CONFIRMATION_TIME)
    }

    /// Returns how old the last confirmation by the store is, if this VM follows it itself.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let second = Duration::from_secs(1);
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_store(second);
    /// assert_eq!(confirmations.age_by_store(3 * second), Some(2 * second));
    /// ```
    pub fn age_by_store(&self, now: Duration) -> Option<Duration> {
        let at = self.by_store.get()?;
        Some(now.saturating_sub(at))
    }

    /// Returns the latest confirmation, however old.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn latest(&self) -> Option<Confirmation> {
        self.latest.borrow().clone()
    }

    /// Describes the latest confirmation for a log line: its age and its source.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let confirmations = Confirmations::default();
    /// assert_eq!(confirmations.describe(Duration::ZERO), "confirmed_ms= confirmed_by=nobody");
    /// confirmations.add_by_store(Duration::ZERO);
    /// let text = confirmations.describe(Duration::from_millis(7));
    /// assert_eq!(text, "confirmed_ms=7 confirmed_by=store");
    /// ```
    pub fn describe(&self, now: Duration) -> String {
        match &*self.latest.borrow() {
            Some(Confirmation { at, source }) => {
                let age = now.saturating_sub(*at).as_millis();
                format!("confirmed_ms={age} confirmed_by={source}")
            }
            None => "confirmed_ms= confirmed_by=nobody".to_owned(),
        }
    }
}
