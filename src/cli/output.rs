//! What a command prints, and the code it ends with.

use serde::Serialize;

use crate::cli::Error;

/// How a command ended; the process ends with the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It succeeded.
    Done = 0,
    /// It failed: a document is refused, or what was asked for is not there.
    Failed = 1,
    /// The arguments or settings are wrong.
    Usage = 2,
    /// Another operator's version stands.
    Conflict = 3,
    /// The platform's service or some VM could not be reached.
    Unreached = 4,
    /// It could not be learned whether a write took effect.
    Unknown = 5,
}

impl Exit {
    /// Returns the exit code of the process.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::cli::Exit;
    ///
    /// assert_eq!(Exit::Conflict.code(), 3);
    /// ```
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// What to print and how to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// How the command ended.
    pub exit: Exit,
    /// The text, which ends with a line end unless it is empty.
    pub text: String,
}

impl Output {
    /// Creates an output of text.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::cli::{Exit, Output};
    ///
    /// assert_eq!(Output::plain(Exit::Done, "sound").text, "sound\n");
    /// ```
    pub fn plain(exit: Exit, text: impl Into<String>) -> Self {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        Self { exit, text }
    }

    /// Creates an output of JSON or text.
    pub(super) fn either<T, F>(exit: Exit, json: bool, answer: &T, text: F) -> Result<Self, Error>
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        let text = if json {
            serde_json::to_string_pretty(answer).map_err(Error::Json)?
        } else {
            text(answer)
        };
        Ok(Self::plain(exit, text))
    }

    /// Returns whether the text belongs on standard error: no answer, but a complaint.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::cli::{Exit, Output};
    ///
    /// assert!(Output::plain(Exit::Usage, "what?").is_error());
    /// ```
    pub fn is_error(&self) -> bool {
        matches!(self.exit, Exit::Usage | Exit::Failed)
    }
}
