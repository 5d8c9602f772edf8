//! The stored form of a document: the operator's text followed by stamps.
//!
//! Each put adds a stamp, which is a comment line at the end of the text, so that every reader can parse the
//! value unchanged. The value keeps the stamps of the last puts. They show whether a put took effect whose answer
//! was lost, even after later puts, and they are the document's log.

use std::fmt::{self, Write as _};

use crate::{
    id::{ServiceId, Version},
    platform,
};

/// The number of stamps that a value keeps.
pub const MAX_STAMPS: usize = 64;

/// The longest operator name in a stamp, in characters.
const MAX_OPERATOR_CHARS: usize = 64;

const STAMP_PREFIX: &str = "; put ";
const VERSION_PREFIX: &str = "; version ";

/// Returns the key of a service's document in the platform's service.
///
/// # Example
///
/// ```
/// use bramleypier::document::stored;
///
/// assert_eq!(stored::key(&"tracking".to_owned()), "bramleypier/documents/tracking");
/// ```
pub fn key(service: &ServiceId) -> String {
    format!("{}{service}", platform::DOCUMENTS)
}

/// The record of one put: its operator, time and base version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The unique id of the put.
    pub writer: String,
    /// The version that the put was based on; 0 for a new document.
    pub base: Version,
    /// The time in milliseconds since 1970, by the writer's wall clock.
    pub at_ms: u64,
    /// The operator's name.
    pub operator: String,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            writer,
            base,
            at_ms,
            operator,
        } = self;
        write!(
            f,
            "{STAMP_PREFIX}{writer} base={base} at={at_ms} by={operator}"
        )
    }
}

impl Stamp {
    /// Creates a stamp. Only graphic ASCII characters of the operator's name are kept, as others would break the line.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::stored::Stamp;
    ///
    /// assert_eq!(Stamp::new("w1", 3, 9, "a b\n").operator, "ab");
    /// ```
    pub fn new(writer: &str, base: Version, at_ms: u64, operator: &str) -> Self {
        let graphic = operator.chars().filter(char::is_ascii_graphic);
        Self {
            writer: writer.to_owned(),
            base,
            at_ms,
            operator: graphic.take(MAX_OPERATOR_CHARS).collect(),
        }
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.strip_prefix(STAMP_PREFIX)?.split(' ');
        let stamp = Self {
            writer: words.next()?.to_owned(),
            base: words.next()?.strip_prefix("base=")?.parse().ok()?,
            at_ms: words.next()?.strip_prefix("at=")?.parse().ok()?,
            operator: words.next()?.strip_prefix("by=")?.to_owned(),
        };
        words.next().is_none().then_some(stamp)
    }
}

/// The text of a document and the stamps of its last puts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The text as the operator wrote it, without stamps.
    pub text: String,
    /// The stamps, newest last.
    pub stamps: Vec<Stamp>,
}

impl Stored {
    /// Parses a stored value; the stamps are the comment lines at its end.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::stored::Stored;
    ///
    /// let stored = Stored::parse("[service]\n; put w1 base=0 at=5 by=ana\n");
    /// assert_eq!(stored.text, "[service]\n");
    /// assert_eq!(stored.stamps[0].operator, "ana");
    /// ```
    pub fn parse(value: &str) -> Self {
        let mut stamps = Vec::new();
        let mut text = value;
        while let Some((rest, stamp)) = last_stamp(text) {
            stamps.push(stamp);
            text = rest;
        }
        stamps.reverse();
        Self {
            text: text.to_owned(),
            stamps,
        }
    }

    /// Returns the value that follows this one when `text` is put with `stamp`.
    ///
    /// Stamps and a version line that `text` still has from `document get` are dropped; the stamps of this value and
    /// the new one are used instead.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::stored::{Stamp, Stored};
    ///
    /// let next = Stored::default().next("[service]", Stamp::new("w1", 0, 5, "ana"));
    /// assert_eq!(next.to_string(), "[service]\n; put w1 base=0 at=5 by=ana\n");
    /// ```
    #[must_use]
    pub fn next(&self, text: &str, stamp: Stamp) -> Self {
        let skip = (self.stamps.len() + 1).saturating_sub(MAX_STAMPS);
        let mut stamps: Vec<Stamp> = self.stamps.iter().skip(skip).cloned().collect();
        stamps.push(stamp);
        Self {
            text: strip_metadata(text),
            stamps,
        }
    }

    /// Returns the stamps with the version that each put created, newest first.
    ///
    /// A put's version is the base of the next put; the newest put created `version`, the version of this value.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::stored::Stored;
    ///
    /// let value = "x\n; put w1 base=0 at=5 by=ana\n; put w2 base=4 at=6 by=eva\n";
    /// let stored = Stored::parse(value);
    /// let versions: Vec<u64> = stored.log(9).iter().map(|(version, _)| *version).collect();
    /// assert_eq!(versions, [9, 4]);
    /// ```
    pub fn log(&self, version: Version) -> Vec<(Version, &Stamp)> {
        let later = self.stamps.iter().rev().map(|stamp| stamp.base);
        let versions = std::iter::once(version).chain(later);
        versions.zip(self.stamps.iter().rev()).collect()
    }
}

impl fmt::Display for Stored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)?;
        if !self.text.is_empty() && !self.text.ends_with('\n') {
            f.write_char('\n')?;
        }
        self.stamps
            .iter()
            .try_for_each(|stamp| writeln!(f, "{stamp}"))
    }
}

/// Splits off the last line of a value if it is a stamp.
fn last_stamp(value: &str) -> Option<(&str, Stamp)> {
    let whole = value.strip_suffix('\n')?;
    let start = whole.rfind('\n').map_or(0, |end| end + 1);
    let stamp = Stamp::parse(&whole[start..])?;
    Some((&value[..start], stamp))
}

/// Adds a first line with the version of a text, which is the base of a later put.
///
/// # Example
///
/// ```
/// use bramleypier::document::stored;
///
/// let text = stored::with_version("[service]\n", 7);
/// assert_eq!(stored::read_version(&text), Some(7));
/// ```
pub fn with_version(text: &str, version: Version) -> String {
    format!("{VERSION_PREFIX}{version}\n{text}")
}

/// Returns the version in the first line of a text, if there is one.
///
/// # Example
///
/// ```
/// use bramleypier::document::stored;
///
/// assert_eq!(stored::read_version("[service]\n"), None);
/// ```
pub fn read_version(text: &str) -> Option<Version> {
    let first = text.lines().next()?;
    first.strip_prefix(VERSION_PREFIX)?.trim().parse().ok()
}

/// Removes the version line and the stamps from a text, which leaves the operator's own text.
///
/// # Example
///
/// ```
/// use bramleypier::document::stored;
///
/// let text = "; version 7\n[service]\n; put w1 base=0 at=5 by=ana\n";
/// assert_eq!(stored::strip_metadata(text), "[service]\n");
/// ```
pub fn strip_metadata(text: &str) -> String {
    let mut text = text;
    while read_version(text).is_some() {
        text = text.split_once('\n').map_or("", |(_, rest)| rest);
    }
    while let Some((rest, _)) = last_stamp(text) {
        text = rest;
    }
    text.to_owned()
}
