//! Stop signals and reloading of the settings.

use std::time::Duration;

use bramleypier_util::clock::Clock;
use futures_util::future::{self, Either};

use super::Reload;
use crate::{report::Report, settings::Settings};

/// How often the settings file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// The signal that requests a stop.
const SIGTERM: i32 = 15;
/// The signal that a terminal sends on Ctrl-C.
const SIGINT: i32 = 2;
/// The signal that requests a reload of the settings.
const SIGHUP: i32 = 1;

/// Waits until the process is asked to stop.
pub(super) async fn stop_signal() {
    let term = Box::pin(compio::signal::unix::signal(SIGTERM));
    let interrupt = Box::pin(compio::signal::unix::signal(SIGINT));
    future::select(term, interrupt).await;
}

/// Reloads the settings when their file changes or a signal requests it.
///
/// Only the log level takes effect at once; all other settings apply from the next start. The log reports
/// each reload, whether or not it succeeds.
pub(super) async fn watch_settings(reload: Reload, first: Settings, clock: Clock, report: Report) {
    let mut known = Ok(first);
    loop {
        let signal = Box::pin(compio::signal::unix::signal(SIGHUP));
        let requested = matches!(
            future::select(signal, Box::pin(clock.sleep(RELOAD_INTERVAL))).await,
            Either::Left(_)
        );
        let read = reload();
        if read == known && !requested {
            continue;
        }
        match &read {
            Ok(settings) => report.line(&format!(
                "event=settings-reloaded asked={requested} changed={} log_level={}",
                read != known,
                settings.log_level
            )),
            Err(reason) => report.line(&format!(
                "event=settings-refused asked={requested} cause=\"{reason}\""
            )),
        }
        if let Ok(settings) = &read {
            log::set_max_level(settings.log_level);
        }
        known = read;
    }
}
