//! The successors of a range: the targets that own it next, in order, if its owner is lost.

use std::cmp::Reverse;

use indexmap::IndexSet;

use crate::{
    group::{Entry, Member, Record},
    id::TargetId,
    key,
};

/// The most targets in a chain: the owner and its successors.
pub const MAX_CHAIN: usize = 4;

/// Returns the entry's chain with ineligible successors replaced.
///
/// The owner and the eligible successors stay in their order, so that the repair of a valid chain
/// changes nothing. New successors are chosen by rendezvous hash, if possible from failure domains
/// that the chain doesn't have yet.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Entry, Record, successors}, range::Range};
///
/// let chain = vec!["a".to_owned(), "gone".to_owned()];
/// let entry = Entry { range: Range::ALL, epoch: 1, chain, moving: false };
/// assert_eq!(successors::repair(&Record::default(), &entry), ["a"]);
/// ```
pub fn repair(record: &Record, entry: &Entry) -> Vec<TargetId> {
    let Some(owner) = entry.chain.first() else {
        return Vec::new();
    };
    let domain = record.members.get(owner).map(|member| &member.domain);
    let elsewhere = record
        .members
        .values()
        .any(|member| is_eligible(member) && Some(&member.domain) != domain);
    let mut chain = vec![owner.clone()];
    for successor in &entry.chain[1..] {
        let keep = record.members.get(successor).is_some_and(|member| {
            is_eligible(member) && (!elsewhere || Some(&member.domain) != domain)
        });
        if keep && !chain.contains(successor) && chain.len() < MAX_CHAIN {
            chain.push(successor.clone());
        }
    }
    extend(record, entry, &mut chain);
    chain
}

/// Returns whether a member may be a successor.
///
/// # Example
///
/// ```
/// use bramleypier::{document::Fencing, group::{Member, successors}};
///
/// let member = Member {
///     address: "127.0.0.1:1".into(),
///     domain: "a".into(),
///     fencing: Fencing::Checked,
///     boot: "boot-1".into(),
///     term: 1,
///     released: false,
///     leaving: false,
///     slots: 2,
/// };
/// assert!(successors::is_eligible(&member));
/// ```
pub fn is_eligible(member: &Member) -> bool {
    !member.released && !member.leaving
}

/// Fills the chain up, first from failure domains that it doesn't have yet.
fn extend(record: &Record, entry: &Entry, chain: &mut Vec<TargetId>) {
    if chain.len() >= MAX_CHAIN {
        // Complete chains are checked often; hashing every member for each of them is costly.
        return;
    }
    let subject = entry.range.start.to_string();
    let mut order: Vec<&TargetId> = record
        .members
        .iter()
        .filter(|(_, member)| is_eligible(member))
        .map(|(target, _)| target)
        .collect();
    order.sort_by_cached_key(|target| Reverse(key::weight(&subject, target)));
    while chain.len() < MAX_CHAIN {
        let Some(successor) = best_successor(record, &order, chain) else {
            return;
        };
        chain.push(successor);
    }
}

/// Returns the best target to add to the chain.
fn best_successor(record: &Record, order: &[&TargetId], chain: &[TargetId]) -> Option<TargetId> {
    let domain = |target: &TargetId| record.members.get(target).map(|member| &member.domain);
    let owner = chain.first().and_then(domain);
    let present: IndexSet<_> = chain.iter().filter_map(domain).collect();
    let free = || order.iter().filter(|target| !chain.contains(target));
    let new_domain =
        free().find(|target| domain(target).is_some_and(|domain| !present.contains(domain)));
    let other = || free().find(|target| domain(target) != owner);
    let successor = new_domain.or_else(other).or_else(|| free().next())?;
    Some((*successor).clone())
}
