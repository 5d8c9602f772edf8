//! Soak test: runs real processes of the program under random faults and checks what callers and targets observe.
//!
//! A seed determines a [`plan`]: faults and their times; faults overlap and follow each other. [`run`] starts the
//! platform's stand-in, targets and VMs on loopback, with a [`proxy`] between each VM and the store and in front of
//! each target. It executes the plan while [`callers`] send requests, some of them pipelined, and collects what they and the targets observe.
//! [`check`] then reports the violated guarantees, without any I/O; [`notices`] those about what targets say in their
//! responses, [`budget`] those about what is sent again.
//!
//! ```
//! use bramleypier_soak::plan::Plan;
//!
//! let size = bramleypier_soak::plan::Size { vms: 3, seconds: 10 };
//! assert_eq!(Plan::generate(7, size), Plan::generate(7, size), "the same seed gives the same plan");
//! ```

pub mod budget;
pub mod callers;
pub mod check;
pub mod deployment;
pub mod fleet;
pub mod notices;
mod pipelined;
pub mod plan;
pub mod proxy;
pub mod run;
