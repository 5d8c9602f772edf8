//! Identifiers and version numbers.
//!
//! They are type aliases rather than wrapper types: each is plain text or a number on the wire and in logs, and
//! the name of the field or argument that holds one says what it identifies.

/// One start of a VM of bramleypier: `name#start`.
pub type VmId = String;
/// A target's name, as in its service document.
pub type TargetId = String;
/// One start of a target; a target that restarts gets a new one.
pub type BootId = String;
/// A service's name.
pub type ServiceId = String;
/// A failure domain's name.
pub type DomainId = String;
/// A group of a service's targets and ranges: `service/index`.
pub type GroupId = String;
/// The id that a caller gives a request (`Idempotency-Key`).
pub type RequestId = String;
/// A lease in the platform's service.
pub type LeaseId = String;
/// The number of one ownership of a range; a later owner has a higher one.
pub type Epoch = u64;
/// The version of a value in the platform's service; each write raises it.
pub type Version = u64;
/// The serial number of the record write from which on a target's start, or a grantor, is in force.
pub type Term = u64;
