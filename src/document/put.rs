//! Putting a document: one winner, one clear conflict, and lost answers settled by reading back.
//!
//! A put names the version it is based on. A write whose answer was lost is neither a success nor a
//! failure until the value has been read back: the stamps in it tell.

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

/// How many calls a put may make before it gives up.
const CALLS_MAX: u32 = 12;
/// How many unchanged lines stand around a difference.
const CONTEXT: usize = 2;

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The value was read; none if the key doesn't exist.
    Read(Option<(Version, String)>),
    /// The read got no answer.
    ReadFailed,
    /// The write was answered.
    Written(WriteOutcome),
    /// The write can't have taken effect.
    WriteFailed,
    /// The write may have taken effect.
    WriteUncertain,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the value.
    Read,
    /// Write this value where the key stands at this version.
    Write(Version, String),
    /// It is done.
    Done(Outcome),
}

/// How a put ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document is accepted at this version.
    Accepted(Version),
    /// This very text stands at this version already; nothing was written.
    Unchanged(Version),
    /// Another version stands there; nothing was changed by this put.
    Conflict(Conflict),
    /// The document is refused; nothing was changed.
    Refused(Fault),
    /// The platform's service didn't answer; nothing was changed.
    Unreached,
    /// A write was sent, and whether it took effect could not be learned.
    Unknown,
}

/// Why a put lost, and to whom.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Conflict {
    /// The version that the put was based on.
    pub base: Version,
    /// The version that stands; 0 if there is none.
    pub version: Version,
    /// Who put it; empty if it isn't known.
    pub operator: String,
    /// When it was put, in milliseconds since 1970; 0 if it isn't known.
    pub at_ms: u64,
    /// The difference from the text that stands to the text that was to be put.
    pub difference: String,
}

/// One put under way.
#[derive(Clone, Debug)]
pub struct Operation {
    file: String,
    text: String,
    document: Document,
    stamp: Stamp,
    calls: u32,
    sent: bool,
}

impl Operation {
    /// Starts a put of `text`, read from `file`; `stamp` says on which version.
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] of a document that is refused without asking the platform.
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
            sent: false,
        };
        Ok((operation, Step::Read))
    }

    /// Returns the key in the platform's service that is read and written.
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

    /// Takes what became of the last step's call, and returns the next step.
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
            // An earlier write of this put may be what stands there now, so the value decides.
            Event::Written(WriteOutcome::Conflict(_)) | Event::ReadFailed | Event::WriteFailed => {
                Step::Read
            }
            Event::WriteUncertain => {
                self.sent = true;
                Step::Read
            }
        };
        self.limited(step)
    }

    /// Ends the put when it has made enough calls.
    fn limited(&mut self, step: Step) -> Step {
        self.calls += 1;
        if matches!(step, Step::Done(_)) || self.calls <= CALLS_MAX {
            return step;
        }
        if self.sent {
            return Step::Done(Outcome::Unknown);
        }
        Step::Done(Outcome::Unreached)
    }

    fn read(&self, value: Option<(Version, String)>) -> Step {
        let (version, value) = value.unwrap_or_default();
        let stored = Stored::parse(&value);
        if let Some(won) = self.won_at(version, &stored) {
            return Step::Done(Outcome::Accepted(won));
        }
        if version == self.stamp.base {
            return self.write(version, &stored);
        }
        // The stamps reach back to the base, so this put's own would be among them.
        let oldest = stored.stamps.first().map(|stamp| stamp.base);
        let complete = oldest.is_some_and(|oldest| oldest <= self.stamp.base);
        if self.sent && !complete {
            return Step::Done(Outcome::Unknown);
        }
        Step::Done(Outcome::Conflict(self.conflict(version, &stored)))
    }

    /// Returns the version that this put gave, if a stamp shows that it took effect.
    fn won_at(&self, version: Version, stored: &Stored) -> Option<Version> {
        let log = stored.log(version);
        let own = |(_, stamp): &&(Version, &Stamp)| stamp.writer == self.stamp.writer;
        log.iter().find(own).map(|(version, _)| *version)
    }

    fn write(&self, version: Version, stored: &Stored) -> Step {
        let plain = stored::strip_metadata(&self.text);
        if !self.sent && version > 0 && plain == stored.text {
            return Step::Done(Outcome::Unchanged(version));
        }
        if let Err(fault) = self.check(stored) {
            return Step::Done(Outcome::Refused(fault));
        }
        let next = stored.next(&self.text, self.stamp.clone());
        Step::Write(version, next.to_string())
    }

    /// Checks the change from what stands; what can't be read any more may be replaced.
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

/// Returns the difference between two texts, in the unified form.
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
        .context_radius(CONTEXT)
        .header("stands", "yours")
        .to_string()
}
