//! Stand-ins for the platform and the targets, and tools that run a fleet of real processes.
//!
//! For tests only: nothing here is part of the shipped binary. Each process runs its tasks on one
//! thread; they share state in a `RefCell` and never hold a borrow across an `.await`.

pub mod audit;
pub mod caller;
pub mod child;
pub mod client;
pub mod clock;
pub mod decimal;
pub mod document;
pub mod drill;
pub mod fault;
pub mod fleet;
pub mod forwarder;
pub mod holder;
pub mod journal;
pub mod measure;
pub mod payload;
pub mod platform;
pub mod serve;
pub mod services;
pub mod slots;
pub mod socket_owners;
pub mod store;
pub mod target;
pub mod work;
