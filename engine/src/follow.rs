//! Follows the store: a listing, then watches, and listings again when history is lost.

use std::{rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use rand::Rng;

use crate::{
    catalogue::Catalogue,
    fleet::{Beliefs, Keys},
    report::Report,
    store::{Error, Read, Revision, Store},
};

/// How long a watch waits: each that ends without news is paid for, and a longer one gains little.
const WAIT: Duration = Duration::from_secs(30);
/// The first pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// The longest pause: a configuration must be in force two seconds after it was accepted.
const PAUSE_MOST: Duration = Duration::from_millis(1000);

/// Follows one prefix for as long as the process lives.
pub async fn run(
    store: Rc<dyn Store>,
    catalogue: Rc<dyn Catalogue>,
    keys: Rc<Keys>,
    prefix: String,
    beliefs: Beliefs,
    clock: Clock,
    report: Report,
) {
    let follower = Follower {
        store,
        catalogue,
        keys,
        prefix,
        beliefs,
        clock,
        report,
    };
    let mut pause = PAUSE;
    let mut after = None;
    let mut lost = false;
    loop {
        let result = match after {
            None => follower.list().await,
            Some(revision) => follower.watch(revision).await,
        };
        match result {
            Ok(revision) => {
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
                let now = follower.clock.now();
                follower.beliefs.change(|fleet| fleet.on_trouble(now));
                if !lost {
                    follower.note("store-lost", &error.to_string());
                }
                lost = true;
                let jitter = rand::rng().random_range(0.7..1.3);
                follower.clock.sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

struct Follower {
    store: Rc<dyn Store>,
    catalogue: Rc<dyn Catalogue>,
    keys: Rc<Keys>,
    prefix: String,
    beliefs: Beliefs,
    clock: Clock,
    report: Report,
}

impl Follower {
    fn note(&self, event: &str, rest: &str) {
        let prefix = &self.prefix;
        self.report
            .line(&format!("event={event} prefix={prefix} {rest}"));
    }

    async fn list(&self) -> Result<Revision, Error> {
        let listing = self.store.list(&self.prefix, Read::Fresh).await?;
        let now = self.clock.now();
        let notes = self.beliefs.change(|fleet| {
            fleet.on_listing(now, &self.prefix, &listing, &self.keys, &*self.catalogue)
        });
        self.report.lines(&notes);
        Ok(listing.revision)
    }

    async fn watch(&self, after: Revision) -> Result<Revision, Error> {
        let news = self.store.watch(&self.prefix, after, WAIT).await?;
        let now = self.clock.now();
        if news.changes.is_empty() {
            return Ok(news.revision);
        }
        let notes = self.beliefs.change(|fleet| {
            let mut notes = Vec::new();
            for change in &news.changes {
                notes.extend(fleet.on_change(now, change, &self.keys, &*self.catalogue));
            }
            notes
        });
        self.report.lines(&notes);
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
