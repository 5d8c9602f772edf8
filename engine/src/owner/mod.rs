//! Who owns which keys, decided by one manager and kept in the platform's store.
//!
//! A *record* for each service names the owner of every range with its fence. [`ownership`] decides
//! what is recorded, granted and released; [`balance`] decides which keys move; [`manager`] runs
//! both on the VM that holds the manager's lease.

pub mod balance;
mod calls;
mod events;
pub mod load;
pub mod manager;
pub mod ownership;
mod packed;
mod range_state;
pub mod record;
pub mod redistribution;
pub mod service_times;
pub mod tally;
