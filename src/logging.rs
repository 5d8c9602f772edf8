//! Sets up the log and writes the events of the time line to it, as lines of `key=value` pairs.
//!
//! Each state change is logged. Frequent events are counted by [`metrics`](crate::metrics) instead.

use std::{
    fs::{File, OpenOptions},
    io,
};

use log::{Level, LevelFilter, SetLoggerError};
use quick_error::quick_error;
use simplelog::{
    ColorChoice, Config, ConfigBuilder, SharedLogger, TermLogger, TerminalMode, WriteLogger,
};

use crate::{
    settings::Settings,
    timeline::{Event, Kind},
};

quick_error! {
    /// Why logging could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// The log file can't be opened for writing.
        File(path: String, cause: io::Error) {
            display("step=log peer={path} cause={cause}")
            source(cause)
        }
        /// A logger is installed already.
        Set(cause: SetLoggerError) {
            display("step=log peer=process cause={cause}")
            source(cause)
        }
    }
}

/// Installs the logger that the settings specify: to a file, or else to standard error.
///
/// # Errors
///
/// Returns an [`Error`] if the file can't be opened or a logger is installed already.
///
/// # Example
///
/// ```no_run
/// use std::path::Path;
///
/// use bramleypier::{logging, settings};
///
/// let settings = settings::load(Path::new("vm.ini")).unwrap();
/// logging::start(&settings).unwrap();
/// ```
pub fn start(settings: &Settings) -> Result<(), Error> {
    let logger = logger(settings)?;
    log::set_max_level(settings.log_level);
    log::set_boxed_logger(logger.as_log()).map_err(Error::Set)
}

fn logger(settings: &Settings) -> Result<Box<dyn SharedLogger>, Error> {
    let level = settings.log_level;
    let Some(path) = &settings.log_file else {
        let stderr = TerminalMode::Stderr;
        return Ok(TermLogger::new(level, config(), stderr, ColorChoice::Never));
    };
    let file = open_append(path).map_err(|cause| Error::File(path.display().to_string(), cause))?;
    Ok(WriteLogger::new(level, config(), file))
}

fn open_append(path: &std::path::Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// Returns the line format: RFC 3339 times in UTC, without thread names since there is one thread only.
fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}

/// Logs an event of the time line at the level of its kind.
///
/// # Example
///
/// ```
/// use bramleypier::{
///     logging,
///     timeline::{Duty, Event, Kind},
/// };
///
/// logging::event(&Event::new(Duty::Process, "start", Kind::Started));
/// ```
pub fn event(event: &Event) {
    let Event { vm, kind, .. } = event;
    log::log!(level(*kind), "vm={vm} {event}");
}

/// Returns the level at which a kind of event is logged.
///
/// # Example
///
/// ```
/// use bramleypier::{logging, timeline::Kind};
///
/// assert_eq!(logging::level(Kind::RangeLost), log::Level::Warn);
/// ```
pub fn level(kind: Kind) -> Level {
    match kind {
        Kind::DocumentRefused | Kind::PlatformLost => Level::Error,
        Kind::RangeLost
        | Kind::PeerLost
        | Kind::GrantStopped
        | Kind::GrantorStruck
        | Kind::MemoryLost
        | Kind::Quarantined => Level::Warn,
        Kind::RequestRefused | Kind::RequestUnknown | Kind::RangeServed | Kind::RecordWritten => {
            Level::Debug
        }
        _ => Level::Info,
    }
}
