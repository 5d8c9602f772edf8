//! The engine of bramleypier, a router for servers that own keys exclusively.
//!
//! It makes the routing decisions, keeps the state and handles recovery, independently of any platform's
//! names and formats. It depends on the platform only through four traits, which an adapter implements:
//! [`store::Store`], [`catalogue::Catalogue`], [`target::TargetProtocol`] and [`caller::CallerProtocol`].
//! This package must not depend on an adapter.

pub(crate) mod body;
pub mod caller;
pub mod capacity;
pub mod catalogue;
pub mod fleet;
pub mod follow;
pub mod health;
pub mod owner;
pub mod peer;
pub mod placement;
pub mod process;
pub mod quarantine;
pub mod reach;
pub mod registration;
pub mod report;
pub mod serving;
pub mod settings;
pub mod store;
pub mod target;
