//! Writes a new version of a document with compare-and-set.
//!
//! A put names the version that it is based on. Of several puts on the same version, one is accepted and the others
//! get a [`Conflict`]. If the answer to a write is lost, the write may have taken effect. The put then reads the value
//! again and looks for its own stamp in it.

use serde::Serialize;
use similar::TextDiff;

use crate::{
    document::{
        Document,
        stored::{self, Stamp, Stored},
        text,
    },
    id::Version,
    platform::WriteOutcome,
    util::ini::Fault,
};

/// The maximum number of calls of a put.
const MAX_CALLS: u32 = 12;
/// The number of unchanged lines around each difference.
const CONTEXT_LINES: usize = 2;

/// The result of a call to the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The value was read; `None` if the key doesn't exist.
    Read(Option<(Version, String)>),
    /// The read got no answer.
    ReadFailed,
    /// The write was answered.
    Written(WriteOutcome),
    /// The write failed and has certainly not taken effect.
    WriteFailed,
    /// The write may have taken effect, for example because its answer was lost.
    WriteUncertain,
}

/// The next call to make, or the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the value.
    Read,
    /// Write this value if the key is at this version.
    Write(Version, String),
    /// The put has ended.
    Done(Outcome),
}

/// The outcome of a put.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document is accepted at this version.
    Accepted(Version),
    /// This version already has the same text; nothing was written.
    Unchanged(Version),
    /// Another version is in place; this put changed nothing.
    Conflict(Conflict),
    /// The document is invalid; nothing was changed.
    Refused(Fault),
    /// The platform's service didn't answer; nothing was changed.
    Unreached,
    /// A write was sent, and it is unknown whether it took effect.
    Unknown,
}

/// A conflict with a version that another operator put.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The version that the put was based on.
    pub base: Version,
    /// The current version; 0 if there is none.
    pub version: Version,
    /// The operator who put the current version; empty if unknown.
    pub operator: String,
    /// The time of that put, in milliseconds since 1970; 0 if unknown.
    pub at_ms: u64,
    /// The difference from the current text to the rejected one.
    pub difference: String,
}

/// A put in progress.
///
/// It makes no calls itself: the caller makes the call in each [`Step`] and passes the result to [`Operation::handle`].
#[derive(Clone, Debug)]
pub struct Operation {
    file: String,
    text: String,
    document: Document,
    stamp: Stamp,
    calls: u32,
    maybe_written: bool,
}

impl Operation {
    /// Starts a put of `text`, which was read from `file`. The base version is in `stamp`.
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] of an invalid document, before any call to the platform's service.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::{
    ///     put::{Event, Outcome, Operation, Step},
    ///     stored::Stamp,
    /// };
    /// use bramleypier::platform::WriteOutcome;
    ///
    /// let text = "[service]\nname = a\n[class all]\nidempotent = true\nshare = 100\n\
    ///     [target t]\naddress = 127.0.0.1:1\ndomain = d\n";
    /// let (mut put, step) = Operation::start("a.ini", text, Stamp::new("w1", 0, 5, "ana")).unwrap();
    /// assert_eq!(step, Step::Read);
    /// assert!(matches!(put.handle(Event::Read(None)), Step::Write(0, _)));
    /// let step = put.handle(Event::Written(WriteOutcome::Committed(7)));
    /// assert_eq!(step, Step::Done(Outcome::Accepted(7)));
    /// ```
    pub fn start(file: &str, text: &str, stamp: Stamp) -> Result<(Self, Step), Fault> {
        let document = text::parse(file, text)?;
        let operation = Self {
            file: file.to_owned(),
            text: text.to_owned(),
            document,
            stamp,
            calls: 1,
            maybe_written: false,
        };
        Ok((operation, Step::Read))
    }

    /// Returns the key of the document in the platform's service.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::{put::Operation, stored::Stamp};
    ///
    /// let text = "[service]\nname = a\n[class all]\nidempotent = true\nshare = 100\n\
    ///     [target t]\naddress = 127.0.0.1:1\ndomain = d\n";
    /// let (put, _) = Operation::start("a.ini", text, Stamp::new("w1", 0, 5, "ana")).unwrap();
    /// assert_eq!(put.key(), "bramleypier/documents/a");
    /// ```
    pub fn key(&self) -> String {
        stored::key(&self.document.service)
    }

    /// Handles the result of the last call, and returns the next step.
    ///
    /// # Example
    ///
    /// See [`Operation::start`].
    pub fn handle(&mut self, event: Event) -> Step {
        let step = match event {
            Event::Read(value) => self.read(value),
            Event::Written(WriteOutcome::Committed(version)) => {
                Step::Done(Outcome::Accepted(version))
            }
            // An earlier write of this put may have made the current version, so the value must be read.
            Event::Written(WriteOutcome::Conflict(_)) | Event::ReadFailed | Event::WriteFailed => {
                Step::Read
            }
            Event::WriteUncertain => {
                self.maybe_written = true;
                Step::Read
            }
        };
        self.limit_calls(step)
    }

    /// Returns the step, or the outcome if the put has made the maximum number of calls.
    fn limit_calls(&mut self, step: Step) -> Step {
        self.calls += 1;
        if matches!(step, Step::Done(_)) || self.calls <= MAX_CALLS {
            return step;
        }
        if self.maybe_written {
            return Step::Done(Outcome::Unknown);
        }
        Step::Done(Outcome::Unreached)
    }

    fn read(&self, value: Option<(Version, String)>) -> Step {
        let (version, value) = value.unwrap_or_default();
        let stored = Stored::parse(&value);
        if let Some(accepted) = self.accepted_version(version, &stored) {
            return Step::Done(Outcome::Accepted(accepted));
        }
        if version == self.stamp.base {
            return self.write(version, &stored);
        }
        // If the stamps go back to the base version, they would include the stamp of this put.
        let oldest = stored.stamps.first().map(|stamp| stamp.base);
        let complete = oldest.is_some_and(|oldest| oldest <= self.stamp.base);
        if self.maybe_written && !complete {
            return Step::Done(Outcome::Unknown);
        }
        Step::Done(Outcome::Conflict(self.conflict(version, &stored)))
    }

    /// Returns the version that this put created, if its stamp shows that it took effect.
    fn accepted_version(&self, version: Version, stored: &Stored) -> Option<Version> {
        let log = stored.log(version);
        let own = |(_, stamp): &&(Version, &Stamp)| stamp.writer == self.stamp.writer;
        log.iter().find(own).map(|(version, _)| *version)
    }

    fn write(&self, version: Version, stored: &Stored) -> Step {
        let plain = stored::strip_metadata(&self.text);
        if !self.maybe_written && version > 0 && plain == stored.text {
            return Step::Done(Outcome::Unchanged(version));
        }
        if let Err(fault) = self.check(stored) {
            return Step::Done(Outcome::Refused(fault));
        }
        let next = stored.next(&self.text, self.stamp.clone());
        Step::Write(version, next.to_string())
    }

    /// Checks the change from the current text. A current text that is no longer valid may be replaced by any document.
    fn check(&self, stored: &Stored) -> Result<(), Fault> {
        let Ok(base) = text::parse("base", &stored.text) else {
            return Ok(());
        };
        text::parse_change(&self.file, &self.text, &base).map(drop)
    }

    fn conflict(&self, version: Version, stored: &Stored) -> Conflict {
        let last = stored.stamps.last();
        Conflict {
            base: self.stamp.base,
            version,
            operator: last.map(|stamp| stamp.operator.clone()).unwrap_or_default(),
            at_ms: last.map_or(0, |stamp| stamp.at_ms),
            difference: difference(&stored.text, &stored::strip_metadata(&self.text)),
        }
    }
}

/// Returns the difference between two texts as a unified diff.
///
/// # Example
///
/// ```
/// use bramleypier::document::put;
///
/// assert!(put::difference("a\n", "b\n").contains("-a\n+b\n"));
/// ```
pub fn difference(old: &str, new: &str) -> String {
    let diff = TextDiff::from_lines(old, new);
    let mut unified = diff.unified_diff();
    unified
        .context_radius(CONTEXT_LINES)
        .header("stands", "yours")
        .to_string()
}
