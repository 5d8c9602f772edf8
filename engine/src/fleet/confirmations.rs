//! How old a VM's knowledge of the store is, and who says so.
//!
//! Whoever says that a route doesn't exist, or relays changes to other VMs, must know until when it knows all of them.

use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    time::Duration,
};

use super::{Freshness, KnowledgeLimits, VmId, pauses::Pauses};

/// How long requests wait for news at most before they are refused.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// How long the store must not have answered for that to count as silence: the processes of hundreds of VMs wake late.
const SILENCE: Duration = Duration::from_millis(400);
/// How long an inquiry counts in which no other VM knew more.
const INQUIRY_VALIDITY: Duration = Duration::from_millis(1500);

/// Who confirms that a VM knows the whole state of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, by the response to a watch.
    Store,
    /// The manager, which relays the changes.
    Manager(VmId),
    /// Another VM, which this one has asked.
    Vm(VmId),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Manager(vm) | Self::Vm(vm) => f.write_str(vm),
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
/// use bramleypier_engine::fleet::{Confirmations, KnowledgeLimits, Freshness};
///
/// let limits = KnowledgeLimits::default();
/// let confirmations = Confirmations::new(limits);
/// assert!(!confirmations.is_by_store(Duration::ZERO));
/// confirmations.add_by_store(Duration::ZERO);
/// assert!(confirmations.is_by_store(limits.ask_age()));
/// assert!(!confirmations.is_by_store(limits.max_age()));
/// assert_eq!(confirmations.freshness(limits.max_age()), Freshness::Fresh);
/// confirmations.add_by_manager(Duration::from_secs(1), "vm-1");
/// assert_eq!(confirmations.latest().unwrap().source.to_string(), "vm-1");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    limits: KnowledgeLimits,
    /// When the store last confirmed that this VM knows all of it, unless its watch has failed since.
    by_store: Rc<Cell<Option<Duration>>>,
    latest: Rc<RefCell<Option<Confirmation>>>,
    /// When this process had no processor time.
    pauses: Rc<RefCell<Pauses>>,
    /// Since when this VM asks the store what is new and gets no answer.
    unanswered: Rc<Cell<Option<Duration>>>,
    /// When the latest inquiry began in which no other VM knew more.
    fruitless: Rc<Cell<Option<Duration>>>,
    /// Since when what this VM knows is too old to act by it.
    old_since: Rc<Cell<Option<Duration>>>,
}

impl Confirmations {
    /// Creates the confirmations of a VM that has none yet.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn new(limits: KnowledgeLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns how old this VM's knowledge may be.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn limits(&self) -> KnowledgeLimits {
        self.limits
    }

    /// Records that the store confirms at `now` that this VM, which follows it itself, knows all of it.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn add_by_store(&self, now: Duration) {
        self.unanswered.set(None);
        self.by_store.set(self.by_store.get().max(Some(now)));
        self.add(Confirmation {
            at: now,
            source: Source::Store,
        });
    }

    /// Records that the store answered a watch that began at `asked` and would have waited for changes for `wait`.
    ///
    /// A response without changes was made when the wait had ended; one with changes at any time since the watch began, and
    /// may have been under way since.
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
    /// confirmations.add_by_watch(ms(1000), ms(400), false);
    /// assert_eq!(confirmations.age(ms(1900)), Some(ms(500)));
    /// confirmations.add_by_watch(ms(1900), ms(400), true);
    /// assert_eq!(confirmations.age(ms(2000)), Some(ms(100)));
    /// ```
    pub fn add_by_watch(&self, asked: Duration, wait: Duration, has_changes: bool) {
        let waited = if has_changes { Duration::ZERO } else { wait };
        self.add_by_store(asked + waited);
    }

    /// Records that this process has processor time; to be called every [`TURN_INTERVAL`](super::TURN_INTERVAL).
    ///
    /// Returns how long it had none, if that was so long that news may have lain unread.
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
    /// assert_eq!(confirmations.record_turn(ms(1000)), None);
    /// assert_eq!(confirmations.record_turn(ms(3000)), Some(ms(2000)));
    /// ```
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

    /// Records that another VM has told this one everything that it knew at `at`.
    ///
    /// # Example
    ///
    /// See [`Confirmations::freshness`].
    pub fn add_by_vm(&self, at: Duration, vm: &str) {
        self.add(Confirmation {
            at,
            source: Source::Vm(vm.to_owned()),
        });
    }

    /// Records that this VM asks the store what is new; it counts as asked until the store answers.
    ///
    /// # Example
    ///
    /// See [`Confirmations::freshness`].
    pub fn ask_store(&self, now: Duration) {
        let since = self.unanswered.get().unwrap_or(now);
        self.unanswered.set(Some(since));
    }

    /// Records that this VM doesn't ask the store any more, since the manager tells it what is new.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let confirmations = Confirmations::default();
    /// confirmations.ask_store(Duration::ZERO);
    /// assert_eq!(confirmations.store_silence(Duration::from_secs(1)), Some(Duration::from_secs(1)));
    /// confirmations.stop_asking();
    /// assert_eq!(confirmations.store_silence(Duration::from_secs(1)), None);
    /// ```
    pub fn stop_asking(&self) {
        self.unanswered.set(None);
    }

    /// Returns for how long the store has been asked in vain.
    ///
    /// # Example
    ///
    /// See [`Confirmations::stop_asking`].
    pub fn store_silence(&self, now: Duration) -> Option<Duration> {
        self.unanswered.get().map(|at| now.saturating_sub(at))
    }

    /// Records the end of an inquiry that began at `began`: several VMs were asked, and have answered or had the time for it.
    ///
    /// It was fruitless if this VM's knowledge is still so old that it has to ask. If this process had no processor time
    /// meanwhile, the answers may lie unread.
    ///
    /// # Example
    ///
    /// See [`Confirmations::freshness`].
    pub fn end_inquiry(&self, began: Duration, now: Duration) {
        if self.must_ask(now) && !self.was_paused(began, now) {
            self.fruitless.set(Some(began));
        }
    }

    /// Returns whether this VM's knowledge is so old that it has to ask for news itself.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Confirmations, KnowledgeLimits};
    ///
    /// let age = KnowledgeLimits::default().ask_age();
    /// let confirmations = Confirmations::default();
    /// assert!(!confirmations.must_ask(age), "nobody has told it anything");
    /// confirmations.add_by_manager(age, "vm-1");
    /// assert!(!confirmations.must_ask(age));
    /// assert!(confirmations.must_ask(age * 2));
    /// ```
    pub fn must_ask(&self, now: Duration) -> bool {
        self.age_in_use(now)
            .is_some_and(|it| it >= self.limits.ask_age())
    }

    /// Returns whether this VM may act by what it knows: send requests to targets, and choose routes.
    ///
    /// What is too old may be used only if the store has been asked and is silent, and other VMs have been asked and know no
    /// more. Before this VM has heard of anybody it has to go by what it has listed.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::{Confirmations, Freshness};
    ///
    /// let ms = Duration::from_millis;
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_vm(ms(0), "vm-1");
    /// assert_eq!(confirmations.freshness(ms(1900)), Freshness::Fresh);
    /// assert_eq!(confirmations.freshness(ms(5000)), Freshness::Awaited);
    /// assert_eq!(confirmations.freshness(ms(5500)), Freshness::Stale);
    /// confirmations.end_inquiry(ms(5500), ms(5600));
    /// assert_eq!(confirmations.freshness(ms(5600)), Freshness::Stale, "the store wasn't asked");
    /// confirmations.ask_store(ms(5200));
    /// assert_eq!(confirmations.freshness(ms(5600)), Freshness::BestKnown);
    /// ```
    pub fn freshness(&self, now: Duration) -> Freshness {
        let age = self.age_in_use(now);
        let is_recent = age.is_none_or(|it| it <= self.limits.max_age());
        let usable = if is_recent {
            Some(Freshness::Fresh)
        } else {
            self.is_best_known(now).then_some(Freshness::BestKnown)
        };
        if let Some(freshness) = usable {
            self.old_since.set(None);
            return freshness;
        }
        let since = self.old_since.get().unwrap_or(now);
        self.old_since.set(Some(since));
        if now < since + MAX_WAIT {
            Freshness::Awaited
        } else {
            Freshness::Stale
        }
    }

    /// Returns whether neither the store nor any VM that was asked lately tells more.
    fn is_best_known(&self, now: Duration) -> bool {
        let is_silent = self.store_silence(now).is_some_and(|it| it >= SILENCE);
        let began = self.fruitless.get();
        let is_fruitless = began.is_some_and(|it| now <= it + INQUIRY_VALIDITY);
        is_silent && is_fruitless && !self.was_paused(now.saturating_sub(SILENCE), now)
    }

    /// Returns how old this VM's knowledge is when what is decided by it takes effect: a process whose turns come late also
    /// writes late.
    fn age_in_use(&self, now: Duration) -> Option<Duration> {
        let lateness = self.pauses.borrow().lateness(now);
        self.age(now).map(|it| it + lateness)
    }

    /// Returns whether this process had no processor time at some time since `since`.
    fn was_paused(&self, since: Duration, now: Duration) -> bool {
        self.pauses.borrow().first_since(since, now).is_some()
    }

    /// Returns whether the store has confirmed lately that this VM, which follows it itself, knows all of it.
    ///
    /// # Example
    ///
    /// See [`Confirmations`].
    pub fn is_by_store(&self, now: Duration) -> bool {
        let at = self.by_store.get();
        at.is_some_and(|at| now <= at + self.limits.ask_age())
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
    /// use bramleypier_engine::fleet::{Confirmations, KnowledgeLimits};
    ///
    /// let max_age = KnowledgeLimits::default().max_age();
    /// let confirmations = Confirmations::default();
    /// confirmations.add_by_manager(Duration::ZERO, "vm-1");
    /// assert!(confirmations.is_recent(max_age));
    /// assert!(!confirmations.is_recent(2 * max_age));
    /// ```
    pub fn is_recent(&self, now: Duration) -> bool {
        self.age_in_use(now)
            .is_some_and(|it| it <= self.limits.max_age())
    }

    /// Returns until when this VM may act by what it knows.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Confirmations;
    ///
    /// let confirmations = Confirmations::default();
    /// assert_eq!(confirmations.usable_until(), None);
    /// confirmations.add_by_store(Duration::ZERO);
    /// assert_eq!(confirmations.usable_until(), Some(confirmations.limits().max_age()));
    /// ```
    pub fn usable_until(&self) -> Option<Duration> {
        let latest = self.latest.borrow();
        latest.as_ref().map(|it| it.at + self.limits.max_age())
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
