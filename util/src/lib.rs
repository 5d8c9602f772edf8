//! Utilities that are independent of routing: clocks, an HTTP/1.1 client and server on the runtime's
//! sockets, and settings in INI files.
//!
//! Every package of the workspace may depend on this one; it depends on none of them.
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
pub mod memory;
pub mod pipeline;
pub mod server;
pub mod signals;
pub mod socket;
pub mod stamp;
pub mod stream;
pub mod timer;
