//! Decides which target owns which keys, and keeps the decision in the platform's store.
//!
//! One VM, the manager, decides for all. A *record* for each service names the owner and the fencing
//! token of every range of keys. [`ownership`] decides what is recorded, granted and released;
//! [`assignment`] decides on ranges without an owner, [`balance`] and [`redistribution`] decide which keys move;
//! [`manager`] runs them on the VM that holds the manager's lease.

pub mod assignment;
pub mod balance;
mod calls;
mod events;
pub mod load;
pub mod manager;
pub mod ownership;
mod packed;
mod range_state;
pub mod record;
pub mod record_delta;
pub mod redistribution;
pub mod service_times;
pub mod tally;
