//! The configuration of operators and the announcements of targets: routes, services, limits, targets.
//!
//! The types hold decoded values. An adapter implements the trait [`Catalogue`], which decodes them from the
//! formats that its platform stores.

mod routes;

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::routes::{Found, Route, Routes, ServiceWeight};

/// The name of a service.
pub type ServiceId = String;
/// The id of a target.
pub type TargetId = String;
/// The name of a failure domain.
pub type DomainId = String;
/// The name of a VM.
pub type VmId = String;
/// The version of a configuration; a newer configuration has a higher one.
pub type Version = u64;
/// When an incarnation of a target started, in Unix milliseconds by the target's own clock.
pub type StartTime = u64;

/// The hash of a target's id, which keeps messages between VMs small: they name targets many times a second.
pub type TargetHash = u32;

/// The requests per second that an overloaded target accepts from all VMs together.
pub type Rate = f64;

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
        /// The bytes are not a value of the expected format.
        Unreadable(key: String, reason: String) {
            display("step=decode peer={key} cause={reason}")
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run more than once, and its response is large.
    Download,
    /// It may run at most once.
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

/// Limits on the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// How long a request's head may take to arrive, from its first byte.
    pub head_time: Duration,
    /// How long a connection may stay open without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the operator's are known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The limits of a service's targets while they are cold: after a start, or after an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Warmup {
    /// How long a target stays cold.
    #[serde(rename = "span")]
    pub duration: Duration,
    /// How many requests per second a cold target can handle; well above that rate it fails.
    pub rate: f64,
}

/// A service: a group of targets that answer the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The maximum number of connections that one target accepts from all VMs together.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Whether each key has one owner among the targets.
    pub keyed: bool,
    /// How long requests for a key are slow after the key moved to a new owner without a handover.
    #[serde(rename = "warm")]
    pub key_warmup: Duration,
    /// The limits of its targets while they are cold; `None` if they have no limit.
    pub warmup: Option<Warmup>,
}

/// A configuration, as operators publish it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The routes.
    pub routes: Routes,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// One incarnation of a target, as the target announced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// The id; a later incarnation may have the same one.
    pub id: TargetId,
    /// When this incarnation started; 0 if the target doesn't announce it.
    #[serde(rename = "born")]
    pub start_time: StartTime,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// How many requests it runs concurrently.
    pub slots: usize,
    /// Whether it is draining: it is about to stop and takes no new requests.
    pub leaving: bool,
    /// How much longer it stays cold, counted from its announcement.
    pub cold: Duration,
}

impl Target {
    /// Returns whether two announcements are of the same incarnation.
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

/// Decodes the items that a platform stores; implemented once for each platform.
pub trait Catalogue {
    /// Returns the key under which the configuration is stored.
    fn config_key(&self) -> &str;

    /// Returns the prefix of the keys under which targets announce themselves.
    fn targets_prefix(&self) -> &str;

    /// Returns the failure domain that is evacuated while the key exists in the store; `None` if the key
    /// doesn't mark an evacuation.
    fn evacuated_domain(&self, key: &str) -> Option<DomainId>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the bytes are not a valid configuration.
    fn config(&self, value: &[u8]) -> Result<Config, Error>;

    /// Decodes a target's announcement; `key` is the full key under which it is stored.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] when the bytes don't describe a usable target.
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, Error>;
}
