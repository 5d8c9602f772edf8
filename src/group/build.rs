//! Building the first record of a group, and applying a new document or new grantors to a record.

use std::cmp::Reverse;

use indexmap::IndexSet;

use crate::{
    document::{Document, Target, TargetState},
    group::{Entry, Grantor, Member, Record, check, successors},
    id::{DomainId, GroupId, TargetId, Term, Version, VmId},
    key,
    range::Range,
};

/// A live VM that may be named as a grantor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Returns the id of a service's group.
///
/// # Example
///
/// ```
/// use bramleypier::group::build;
///
/// assert_eq!(build::group_id("tracking", 0), "tracking/0");
/// ```
pub fn group_id(service: &str, index: u32) -> GroupId {
    format!("{service}/{index}")
}

/// Returns the range of the hash space that a group covers.
///
/// An id that is none of the document's groups gives the last range.
///
/// # Example
///
/// ```
/// use bramleypier::{group::build, range::Range};
///
/// assert_eq!(build::group_range(1, "tracking/0"), Range::ALL);
/// ```
pub fn group_range(groups: u32, group: &str) -> Range {
    let index = group.rsplit('/').next().and_then(|text| text.parse().ok());
    let mut parts = Range::ALL.split(u64::from(groups));
    let last = parts.len() - 1;
    parts.swap_remove(index.unwrap_or(last).min(last))
}

/// Returns the group that a target belongs to, by rendezvous hash.
///
/// # Example
///
/// ```
/// use bramleypier::group::build;
///
/// assert_eq!(build::target_group("tracking", 1, "server-7"), "tracking/0");
/// ```
pub fn target_group(service: &str, groups: u32, target: &str) -> GroupId {
    let names = (0..groups.max(1)).map(|index| group_id(service, index));
    names
        .max_by_key(|name| key::weight(target, name))
        .unwrap_or_else(|| group_id(service, 0))
}

/// Builds the first record of a group.
///
/// Ranges are spread evenly over the eligible targets. Returns `None` if there is no such target or
/// no live VM.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{
///     document::{Document, Fencing, Ownership, Target, TargetState},
///     group::build::{self, Candidate},
/// };
///
/// let target = |domain: &str| Target {
///     address: "127.0.0.1:1".into(),
///     domain: domain.into(),
///     fencing: Fencing::Checked,
///     slots: 2,
///     connections: 130,
///     state: TargetState::Serving,
/// };
/// let document = Document {
///     service: "tracking".into(),
///     ownership: Ownership::Exclusive,
///     groups: 1,
///     ranges: 4,
///     unavailable_weight: 1.0,
///     churn_weight: 1.0,
///     body_limit: 1 << 20,
///     classes: Default::default(),
///     targets: [("a".into(), target("north")), ("b".into(), target("south"))].into(),
/// };
/// let vm = Candidate { vm: "vm-1".into(), domain: "north".into() };
/// let record = build::initial_record("tracking/0", 7, &document, &[vm]).unwrap();
/// assert_eq!(record.ranges.len(), 8);
/// ```
pub fn initial_record(
    group: &str,
    version: Version,
    document: &Document,
    live: &[Candidate],
) -> Option<Record> {
    let mut record = Record {
        group: group.to_owned(),
        serial: 1,
        ..Record::default()
    };
    apply_document(&mut record, version, document);
    fill_grantors(&mut record, live);
    let eligible = record
        .members
        .iter()
        .filter(|(_, member)| successors::is_eligible(member));
    let owners: Vec<TargetId> = eligible.map(|(target, _)| target.clone()).collect();
    if owners.is_empty() || record.grantors.values().any(Vec::is_empty) {
        return None;
    }
    let count = owners.len() * usize::try_from(document.ranges.max(1)).unwrap_or(1);
    let count = count.min(check::MAX_RANGES / 2);
    let parts = group_range(document.groups, group).split(count as u64);
    for (index, range) in parts.into_iter().enumerate() {
        record.ranges.push(Entry {
            range,
            epoch: 1,
            chain: vec![owners[index % owners.len()].clone()],
            moving: false,
        });
    }
    for index in 0..record.ranges.len() {
        record.ranges[index].chain = successors::repair(&record, &record.ranges[index]);
    }
    Some(record)
}

/// Applies a newer document to the members of a record.
///
/// New targets are added with the serial of the current write as their term. Targets that the
/// document no longer names start to drain, and are removed once no chain names them.
///
/// # Example
///
/// ```
/// use bramleypier::{document::{Document, Ownership}, group::{Record, build}};
///
/// let document = Document {
///     service: "tracking".into(),
///     ownership: Ownership::Exclusive,
///     groups: 1,
///     ranges: 4,
///     unavailable_weight: 1.0,
///     churn_weight: 1.0,
///     body_limit: 1 << 20,
///     classes: Default::default(),
///     targets: Default::default(),
/// };
/// let mut record = Record::default();
/// build::apply_document(&mut record, 3, &document);
/// assert_eq!(record.document, 3);
/// ```
pub fn apply_document(record: &mut Record, version: Version, document: &Document) {
    if version <= record.document && record.serial > 1 {
        return;
    }
    record.document = version;
    let term = record.serial;
    let named = chain_targets(record);
    for (id, target) in &document.targets {
        if target_group(&document.service, document.groups, id) != record.group {
            continue;
        }
        let has_room = record.members.len() < check::MAX_MEMBERS;
        match record.members.get_mut(id) {
            Some(known) if named.contains(id) || matches(known, target) => update(known, target),
            Some(known) => *known = new_member(target, term),
            None if has_room => {
                record.members.insert(id.clone(), new_member(target, term));
            }
            None => {}
        }
    }
    for (id, member) in &mut record.members {
        if !document.targets.contains_key(id) {
            member.leaving = true;
        }
    }
}

/// Removes the members that neither a chain nor the document names.
///
/// # Example
///
/// ```
/// use bramleypier::group::{Record, build};
///
/// let mut record = Record::default();
/// build::remove_members(&mut record, |_| false);
/// assert!(record.members.is_empty());
/// ```
pub fn remove_members<F>(record: &mut Record, listed: F)
where
    F: Fn(&str) -> bool,
{
    let named: IndexSet<&TargetId> = record
        .ranges
        .iter()
        .flat_map(|entry| &entry.chain)
        .collect();
    let keep = |id: &TargetId| named.contains(id) || listed(id);
    let gone: Vec<TargetId> = record
        .members
        .keys()
        .filter(|id| !keep(id))
        .cloned()
        .collect();
    for id in gone {
        record.members.shift_remove(&id);
    }
}

/// Names grantors for each failure domain until it has enough, with the serial of the current
/// write.
///
/// # Example
///
/// ```
/// use bramleypier::group::{Record, build};
///
/// let mut record = Record::default();
/// build::fill_grantors(&mut record, &[]);
/// assert!(record.grantors.is_empty());
/// ```
pub fn fill_grantors(record: &mut Record, live: &[Candidate]) {
    let domains: IndexSet<DomainId> = record
        .members
        .values()
        .map(|member| member.domain.clone())
        .collect();
    record.grantors.retain(|domain, _| domains.contains(domain));
    for domain in domains {
        let mut grantors = record.grantors.get(&domain).cloned().unwrap_or_default();
        fill_domain(&record.group, &domain, &mut grantors, live, record.serial);
        record.grantors.insert(domain, grantors);
    }
}

/// Names grantors of one failure domain from live VMs outside it, until there are enough.
///
/// They are chosen by rendezvous hash of the group, so that the failure domains of a group share
/// VMs, and first from domains that have no grantor here yet. Only if there is no VM outside, one
/// VM inside the domain is named.
fn fill_domain(
    group: &str,
    domain: &str,
    grantors: &mut Vec<Grantor>,
    live: &[Candidate],
    since: Term,
) {
    let mut order: Vec<&Candidate> = live.iter().collect();
    order.sort_by_key(|candidate| Reverse(key::weight(group, &candidate.vm)));
    while grantors.len() < check::MAX_GRANTORS {
        let Some(candidate) = best_candidate(domain, grantors, &order) else {
            return;
        };
        grantors.push(Grantor {
            vm: candidate.vm.clone(),
            since,
        });
    }
}

/// Returns the best VM to add to the grantors.
fn best_candidate<'live>(
    domain: &str,
    grantors: &[Grantor],
    order: &[&'live Candidate],
) -> Option<&'live Candidate> {
    let named = |vm: &VmId| grantors.iter().any(|grantor| grantor.vm == *vm);
    let present: IndexSet<&DomainId> = order
        .iter()
        .filter(|candidate| named(&candidate.vm))
        .map(|candidate| &candidate.domain)
        .collect();
    let free = || order.iter().filter(|candidate| !named(&candidate.vm));
    let outside = || free().filter(|candidate| candidate.domain != domain);
    let new_domain = outside().find(|candidate| !present.contains(&candidate.domain));
    let inside = || grantors.is_empty().then(|| free().next()).flatten();
    new_domain
        .or_else(|| outside().next())
        .or_else(inside)
        .copied()
}

/// Returns the targets that some chain names.
fn chain_targets(record: &Record) -> IndexSet<TargetId> {
    let chains = record.ranges.iter().flat_map(|entry| &entry.chain);
    chains.cloned().collect()
}

/// Returns whether a member still has the failure domain and the fencing that the document says.
fn matches(member: &Member, target: &Target) -> bool {
    member.domain == target.domain && member.fencing == target.fencing
}

fn new_member(target: &Target, term: Term) -> Member {
    Member {
        address: target.address.clone(),
        domain: target.domain.clone(),
        fencing: target.fencing,
        boot: String::new(),
        term,
        released: false,
        leaving: target.state == TargetState::Leaving,
        slots: target.slots,
    }
}

/// Takes over the document's values, except the failure domain and the fencing: these stay while a
/// chain names the target.
fn update(member: &mut Member, target: &Target) {
    member.address.clone_from(&target.address);
    member.leaving = target.state == TargetState::Leaving;
    member.slots = target.slots;
}
