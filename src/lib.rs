//! A router for servers that own keys exclusively.
//!
//! bramleypier routes requests from callers to *targets*: servers that each hold state for a set of
//! keys and must be the only owner of those keys. All router processes run the same code, store
//! nothing on disk and may stop at any time; durable state is kept in the platform's key-value
//! service. This page introduces the library by small examples, in the order in which a request
//! passes through it.
//!
//! # Documents
//!
//! Each service team writes one document; operators change nothing else. A document is accepted only
//! if all of it is valid; otherwise it is refused with an error that names the line:
//!
//! ```
//! use bramleypier::document::{self, Ownership};
//!
//! let text = "
//! [service]
//! name = tracking
//! ownership = exclusive
//!
//! [class lookups]
//! methods = GET
//! idempotent = true
//! share = 60
//! deadline_ms = 2000
//! queue_ms = 200
//!
//! [target tracking-01]
//! address = 127.0.0.1:9001
//! domain = uio-norte
//! fencing = checked
//! ";
//! let document = document::text::parse("tracking.ini", text).unwrap();
//! assert_eq!(document.ownership, Ownership::Exclusive);
//!
//! let fault = document::text::parse("tracking.ini", "[service]\ncolour = red\n").unwrap_err();
//! assert!(fault.to_string().starts_with("tracking.ini:2: "));
//! ```
//!
//! # Keys, ranges and owners
//!
//! A key hashes to a point, and the hash space is divided into ranges of points. Each range has one
//! owner at an [epoch](id::Epoch) that only increases:
//!
//! ```
//! use bramleypier::{key, range::Range};
//!
//! let halves = Range::ALL.split(2);
//! let point = key::point("letter-1");
//! assert_eq!(halves.iter().filter(|half| half.contains(point)).count(), 1);
//! ```
//!
//! # Grants
//!
//! A target serves a range only under a *grant*, a lease that expires by the target's own clock. A
//! target that was frozen finds its grant expired when it resumes, and refuses requests:
//!
//! ```
//! use std::time::Duration;
//!
//! use bramleypier::{
//!     grant::{Claim, Grant, Holder},
//!     range::Range,
//! };
//!
//! let mut holder = Holder::new("start-1".into());
//! let grant = Grant {
//!     boot: "start-1".into(),
//!     until_ms: 1_000,
//!     ranges: vec![Claim::new(Range::ALL, 1)],
//!     release: vec![],
//! };
//! holder.on_grant(Duration::ZERO, &grant);
//! assert_eq!(holder.epoch(7, Duration::from_millis(999)), Some(1));
//! assert_eq!(holder.epoch(7, Duration::from_millis(1_000)), None);
//! ```
//!
//! Up to three VMs outside the target's failure domain, its [grantors](grantor), renew the grant.
//! They share the work of renewing it, but ranges are moved away only after all of them have stopped.
//! `docs/DESIGN.md` gives the rules and the failures that each protects against.
//!
//! # Decisions without I/O
//!
//! All decisions are made by state machines that take the time and an event and return effects. Tasks
//! around them own the sockets and carry out the effects; tests run the same machines for millions of
//! steps with lost, delayed and duplicated messages:
//!
//! ```
//! use std::time::Duration;
//!
//! use bramleypier::grantor::{Event, Grantor, Timing};
//!
//! let mut grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
//! // It knows no record yet, so there is nothing to do.
//! assert!(grantor.on(Duration::ZERO, Event::Tick).is_empty());
//! ```
//!
//! # Outcomes of requests
//!
//! The outcome `not-run` needs a [proof](request::Proof), which the type system enforces: an attempt of
//! which a byte may have been sent has no proof, unless the target itself refused it.
//!
//! ```
//! use bramleypier::request::{Attempt, Outcome, Step, Verdict};
//!
//! let attempt = Attempt::new();
//! let verdict = Verdict::not_run(&attempt.proof(), 429, Step::Limit, "tracking-01", "busy");
//! assert_eq!(verdict.outcome(), Outcome::NotRun);
//!
//! let started = attempt.admit().start("tracking-01");
//! assert_eq!(started.lost().outcome(), Outcome::Unknown);
//! ```
//!
//! # Orders
//!
//! A request that is not idempotent carries an id and runs at most once across all processes: [`order`]
//! describes how a home and a standby store it, and why two processes can't both let it run.
//!
//! # Limits
//!
//! [`limit`] estimates how much load a target can take, divides it among the classes of requests and
//! refuses excess requests early, with the time to retry after. [`retry`] limits retries by a budget.
//! [`quarantine`] prevents a request that crashed its target from crashing further targets.
//!
//! # The fleet
//!
//! [`membership`] tracks which VMs are live, [`spread`] distributes changes to all VMs, and
//! [`watcher`] reads the platform's key-value service on behalf of a failure domain. [`vm`] runs all
//! parts in one process, and [`timeline`] shows afterwards what happened on all VMs.

pub use bramleypier_util::clock;

pub mod admin;
pub mod balance;
pub mod chart;
pub mod cli;
pub mod document;
pub mod entry;
pub mod gossip;
pub mod grant;
pub mod grantor;
pub mod group;
pub mod handover;
pub mod id;
pub mod key;
pub mod limit;
pub mod logging;
pub mod measure;
pub mod membership;
pub mod metrics;
pub mod order;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod range;
pub mod request;
pub mod retry;
pub mod route;
pub mod settings;
pub mod spread;
pub mod target;
pub mod timeline;
pub mod util;
pub mod vm;
pub mod watcher;
