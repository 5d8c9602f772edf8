//! Limits: how much work one target gets from this VM, and who goes first.
//!
//! - [`concurrency`] learns how many requests to have in flight;
//! - [`share`] divides them among the classes of work;
//! - [`admission`] admits, queues and refuses the requests for one target;
//! - [`pick`] chooses among the targets of a shared service.
//!
//! Each VM sees only its own requests. For a shared service its cap starts at its part of the
//! target's slots. The owner of a key may be reached from any VM, so for exclusive ownership the
//! cap starts at all of the slots; what several VMs then send too much shows as latency or as
//! refusals at each of them, and each lowers its own cap.

pub mod admission;
pub mod concurrency;
pub mod pick;
pub mod share;

pub use admission::AdmissionQueue;
pub use concurrency::ConcurrencyLimit;
pub use pick::Pool;

/// Moves an average towards a sample by a part of the difference.
fn blend(average: f64, sample: f64, part: f64) -> f64 {
    average + (sample - average) * part
}
