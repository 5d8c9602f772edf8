//! The watches of the store that are open at a time.

use std::time::Duration;

use futures_util::{FutureExt, StreamExt, stream::FuturesUnordered};

use super::{ALL_KEYS, Follower, pace::MIN_WAIT};
use crate::store::{Error, Revision, WatchBatch};

/// How long after its wait the response to a watch may arrive: longer than calls take while the store is slow.
const MARGIN: Duration = Duration::from_millis(500);
/// The same for the watches that test whether they are answered.
const TEST_MARGIN: Duration = Duration::from_millis(250);
/// How many watches may be open at a time.
const MAX_OPEN: usize = 3;

/// The times of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Timing {
    /// How long it waits for changes.
    wait: Duration,
    /// How long after that its response may come before another watch is begun beside it.
    margin: Duration,
}

impl Timing {
    /// Tests whether watches are answered, after a failed call or a pause.
    pub(super) const TEST: Self = Self {
        wait: MIN_WAIT,
        margin: TEST_MARGIN,
    };

    /// Waits for changes while watches are answered.
    pub(super) fn waiting(wait: Duration) -> Self {
        Self {
            wait,
            margin: MARGIN,
        }
    }
}

/// The end of one of the watches that are open.
pub(super) struct EndedWatch {
    /// When it began.
    pub(super) asked: Duration,
    /// How long it waited for changes.
    pub(super) wait: Duration,
    pub(super) result: Result<WatchBatch, Error>,
}

impl Follower {
    /// Waits for the response to a watch; begins another one beside it each time that none has come in time.
    ///
    /// The first ones stay open: in a process that lacks processor time their responses are late, and may already be there.
    pub(super) async fn first_response(&self, after: Revision, timing: Timing) -> EndedWatch {
        let clock = &self.context.clock;
        let begin = |wait| {
            let asked = clock.now();
            let watch = self.context.store.watch(ALL_KEYS, after, wait);
            watch.map(move |result| EndedWatch {
                asked,
                wait,
                result,
            })
        };
        let mut open = FuturesUnordered::from_iter([begin(timing.wait)]);
        let mut timing = timing;
        loop {
            let overdue_after = timing.wait + timing.margin;
            match clock.timeout(overdue_after, open.next()).await {
                // A watch that fails says nothing of the others.
                Ok(Some(ended)) if ended.result.is_ok() || open.is_empty() => return ended,
                Err(_) if open.len() < MAX_OPEN => {
                    self.log("watch-overdue", "");
                    open.push(begin(MIN_WAIT));
                }
                Ok(_) | Err(_) => {}
            }
            timing = Timing::TEST;
        }
    }
}
