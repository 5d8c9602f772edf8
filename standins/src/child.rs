//! One process of a fleet: started by us, ended by its own id.

use std::{
    fs::OpenOptions,
    io::{self, BufRead, BufReader, Read},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

use compio::runtime;
use rustix::process::{self, Pid, Signal};

use crate::clock;

/// How often a stopping process is looked at.
const POLL: Duration = Duration::from_millis(5);
/// How long a process may take until its first line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
}

impl Process {
    /// Starts a program and waits for the first line of its output.
    ///
    /// What it writes to its standard error is appended to `errors`.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started, or ends or stays silent instead of printing.
    pub async fn start<I, S>(program: &Path, arguments: I, errors: &Path) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<std::ffi::OsStr>,
    {
        let errors = OpenOptions::new().create(true).append(true).open(errors)?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .map_err(|cause| io::Error::other(format!("{}: {cause}", program.display())))?;
        let output = child.stdout.take().map(BufReader::new);
        let mut process = Self {
            child,
            line: String::new(),
        };
        if let Some(output) = output {
            let line = runtime::spawn_blocking(move || first_line(output));
            let line = compio::time::timeout(START_TIMEOUT, line).await;
            process.line = line
                .map_err(|_| io::Error::other("no first line in time"))?
                .map_err(|_| io::Error::other("reader failed"))??;
        }
        if process.line.is_empty() {
            let status = process.child.wait()?;
            let program = program.display();
            return Err(io::Error::other(format!("{program}: ended with {status}")));
        }
        Ok(process)
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the value after `name=` in the first line, or after the name alone.
    pub fn word(&self, name: &str) -> Option<&str> {
        let mut words = self.line.split_whitespace();
        let joined = |word: &'_ str| word.strip_prefix(name)?.strip_prefix('=').map(str::len);
        let found = words.clone().find_map(|word| {
            let length = joined(word)?;
            Some(&word[word.len() - length..])
        });
        found.or_else(|| words.by_ref().find(|word| *word == name).and(words.next()))
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    ///
    /// Fails when it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        process::kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself; either way nothing is left to do.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when it still runs after `span`.
    pub async fn ended(&mut self, span: Duration) -> io::Result<ExitStatus> {
        let end = clock::now() + span;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if clock::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            compio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the first line and leaves a thread to read the rest, so that the pipe never fills.
fn first_line(mut output: BufReader<ChildStdout>) -> io::Result<String> {
    let mut line = String::new();
    output.read_line(&mut line)?;
    thread::spawn(move || {
        let mut rest = [0; 4096];
        while output.read(&mut rest).is_ok_and(|count| count > 0) {}
    });
    Ok(line.trim().to_owned())
}

/// Finds a program of this workspace beside the running one.
///
/// # Errors
///
/// Fails when it has not been built.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let places = own.ancestors().skip(1).take(3);
    let found = places
        .map(|place| place.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        let cause = format!("{name} is not beside {}: build it first", own.display());
        io::Error::new(io::ErrorKind::NotFound, cause)
    })
}
