//! Stop signals and reloading of the settings.

use std::{io, time::Duration};

use bramleypier_util::{
    clock::Clock,
    signals::{self, Arrivals, Signal},
};
use futures_util::{
    StreamExt,
    future::{self, Either},
};

use super::Reload;
use crate::{report::Report, settings::Settings};

/// How often the settings file is read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after a reload that a signal requested; signals that come meanwhile count as one.
const SIGNAL_PAUSE: Duration = Duration::from_millis(50);

/// The signals of a process.
pub struct Signals {
    /// Request a stop.
    pub(super) stops: Arrivals,
    /// Request a reload of the settings.
    pub(super) reloads: Arrivals,
}

impl std::fmt::Debug for Signals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Signals")
    }
}

impl Signals {
    /// Takes over the signals from their default actions, which would end the process.
    ///
    /// To be called first of all: a signal may come before the settings are read.
    ///
    /// # Errors
    ///
    /// See [`signals::take_over`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::process::Signals;
    ///
    /// let signals = Signals::take_over()?;
    /// # drop(signals);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn take_over() -> io::Result<Self> {
        Ok(Self {
            stops: signals::take_over(&[Signal::Terminate, Signal::Interrupt])?,
            reloads: signals::take_over(&[Signal::Hangup])?,
        })
    }
}

/// Reloads the settings when their file changes or a signal requests it.
///
/// Only the log level takes effect at once; all other settings apply from the next start. The log reports
/// each reload, whether or not it succeeds.
pub(super) async fn watch_settings(
    reload: Reload,
    mut reloads: Arrivals,
    first: Settings,
    clock: Clock,
    report: Report,
) {
    let mut known = Ok(first);
    loop {
        let interval = Box::pin(clock.sleep(RELOAD_INTERVAL));
        let requested = matches!(
            future::select(reloads.next(), interval).await,
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
        if requested {
            clock.sleep(SIGNAL_PAUSE).await;
        }
    }
}
