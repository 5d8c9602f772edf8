//! Schemas of INI files: tables of the permitted sections and keys, with their types and defaults.
//!
//! A file is checked against its table, and the operators' documentation is generated from it.

use std::{fmt, net::SocketAddr, str::FromStr};

use crate::ini::{self, Fault, Section};

/// The maximum length of a name, in characters.
pub const NAME_MAX: usize = 63;

/// One key of a schema.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// The section; `class *` matches each section `class NAME`.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// The type and range of its value.
    pub kind: Kind,
    /// What applies if the key is missing.
    pub preset: Preset,
    /// One sentence for the operators' documentation.
    pub meaning: &'static str,
}

impl Field {
    /// Creates a key of a schema.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::fields::{Field, Kind, Preset};
    ///
    /// const NAME: Field = Field::new("vm", "name", Kind::Name, Preset::Required, "The VM's name.");
    /// assert_eq!(NAME.key, "name");
    /// ```
    pub const fn new(
        section: &'static str,
        key: &'static str,
        kind: Kind,
        preset: Preset,
        meaning: &'static str,
    ) -> Self {
        Self {
            section,
            key,
            kind,
            preset,
            meaning,
        }
    }
}

/// The type of a value, with its range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name of 1 to 63 characters: a-z, 0-9, `-` and `.`, with a letter or digit at both ends.
    Name,
    /// `IP:port`; with port 0 the system chooses a port.
    Address,
    /// A comma-separated list of `IP:port`.
    Addresses,
    /// A file system path.
    Path,
    /// One of these words.
    Word(&'static [&'static str]),
    /// A comma-separated list of HTTP methods in capitals; empty for all.
    Methods,
    /// The prefix of a URL path, without the leading `/`; empty for all.
    Prefix,
    /// Any text.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number with its unit, minimum and maximum, both inclusive.
    Number(&'static str, u64, u64),
    /// A decimal number with its minimum and maximum, both inclusive.
    Decimal(f64, f64),
}

/// What applies if a key is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// The key must be given.
    Required,
    /// There is no default.
    Nothing,
    /// This default value.
    Value(&'static str),
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Nothing => f.write_str("none"),
            Self::Value("") => f.write_str("empty"),
            Self::Value(value) => f.write_str(value),
        }
    }
}

impl Kind {
    /// Returns the unit and the range for the documentation.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::fields::Kind;
    ///
    /// assert_eq!(Kind::Number("ms", 1, 9).range(), ("ms".to_owned(), "1 to 9".to_owned()));
    /// ```
    pub fn range(&self) -> (String, String) {
        let (unit, range) = match self {
            Self::Name => ("name", "a-z, 0-9, `-`, `.`; 1 to 63 characters".to_owned()),
            Self::Address => ("IP:port", "any".to_owned()),
            Self::Addresses => ("IP:port, ...", "any".to_owned()),
            Self::Path => ("path", "any".to_owned()),
            Self::Word(words) => ("word", words.join(", ")),
            Self::Methods => ("methods", "capitals, parted by commas".to_owned()),
            Self::Prefix => ("path", "without leading `/`".to_owned()),
            Self::Text => ("text", "any".to_owned()),
            Self::Flag => ("word", "true, false".to_owned()),
            Self::Number(unit, min, max) => (*unit, format!("{min} to {max}")),
            Self::Decimal(min, max) => ("number", format!("{min} to {max}")),
        };
        (unit.to_owned(), range)
    }

    /// Checks a value's type and range.
    ///
    /// # Errors
    ///
    /// Returns the reason, for the operator.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::fields::Kind;
    ///
    /// assert!(Kind::Number("ms", 1, 9).check("5").is_ok());
    /// assert!(Kind::Number("ms", 1, 9).check("10").is_err());
    /// ```
    pub fn check(&self, value: &str) -> Result<(), String> {
        match self {
            Self::Name => check_name(value),
            Self::Address => check_address(value),
            Self::Addresses => parts(value).try_for_each(check_address),
            Self::Path if value.is_empty() => Err("is empty".to_owned()),
            Self::Path | Self::Text => Ok(()),
            Self::Word(words) => check_word(value, words),
            Self::Methods => parts(value).try_for_each(check_method),
            Self::Prefix => check_prefix(value),
            Self::Flag => check_word(value, &["true", "false"]),
            Self::Number(unit, min, max) => check_number(value, unit, *min, *max),
            Self::Decimal(min, max) => check_decimal(value, *min, *max),
        }
    }
}

/// Splits a comma-separated list into its trimmed items; an empty text has none.
///
/// # Example
///
/// ```
/// use bramleypier_util::fields;
///
/// assert_eq!(fields::parts("a, b").collect::<Vec<_>>(), ["a", "b"]);
/// assert_eq!(fields::parts("").count(), 0);
/// ```
pub fn parts(value: &str) -> impl Iterator<Item = &str> {
    let is_list = !value.trim().is_empty();
    value.split(',').map(str::trim).filter(move |_| is_list)
}

fn check_name(value: &str) -> Result<(), String> {
    let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let outer = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    if value.is_empty() || value.len() > NAME_MAX {
        return Err(format!("a name has 1 to {NAME_MAX} characters"));
    }
    if !value.chars().all(inner) {
        return Err(format!(
            "`{value}`: a name is made of a-z, 0-9, `-` and `.`"
        ));
    }
    if !value.starts_with(outer) || !value.ends_with(outer) {
        return Err(format!(
            "`{value}`: a name starts and ends with a letter or digit"
        ));
    }
    Ok(())
}

fn check_address(value: &str) -> Result<(), String> {
    match SocketAddr::from_str(value) {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("`{value}` is not IP:port")),
    }
}

fn check_word(value: &str, words: &[&str]) -> Result<(), String> {
    if words.contains(&value) {
        return Ok(());
    }
    Err(format!("`{value}` is not one of {}", words.join(", ")))
}

fn check_method(value: &str) -> Result<(), String> {
    if !value.is_empty() && value.chars().all(|c| c.is_ascii_uppercase()) {
        return Ok(());
    }
    Err(format!("`{value}` is not a method in capitals"))
}

fn check_prefix(value: &str) -> Result<(), String> {
    if value.starts_with('/') {
        return Err(format!("`{value}` starts with `/`"));
    }
    let is_path_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | ';' | '"');
    if value.chars().all(is_path_char) {
        return Ok(());
    }
    Err(format!("`{value}` is not a path"))
}

fn check_number(value: &str, unit: &str, min: u64, max: u64) -> Result<(), String> {
    // The digits are checked separately because `parse` also accepts a leading `+`.
    let digits = !value.is_empty() && value.chars().all(|c| c.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(number) if digits && (min..=max).contains(&number) => Ok(()),
        Ok(_) if digits => Err(format!("{value} {unit} is not within {min} to {max}")),
        _ => Err(format!("`{value}` is not a whole number of {unit}")),
    }
}

fn check_decimal(value: &str, min: f64, max: f64) -> Result<(), String> {
    match value.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        Ok(_) => Err(format!("{value} is not within {min} to {max}")),
        Err(_) => Err(format!("`{value}` is not a number")),
    }
}

/// An INI file whose sections, keys and values comply with its schema.
#[derive(Clone, Debug)]
pub struct Checked {
    file: String,
    table: &'static [Field],
    sections: Vec<Section>,
}

/// Parses an INI file and checks it against a schema.
///
/// # Errors
///
/// Returns the first [`Fault`]: an unknown section or key, an invalid value, or a missing key.
///
/// # Example
///
/// ```
/// use bramleypier_util::fields::{self, Field, Kind, Preset};
///
/// const TABLE: &[Field] = &[Field {
///     section: "vm",
///     key: "name",
///     kind: Kind::Name,
///     preset: Preset::Required,
///     meaning: "The name.",
/// }];
///
/// let fault = fields::check("vm.ini", "[vm]\ncolour = red", TABLE).unwrap_err();
/// assert_eq!(fault.to_string(), "vm.ini:2: [vm] colour: unknown key");
/// ```
pub fn check(file: &str, text: &str, table: &'static [Field]) -> Result<Checked, Fault> {
    let sections = ini::parse(file, text)?;
    let checked = Checked {
        file: file.to_owned(),
        table,
        sections,
    };
    for section in &checked.sections {
        checked.check_section(section)?;
    }
    checked.check_required()?;
    Ok(checked)
}

/// Returns the name of a section in the schema: `class *` for `class orders`.
fn pattern(section: &str) -> String {
    match section.split_once(' ') {
        Some((kind, _)) => format!("{kind} *"),
        None => section.to_owned(),
    }
}

impl Checked {
    fn check_section(&self, section: &Section) -> Result<(), Fault> {
        let pattern = pattern(&section.name);
        let fields = || self.table.iter().filter(|field| field.section == pattern);
        if fields().next().is_none() {
            return Err(self.fault(section.line, &section.name, "", "unknown section"));
        }
        if let Some((_, label)) = section.name.split_once(' ') {
            check_name(label).map_err(|why| self.fault(section.line, &section.name, "", &why))?;
        }
        for key in &section.keys {
            let fault = |why: &str| self.fault(key.line, &section.name, &key.name, why);
            let Some(field) = fields().find(|field| field.key == key.name) else {
                return Err(fault("unknown key"));
            };
            field.kind.check(&key.value).map_err(|why| fault(&why))?;
        }
        for field in fields().filter(|field| field.preset == Preset::Required) {
            if !section.keys.iter().any(|key| key.name == field.key) {
                return Err(self.fault(section.line, &section.name, field.key, "missing key"));
            }
        }
        Ok(())
    }

    /// Checks that no required key is missing together with its section.
    fn check_required(&self) -> Result<(), Fault> {
        for field in self.table {
            let is_required = field.preset == Preset::Required && !field.section.ends_with('*');
            if is_required
                && !self
                    .sections
                    .iter()
                    .any(|section| section.name == field.section)
            {
                return Err(self.fault(0, field.section, field.key, "missing key"));
            }
        }
        Ok(())
    }

    /// Creates an error at a line of this file.
    pub fn fault(&self, line: usize, section: &str, key: &str, reason: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// Creates an error at a key, or at its section if the key is missing.
    pub fn fault_at(&self, section: &str, key: &str, reason: &str) -> Fault {
        let found = self
            .sections
            .iter()
            .find(|candidate| candidate.name == section);
        let line = found.map_or(0, |found| {
            let entry = found.keys.iter().find(|candidate| candidate.name == key);
            entry.map_or(found.line, |entry| entry.line)
        });
        self.fault(line, section, key, reason)
    }

    /// Returns the `NAME` of each section `kind NAME`, in the order of the file.
    pub fn named(&self, kind: &str) -> Vec<String> {
        let names = self.sections.iter().filter_map(|section| {
            let (found, name) = section.name.split_once(' ')?;
            (found == kind).then(|| name.to_owned())
        });
        names.collect()
    }

    /// Returns the value of a key, or its default.
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        let found = self
            .sections
            .iter()
            .find(|candidate| candidate.name == section);
        let keys = found.map(|found| found.keys.as_slice()).unwrap_or_default();
        if let Some(present) = keys.iter().find(|candidate| candidate.name == key) {
            return Some(&present.value);
        }
        let pattern = pattern(section);
        let field = |field: &&Field| field.section == pattern && field.key == key;
        match self.table.iter().find(field)?.preset {
            Preset::Value(value) => Some(value),
            Preset::Required | Preset::Nothing => None,
        }
    }

    /// Parses the value of a key; `None` if it has neither value nor default.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, if the value can't be parsed or is missing.
    pub fn optional<T>(&self, section: &str, key: &str) -> Result<Option<T>, Fault>
    where
        T: FromStr,
    {
        let Some(text) = self.text(section, key) else {
            return Ok(None);
        };
        let invalid = |_| self.fault_at(section, key, "does not fit its type");
        text.parse().map(Some).map_err(invalid)
    }

    /// Parses the value of a key.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, if the value can't be parsed or is missing.
    pub fn value<T>(&self, section: &str, key: &str) -> Result<T, Fault>
    where
        T: FromStr,
    {
        let missing = || self.fault_at(section, key, "missing key");
        self.optional(section, key)?.ok_or_else(missing)
    }

    /// Parses the value of a key, in milliseconds, as a duration.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, if the value can't be parsed or is missing.
    pub fn millis(&self, section: &str, key: &str) -> Result<std::time::Duration, Fault> {
        self.value(section, key)
            .map(std::time::Duration::from_millis)
    }

    /// Parses the items of a list.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, if the value can't be parsed or is missing.
    pub fn list<T>(&self, section: &str, key: &str) -> Result<Vec<T>, Fault>
    where
        T: FromStr,
    {
        let text = self.text(section, key).unwrap_or_default();
        let invalid = |_| self.fault_at(section, key, "does not fit its type");
        parts(text)
            .map(|part| part.parse().map_err(invalid))
            .collect()
    }
}

/// Formats a schema as the Markdown table of the operators' documentation.
///
/// # Example
///
/// ```
/// use bramleypier_util::fields::{self, Field, Kind, Preset};
///
/// const TABLE: &[Field] = &[Field {
///     section: "vm",
///     key: "name",
///     kind: Kind::Name,
///     preset: Preset::Required,
///     meaning: "The name.",
/// }];
///
/// assert!(fields::markdown(TABLE).contains("| `[vm]` | `name` |"));
/// ```
pub fn markdown(table: &[Field]) -> String {
    let mut page = "| section | key | unit | default | range | meaning |\n".to_owned();
    page.push_str("|---|---|---|---|---|---|\n");
    for field in table {
        let (unit, range) = field.kind.range();
        let row = format!(
            "| `[{}]` | `{}` | {unit} | {} | {range} | {} |\n",
            field.section, field.key, field.preset, field.meaning
        );
        page.push_str(&row);
    }
    page
}
