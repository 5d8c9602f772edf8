//! Helpers of the crate that know nothing of routing.

pub mod fields;
pub mod ini;
