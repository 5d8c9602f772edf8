//! The INI text of a service document.

use std::fmt::Write as _;

use indexmap::IndexMap;

use crate::{
    document::{Class, Document, Fencing, Ownership, Target, TargetState, check},
    util::{
        fields::{self, Checked, Field, Kind, Preset},
        ini::Fault,
    },
};

/// The longest text of a document, in bytes; the platform's service holds a megabyte in one value.
pub const MAX_TEXT_BYTES: usize = 900_000;

const SERVICE: &str = "service";
const CLASS: &str = "class *";
const TARGET: &str = "target *";
const DAY_MS: u64 = 86_400_000;

/// Every key of a service document.
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

/// Reads a document and checks it as a whole.
///
/// # Errors
///
/// Returns the first [`Fault`], which names file, line, section, key and reason.
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

/// Reads a document that is to follow another version, and checks the change too.
///
/// # Errors
///
/// Returns the first [`Fault`] of the document or of the change.
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

/// Writes a document as INI text, every key given.
///
/// [`parse`] reads the same document back.
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
    service_text(&mut text, document);
    for (name, class) in &document.classes {
        class_text(&mut text, name, class);
    }
    for (name, target) in &document.targets {
        target_text(&mut text, name, target);
    }
    text
}

/// Writes one line; writing to a string cannot fail.
fn line(text: &mut String, key: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "{key} = {value}");
}

fn service_text(text: &mut String, document: &Document) {
    let ownership = match document.ownership {
        Ownership::Exclusive => "exclusive",
        Ownership::Shared => "shared",
    };
    text.push_str("[service]\n");
    line(text, "name", &document.service);
    line(text, "ownership", ownership);
    line(text, "groups", document.groups);
    line(text, "ranges", document.ranges);
    line(text, "unavailable_weight", document.unavailable_weight);
    line(text, "churn_weight", document.churn_weight);
    line(text, "body_limit", document.body_limit);
}

fn class_text(text: &mut String, name: &str, class: &Class) {
    let _ = writeln!(text, "\n[class {name}]");
    line(text, "methods", class.methods.join(", "));
    line(text, "path", &class.path);
    line(text, "idempotent", class.idempotent);
    line(text, "share", class.share);
    line(text, "deadline_ms", class.deadline.as_millis());
    line(text, "queue_ms", class.queue.as_millis());
}

fn target_text(text: &mut String, name: &str, target: &Target) {
    let fencing = match target.fencing {
        Fencing::Checked => "checked",
        Fencing::Unchecked => "unchecked",
    };
    let state = match target.state {
        TargetState::Serving => "serving",
        TargetState::Leaving => "leaving",
    };
    let _ = writeln!(text, "\n[target {name}]");
    line(text, "address", &target.address);
    line(text, "domain", &target.domain);
    line(text, "fencing", fencing);
    line(text, "slots", target.slots);
    line(text, "connections", target.connections);
    line(text, "state", state);
}
