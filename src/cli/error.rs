//! Why a command could not do its work.

use std::{io, path::PathBuf};

use quick_error::quick_error;

use crate::{cli::Exit, platform, util::ini::Fault};

quick_error! {
    /// Why a command could not do its work.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are wrong.
        Settings(cause: Fault) {
            display("{cause}")
            source(cause)
        }
        /// A document is refused.
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
        /// A time is neither a span nor a time.
        Time(text: String) {
            display("--since: `{text}` is neither a span such as 10m nor a time such as 2026-12-02T21:00:00Z")
        }
        /// An answer can't be written as JSON.
        Json(cause: serde_json::Error) {
            display("step=print peer=operator cause={cause}")
            source(cause)
        }
        /// The HTTP client can't be made.
        Client(cause: cyper::Error) {
            display("step=start peer=vms cause={cause}")
            source(cause)
        }
        /// The runtime did not start.
        Runtime(cause: io::Error) {
            display("step=start peer=process cause={cause}")
            source(cause)
        }
        /// `run` is not a command that ends.
        Run {
            display("step=start peer=process cause=\"`run` is started by the binary\"")
        }
    }
}

impl Error {
    /// Returns how the command ends.
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
