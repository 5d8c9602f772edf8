//! Decides which target each request goes to, when it is sent, and which requests are refused.
//!
//! - [`dispatch`] decides, without any I/O; [`task`] runs it and responds through channels.
//! - [`commitment`] checks right before a request is written whether the choice of its target still stands.
//! - [`quota`] divides the free capacity of busy targets among VMs.
//! - [`busy_share`] measures how much capacity is left for requests past their goal.
//! - [`budget`] limits retries; [`vm_count`] counts the VMs that share this budget.
//! - [`refused_keys`] decides when requests for a key that its owner has refused may be sent again.
//! - [`owner_gaps`] estimates how long keys go without an owner.
//! - [`hold_offs`] holds the times for which targets that refuse requests want no more of them.
//! - [`warmup`] limits the requests to cold targets.
//! - [`rates`] holds the rate limits that overloaded targets ask for; [`bucket`] counts the requests that they allow.

pub mod bucket;
pub mod budget;
pub mod busy_share;
pub mod commitment;
mod completion;
pub mod dispatch;
pub mod hold_offs;
mod message;
pub mod owner_gaps;
pub mod quota;
pub mod rates;
pub mod refused_keys;
mod target_state;
pub mod task;
pub mod vm_count;
pub mod warmup;
