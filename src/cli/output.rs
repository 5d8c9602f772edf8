//! The output and exit status of a command.

use serde::Serialize;

use crate::cli::Error;

/// The exit status of a command; its number is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed, for example because a document is invalid or doesn't exist.
    Failed = 1,
    /// The arguments or settings are invalid.
    Usage = 2,
    /// Another operator has put a version that the command was not based on.
    Conflict = 3,
    /// The platform's service or some VM could not be reached.
    Unreached = 4,
    /// It is unknown whether a write took effect.
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

/// The output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The exit status.
    pub exit: Exit,
    /// The text; it ends with a newline unless it is empty.
    pub text: String,
}

impl Output {
    /// Creates an output of text, and adds a final newline if it is missing.
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

    /// Creates an output of `answer` as JSON, or as the text that `text` makes of it.
    pub(super) fn json_or_text<T, F>(
        exit: Exit,
        json: bool,
        answer: &T,
        text: F,
    ) -> Result<Self, Error>
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

    /// Returns whether the text is an error message, which belongs on standard error.
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
