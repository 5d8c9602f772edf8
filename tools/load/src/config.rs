//! Configuration of one load run.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::arrivals::Pattern;

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// GET with a small response.
    Lookups,
    /// POST that must run at most once.
    Orders,
    /// GET of a file.
    Files,
}

impl Class {
    /// All classes, in the order of their indices.
    pub const ALL: [Self; 3] = [Self::Lookups, Self::Orders, Self::Files];

    /// Returns the name as it stands in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookups => "lookups",
            Self::Orders => "orders",
            Self::Files => "files",
        }
    }

    /// Returns the index of this class in per-class arrays.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether the work may run more than once without harm.
    pub fn is_idempotent(self) -> bool {
        self != Self::Orders
    }
}

/// Load-balancing policy that chooses the address of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each address in turn, as the load balancer does.
    RoundRobin,
    /// A random address.
    Random,
    /// Of two random addresses, the one with fewer requests of this worker in flight.
    TwoChoices,
    /// The address with the fewest requests of this worker in flight.
    LeastInFlight,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "round" => Ok(Self::RoundRobin),
            "random" => Ok(Self::Random),
            "two" => Ok(Self::TwoChoices),
            "least" => Ok(Self::LeastInFlight),
            _ => Err(format!("{text:?} is none of round, random, two, least")),
        }
    }
}

/// Work time of a request, which the caller sends to the targets' stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Not sent: the stand-in decides.
    Unspecified,
    /// The same time for every request.
    Fixed(Duration),
    /// Exponentially distributed with this mean, rounded to whole milliseconds.
    Exponential(Duration),
}

impl FromStr for Work {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, ms) = text.split_once(':').unwrap_or((text, "0"));
        let ms = ms.parse().map_err(|cause| format!("{text:?}: {cause}"))?;
        let duration = Duration::from_millis(ms);
        match kind {
            "unsaid" => Ok(Self::Unspecified),
            "fixed" => Ok(Self::Fixed(duration)),
            "exponential" => Ok(Self::Exponential(duration)),
            _ => Err(format!(
                "{text:?} is none of unsaid, fixed:MS, exponential:MS"
            )),
        }
    }
}

/// Configuration of one load run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the requested service.
    pub service: String,
    /// Addresses to which requests are sent.
    pub addresses: Vec<SocketAddr>,
    /// Whether the addresses are those of targets, not of entry VMs.
    pub direct: bool,
    /// Policy that chooses the address of each request.
    pub policy: Policy,
    /// Requests per second, by class.
    pub rates: [f64; 3],
    /// Distribution of the gaps between arrivals.
    pub pattern: Pattern,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration for which requests are sent, including the warm-up.
    pub duration: Duration,
    /// Warm-up at the start of the run, which isn't counted.
    pub warm_up: Duration,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of keys; at zero all keys are equally likely.
    pub zipf: f64,
    /// Size of a file, in bytes.
    pub file_bytes: u64,
    /// Work time of requests.
    pub work: Work,
    /// Deadline that callers send with a request.
    pub deadline: Duration,
    /// Maximum number of attempts for an order.
    pub max_attempts: usize,
    /// Number of sending threads.
    pub workers: usize,
    /// Maximum number of connections per worker and address.
    pub connections: usize,
    /// Interval of the balancer's health checks; without one there are none.
    pub health_interval: Option<Duration>,
    /// File for one line per attempt; each worker appends its number to the name.
    pub log_file: Option<PathBuf>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            service: "tracking".to_owned(),
            addresses: Vec::new(),
            direct: false,
            policy: Policy::RoundRobin,
            rates: [1000.0, 0.0, 0.0],
            pattern: Pattern::Poisson,
            seed: 1,
            duration: Duration::from_secs(10),
            warm_up: Duration::from_secs(1),
            keys: 10_000,
            zipf: 0.0,
            file_bytes: 200_000,
            work: Work::Unspecified,
            deadline: Duration::from_secs(2),
            max_attempts: 1,
            workers: 1,
            connections: 256,
            health_interval: None,
            log_file: None,
        }
    }
}
