//! Child processes of a fleet.
//!
//! A process is started with its output captured, and is signalled and killed by its own id only.

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

/// The interval at which a stopping process is checked.
const EXIT_POLL: Duration = Duration::from_millis(5);
/// How long a process may take to print its first line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub first_line: String,
}

impl Process {
    /// Starts a program and waits for the first line of its output.
    ///
    /// Its standard error is appended to the file `errors`.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started, exits early, or prints no line before the timeout.
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
            first_line: String::new(),
        };
        if let Some(output) = output {
            let line = runtime::spawn_blocking(move || read_first_line(output));
            let line = compio::time::timeout(START_TIMEOUT, line).await;
            process.first_line = line
                .map_err(|_| io::Error::other("no first line before the start timeout"))?
                .map_err(|_| io::Error::other("reader thread failed"))??;
        }
        if process.first_line.is_empty() {
            let status = process.child.wait()?;
            let program = program.display();
            return Err(io::Error::other(format!("{program}: exited with {status}")));
        }
        Ok(process)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the value of `name=value` in the first line, or the word that follows `name` there.
    pub fn value(&self, name: &str) -> Option<&str> {
        let mut words = self.first_line.split_whitespace();
        let value_length = |word: &'_ str| word.strip_prefix(name)?.strip_prefix('=').map(str::len);
        let found = words.clone().find_map(|word| {
            let length = value_length(word)?;
            Some(&word[word.len() - length..])
        });
        found.or_else(|| words.by_ref().find(|word| *word == name).and(words.next()))
    }

    /// Returns whether the process is still running.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    ///
    /// Fails if it has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        process::kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both fail if the process has already exited, which is the wanted result.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Fails if it still runs after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let end = clock::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if clock::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            compio::time::sleep(EXIT_POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the first line and starts a thread that discards the rest, so that the pipe never fills up.
fn read_first_line(mut output: BufReader<ChildStdout>) -> io::Result<String> {
    let mut line = String::new();
    output.read_line(&mut line)?;
    thread::spawn(move || {
        let mut rest = [0; 4096];
        while output.read(&mut rest).is_ok_and(|count| count > 0) {}
    });
    Ok(line.trim().to_owned())
}

/// Finds a program of this workspace in the directory of the running executable or its two parents.
///
/// # Errors
///
/// Fails if the program has not been built.
pub fn program(name: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let directories = current.ancestors().skip(1).take(3);
    let found = directories
        .map(|directory| directory.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        let cause = format!(
            "{name} not found near {}: build it first",
            current.display()
        );
        io::Error::new(io::ErrorKind::NotFound, cause)
    })
}
