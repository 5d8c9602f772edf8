//! Limits on the requests that this VM sends to each target, and the order of queued requests.
//!
//! - [`concurrency`] adapts the limit of requests in flight;
//! - [`share`] divides it among the classes of requests;
//! - [`admission`] admits, queues or refuses the requests for one target;
//! - [`pick`] selects a target of a shared service.
//!
//! Each VM sees only its own requests. For a shared service its limit starts at its part of the
//! target's slots. With exclusive ownership any VM may send to the owner of a key, so the limit
//! starts at all of the slots. If several VMs together send too much then, each sees a higher
//! latency or refusals, and lowers its own limit.

pub mod admission;
pub mod concurrency;
pub mod pick;
pub mod share;

pub use admission::AdmissionQueue;
pub use concurrency::ConcurrencyLimit;
pub use pick::Pool;

/// Returns the exponentially weighted moving average after a sample.
fn blend(average: f64, sample: f64, weight: f64) -> f64 {
    average + (sample - average) * weight
}
