//! Who owns which keys, decided by one manager and kept in the platform's store.
//!
//! A *record* for each service names the owner of every range with its fence. [`keeper`] decides
//! what is recorded, granted and released; [`balance`] decides which keys move; [`manager`] runs
//! both on the VM that holds the manager's lease.

pub mod balance;
mod calls;
pub mod deal;
pub mod keeper;
mod live;
pub mod load;
pub mod manager;
mod order;
mod packed;
pub mod record;
pub mod tally;
pub mod times;
