//! Tables of keys: what an INI text may hold, from which checks and documentation are made.

use std::{fmt, net::SocketAddr, str::FromStr};

use crate::ini::{self, Fault, Section};

/// The longest name of a thing.
pub const NAME_MAX: usize = 63;

/// One key that a text may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// The section; `class *` stands for each section `class NAME`.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// What its value may be.
    pub kind: Kind,
    /// What holds when the key is missing.
    pub preset: Preset,
    /// One sentence for the operator.
    pub meaning: &'static str,
}

impl Field {
    /// Creates a row of a table.
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

/// What a value may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name: a-z, 0-9, `-` and `.`, from 1 to 63 characters, a letter or digit at both ends.
    Name,
    /// `IP:port`; the port may be 0 where the system is to choose one.
    Address,
    /// `IP:port`, several, parted by commas.
    Addresses,
    /// A path of the file system.
    Path,
    /// One of these words.
    Word(&'static [&'static str]),
    /// Any of HTTP's methods in capitals, parted by commas; empty for all.
    Methods,
    /// The start of a path, without the leading `/`; empty for all.
    Prefix,
    /// Any text.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number in a unit, both bounds inclusive.
    Number(&'static str, u64, u64),
    /// A decimal number, both bounds inclusive.
    Decimal(f64, f64),
}

/// What holds when a key is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// The key must be given.
    Required,
    /// There is none.
    Nothing,
    /// This value.
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
    /// Returns the unit and the range, as the documentation gives them.
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

    /// Checks a value.
    ///
    /// # Errors
    ///
    /// Returns the reason for the operator.
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
            Self::Name => name(value),
            Self::Address => address(value),
            Self::Addresses => parts(value).try_for_each(address),
            Self::Path if value.is_empty() => Err("is empty".to_owned()),
            Self::Path | Self::Text => Ok(()),
            Self::Word(words) => word(value, words),
            Self::Methods => parts(value).try_for_each(method),
            Self::Prefix => prefix(value),
            Self::Flag => word(value, &["true", "false"]),
            Self::Number(unit, min, max) => number(value, unit, *min, *max),
            Self::Decimal(min, max) => decimal(value, *min, *max),
        }
    }
}

/// The parts of a list, none for an empty text.
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
    let full = !value.trim().is_empty();
    value.split(',').map(str::trim).filter(move |_| full)
}

fn name(value: &str) -> Result<(), String> {
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

fn address(value: &str) -> Result<(), String> {
    match SocketAddr::from_str(value) {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("`{value}` is not IP:port")),
    }
}

fn word(value: &str, words: &[&str]) -> Result<(), String> {
    if words.contains(&value) {
        return Ok(());
    }
    Err(format!("`{value}` is not one of {}", words.join(", ")))
}

fn method(value: &str) -> Result<(), String> {
    if !value.is_empty() && value.chars().all(|c| c.is_ascii_uppercase()) {
        return Ok(());
    }
    Err(format!("`{value}` is not a method in capitals"))
}

fn prefix(value: &str) -> Result<(), String> {
    if value.starts_with('/') {
        return Err(format!("`{value}` starts with `/`"));
    }
    let sound = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | ';' | '"');
    if value.chars().all(sound) {
        return Ok(());
    }
    Err(format!("`{value}` is not a path"))
}

fn number(value: &str, unit: &str, min: u64, max: u64) -> Result<(), String> {
    // The digits are checked first: `parse` would also take a leading `+`.
    let digits = !value.is_empty() && value.chars().all(|c| c.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(number) if digits && (min..=max).contains(&number) => Ok(()),
        Ok(_) if digits => Err(format!("{value} {unit} is not within {min} to {max}")),
        _ => Err(format!("`{value}` is not a whole number of {unit}")),
    }
}

fn decimal(value: &str, min: f64, max: f64) -> Result<(), String> {
    match value.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        Ok(_) => Err(format!("{value} is not within {min} to {max}")),
        Err(_) => Err(format!("`{value}` is not a number")),
    }
}

/// A text whose sections, keys and values all fit a table.
#[derive(Clone, Debug)]
pub struct Checked {
    file: String,
    table: &'static [Field],
    sections: Vec<Section>,
}

/// Parses a text and checks it against a table.
///
/// # Errors
///
/// Returns the first [`Fault`]: an unknown section or key, a bad value, a missing key.
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

/// The table's name of a section: `class orders` is listed as `class *`.
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
        if let Some((_, own)) = section.name.split_once(' ') {
            name(own).map_err(|why| self.fault(section.line, &section.name, "", &why))?;
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

    /// Finds required keys whose whole section is missing.
    fn check_required(&self) -> Result<(), Fault> {
        for field in self.table {
            let needed = field.preset == Preset::Required && !field.section.ends_with('*');
            if needed
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

    /// Makes a fault at a line of this text.
    pub fn fault(&self, line: usize, section: &str, key: &str, reason: &str) -> Fault {
        Fault {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// Makes a fault at a key, or at its section when the key isn't given.
    pub fn fault_at(&self, section: &str, key: &str, reason: &str) -> Fault {
        let found = self
            .sections
            .iter()
            .find(|candidate| candidate.name == section);
        let line = found.map_or(0, |found| {
            let place = found.keys.iter().find(|candidate| candidate.name == key);
            place.map_or(found.line, |place| place.line)
        });
        self.fault(line, section, key, reason)
    }

    /// Returns the names of the sections `kind NAME`, in order.
    pub fn named(&self, kind: &str) -> Vec<String> {
        let names = self.sections.iter().filter_map(|section| {
            let (found, name) = section.name.split_once(' ')?;
            (found == kind).then(|| name.to_owned())
        });
        names.collect()
    }

    /// Returns the value of a key, or its preset.
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        let found = self
            .sections
            .iter()
            .find(|candidate| candidate.name == section);
        let keys = found.map(|found| found.keys.as_slice()).unwrap_or_default();
        if let Some(given) = keys.iter().find(|candidate| candidate.name == key) {
            return Some(&given.value);
        }
        let pattern = pattern(section);
        let field = |field: &&Field| field.section == pattern && field.key == key;
        match self.table.iter().find(field)?.preset {
            Preset::Value(value) => Some(value),
            Preset::Required | Preset::Nothing => None,
        }
    }

    /// Returns the value of a key as a type, or `None` if it has neither value nor preset.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, when the value doesn't fit or is missing.
    pub fn optional<T>(&self, section: &str, key: &str) -> Result<Option<T>, Fault>
    where
        T: FromStr,
    {
        let Some(text) = self.text(section, key) else {
            return Ok(None);
        };
        let wrong = |_| self.fault_at(section, key, "does not fit its type");
        text.parse().map(Some).map_err(wrong)
    }

    /// Returns the value of a key as a type.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, when the value doesn't fit or is missing.
    pub fn value<T>(&self, section: &str, key: &str) -> Result<T, Fault>
    where
        T: FromStr,
    {
        let missing = || self.fault_at(section, key, "missing key");
        self.optional(section, key)?.ok_or_else(missing)
    }

    /// Returns the value of a key in milliseconds as a duration.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, when the value doesn't fit or is missing.
    pub fn millis(&self, section: &str, key: &str) -> Result<std::time::Duration, Fault> {
        self.value(section, key)
            .map(std::time::Duration::from_millis)
    }

    /// Returns the parts of a list.
    ///
    /// # Errors
    ///
    /// A [`Fault`] at the key, when the value doesn't fit or is missing.
    pub fn list<T>(&self, section: &str, key: &str) -> Result<Vec<T>, Fault>
    where
        T: FromStr,
    {
        let text = self.text(section, key).unwrap_or_default();
        let wrong = |_| self.fault_at(section, key, "does not fit its type");
        parts(text)
            .map(|part| part.parse().map_err(wrong))
            .collect()
    }
}

/// Returns the table as Markdown, as the operators' page carries it.
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
