//! Log of all attempts of a run, one JSON line each, for the audit after the run.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, BufWriter, Write},
    path::Path,
};

use bramleypier_standins::audit::{Call, ReportedOutcome};
use serde::{Deserialize, Serialize};

use crate::config::Class;

/// One attempt of a request; retries of the request have the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Id of the request.
    pub id: String,
    /// Sharding key of the request.
    pub key: String,
    /// Class of the work.
    pub class: Class,
    /// Address to which it was sent.
    pub address: String,
    /// Time at which it was sent, in milliseconds of the machine's clock.
    pub sent_ms: u64,
    /// Whether the request ran, as the response reported it.
    pub told: ReportedOutcome,
    /// Whether the response, if one was received, was intact and belonged to this request.
    pub sound: bool,
    /// HTTP status; zero when no response was received.
    pub status: u16,
    /// Number of body bytes that were received.
    pub bytes: u64,
    /// VM or target at which the outcome was decided.
    pub peer: String,
    /// Time from the due time to the end of the attempt, in microseconds.
    pub latency_us: u64,
}

impl Line {
    /// Returns the attempt in the form that the audit reads; without a response its outcome is unknown.
    pub fn call(&self) -> Call {
        let told = if self.status == 0 {
            ReportedOutcome::Unknown
        } else {
            self.told
        };
        Call {
            id: self.id.clone(),
            idempotent: self.class.is_idempotent(),
            sent_ms: self.sent_ms,
            reported: told,
            sound: self.sound,
        }
    }
}

/// Log file of attempts.
#[derive(Debug)]
pub struct CallLog {
    file: BufWriter<File>,
}

impl CallLog {
    /// Creates the file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { file })
    }

    /// Writes one line.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write(&mut self, line: &Line) -> io::Result<()> {
        serde_json::to_writer(&mut self.file, line)?;
        self.file.write_all(b"\n")
    }

    /// Flushes buffered lines to the file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn close(mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads all lines of a log file.
///
/// # Errors
///
/// Fails when the file can't be read, or a line isn't a [`Line`].
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let lines = BufReader::new(File::open(path)?).lines();
    lines
        .map(|line| serde_json::from_str(&line?).map_err(io::Error::from))
        .collect()
}
