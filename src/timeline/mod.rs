//! The time line: the recent events of each process, merged into one causal order on demand.
//!
//! - [`stamp`] is the hybrid logical clock that orders events across processes;
//! - [`event`] defines a single event;
//! - [`filter`] selects events for a query;
//! - [`ring`] keeps the latest events of this process in bounded memory;
//! - [`account`] merges the events of several processes;
//! - [`render`] and [`draw`] show a merged time line as text and as SVG.

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
