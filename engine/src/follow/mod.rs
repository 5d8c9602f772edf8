//! Follows the store: a listing, then watches, and another listing when the store has dropped its history.
//!
//! Load pattern: hundreds of VMs need the same changes, and each call to the store is charged. So one VM, the
//! manager, watches the store and relays the changes; a VM that can't reach the manager watches the store itself.

mod pace;
mod watches;

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::future::{self, LocalBoxFuture};
use rand::Rng;

pub use self::pace::Pace;
use self::watches::{EndedWatch, Timing};
use crate::{
    catalogue::Catalogue,
    fleet::{self, SharedFleet, StoreKeys},
    health::Health,
    report::Report,
    store::{Error, Read, Revision, Store},
};

/// The prefix of all keys: one listing and one watch cover everything that is followed.
const ALL_KEYS: &str = "";
/// The initial delay before the next call when a call has failed while the store health check succeeds.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum of this delay: a configuration must be in force two seconds after it was accepted.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How often a waiting watch checks whether other calls have told a new era of the store.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a VM that knows the manager waits for its response before it calls the store.
const MANAGER_WAIT: Duration = Duration::from_millis(400);

/// The dependencies of the task.
#[derive(Clone)]
pub struct Context {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Decodes stored items.
    pub catalogue: Rc<dyn Catalogue>,
    /// The engine's own keys in the store.
    pub keys: Rc<StoreKeys>,
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Whether the store answers this VM.
    pub store_health: Health,
    /// Whether the manager answers and relays changes; always unhealthy on the manager itself.
    pub manager_health: Health,
    /// Whether this VM is the manager.
    pub is_manager: Rc<Cell<bool>>,
    /// The clock.
    pub clock: Clock,
    /// The log and the metrics.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Context")
    }
}

/// Whether this VM's watches of the store work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Watches are answered.
    Working,
    /// This VM has not watched for a while, so the state is unknown.
    Untested,
    /// The last call has failed.
    Failed,
}

/// What ends a watch.
enum Interruption {
    /// The response to one of the watches.
    None(EndedWatch),
    /// The manager relays changes.
    Relayed,
    /// Other calls to the store are not answered.
    Unhealthy,
    /// The store has entered a new era.
    Outdated,
}

/// How a call for changes ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// All changes up to this revision are known.
    Followed(Revision),
    /// The manager relays changes from now on.
    Relayed,
}

/// Follows the store until the process ends, whenever the manager doesn't answer.
pub async fn run(context: Context) {
    let follower = Follower { context };
    let mut retry_delay = RETRY_DELAY;
    let mut state = WatchState::Untested;
    // A stale listing suffices: the watch after it returns the changes since, as long as the store has the history.
    let mut listing = Some(Read::Stale);
    loop {
        if follower.wait_while_relayed().await {
            state = WatchState::Untested;
        }
        if follower.is_outdated() {
            listing = Some(Read::Fresh);
        }
        follower.record_call();
        let result = match listing {
            Some(read) => follower.list(read).await,
            None if state == WatchState::Working => {
                let wait = follower.pace().wait(follower.known_age());
                follower.watch(Timing::waiting(wait)).await
            }
            None => follower.watch(Timing::TEST).await,
        };
        match result {
            Ok(Outcome::Relayed) => {}
            Ok(Outcome::Followed(revision)) => {
                follower.set_followed(revision);
                if state == WatchState::Failed {
                    follower.log("store-back", "");
                }
                if listing.take().is_some() {
                    follower.wait_for_manager().await;
                }
                (state, retry_delay) = (WatchState::Working, RETRY_DELAY);
            }
            Err(Error::Compacted(_)) => {
                follower.log("history-lost", "");
                listing = Some(Read::Fresh);
            }
            Err(error) => {
                follower.on_failure(state, &error);
                state = WatchState::Failed;
                let jitter = rand::rng().random_range(0.7..1.3);
                follower
                    .context
                    .clock
                    .sleep(retry_delay.mul_f64(jitter))
                    .await;
                follower.context.store_health.wait_healthy().await;
                follower.wait_for_manager().await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

struct Follower {
    context: Context,
}

impl Follower {
    /// Returns whether the store has entered an era of which this VM knows no state.
    fn is_outdated(&self) -> bool {
        self.context.store.era() > self.context.shared_fleet.get().era()
    }

    /// Returns how this VM spaces its watches.
    fn pace(&self) -> Pace {
        if self.context.is_manager.get() {
            Pace::of_manager()
        } else {
            Pace::of_follower(self.context.shared_fleet.confirmations().limits())
        }
    }

    /// Returns the age of what the store has confirmed.
    fn known_age(&self) -> Option<Duration> {
        let now = self.context.clock.now();
        self.context.shared_fleet.confirmations().age_by_store(now)
    }

    /// Waits until the store has entered an era of which this VM knows no state.
    async fn wait_outdated(&self) {
        while !self.is_outdated() {
            self.context.clock.sleep(ERA_CHECK_INTERVAL).await;
        }
    }

    fn log(&self, event: &str, details: &str) {
        self.context
            .report
            .line(&format!("event={event} {details}"));
    }

    fn set_followed(&self, revision: Revision) {
        self.context.shared_fleet.update(|fleet| {
            fleet.on_followed(ALL_KEYS, revision);
            fleet.on_other_source();
        });
    }

    /// Records that this VM asks the store what is new.
    fn record_call(&self) {
        let confirmations = self.context.shared_fleet.confirmations();
        confirmations.ask_store(self.context.clock.now());
    }

    fn on_failure(&self, state: WatchState, error: &Error) {
        let now = self.context.clock.now();
        let shared_fleet = &self.context.shared_fleet;
        shared_fleet.update(|fleet| fleet.on_store_failure(now));
        shared_fleet.confirmations().end_by_store();
        if state != WatchState::Failed {
            self.log("store-lost", &error.to_string());
        }
    }

    /// Waits for as long as the manager relays changes; returns whether it did.
    async fn wait_while_relayed(&self) -> bool {
        let context = &self.context;
        if !context.manager_health.is_healthy() {
            return false;
        }
        let confirmations = context.shared_fleet.confirmations();
        confirmations.end_by_store();
        confirmations.stop_asking();
        context.manager_health.wait_unhealthy().await;
        true
    }

    /// Waits for the response of a known manager: otherwise all VMs would call the store at the same time.
    async fn wait_for_manager(&self) {
        let context = &self.context;
        if context.is_manager.get() || context.shared_fleet.get().manager.is_none() {
            return;
        }
        // After a timeout this VM calls the store itself.
        let _ = context
            .clock
            .timeout(MANAGER_WAIT, context.manager_health.wait_healthy())
            .await;
    }

    async fn list(&self, read: Read) -> Result<Outcome, Error> {
        let context = &self.context;
        let listing = context.store.list(ALL_KEYS, read).await?;
        if listing.era < context.shared_fleet.get().era() {
            return Err(Error::Compacted("list"));
        }
        let now = context.clock.now();
        let log_lines = context.shared_fleet.update(|fleet| {
            fleet.on_listing(now, ALL_KEYS, &listing, &context.keys, &*context.catalogue)
        });
        context.report.lines(&log_lines);
        if self.is_outdated() {
            let reason = format!("other calls tell a later era than {}", listing.era);
            return Err(Error::NotApplied("list", reason));
        }
        Ok(Outcome::Followed(listing.revision))
    }

    /// Watches the store, until the manager relays changes or the store health check fails.
    ///
    /// In the second case the state of the watch is unknown, so it counts as failed.
    ///
    /// The response is the only proof that this VM misses no change: other calls may be answered while it is lost.
    async fn watch(&self, timing: Timing) -> Result<Outcome, Error> {
        let context = &self.context;
        let known = context.shared_fleet.get().followed().get(ALL_KEYS).copied();
        let Some(after) = known else {
            return Err(Error::Compacted("watch"));
        };
        let watch = async { Interruption::None(self.first_response(after, timing).await) };
        let relayed = async {
            context.manager_health.wait_healthy().await;
            Interruption::Relayed
        };
        let unhealthy = async {
            context.store_health.wait_unhealthy().await;
            Interruption::Unhealthy
        };
        let outdated = async {
            self.wait_outdated().await;
            Interruption::Outdated
        };
        let ends: [LocalBoxFuture<'_, Interruption>; 4] = [
            Box::pin(watch),
            Box::pin(relayed),
            Box::pin(unhealthy),
            Box::pin(outdated),
        ];
        let ended = match future::select_all(ends).await.0 {
            Interruption::None(ended) => ended,
            Interruption::Relayed => return Ok(Outcome::Relayed),
            Interruption::Unhealthy => {
                let reason = "other calls are not answered".to_owned();
                return Err(Error::NotApplied("watch", reason));
            }
            Interruption::Outdated => return Err(Error::Compacted("watch")),
        };
        let batch = ended.result?;
        if batch.era != context.shared_fleet.get().era() {
            // Revisions of another era can't be continued.
            return Err(Error::Compacted("watch"));
        }
        let now = context.clock.now();
        let log_lines = context.shared_fleet.update(|fleet| {
            let mut log_lines = Vec::new();
            for change in &batch.changes {
                log_lines.extend(fleet.on_change(now, change, &context.keys, &*context.catalogue));
            }
            log_lines
        });
        let has_changes = !batch.changes.is_empty();
        let confirmations = context.shared_fleet.confirmations();
        confirmations.add_by_watch(ended.asked, ended.wait, has_changes);
        context.report.lines(&log_lines);
        if has_changes {
            let delay = self.pace().delay(self.known_age());
            context.clock.sleep(delay).await;
        }
        Ok(Outcome::Followed(batch.revision))
    }
}

/// Records again and again that this process has processor time, and logs when it had none.
pub async fn record_turns(shared_fleet: SharedFleet, clock: Clock, report: Report) {
    loop {
        if let Some(pause) = shared_fleet.confirmations().record_turn(clock.now()) {
            report.line(&format!("event=paused for_ms={}", pause.as_millis()));
        }
        clock.sleep(fleet::TURN_INTERVAL).await;
    }
}

/// Removes the keys that are still missing some time after a failed call to the store, or in its new era.
pub async fn expire_targets(shared_fleet: SharedFleet, clock: Clock, report: Report) {
    loop {
        clock.sleep(fleet::EXPIRY_INTERVAL).await;
        let now = clock.now();
        if shared_fleet.get().next_expiry().is_none_or(|at| now < at) {
            continue;
        }
        let log_lines = shared_fleet.update(|fleet| fleet.expire(now));
        report.lines(&log_lines);
    }
}
