//! Private helpers of the crate.

pub mod body;
pub mod client;
pub mod server;
