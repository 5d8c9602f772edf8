//! A router for servers that own keys exclusively.
pub mod clock;
pub mod document;
pub mod group;
pub mod id;
pub mod key;
pub mod limit;
pub mod order;
pub mod quarantine;
pub mod range;
pub mod request;
pub mod retry;
pub mod util;
