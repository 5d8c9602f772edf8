//! Private helpers of the crate.

pub mod body;
pub mod client;
pub mod server;
//! Helpers of the crate that know nothing of routing.

pub mod fields;
pub mod ini;
