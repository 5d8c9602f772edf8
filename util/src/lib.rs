//! Plumbing that knows nothing of routing: the clock, HTTP over the runtime's sockets, settings in
//! INI.
//!
//! Every package of the workspace may use this one; it uses none of them.
//!
//! ```
//! use bramleypier_util::clock::Clock;
//!
//! assert!(Clock::paused().now().is_zero());
//! ```

pub mod body;
pub mod client;
pub mod clock;
pub mod decimal;
pub mod fields;
pub mod headers;
pub mod ini;
pub mod server;
pub mod socket;
pub mod stamp;
pub mod stream;
pub mod timer;
