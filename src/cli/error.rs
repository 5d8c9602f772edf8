//! The errors of commands.

use std::{io, path::PathBuf};

use quick_error::quick_error;

use crate::{cli::Exit, platform, util::ini::Fault};

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are invalid.
        Settings(cause: Fault) {
            display("{cause}")
            source(cause)
        }
        /// A document is invalid.
        Refused(cause: Fault) {
            display("{cause}")
            source(cause)
        }
        /// A file can't be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{}: {cause}", path.display())
            source(cause)
        }
        /// The platform's service did not answer.
        Platform(cause: platform::Error) {
            display("{cause}")
            source(cause)
        }
        /// The service has no document.
        Absent(service: String) {
            display("step=get peer=platform cause=\"there is no document of {service}\"")
        }
        /// An argument is neither a duration nor a time.
        Time(text: String) {
            display("--since: `{text}` is neither a span such as 10m nor a time such as 2026-12-02T21:00:00Z")
        }
        /// The output can't be serialised as JSON.
        Json(cause: serde_json::Error) {
            display("step=print peer=operator cause={cause}")
            source(cause)
        }
        /// The HTTP client can't be created.
        Client(cause: cyper::Error) {
            display("step=start peer=vms cause={cause}")
            source(cause)
        }
        /// The async runtime can't be started.
        Runtime(cause: io::Error) {
            display("step=start peer=process cause={cause}")
            source(cause)
        }
        /// `run` and `serve` must be started by the binary, since they run until they are stopped.
        Run {
            display("step=start peer=process cause=\"`run` is started by the binary\"")
        }
    }
}

impl Error {
    /// Returns the exit status of a command that fails with this error.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::cli::{Error, Exit};
    ///
    /// assert_eq!(Error::Absent("a".to_owned()).exit(), Exit::Failed);
    /// ```
    pub fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Time(_) => Exit::Usage,
            Self::Platform(_) => Exit::Unreached,
            _ => Exit::Failed,
        }
    }
}
