//! Follows the store: a listing, then watches, and listings again when history is lost.
//!
//! Load pattern: hundreds of VMs need the same news, and each call to the store is paid for. So one VM, the
//! manager, watches, and tells the others; whoever doesn't hear it watches for itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::future::{self, Either};
use rand::Rng;

use crate::{
    catalogue::Catalogue,
    fleet::{SharedFleet, StoreKeys},
    health::Health,
    report::Report,
    store::{Error, Read, Revision, Store},
};

/// All keys: one listing and one watch tell of everything that is followed.
const PREFIX: &str = "";
/// How long a watch waits: each that ends without news is paid for, and a longer one gains little.
const WAIT: Duration = Duration::from_secs(30);
/// How long the first watch after trouble waits: it shows whether watches are answered again.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// The pause after a call that failed while the pulse is well.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest such pause: a configuration must be in force two seconds after it was accepted.
const PAUSE_MOST: Duration = Duration::from_millis(800);
/// How long changes gather at the manager before it asks for the next: each answer is paid for.
const GATHER: Duration = Duration::from_millis(100);
/// How long they gather at any other VM, which asks for itself only until it hears the manager: hundreds may ask
/// at once.
const GATHER_ALONE: Duration = Duration::from_millis(300);
/// How long a VM that knows the manager waits to be told by it before it asks the store.
const TELL_WAIT: Duration = Duration::from_millis(400);

/// What following needs.
#[derive(Clone)]
pub struct Context {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Decodes what is stored.
    pub catalogue: Rc<dyn Catalogue>,
    /// The engine's own keys.
    pub keys: Rc<StoreKeys>,
    /// What is believed.
    pub shared_fleet: SharedFleet,
    /// Whether the store answers.
    pub store_health: Health,
    /// Whether the manager is heard, who tells what is new; never on the manager itself.
    pub manager_health: Health,
    /// Whether this VM is the manager.
    pub leading: Rc<Cell<bool>>,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Context")
    }
}

/// How the store stands for this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sight {
    /// Watches are answered.
    Clear,
    /// This VM has not watched for a while, so that nothing is known of its watches.
    Resumed,
    /// A call has failed.
    Lost,
}

/// How a call ended that asked for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// All up to this revision is known.
    Followed(Revision),
    /// The manager tells from now on.
    Told,
}

/// Follows the store for as long as the process lives, whenever the manager isn't heard.
pub async fn run(context: Context) {
    let follower = Follower { context };
    let mut pause = PAUSE;
    let mut sight = Sight::Resumed;
    // What has changed since an old listing, the watch after it tells, as long as there is history.
    let mut listing = Some(Read::Stale);
    loop {
        if follower.told().await {
            sight = Sight::Resumed;
        }
        let result = match listing {
            Some(read) => follower.list(read).await,
            None => follower.watch(sight).await,
        };
        match result {
            Ok(Asked::Told) => {}
            Ok(Asked::Followed(revision)) => {
                follower.followed(revision);
                if sight == Sight::Lost {
                    follower.note("store-back", "");
                }
                if listing.take().is_some() {
                    follower.wait_to_be_told().await;
                }
                (sight, pause) = (Sight::Clear, PAUSE);
            }
            Err(Error::Compacted(_)) => {
                follower.note("history-lost", "");
                listing = Some(Read::Fresh);
            }
            Err(error) => {
                follower.trouble(sight, &error);
                sight = Sight::Lost;
                let jitter = rand::rng().random_range(0.7..1.3);
                follower.context.clock.sleep(pause.mul_f64(jitter)).await;
                follower.context.store_health.well().await;
                follower.wait_to_be_told().await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

struct Follower {
    context: Context,
}

impl Follower {
    fn note(&self, event: &str, rest: &str) {
        self.context.report.line(&format!("event={event} {rest}"));
    }

    fn followed(&self, revision: Revision) {
        self.context.shared_fleet.update(|fleet| {
            fleet.on_followed(PREFIX, revision);
            fleet.config_followed = true;
        });
    }

    fn trouble(&self, sight: Sight, error: &Error) {
        let now = self.context.clock.now();
        self.context.shared_fleet.update(|fleet| {
            fleet.on_store_failure(now);
            fleet.config_followed = false;
        });
        if sight != Sight::Lost {
            self.note("store-lost", &error.to_string());
        }
    }

    /// Waits for as long as the manager is heard; returns whether it was.
    async fn told(&self) -> bool {
        let context = &self.context;
        if !context.manager_health.is_healthy() {
            return false;
        }
        context
            .shared_fleet
            .update(|fleet| fleet.config_followed = false);
        context.manager_health.ill().await;
        true
    }

    /// Gives a manager that is known the time to tell: all VMs would ask the store at once otherwise.
    async fn wait_to_be_told(&self) {
        let context = &self.context;
        if context.leading.get() || context.shared_fleet.get().manager.is_none() {
            return;
        }
        // That it doesn't is the answer: this VM asks the store itself.
        let _ = context
            .clock
            .timeout(TELL_WAIT, context.manager_health.well())
            .await;
    }

    async fn list(&self, read: Read) -> Result<Asked, Error> {
        let context = &self.context;
        let listing = context.store.list(PREFIX, read).await?;
        let now = context.clock.now();
        let notes = context.shared_fleet.update(|fleet| {
            fleet.on_listing(now, PREFIX, &listing, &context.keys, &*context.catalogue)
        });
        context.report.lines(&notes);
        Ok(Asked::Followed(listing.revision))
    }

    /// Watches, unless the pulse fails meanwhile: then nothing is known of the watch.
    async fn watch(&self, sight: Sight) -> Result<Asked, Error> {
        let context = &self.context;
        let wait = if sight == Sight::Clear {
            WAIT
        } else {
            PROBE_WAIT
        };
        let known = context.shared_fleet.get().followed().get(PREFIX).copied();
        let after = known.unwrap_or(0);
        let watch = context.store.watch(PREFIX, after, wait);
        let ended = future::select(
            Box::pin(context.manager_health.well()),
            Box::pin(context.store_health.ill()),
        );
        let news = match future::select(watch, ended).await {
            Either::Left((news, _)) => news?,
            Either::Right((Either::Left(_), _)) => return Ok(Asked::Told),
            Either::Right((Either::Right(_), _)) => {
                let reason = "other calls are not answered".to_owned();
                return Err(Error::NotApplied("watch", reason));
            }
        };
        let now = context.clock.now();
        let notes = context.shared_fleet.update(|fleet| {
            let mut notes = Vec::new();
            for change in &news.changes {
                notes.extend(fleet.on_change(now, change, &context.keys, &*context.catalogue));
            }
            notes
        });
        context.report.lines(&notes);
        if !news.changes.is_empty() {
            let span = if context.leading.get() {
                GATHER
            } else {
                GATHER_ALONE
            };
            context.clock.sleep(span).await;
        }
        Ok(Asked::Followed(news.revision))
    }
}

/// Removes targets that stay away after trouble of the store.
pub async fn expire_targets(shared_fleet: SharedFleet, clock: Clock, report: Report) {
    const TICK: Duration = Duration::from_millis(250);
    loop {
        clock.sleep(TICK).await;
        let now = clock.now();
        if shared_fleet.get().expiry().is_none_or(|at| now < at) {
            continue;
        }
        for id in shared_fleet.update(|fleet| fleet.expire(now)) {
            report.line(&format!(
                "event=target-gone target={id} cause=missing-after-trouble"
            ));
        }
    }
}
