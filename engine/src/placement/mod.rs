//! Which target a request goes to, when, and which requests are refused.
//!
//! [`dispatcher`] decides, free of I/O; [`share`] shares the room at busy targets among VMs; [`budget`] bounds what is
//! sent a second time, [`sharers`] tells among how many VMs; [`unowned`] tells when to ask an owner again that has
//! refused a key; [`warmup`] bounds what reaches cold targets; [`rates`] holds what targets in need ask to be held
//! to, [`bucket`] what goes there; [`task`] owns the dispatcher and answers by messages.

pub mod bucket;
pub mod budget;
mod completion;
pub mod dispatch;
mod message;
pub mod quota;
pub mod rates;
pub mod refused_keys;
mod target_state;
pub mod task;
pub mod vm_count;
pub mod warmup;
