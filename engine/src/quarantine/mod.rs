//! Finds the requests that end the processes of the targets that run them.
//!
//! Load pattern: one request makes every target that runs it crash, and its caller sends it again and again, each time
//! with a new id and through any VM. Each VM sees no more than a few broken connections to different targets.

mod fingerprint;

pub use self::fingerprint::Fingerprint;
