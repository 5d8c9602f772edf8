//! The parts of service documents that the tools need.
//!
//! A document names the targets to start and shows which kinds of requests the service accepts.

use std::{io, path::Path};

use indexmap::IndexMap;
use ini::{Ini, Properties};

/// A target in a service document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The failure domain.
    pub domain: String,
    /// Whether the target checks grants.
    pub checks_grants: bool,
    /// How many requests it runs concurrently, as written in the document.
    pub slots: String,
}

/// A service document.
#[derive(Clone, Debug)]
pub struct Document {
    ini: Ini,
    /// The service's name.
    pub service: String,
    /// The active version that this document is based on; 0 before the first upload.
    pub version: u64,
    /// Whether a request class accepts orders, which are not idempotent.
    pub takes_orders: bool,
    /// Whether a request class serves files.
    pub takes_files: bool,
    /// The targets, by name.
    pub targets: IndexMap<String, Target>,
}

impl Document {
    /// Reads a document from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not valid INI.
    pub fn load(path: &Path) -> io::Result<Self> {
        let ini = Ini::load_from_file(path)
            .map_err(|cause| io::Error::other(format!("{}: {cause}", path.display())))?;
        Ok(Self::new(ini))
    }

    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI.
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
            targets: targets
                .map(|(name, target)| (name, parse_target(target)))
                .collect(),
            service,
            version: 0,
            ini,
        }
    }

    /// Sets the address of a target.
    pub fn set_address(&mut self, target: &str, address: &str) {
        self.set_target(target, "address", address);
    }

    /// Sets a key in the section of a target.
    pub fn set_target(&mut self, target: &str, key: &str, value: &str) {
        let section = format!("target {target}");
        self.ini.with_section(Some(section)).set(key, value);
    }

    /// Returns the document as INI text.
    ///
    /// # Errors
    ///
    /// Fails if it can't be encoded.
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

fn parse_target(target: &Properties) -> Target {
    let text = |key| target.get(key).unwrap_or("");
    Target {
        domain: text("domain").to_owned(),
        checks_grants: text("fencing") == "checked",
        slots: text("slots").to_owned(),
    }
}
