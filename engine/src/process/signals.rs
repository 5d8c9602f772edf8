//! Stop signals and reloading of the settings.

use std::{
    io,
    task::{Context, Waker},
    time::Duration,
};

use bramleypier_util::clock::Clock;
use futures_util::{
    FutureExt,
    future::{self, Either, LocalBoxFuture},
};

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

/// Keeps the default action of signals, which ends the process, from coming back between two listeners.
pub(super) struct Kept {
    _listeners: [LocalBoxFuture<'static, io::Result<()>>; 2],
}

/// Takes over the signals that may come at any moment, also one shortly after the other.
pub(super) fn keep() -> Kept {
    Kept {
        _listeners: [SIGHUP, SIGTERM].map(listen),
    }
}

/// Returns a listener that is in place until it is dropped.
fn listen(signal: i32) -> LocalBoxFuture<'static, io::Result<()>> {
    let mut listener = compio::signal::unix::signal(signal).boxed_local();
    // The first poll puts it in place; whether a signal has come already doesn't matter here.
    let _ = listener.poll_unpin(&mut Context::from_waker(Waker::noop()));
    listener
}

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
