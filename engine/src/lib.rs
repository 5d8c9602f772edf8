//! The engine of bramleypier: decisions, state and recovery of a router for servers that own keys
//! exclusively, apart from any platform's names and formats.
//!
//! Four traits are all that it sees of the outside: [`store::Store`], [`catalogue::Catalogue`],
//! [`target::TargetProtocol`] and [`caller::CallerProtocol`]. An adapter implements them for one platform; this
//! package can't depend on an adapter.

pub mod caller;
pub mod catalogue;
pub mod fleet;
pub mod follow;
pub mod health;
pub mod owner;
pub mod peer;
pub mod placement;
pub mod process;
pub mod registration;
pub mod report;
pub mod settings;
pub mod store;
pub mod target;
