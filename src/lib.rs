//! A router for servers that own keys exclusively.
pub mod clock;
pub mod document;
pub mod gossip;
pub mod group;
pub mod id;
pub mod key;
pub mod membership;
pub mod peer;
pub mod platform;
pub mod range;
pub mod request;
pub mod settings;
pub mod spread;
pub mod target;
pub mod util;
pub mod watcher;
