//! Service documents as far as the tools need them: which targets to start, what to send.

use std::{io, path::Path};

use indexmap::IndexMap;
use ini::{Ini, Properties};

/// A target as a document describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its failure domain.
    pub domain: String,
    /// Whether it checks grants.
    pub checks_grants: bool,
    /// How many requests it runs at a time.
    pub slots: String,
}

/// A service document.
#[derive(Clone, Debug)]
pub struct Document {
    ini: Ini,
    /// The service's name.
    pub service: String,
    /// The version in force that this one is based on; 0 before it was put.
    pub version: u64,
    /// Whether a class takes orders.
    pub takes_orders: bool,
    /// Whether a class takes files.
    pub takes_files: bool,
    /// The targets, by name.
    pub targets: IndexMap<String, Target>,
}

impl Document {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is no INI file.
    pub fn load(path: &Path) -> io::Result<Self> {
        let ini = Ini::load_from_file(path)
            .map_err(|cause| io::Error::other(format!("{}: {cause}", path.display())))?;
        Ok(Self::new(ini))
    }

    /// Reads a document's text.
    ///
    /// # Errors
    ///
    /// Fails when it is no INI text.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::document::Document;
    ///
    /// let text = "[service]\nname = tracking\n[target t-1]\naddress = 127.0.0.1:1\n";
    /// let mut document = Document::parse(text).unwrap();
    /// assert_eq!(document.service, "tracking");
    /// document.set_address("t-1", "127.0.0.1:2");
    /// assert!(document.text().unwrap().contains("127.0.0.1:2"));
    /// ```
    pub fn parse(text: &str) -> io::Result<Self> {
        let ini = Ini::load_from_str(text).map_err(io::Error::other)?;
        Ok(Self::new(ini))
    }

    fn new(ini: Ini) -> Self {
        let service = ini
            .get_from(Some("service"), "name")
            .unwrap_or("")
            .to_owned();
        let classes: Vec<&Properties> = sections(&ini, "class ").map(|(_, class)| class).collect();
        let has = |key, value| classes.iter().any(|class| class.get(key) == Some(value));
        let targets = sections(&ini, "target ");
        Self {
            takes_orders: has("idempotent", "false"),
            takes_files: has("path", "files/"),
            targets: targets.map(|(name, target)| (name, read(target))).collect(),
            service,
            version: 0,
            ini,
        }
    }

    /// Gives a target another address.
    pub fn set_address(&mut self, target: &str, address: &str) {
        self.set_target(target, "address", address);
    }

    /// Sets a key of a target.
    pub fn set_target(&mut self, target: &str, key: &str, value: &str) {
        let section = format!("target {target}");
        self.ini.with_section(Some(section)).set(key, value);
    }

    /// Returns the document's text.
    ///
    /// # Errors
    ///
    /// Fails when it can't be written.
    pub fn text(&self) -> io::Result<String> {
        let mut bytes = Vec::new();
        self.ini.write_to(&mut bytes)?;
        String::from_utf8(bytes).map_err(io::Error::other)
    }
}

fn sections<'a>(
    ini: &'a Ini,
    kind: &'static str,
) -> impl Iterator<Item = (String, &'a Properties)> {
    ini.iter().filter_map(move |(section, properties)| {
        let name = section?.strip_prefix(kind)?;
        Some((name.trim().to_owned(), properties))
    })
}

fn read(target: &Properties) -> Target {
    let text = |key| target.get(key).unwrap_or("");
    Target {
        domain: text("domain").to_owned(),
        checks_grants: text("fencing") == "checked",
        slots: text("slots").to_owned(),
    }
}
