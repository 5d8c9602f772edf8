//! One line for each sending, for the audit after a run.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, BufWriter, Write},
    path::Path,
};

use bramleypier_standins::audit::{Call, Told};
use serde::{Deserialize, Serialize};

use crate::config::Class;

/// One sending of one request; the same id may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The request's id.
    pub id: String,
    /// Its key.
    pub key: String,
    /// Its class.
    pub class: Class,
    /// Where it was sent.
    pub address: String,
    /// When it was sent, on the machine's clock.
    pub sent_ms: u64,
    /// What the caller was told.
    pub told: Told,
    /// Whether the answer, if one came, was whole and the caller's own.
    pub sound: bool,
    /// The answer's status; zero when none came.
    pub status: u16,
    /// How many bytes of the answer's body came.
    pub bytes: u64,
    /// The VM or target at which the outcome arose.
    pub peer: String,
    /// From the due time to the answer, in microseconds.
    pub latency_us: u64,
}

impl Line {
    /// Returns the line as the audit takes it: without an answer nobody was told anything.
    pub fn call(&self) -> Call {
        let told = if self.status == 0 {
            Told::Unknown
        } else {
            self.told
        };
        Call {
            id: self.id.clone(),
            idempotent: self.class.is_idempotent(),
            sent_ms: self.sent_ms,
            told,
            sound: self.sound,
        }
    }
}

/// A file of lines.
#[derive(Debug)]
pub struct Journal {
    file: BufWriter<File>,
}

impl Journal {
    /// Creates the file, or empties it.
    ///
    /// # Errors
    ///
    /// Fails when it can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { file })
    }

    /// Writes a line.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn write(&mut self, line: &Line) -> io::Result<()> {
        serde_json::to_writer(&mut self.file, line)?;
        self.file.write_all(b"\n")
    }

    /// Writes out what is still kept in memory.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn close(mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads a file of lines.
///
/// # Errors
///
/// Fails when it can't be read, or a line is not one of ours.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let lines = BufReader::new(File::open(path)?).lines();
    lines
        .map(|line| serde_json::from_str(&line?).map_err(io::Error::from))
        .collect()
}
