//! What operators and targets have written: routes, services, limits and targets.
//!
//! The types hold what is in force; an adapter decodes them from whatever the platform stores, by
//! the trait [`Catalogue`].

mod routes;

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::routes::{Found, Route, Routes, ServiceWeight};

/// The name of a service.
pub type ServiceId = String;
/// The id of one target's life.
pub type TargetId = String;
/// The name of a failure domain.
pub type DomainId = String;
/// The version of a configuration; versions only grow.
pub type Version = u64;
/// When a target's life began, in Unix milliseconds by the target's own clock.
pub type StartTime = u64;

/// A target's id, hashed: messages between VMs name targets many times a second.
pub type TargetHash = u32;

/// Hashes a target's id.
///
/// # Example
///
/// ```
/// use bramleypier_engine::catalogue;
///
/// assert_ne!(catalogue::hash("a"), catalogue::hash("b"));
/// ```
pub fn hash(id: &str) -> TargetHash {
    xxhash_rust::xxh32::xxh32(id.as_bytes(), 0)
}

quick_error! {
    /// Why a stored value could not be decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The bytes are not a value of the expected shape.
        Unreadable(key: String, reason: String) {
            display("step=decode peer={key} cause={reason}")
        }
    }
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run more than once, and its answer is large.
    Download,
    /// It may run once at most.
    Once,
}

impl Kind {
    /// Returns whether a request of this kind may run more than once.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::catalogue::Kind;
    ///
    /// assert!(Kind::Download.is_idempotent());
    /// assert!(!Kind::Once.is_idempotent());
    /// ```
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// What a caller may send, and how long it may take over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: u64,
    /// How long a request's head may take from its first byte.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// What holds until an operator's limits are known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// How targets of a service are while they are cold: after a start, or when they come back.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Warmup {
    /// How long a target is cold.
    #[serde(rename = "span")]
    pub duration: Duration,
    /// How many requests a second it bears until then; well above that it falls over.
    pub rate: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The most connections that one target accepts from all VMs together.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Whether each key has one owner among the targets.
    pub keyed: bool,
    /// How long keys are slow that arrive without a handover.
    #[serde(rename = "warm")]
    pub key_warmup: Duration,
    /// What its targets bear while they are cold; none if that has no bound.
    pub warmup: Option<Warmup>,
}

/// A configuration: everything that operators decide.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The routes.
    pub routes: Routes,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// One life of a target, as the target announced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// The id; a later life may have the same one.
    pub id: TargetId,
    /// When this life began; 0 if the target doesn't say.
    #[serde(rename = "born")]
    pub start_time: StartTime,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// How many requests it runs at once.
    pub slots: usize,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// How much longer it is cold, from its announcement on.
    pub cold: Duration,
}

impl Target {
    /// Returns whether two announcements are of one life.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::catalogue::Target;
    ///
    /// let first = Target {
    ///     id: "a".into(),
    ///     start_time: 1,
    ///     service: "s".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     domain: "d".into(),
    ///     slots: 2,
    ///     leaving: false,
    ///     cold: Duration::ZERO,
    /// };
    /// let second = Target { start_time: 2, ..first.clone() };
    /// assert!(!first.same_incarnation(&second));
    /// ```
    pub fn same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.start_time == other.start_time
    }
}

/// Decodes what the platform holds; implemented once for each dialect.
pub trait Catalogue {
    /// Returns the key under which the configuration is stored.
    fn config_key(&self) -> &str;

    /// Returns the prefix of the keys under which targets announce themselves.
    fn targets_prefix(&self) -> &str;

    /// Returns the failure domain that an operator evacuates for as long as a key stands in the store; none
    /// if the key is another's.
    fn evacuated_domain(&self, key: &str) -> Option<DomainId>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the bytes are not a valid configuration.
    fn config(&self, value: &[u8]) -> Result<Config, Error>;

    /// Decodes a target's announcement; `key` is the whole key under which it was stored.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the bytes name no target to use.
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, Error>;
}
