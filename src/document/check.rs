//! Validation of service documents.
//!
//! [`validate`] checks the rules that span several sections of a document. [`validate_change`] checks that a version
//! may replace an earlier one.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::{
    document::{Class, Document, Target, TargetState},
    group,
};

/// The paths that the router serves itself; a service can't have one of these names.
const RESERVED: &[&str] = &["healthz"];

/// A rule that a document violates, with the section and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The section as written in the text.
    pub section: String,
    /// The key; empty if the whole section is invalid.
    pub key: &'static str,
    /// The reason.
    pub reason: String,
}

fn violation(section: &str, key: &'static str, reason: impl Into<String>) -> Violation {
    Violation {
        section: section.to_owned(),
        key,
        reason: reason.into(),
    }
}

/// Checks the rules that span several sections of a document.
///
/// # Errors
///
/// Returns the first [`Violation`].
///
/// # Example
///
/// ```
/// use bramleypier::document::{check, text};
///
/// let written = "[service]\nname = a\n[class all]\nidempotent = true\nshare = 100\n\
///     [target t]\naddress = 127.0.0.1:1\ndomain = d";
/// let mut document = text::parse("a.ini", written).unwrap();
/// document.targets.clear();
/// assert_eq!(check::validate(&document).unwrap_err().reason, "the service has no target");
/// ```
pub fn validate(document: &Document) -> Result<(), Violation> {
    if RESERVED.contains(&document.service.as_str()) {
        return Err(violation(
            "service",
            "name",
            "is a path of the router's own",
        ));
    }
    if document.targets.is_empty() {
        return Err(violation("service", "", "the service has no target"));
    }
    let targets = as_u64(document.targets.len());
    if u64::from(document.groups) > targets {
        let reason = format!("is more than the {targets} targets");
        return Err(violation("service", "groups", reason));
    }
    check_group_sizes(document, targets)?;
    check_classes(&document.classes)?;
    check_addresses(&document.targets)
}

/// Checks that the targets and ranges of each group fit into the group's record.
fn check_group_sizes(document: &Document, targets: u64) -> Result<(), Violation> {
    let members = targets.div_ceil(u64::from(document.groups).max(1));
    if members > as_u64(group::check::MAX_MEMBERS) {
        let most = group::check::MAX_MEMBERS;
        let reason = format!("leaves {members} targets to a group, more than {most}");
        return Err(violation("service", "groups", reason));
    }
    let ranges = members * u64::from(document.ranges);
    if ranges > as_u64(group::check::MAX_RANGES) {
        let most = group::check::MAX_RANGES;
        let reason = format!("leaves {ranges} ranges to a group, more than {most}");
        return Err(violation("service", "ranges", reason));
    }
    Ok(())
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

fn check_classes(classes: &IndexMap<String, Class>) -> Result<(), Violation> {
    if classes.is_empty() {
        return Err(violation("service", "", "the service has no class"));
    }
    let mut sum = 0;
    for (index, (name, class)) in classes.iter().enumerate() {
        let section = format!("class {name}");
        sum += class.share;
        if sum > 100 {
            let reason = format!("the shares up to here are {sum} %, more than 100");
            return Err(violation(&section, "share", reason));
        }
        if class.queue > class.deadline {
            return Err(violation(&section, "queue_ms", "is more than deadline_ms"));
        }
        let mut earlier = classes.iter().take(index);
        if let Some((taker, _)) = earlier.find(|(_, earlier)| covers(earlier, class)) {
            let reason = format!("never takes a request: [class {taker}] takes them before");
            return Err(violation(&section, "", reason));
        }
    }
    Ok(())
}

/// Returns whether the first class matches every request that the second one matches.
fn covers(first: &Class, second: &Class) -> bool {
    let methods = &first.methods;
    let every = !second.methods.is_empty() && second.methods.iter().all(|m| methods.contains(m));
    (methods.is_empty() || every) && second.path.starts_with(&first.path)
}

fn check_addresses(targets: &IndexMap<String, Target>) -> Result<(), Violation> {
    let mut seen: IndexMap<&str, &str> = IndexMap::new();
    for (name, target) in targets {
        let section = format!("target {name}");
        let port = target
            .address
            .parse()
            .map(|address: SocketAddr| address.port());
        if port == Ok(0) {
            return Err(violation(&section, "address", "port 0 cannot be called"));
        }
        if let Some(other) = seen.insert(&target.address, name) {
            let reason = format!("`{}` is the address of [target {other}]", target.address);
            return Err(violation(&section, "address", reason));
        }
    }
    Ok(())
}

/// Checks that a document may replace an earlier version.
///
/// A service's name, ownership and groups can't change, because its ranges are laid out by them. The name of a
/// target identifies one server, so its address, failure domain and fencing can't change either; another server needs
/// another name. A target must be `leaving` before it is removed, so that no in-flight request is aborted.
///
/// # Errors
///
/// Returns the first [`Violation`], with the section and key of the later document.
///
/// # Example
///
/// ```
/// use bramleypier::document::{check, text};
///
/// let written = "[service]\nname = a\n[class all]\nidempotent = true\nshare = 100\n\
///     [target t]\naddress = 127.0.0.1:1\ndomain = d";
/// let base = text::parse("a.ini", written).unwrap();
/// let mut next = base.clone();
/// next.targets["t"].address = "127.0.0.1:2".to_owned();
/// assert_eq!(check::validate_change(&base, &next).unwrap_err().key, "address");
/// ```
pub fn validate_change(base: &Document, next: &Document) -> Result<(), Violation> {
    if next.service != base.service {
        let reason = format!("cannot change from `{}`", base.service);
        return Err(violation("service", "name", reason));
    }
    if next.ownership != base.ownership {
        return Err(violation(
            "service",
            "ownership",
            "cannot change; make another service",
        ));
    }
    if next.groups != base.groups {
        let reason = format!("cannot change from {}; make another service", base.groups);
        return Err(violation("service", "groups", reason));
    }
    base.targets
        .iter()
        .try_for_each(|(name, target)| check_target_change(name, target, next.targets.get(name)))
}

fn check_target_change(name: &str, base: &Target, next: Option<&Target>) -> Result<(), Violation> {
    let section = format!("target {name}");
    let Some(next) = next else {
        if base.state == TargetState::Leaving {
            return Ok(());
        }
        let reason =
            format!("[{section}] is gone, but it was not leaving: put `state = leaving` first");
        return Err(violation("service", "", reason));
    };
    let fixed = [
        ("address", next.address == base.address),
        ("domain", next.domain == base.domain),
        ("fencing", next.fencing == base.fencing),
    ];
    let changed = fixed.into_iter().find(|(_, same)| !same);
    match changed {
        None => Ok(()),
        Some((key, _)) => Err(violation(
            &section,
            key,
            "cannot change; give the server another name",
        )),
    }
}
