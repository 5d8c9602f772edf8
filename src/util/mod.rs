//! Helpers of the crate that know nothing of routing.

pub use bramleypier_util::{body, client, decimal, fields, ini, server, stream};

pub mod names;
