//! A document as the platform's service holds it: the text as written, then its stamps.
//!
//! Each put adds a stamp, a comment line at the end of the text, so that every reader parses the
//! value as it is. The stamps of the last puts travel with the value: they settle a put whose answer
//! was lost, even if others have been put since, and they are the document's log.

use std::fmt::{self, Write as _};

use crate::{
    id::{ServiceId, Version},
    platform,
};

/// How many stamps a value carries.
pub const STAMPS_MAX: usize = 64;

/// The longest name of an operator that a stamp carries.
const OPERATOR_MAX: usize = 64;

const STAMP: &str = "; put ";
const BASE: &str = "; version ";

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

/// Who put a version, and on which.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// An id that no other put has.
    pub writer: String,
    /// The version that the put was based on; 0 for a new document.
    pub base: Version,
    /// Milliseconds since 1970, by the writer's wall clock.
    pub at_ms: u64,
    /// The operator, as given.
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
        write!(f, "{STAMP}{writer} base={base} at={at_ms} by={operator}")
    }
}

impl Stamp {
    /// Creates a stamp; what would break its line in the operator's name is left out.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::document::stored::Stamp;
    ///
    /// assert_eq!(Stamp::new("w1", 3, 9, "a b\n").operator, "ab");
    /// ```
    pub fn new(writer: &str, base: Version, at_ms: u64, operator: &str) -> Self {
        let plain = operator.chars().filter(char::is_ascii_graphic);
        Self {
            writer: writer.to_owned(),
            base,
            at_ms,
            operator: plain.take(OPERATOR_MAX).collect(),
        }
    }

    fn parse(line: &str) -> Option<Self> {
        let mut words = line.strip_prefix(STAMP)?.split(' ');
        let stamp = Self {
            writer: words.next()?.to_owned(),
            base: words.next()?.strip_prefix("base=")?.parse().ok()?,
            at_ms: words.next()?.strip_prefix("at=")?.parse().ok()?,
            operator: words.next()?.strip_prefix("by=")?.to_owned(),
        };
        words.next().is_none().then_some(stamp)
    }
}

/// A document's text and the stamps of its last puts, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The text as the operator wrote it, without stamps.
    pub text: String,
    /// The stamps.
    pub stamps: Vec<Stamp>,
}

impl Stored {
    /// Reads a value; the stamps are the comment lines at its end.
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
    /// Stamps within `text`, as `document get` gives them, are replaced by the true ones.
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
        let skip = (self.stamps.len() + 1).saturating_sub(STAMPS_MAX);
        let mut stamps: Vec<Stamp> = self.stamps.iter().skip(skip).cloned().collect();
        stamps.push(stamp);
        Self {
            text: strip_metadata(text),
            stamps,
        }
    }

    /// Returns the stamps with the version that each put gave, the newest first.
    ///
    /// A put's version is the base of the next one; the newest put's is `version`, the value's own.
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

/// Splits the last line off a value if it is a stamp.
fn last_stamp(value: &str) -> Option<(&str, Stamp)> {
    let whole = value.strip_suffix('\n')?;
    let start = whole.rfind('\n').map_or(0, |end| end + 1);
    let stamp = Stamp::parse(&whole[start..])?;
    Some((&value[..start], stamp))
}

/// Marks a text with the version it was got at, for a later put.
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
    format!("{BASE}{version}\n{text}")
}

/// Returns the version that a text was got at, if its first line says so.
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
    first.strip_prefix(BASE)?.trim().parse().ok()
}

/// Drops the mark and the stamps from a text, so that only what an operator wrote is left.
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
