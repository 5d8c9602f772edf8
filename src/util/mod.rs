//! Helpers of the crate that know nothing of routing.

pub mod body;
pub mod client;
pub mod decimal;
pub mod fields;
pub mod ini;
pub mod names;
pub mod server;
pub mod stream;
