//! A router for servers that own keys exclusively.
pub mod balance;
pub mod clock;
pub mod document;
pub mod grant;
pub mod grantor;
pub mod group;
pub mod handover;
pub mod id;
pub mod key;
pub mod peer;
pub mod platform;
pub mod range;
pub mod request;
pub mod route;
pub mod settings;
pub mod target;
pub mod util;
