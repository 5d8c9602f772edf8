//! General helpers of the crate, independent of routing.

pub use bramleypier_util::{body, client, decimal, fields, ini, server, stream};

pub mod names;
