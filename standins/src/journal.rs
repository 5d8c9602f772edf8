//! A target's log of its runs, in memory and optionally in a file.
//!
//! Each start and end is written to the file at once, so the log survives a kill of the process.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How the work of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The work completed.
    Done,
    /// The request was cancelled while it ran.
    Cancelled,
    /// The deadline passed while it ran.
    Expired,
}

/// One request that a target started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Run {
    /// The name of the target.
    pub target: String,
    /// The incarnation of the target that ran it.
    pub boot: String,
    /// The number of the run within that incarnation.
    pub number: u64,
    /// The id of the attempt.
    pub request: String,
    /// The caller's idempotency key.
    pub idempotency: String,
    /// The key.
    pub key: String,
    /// The key's hash.
    #[serde(with = "crate::decimal")]
    pub hash: u64,
    /// The epoch under which it started; 0 for services without owners.
    pub epoch: u64,
    /// The request class, if the sender named it.
    pub class: String,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Start time in milliseconds since the machine's boot.
    pub started_ms: u64,
    /// End time on the same clock; none while it runs, or if the target died during the run.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: Option<End>,
}

/// The log of one incarnation of a target.
#[derive(Debug, Default)]
pub struct Journal {
    file: Option<File>,
    runs: IndexMap<u64, Run>,
}

impl Journal {
    /// Opens a log; with a path, each entry is written to the file before the work proceeds.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        let options = options.create(true).append(true);
        let file = path.map(|path| options.open(path)).transpose()?;
        Ok(Self {
            file,
            runs: IndexMap::new(),
        })
    }

    /// Records the start of a run and returns its number, to be passed to [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the work must not start then.
    pub fn start(&mut self, mut run: Run) -> io::Result<u64> {
        run.number = self.runs.len() as u64;
        self.append(&run)?;
        let number = run.number;
        self.runs.insert(number, run);
        Ok(number)
    }

    /// Records the end of a run.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn end(&mut self, number: u64, now_ms: u64, end: End) -> io::Result<()> {
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        run.ended_ms = Some(now_ms);
        run.end = Some(end);
        let run = run.clone();
        self.append(&run)
    }

    /// Returns all runs in the order of their starts.
    pub fn runs(&self) -> Vec<&Run> {
        self.runs.values().collect()
    }

    fn append(&mut self, run: &Run) -> io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(run)?;
        line.push(b'\n');
        file.write_all(&line)
    }
}

/// Reads the runs from a file and merges the start and end entries of each.
///
/// A last line that was truncated by a kill is ignored.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read(path: &Path) -> io::Result<Vec<Run>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines();
    let runs: IndexMap<(String, u64), Run> = lines
        .filter_map(|line| serde_json::from_str::<Run>(line).ok())
        .map(|run| ((run.boot.clone(), run.number), run))
        .collect();
    Ok(runs.into_values().collect())
}
