//! Private helpers of the crate.
