//! Follows the store: a listing, then watches, and listings again when history is lost.

use std::{rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::future::{self, Either};
use rand::Rng;

use crate::{
    catalogue::Catalogue,
    fleet::{Beliefs, Keys},
    pulse::Pulse,
    report::Report,
    store::{Error, Read, Revision, Store},
};

/// How long a watch waits: each that ends without news is paid for, and a longer one gains little.
const WAIT: Duration = Duration::from_secs(30);
/// How long the first watch after trouble waits: it shows whether watches are answered again.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// The pause after a call that failed while the pulse is well.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest such pause: a configuration must be in force two seconds after it was accepted.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// How long changes gather before those of a prefix that the manager relays are asked for: each
/// answer of the store is paid for. Targets that leave and owners may be known so much later.
const GATHER: Duration = Duration::from_millis(100);

/// What following needs.
#[derive(Clone)]
pub struct Context {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Decodes what is stored.
    pub catalogue: Rc<dyn Catalogue>,
    /// The engine's own keys.
    pub keys: Rc<Keys>,
    /// What is believed.
    pub beliefs: Beliefs,
    /// Whether the store answers.
    pub pulse: Pulse,
    /// Whether the manager is heard, who relays what is new.
    pub heard: Pulse,
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

/// Who tells what is new under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store only.
    Store,
    /// The manager while it is heard, the store otherwise.
    Relayed,
}

/// Follows one prefix for as long as the process lives.
pub async fn run(context: Context, prefix: String, source: Source) {
    let follower = Follower { context, prefix };
    let mut pause = PAUSE;
    let mut after = None;
    let mut lost = false;
    loop {
        if source == Source::Relayed && after.is_some() {
            follower.context.heard.ill().await;
        }
        let wait = if lost { PROBE_WAIT } else { WAIT };
        let result = match after {
            None => follower.list().await,
            Some(revision) => follower.watch(revision, wait, source).await,
        };
        match result {
            Ok(revision) => {
                follower.followed(revision);
                if lost {
                    follower.note("store-back", "");
                }
                (after, pause, lost) = (Some(revision), PAUSE, false);
            }
            Err(Error::Compacted(_)) => {
                follower.note("history-lost", "");
                after = None;
            }
            Err(error) => {
                follower.trouble(lost, &error);
                lost = true;
                let jitter = rand::rng().random_range(0.7..1.3);
                follower.context.clock.sleep(pause.mul_f64(jitter)).await;
                follower.context.pulse.well().await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

struct Follower {
    context: Context,
    prefix: String,
}

impl Follower {
    fn note(&self, event: &str, rest: &str) {
        let prefix = &self.prefix;
        self.context
            .report
            .line(&format!("event={event} prefix={prefix} {rest}"));
    }

    fn is_of_config(&self) -> bool {
        self.prefix == self.context.catalogue.config_key()
    }

    fn followed(&self, revision: Revision) {
        self.context.beliefs.change(|fleet| {
            fleet.on_followed(&self.prefix, revision);
            fleet.config_followed |= self.is_of_config();
        });
    }

    fn trouble(&self, lost: bool, error: &Error) {
        let now = self.context.clock.now();
        self.context.beliefs.change(|fleet| {
            fleet.on_trouble(now);
            fleet.config_followed &= !self.is_of_config();
        });
        if !lost {
            self.note("store-lost", &error.to_string());
        }
    }

    async fn list(&self) -> Result<Revision, Error> {
        let context = &self.context;
        let listing = context.store.list(&self.prefix, Read::Fresh).await?;
        let now = context.clock.now();
        let notes = context.beliefs.change(|fleet| {
            fleet.on_listing(
                now,
                &self.prefix,
                &listing,
                &context.keys,
                &*context.catalogue,
            )
        });
        context.report.lines(&notes);
        Ok(listing.revision)
    }

    /// Watches, unless the pulse fails meanwhile: then nothing is known of the watch.
    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        source: Source,
    ) -> Result<Revision, Error> {
        let context = &self.context;
        let relayed = async {
            match source {
                Source::Store => future::pending().await,
                Source::Relayed => context.heard.well().await,
            }
        };
        let watch = context.store.watch(&self.prefix, after, wait);
        let ended = future::select(Box::pin(relayed), Box::pin(context.pulse.ill()));
        let news = match future::select(watch, ended).await {
            Either::Left((news, _)) => news?,
            // From now on the manager tells.
            Either::Right((Either::Left(_), _)) => return Ok(after),
            Either::Right((Either::Right(_), _)) => {
                let reason = "other calls are not answered".to_owned();
                return Err(Error::Refused("watch", reason));
            }
        };
        let now = context.clock.now();
        if news.changes.is_empty() {
            return Ok(news.revision);
        }
        if source == Source::Relayed {
            context.clock.sleep(GATHER).await;
        }
        let notes = context.beliefs.change(|fleet| {
            let mut notes = Vec::new();
            for change in &news.changes {
                notes.extend(fleet.on_change(now, change, &context.keys, &*context.catalogue));
            }
            notes
        });
        context.report.lines(&notes);
        Ok(news.revision)
    }
}

/// Removes targets that stay away after trouble of the store.
pub async fn expire(beliefs: Beliefs, clock: Clock, report: Report) {
    const TICK: Duration = Duration::from_millis(250);
    loop {
        clock.sleep(TICK).await;
        let now = clock.now();
        if beliefs.get().expiry().is_none_or(|at| now < at) {
            continue;
        }
        for id in beliefs.change(|fleet| fleet.expire(now)) {
            report.line(&format!(
                "event=target-gone target={id} cause=missing-after-trouble"
            ));
        }
    }
}
