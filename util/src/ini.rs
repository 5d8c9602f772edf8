//! Parses INI files and keeps the line number of each section and key, so that errors can name it.
//!
//! The `ini` library does the parsing. Before that, this module checks the syntax of each line, because
//! the library joins lines without a `=` and keeps no line numbers.

use std::fmt;

use ini::{Ini, ParseOption};

/// An error in an INI file, displayed on one line with file, line, section, key and reason.
///
/// # Example
///
/// ```
/// use bramleypier_util::ini;
///
/// let fault = ini::parse("vm.ini", "[vm]\nname").unwrap_err();
/// assert_eq!(fault.to_string(), "vm.ini:2: [vm] name: expected `key = value`");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The file's name, as given by the operator.
    pub file: String,
    /// The line number, starting at 1; 0 if the error has no line.
    pub line: usize,
    /// The section; empty if there is none.
    pub section: String,
    /// The key; empty if the error concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        write!(f, ":")?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        } else if !self.section.is_empty() {
            write!(f, ":")?;
        }
        write!(f, " {}", self.reason)
    }
}

impl std::error::Error for Fault {}

/// A section with its keys, in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// The line number of the header.
    pub line: usize,
    /// The keys.
    pub keys: Vec<Key>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The key's name.
    pub name: String,
    /// The value, without a comment and surrounding whitespace.
    pub value: String,
    /// The line number.
    pub line: usize,
}

/// The kind of one line.
enum Line<'a> {
    /// Empty, or a comment.
    Blank,
    /// A section's header, with its name.
    Header(&'a str),
    /// `key = value`, with the key.
    Pair(&'a str),
}

/// Parses an INI file into its sections; `file` is its name in errors.
///
/// A comment starts with `;` or `#`, at the start of a line or after a value and a blank. Values are literal:
/// quotes, escapes and continued lines are not supported.
///
/// # Errors
///
/// Returns a [`Fault`] for a line that is not a comment, a header or `key = value`, for a key before
/// the first header, and for a duplicate section or key.
///
/// # Example
///
/// ```
/// use bramleypier_util::ini;
///
/// let sections = ini::parse("vm.ini", "[vm]\nname = vm-1 ; the first").unwrap();
/// assert_eq!(sections[0].keys[0].value, "vm-1");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Vec<Section>, Fault> {
    let located = locate(file, text)?;
    let trimmed: Vec<&str> = text.lines().map(str::trim).collect();
    let parsed = parse_with_library(file, &trimmed.join("\n"))?;
    let mut sections = Vec::new();
    let named = parsed.iter().filter(|(name, _)| name.is_some());
    for (location, (_, properties)) in located.into_iter().zip(named) {
        let mut section = location;
        for (key, (_, value)) in section.keys.iter_mut().zip(properties.iter()) {
            without_comment(value).clone_into(&mut key.value);
        }
        sections.push(section);
    }
    Ok(sections)
}

/// Parses text with the library; its syntax has been checked.
fn parse_with_library(file: &str, text: &str) -> Result<Ini, Fault> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    Ini::load_from_str_opt(text, options).map_err(|error| Fault {
        file: file.to_owned(),
        line: error.line,
        reason: error.msg.into_owned(),
        ..Fault::default()
    })
}

/// Checks the syntax and returns each section and key with its line number and without values.
fn locate(file: &str, text: &str) -> Result<Vec<Section>, Fault> {
    let mut sections: Vec<Section> = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let line = index + 1;
        let current = sections.last().map(|section| section.name.clone());
        let fault = |key: &str, reason: &str| Fault {
            file: file.to_owned(),
            line,
            section: current.clone().unwrap_or_default(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        };
        match classify(raw).map_err(|(key, reason)| fault(key, reason))? {
            Line::Blank => {}
            Line::Header(name) if sections.iter().any(|section| section.name == name) => {
                let mut duplicate = fault("", "the section stands twice");
                name.clone_into(&mut duplicate.section);
                return Err(duplicate);
            }
            Line::Header(name) => sections.push(Section {
                name: name.to_owned(),
                line,
                keys: Vec::new(),
            }),
            Line::Pair(name) => {
                let Some(section) = sections.last_mut() else {
                    return Err(fault(name, "the key stands before the first section"));
                };
                if section.keys.iter().any(|key| key.name == name) {
                    return Err(fault(name, "the key stands twice"));
                }
                section.keys.push(Key {
                    name: name.to_owned(),
                    value: String::new(),
                    line,
                });
            }
        }
    }
    Ok(sections)
}

/// Returns the kind of a line, or the key and the reason why it is invalid.
fn classify(raw: &str) -> Result<Line<'_>, (&str, &'static str)> {
    let line = raw.trim();
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Err(("", "a control character"));
    }
    if line.is_empty() || line.starts_with([';', '#']) {
        return Ok(Line::Blank);
    }
    if line.ends_with('\\') {
        return Err(("", "a line cannot be continued with `\\`"));
    }
    if let Some(rest) = line.strip_prefix('[') {
        return parse_header(rest).map(Line::Header);
    }
    let Some((key, _)) = line.split_once('=') else {
        return Err((line, "expected `key = value`"));
    };
    let key = key.trim();
    if key.is_empty() || !key.chars().all(is_key_char) {
        return Err((key, "a key is made of a-z, 0-9 and `_`"));
    }
    Ok(Line::Pair(key))
}

/// Parses a header's name from the text after the opening bracket.
fn parse_header(rest: &str) -> Result<&str, (&str, &'static str)> {
    let Some((name, tail)) = rest.split_once(']') else {
        return Err(("", "the section's `]` is missing"));
    };
    let tail = tail.trim();
    if !tail.is_empty() && !tail.starts_with([';', '#']) {
        return Err(("", "only a comment may follow `]`"));
    }
    let name = name.trim();
    if name.is_empty() || !name.chars().all(is_header_char) {
        return Err((
            "",
            "a section's name is made of letters, digits, `-`, `_`, `.` and blanks",
        ));
    }
    Ok(name)
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_'
}

fn is_header_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ' ')
}

/// Removes a comment that follows the `=` directly, which the library returns as the value.
fn without_comment(value: &str) -> &str {
    if value.starts_with([';', '#']) {
        return "";
    }
    value.trim()
}
