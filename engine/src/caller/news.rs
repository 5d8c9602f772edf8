//! Holds requests that arrive while this VM's knowledge of the store is too old to choose routes and targets by it.

use std::time::Duration;

use bramleypier_util::clock::Clock;

use crate::fleet::{Freshness, SharedFleet};

/// How often a request that waits looks whether there are news.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until this VM may act by what it knows; returns whether it may.
///
/// A request is matched to a route only then: the configuration by which it would have been matched before may have been
/// replaced long ago.
pub(super) async fn wait(
    shared_fleet: &SharedFleet,
    clock: &Clock,
    remaining: Option<Duration>,
) -> bool {
    let deadline = remaining.map(|it| clock.now() + it);
    loop {
        let now = clock.now();
        let freshness = shared_fleet.confirmations().freshness(now);
        if freshness != Freshness::Awaited || deadline.is_some_and(|it| it <= now) {
            return freshness.is_usable();
        }
        clock.sleep(CHECK_INTERVAL).await;
    }
}
