//! The INI text of a service document: its keys, the parser and the formatter.

use std::fmt::Write as _;

use indexmap::IndexMap;

use crate::{
    document::{Class, Document, Fencing, Ownership, Target, TargetState, check},
    util::{
        fields::{self, Checked, Field, Kind, Preset},
        ini::Fault,
    },
};

/// The longest text of a document, in bytes. The platform's service allows one megabyte per value.
pub const MAX_TEXT_BYTES: usize = 900_000;

const SERVICE: &str = "service";
const CLASS: &str = "class *";
const TARGET: &str = "target *";
const DAY_MS: u64 = 86_400_000;

/// The table of all keys of a service document.
pub static FIELDS: &[Field] = &[
    Field::new(
        SERVICE,
        "name",
        Kind::Name,
        Preset::Required,
        "The service's name, the first segment of callers' paths.",
    ),
    Field::new(
        SERVICE,
        "ownership",
        Kind::Word(&["exclusive", "shared"]),
        Preset::Value("exclusive"),
        "Whether each key has one owner, or any target serves any key. Fixed once the service exists.",
    ),
    Field::new(
        SERVICE,
        "groups",
        Kind::Number("groups", 1, 4096),
        Preset::Value("1"),
        "How many groups the targets form. Fixed once the service exists.",
    ),
    Field::new(
        SERVICE,
        "ranges",
        Kind::Number("ranges", 1, 256),
        Preset::Value("4"),
        "How many ranges each target starts with.",
    ),
    Field::new(
        SERVICE,
        "unavailable_weight",
        Kind::Decimal(0.0, 1e6),
        Preset::Value("1"),
        "What a second of unavailable time costs, relative to `churn_weight`.",
    ),
    Field::new(
        SERVICE,
        "churn_weight",
        Kind::Decimal(0.0, 1e6),
        Preset::Value("1"),
        "What the move of a range costs, relative to `unavailable_weight`.",
    ),
    Field::new(
        SERVICE,
        "body_limit",
        Kind::Number("bytes", 1, 1 << 30),
        Preset::Value("1048576"),
        "The largest body of a request.",
    ),
    Field::new(
        CLASS,
        "methods",
        Kind::Methods,
        Preset::Value(""),
        "The methods that the class takes; empty for all.",
    ),
    Field::new(
        CLASS,
        "path",
        Kind::Prefix,
        Preset::Value(""),
        "The start of the path after the key that the class takes; empty for all.",
    ),
    Field::new(
        CLASS,
        "idempotent",
        Kind::Flag,
        Preset::Required,
        "Whether a request may run more than once without harm. If `false`, callers must send `Idempotency-Key`.",
    ),
    Field::new(
        CLASS,
        "share",
        Kind::Number("%", 1, 100),
        Preset::Required,
        "The class's share of the targets' slots; what it leaves unused is lent. All shares are 100 at the most.",
    ),
    Field::new(
        CLASS,
        "deadline_ms",
        Kind::Number("ms", 1, DAY_MS),
        Preset::Value("10000"),
        "The longest deadline that a request may have.",
    ),
    Field::new(
        CLASS,
        "queue_ms",
        Kind::Number("ms", 0, DAY_MS),
        Preset::Value("1000"),
        "The longest time that a request may wait for a slot.",
    ),
    Field::new(
        TARGET,
        "address",
        Kind::Address,
        Preset::Required,
        "Where the target answers, its own among all targets. Fixed for the target's name.",
    ),
    Field::new(
        TARGET,
        "domain",
        Kind::Name,
        Preset::Required,
        "The failure domain the target stands in. Fixed for the target's name.",
    ),
    Field::new(
        TARGET,
        "fencing",
        Kind::Word(&["checked", "unchecked"]),
        Preset::Value("unchecked"),
        "Whether the target checks who gives it an order. Fixed for the target's name.",
    ),
    Field::new(
        TARGET,
        "slots",
        Kind::Number("requests", 1, 10_000),
        Preset::Value("2"),
        "How many requests the target runs at a time.",
    ),
    Field::new(
        TARGET,
        "connections",
        Kind::Number("connections", 1, 100_000),
        Preset::Value("100"),
        "How many connections the target takes.",
    ),
    Field::new(
        TARGET,
        "state",
        Kind::Word(&["serving", "leaving"]),
        Preset::Value("serving"),
        "Whether the target is to hold work. A target leaves before it is removed from the document.",
    ),
];

/// Parses and validates a document.
///
/// # Errors
///
/// Returns the first [`Fault`] with its file, line, section, key and reason.
///
/// # Example
///
/// ```
/// use bramleypier::document::text;
///
/// let document = text::parse(
///     "tracking.ini",
///     "[service]
/// name = tracking
/// [class lookups]
/// idempotent = true
/// share = 100
/// [target tracking-1]
/// address = 127.0.0.1:7101
/// domain = uio-norte",
/// )
/// .unwrap();
/// assert_eq!(document.targets["tracking-1"].slots, 2);
/// ```
pub fn parse(file: &str, text: &str) -> Result<Document, Fault> {
    read(file, text).map(|(document, _)| document)
}

/// Parses and validates a document that is to replace the version `base`.
///
/// # Errors
///
/// Returns the first [`Fault`] of the document or of the change from `base`.
///
/// # Example
///
/// ```
/// use bramleypier::document::text;
///
/// let base = text::parse("a.ini", "[service]
/// name = a
/// [class all]
/// idempotent = true
/// share = 100
/// [target t]
/// address = 127.0.0.1:1
/// domain = d").unwrap();
/// let next = text::format(&base).replace("groups = 1", "groups = 2");
/// assert!(text::parse_change("a.ini", &next, &base).is_err());
/// ```
pub fn parse_change(file: &str, text: &str, base: &Document) -> Result<Document, Fault> {
    let (document, checked) = read(file, text)?;
    match check::validate_change(base, &document) {
        Ok(()) => Ok(document),
        Err(flaw) => Err(checked.fault_at(&flaw.section, flaw.key, &flaw.reason)),
    }
}

fn read(file: &str, text: &str) -> Result<(Document, Checked), Fault> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(Fault {
            file: file.to_owned(),
            reason: format!("has {} bytes, more than {MAX_TEXT_BYTES}", text.len()),
            ..Fault::default()
        });
    }
    let checked = fields::check(file, text, FIELDS)?;
    let document = build(&checked)?;
    match check::validate(&document) {
        Ok(()) => Ok((document, checked)),
        Err(flaw) => Err(checked.fault_at(&flaw.section, flaw.key, &flaw.reason)),
    }
}

fn build(checked: &Checked) -> Result<Document, Fault> {
    let mut classes = IndexMap::new();
    for name in checked.named("class") {
        let class = class(checked, &name)?;
        classes.insert(name, class);
    }
    let mut targets = IndexMap::new();
    for name in checked.named("target") {
        let target = target(checked, &name)?;
        targets.insert(name, target);
    }
    Ok(Document {
        service: checked.value(SERVICE, "name")?,
        ownership: match checked.text(SERVICE, "ownership") {
            Some("shared") => Ownership::Shared,
            _ => Ownership::Exclusive,
        },
        groups: checked.value(SERVICE, "groups")?,
        ranges: checked.value(SERVICE, "ranges")?,
        unavailable_weight: checked.value(SERVICE, "unavailable_weight")?,
        churn_weight: checked.value(SERVICE, "churn_weight")?,
        body_limit: checked.value(SERVICE, "body_limit")?,
        classes,
        targets,
    })
}

fn class(checked: &Checked, name: &str) -> Result<Class, Fault> {
    let section = format!("class {name}");
    Ok(Class {
        methods: checked.list(&section, "methods")?,
        path: checked.value(&section, "path")?,
        idempotent: checked.value(&section, "idempotent")?,
        share: checked.value(&section, "share")?,
        deadline: checked.millis(&section, "deadline_ms")?,
        queue: checked.millis(&section, "queue_ms")?,
    })
}

fn target(checked: &Checked, name: &str) -> Result<Target, Fault> {
    let section = format!("target {name}");
    let address: std::net::SocketAddr = checked.value(&section, "address")?;
    Ok(Target {
        address: address.to_string(),
        domain: checked.value(&section, "domain")?,
        fencing: match checked.text(&section, "fencing") {
            Some("checked") => Fencing::Checked,
            _ => Fencing::Unchecked,
        },
        slots: checked.value(&section, "slots")?,
        connections: checked.value(&section, "connections")?,
        state: match checked.text(&section, "state") {
            Some("leaving") => TargetState::Leaving,
            _ => TargetState::Serving,
        },
    })
}

/// Formats a document as INI text that contains every key.
///
/// [`parse`] returns the same document from this text.
///
/// # Example
///
/// ```
/// use bramleypier::document::text;
///
/// let written = "[service]\nname = a\n[class all]\nidempotent = true\nshare = 100\n\
///     [target t]\naddress = 127.0.0.1:1\ndomain = d";
/// let document = text::parse("a.ini", written).unwrap();
/// assert_eq!(text::parse("a.ini", &text::format(&document)).unwrap(), document);
/// ```
pub fn format(document: &Document) -> String {
    let mut text = String::new();
    write_service(&mut text, document);
    for (name, class) in &document.classes {
        write_class(&mut text, name, class);
    }
    for (name, target) in &document.targets {
        write_target(&mut text, name, target);
    }
    text
}

/// Appends one line; writing to a string cannot fail.
fn write_line(text: &mut String, key: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "{key} = {value}");
}

fn write_service(text: &mut String, document: &Document) {
    let ownership = match document.ownership {
        Ownership::Exclusive => "exclusive",
        Ownership::Shared => "shared",
    };
    text.push_str("[service]\n");
    write_line(text, "name", &document.service);
    write_line(text, "ownership", ownership);
    write_line(text, "groups", document.groups);
    write_line(text, "ranges", document.ranges);
    write_line(text, "unavailable_weight", document.unavailable_weight);
    write_line(text, "churn_weight", document.churn_weight);
    write_line(text, "body_limit", document.body_limit);
}

fn write_class(text: &mut String, name: &str, class: &Class) {
    let _ = writeln!(text, "\n[class {name}]");
    write_line(text, "methods", class.methods.join(", "));
    write_line(text, "path", &class.path);
    write_line(text, "idempotent", class.idempotent);
    write_line(text, "share", class.share);
    write_line(text, "deadline_ms", class.deadline.as_millis());
    write_line(text, "queue_ms", class.queue.as_millis());
}

fn write_target(text: &mut String, name: &str, target: &Target) {
    let fencing = match target.fencing {
        Fencing::Checked => "checked",
        Fencing::Unchecked => "unchecked",
    };
    let state = match target.state {
        TargetState::Serving => "serving",
        TargetState::Leaving => "leaving",
    };
    let _ = writeln!(text, "\n[target {name}]");
    write_line(text, "address", &target.address);
    write_line(text, "domain", &target.domain);
    write_line(text, "fencing", fencing);
    write_line(text, "slots", target.slots);
    write_line(text, "connections", target.connections);
    write_line(text, "state", state);
}
