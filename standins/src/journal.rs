//! A target's log of what it ran, kept in memory and in a file that survives a kill.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How a request's work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It ran to its end.
    Done,
    /// It was cancelled midway.
    Cancelled,
    /// Its deadline passed midway.
    Expired,
}

/// One request that a target started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Run {
    /// The target.
    pub target: String,
    /// The start of the target that ran it.
    pub boot: String,
    /// Its number among the runs of that start.
    pub number: u64,
    /// The id of the attempt.
    pub request: String,
    /// The caller's id.
    pub idempotency: String,
    /// The key.
    pub key: String,
    /// The key's hash.
    #[serde(with = "crate::decimal")]
    pub hash: u64,
    /// The epoch under which it started.
    pub epoch: u64,
    /// The class, when the sender names it.
    pub class: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// When it started, on the machine's clock.
    pub started_ms: u64,
    /// When it ended; none while it runs, and for ever when the target died.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: Option<End>,
}

/// The log of one target.
#[derive(Debug, Default)]
pub struct Journal {
    file: Option<File>,
    runs: IndexMap<u64, Run>,
}

impl Journal {
    /// Opens a log; with a path, each line is in the file before the work goes on.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        let options = options.create(true).append(true);
        let file = path.map(|path| options.open(path)).transpose()?;
        Ok(Self {
            file,
            runs: IndexMap::new(),
        })
    }

    /// Notes a start and returns its number, by which [`end`](Self::end) finds it.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written: then the work must not start.
    pub fn start(&mut self, mut run: Run) -> io::Result<u64> {
        run.number = self.runs.len() as u64;
        self.append(&run)?;
        let number = run.number;
        self.runs.insert(number, run);
        Ok(number)
    }

    /// Notes an end.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn end(&mut self, number: u64, now_ms: u64, end: End) -> io::Result<()> {
        let Some(run) = self.runs.get_mut(&number) else {
            return Ok(());
        };
        run.ended_ms = Some(now_ms);
        run.end = Some(end);
        let run = run.clone();
        self.append(&run)
    }

    /// Returns what was started, in order.
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

/// Reads the runs back from a file; a start and its end are one run.
///
/// A last line that was cut off by a kill is passed over.
///
/// # Errors
///
/// Fails when the file can't be read.
pub fn read(path: &Path) -> io::Result<Vec<Run>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text.lines();
    let runs: IndexMap<(String, u64), Run> = lines
        .filter_map(|line| serde_json::from_str::<Run>(line).ok())
        .map(|run| ((run.boot.clone(), run.number), run))
        .collect();
    Ok(runs.into_values().collect())
}
