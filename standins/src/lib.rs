//! Stand-ins for the platform and the targets, and tools that run a fleet of real processes.
//!
//! Test tools only: nothing here is part of the shipped binary. Tasks of one process share their
//! state in a cell of the one thread, and hold no borrow over an await.

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
