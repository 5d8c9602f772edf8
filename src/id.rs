//! The names and numbers by which things are known.
//!
//! They are aliases, not wrappers: each travels as text or a number on the wire and in logs, and
//! the field or argument that holds one says which it is.

/// A VM of bramleypier, new on each start: `name#start`.
pub type VmId = String;
/// A target's name, as its service document gives it.
pub type TargetId = String;
/// One start of a target.
pub type BootId = String;
/// A service's name.
pub type ServiceId = String;
/// A failure domain's name.
pub type DomainId = String;
/// A group's name: `service/index`.
pub type GroupId = String;
/// A caller's id of a request (`Idempotency-Key`).
pub type RequestId = String;
/// A lease in the platform's service.
pub type LeaseId = String;
/// The number of an ownership of one range; it only grows.
pub type Epoch = u64;
/// The version of a value in the platform's service; it only grows.
pub type Version = u64;
/// The serial of a record's write from which a target's start, or a grantor, counts.
pub type Term = u64;
