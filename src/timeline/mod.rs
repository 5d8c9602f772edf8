//! The time line: what each process did, and one account of all of them in causal order.
//!
//! - [`stamp`] is the hybrid logical time that orders events across processes;
//! - [`event`] is one thing that happened;
//! - [`filter`] says which events are asked for;
//! - [`ring`] keeps the last events of this process;
//! - [`account`] merges what several processes kept;
//! - [`render`] and [`draw`] show an account.

pub mod account;
pub mod draw;
pub mod event;
pub mod filter;
pub mod render;
pub mod ring;

pub use account::MergedTimeline;
pub use bramleypier_util::stamp::{self, Stamp};
pub use event::{Duty, Event, Kind};
pub use filter::Filter;
pub use ring::{ProcessEvents, Ring};
