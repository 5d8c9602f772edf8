//! A router for servers that own keys exclusively.
pub mod clock;
pub mod document;
pub mod group;
pub mod id;
pub mod key;
pub mod order;
pub mod range;
pub mod request;
pub mod util;
