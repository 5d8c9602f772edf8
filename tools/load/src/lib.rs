//! Load and experiments for bramleypier, open loop; a test tool, never shipped.
//!
//! - [`plan`] fixes in advance when which request is due; [`arrivals`] and [`keys`] are its parts;
//! - [`worker`] sends the plan's requests on time, over [`pool`]'s connections, to the address that
//!   [`balancer`] gives; [`call`] makes one exchange;
//! - [`tally`] adds up what came of them, [`journal`] keeps one line a request for the audit;
//! - [`run`] runs the workers and gathers their reports; [`table`] and [`plot`] show them;
//! - [`scene`] is a fleet set up for a measurement; [`mod@bench`] measures the path through one VM;
//! - [`experiment`] measures fleets at several loads, with and without faults;
//! - [`perfect`] is the yardstick: the same plan served by queues without any cost.

pub mod arrivals;
pub mod balancer;
pub mod bench;
pub mod call;
pub mod config;
pub mod experiment;
pub mod journal;
pub mod keys;
pub mod perfect;
pub mod plan;
pub mod plot;
pub mod pool;
pub mod rest;
pub mod run;
pub mod scene;
pub mod table;
pub mod tally;
pub mod usage;
pub mod worker;
