//! Open-loop load generator and experiments for bramleypier; test tools that are never shipped.
//!
//! - [`plan`] decides in advance when each request is due, from [`arrivals`] and [`keys`];
//! - [`worker`] sends the planned requests on time over connections of [`pool`], to the addresses that
//!   [`balancer`] chooses; [`call`] performs one HTTP exchange;
//! - [`tally`] counts the results by class; [`call_log`] stores one line per attempt for the audit;
//! - [`run`] runs the workers and merges their reports; [`table`] and [`plot`] present them;
//! - [`testbed`] starts a fleet for a measurement; [`mod@bench`] measures the path through one VM;
//! - [`idle`] measures what fleets of several sizes use without load;
//! - [`experiment`] measures fleets at several loads, with and without faults;
//! - [`ideal`] simulates the same plan on queues without overhead, as a baseline.

pub mod arrivals;
pub mod balancer;
pub mod bench;
pub mod call;
pub mod call_log;
pub mod config;
pub mod experiment;
pub mod ideal;
pub mod idle;
pub mod keys;
pub mod plan;
pub mod plot;
pub mod pool;
pub mod run;
pub mod table;
pub mod tally;
pub mod testbed;
pub mod usage;
pub mod worker;
