//! Real processes of the program under random faults, and checks of what callers and targets see.
//!
//! A seed makes a [`plan`]: faults with their times, which overlap and come in series. [`run`] starts the
//! platform's stand-in, targets and VMs on loopback, with a [`proxy`] before the store of each VM and before each
//! target, plays the plan while callers ask, and gathers what they and the targets saw. [`check`] tells which
//! promises that breaks; it is free of I/O.
//!
//! ```
//! use bramleypier_soak::plan::Plan;
//!
//! let size = bramleypier_soak::plan::Size { vms: 3, seconds: 10 };
//! assert_eq!(Plan::draw(7, size), Plan::draw(7, size), "a seed repeats its plan");
//! ```

pub mod callers;
pub mod check;
pub mod fleet;
pub mod plan;
pub mod proxy;
pub mod run;
