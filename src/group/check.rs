//! Checks of a record: limits, coverage of the hash space, chains and grantors.

use quick_error::quick_error;

use crate::{
    group::{Entry, Member, Record, successors},
    id::{DomainId, GroupId, TargetId},
    range::Range,
};

/// The most members of a group.
pub const MAX_MEMBERS: usize = 256;
/// The most ranges of a group.
pub const MAX_RANGES: usize = 4096;
/// The most grantors of a failure domain's targets.
pub const MAX_GRANTORS: usize = 3;

quick_error! {
    /// The reason why a record is refused.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// Too many members, ranges or grantors.
        Size(group: GroupId) {
            display("step=check group={group}: too many members, ranges or grantors")
        }
        /// The ranges leave a gap, overlap, or do not cover the group's range.
        Ranges(group: GroupId, range: Range) {
            display("step=check group={group}: gap or overlap at {range:?}")
        }
        /// A chain is empty, too long, or names a target twice.
        Chain(group: GroupId, range: Range) {
            display("step=check group={group}: empty, too long or duplicate succession chain at {range:?}")
        }
        /// A chain names a target that is not a member.
        UnknownMember(group: GroupId, target: TargetId) {
            display("step=check group={group}: {target} is not a member")
        }
        /// A failure domain with members has no grantors, or names one twice.
        Grantors(group: GroupId, domain: DomainId) {
            display("step=check group={group}: missing or duplicate grantors for {domain}")
        }
    }
}

/// Checks a record against the range that its group covers.
///
/// # Errors
///
/// Returns an error for the first rule that the record breaks.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Record, check}, range::Range};
///
/// assert!(check::check(&Record::default(), Range::ALL).is_err());
/// ```
pub fn check(record: &Record, slice: Range) -> Result<(), Error> {
    let group = || record.group.clone();
    let too_many = |grantors: &Vec<_>| grantors.len() > MAX_GRANTORS;
    if record.members.len() > MAX_MEMBERS
        || record.ranges.len() > MAX_RANGES
        || record.grantors.values().any(too_many)
    {
        return Err(Error::Size(group()));
    }
    check_coverage(record, slice)?;
    for entry in &record.ranges {
        check_chain(record, entry)?;
    }
    record
        .members
        .values()
        .try_for_each(|member| check_grantors(record, member))
}

/// Checks that the ranges cover the group's range without gaps or overlaps.
fn check_coverage(record: &Record, slice: Range) -> Result<(), Error> {
    let mut next_start = Some(slice.start);
    for entry in &record.ranges {
        if next_start != Some(entry.range.start) || entry.range.end < entry.range.start {
            return Err(Error::Ranges(record.group.clone(), entry.range));
        }
        next_start = entry.range.end.checked_add(1);
    }
    if record.ranges.last().map(|entry| entry.range.end) == Some(slice.end) {
        return Ok(());
    }
    Err(Error::Ranges(record.group.clone(), slice))
}

fn check_chain(record: &Record, entry: &Entry) -> Result<(), Error> {
    let duplicate =
        (1..entry.chain.len()).any(|index| entry.chain[..index].contains(&entry.chain[index]));
    if entry.chain.is_empty() || entry.chain.len() > successors::MAX_CHAIN || duplicate {
        return Err(Error::Chain(record.group.clone(), entry.range));
    }
    for target in &entry.chain {
        if !record.members.contains_key(target) {
            return Err(Error::UnknownMember(record.group.clone(), target.clone()));
        }
    }
    Ok(())
}

fn check_grantors(record: &Record, member: &Member) -> Result<(), Error> {
    let grantors = record
        .grantors
        .get(&member.domain)
        .map_or(&[][..], Vec::as_slice);
    let duplicate = (1..grantors.len()).any(|index| {
        grantors[..index]
            .iter()
            .any(|other| other.vm == grantors[index].vm)
    });
    if grantors.is_empty() || duplicate {
        return Err(Error::Grantors(record.group.clone(), member.domain.clone()));
    }
    Ok(())
}
