//! What one run of load is.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::arrivals::Pattern;

/// A class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A GET whose answer is small.
    Lookups,
    /// A POST that must run at most once.
    Orders,
    /// A GET of a file.
    Files,
}

impl Class {
    /// Every class, in the order of their indices.
    pub const ALL: [Self; 3] = [Self::Lookups, Self::Orders, Self::Files];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookups => "lookups",
            Self::Orders => "orders",
            Self::Files => "files",
        }
    }

    /// Returns the index in arrays by class.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether the work may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::Orders
    }
}

/// How a request's address is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// One after the other, as the balancer does.
    Round,
    /// At random.
    Random,
    /// The one with fewer requests of this worker in flight, of two at random.
    Two,
    /// The one with the fewest requests of this worker in flight.
    Least,
}

impl FromStr for Spread {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "round" => Ok(Self::Round),
            "random" => Ok(Self::Random),
            "two" => Ok(Self::Two),
            "least" => Ok(Self::Least),
            _ => Err(format!("{text:?} is none of round, random, two, least")),
        }
    }
}

/// The time of a request's work, which the caller names to the targets' stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The stand-in decides.
    Unsaid,
    /// The same time each time.
    Fixed(Duration),
    /// Exponential with this mean, rounded to whole milliseconds.
    Exponential(Duration),
}

impl FromStr for Work {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, ms) = text.split_once(':').unwrap_or((text, "0"));
        let ms = ms.parse().map_err(|cause| format!("{text:?}: {cause}"))?;
        let span = Duration::from_millis(ms);
        match kind {
            "unsaid" => Ok(Self::Unsaid),
            "fixed" => Ok(Self::Fixed(span)),
            "exponential" => Ok(Self::Exponential(span)),
            _ => Err(format!(
                "{text:?} is none of unsaid, fixed:MS, exponential:MS"
            )),
        }
    }
}

/// One run of load.
#[derive(Clone, Debug)]
pub struct Config {
    /// The service that is asked.
    pub service: String,
    /// Where requests go.
    pub addresses: Vec<SocketAddr>,
    /// Whether the addresses are those of targets, not of entry VMs.
    pub direct: bool,
    /// How an address is chosen.
    pub spread: Spread,
    /// Requests a second, by class.
    pub rates: [f64; 3],
    /// How arrivals are spaced.
    pub pattern: Pattern,
    /// What all chance is drawn from.
    pub seed: u64,
    /// How long requests are sent.
    pub span: Duration,
    /// How long at the start nothing is counted.
    pub warm_up: Duration,
    /// How many keys there are.
    pub keys: usize,
    /// The exponent of Zipf's law; all keys are equally likely at zero.
    pub zipf: f64,
    /// The size of a file.
    pub file_bytes: u64,
    /// The time of the work.
    pub work: Work,
    /// How long callers are ready to wait.
    pub deadline: Duration,
    /// How often an order is sent at the most.
    pub sends: usize,
    /// How many threads send.
    pub workers: usize,
    /// The most connections of a worker to an address.
    pub connections: usize,
    /// How often the balancer checks an entry VM's health; never without one.
    pub health: Option<Duration>,
    /// Where one line a request is written; each worker adds its number to the name.
    pub log: Option<PathBuf>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            service: "tracking".to_owned(),
            addresses: Vec::new(),
            direct: false,
            spread: Spread::Round,
            rates: [1000.0, 0.0, 0.0],
            pattern: Pattern::Poisson,
            seed: 1,
            span: Duration::from_secs(10),
            warm_up: Duration::from_secs(1),
            keys: 10_000,
            zipf: 0.0,
            file_bytes: 200_000,
            work: Work::Unsaid,
            deadline: Duration::from_secs(2),
            sends: 1,
            workers: 1,
            connections: 256,
            health: None,
            log: None,
        }
    }
}
