//! Generates arrival times of requests, which depend on the pattern, the rate and the seed alone.

use std::{str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Distribution of the gaps between arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// All gaps are equal.
    Constant,
    /// Gaps are exponentially distributed, as with many independent callers.
    Poisson,
}

impl FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "constant" => Ok(Self::Constant),
            "poisson" => Ok(Self::Poisson),
            _ => Err(format!("{text:?} is neither constant nor poisson")),
        }
    }
}

/// Endless iterator over arrival times, each counted from the start of the run.
#[derive(Clone, Debug)]
pub struct Arrivals {
    pattern: Pattern,
    mean_gap: f64,
    time: f64,
    rng: StdRng,
}

impl Arrivals {
    /// Creates a stream of `rate` arrivals per second; it is empty when the rate is zero.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::arrivals::{Arrivals, Pattern};
    ///
    /// let times: Vec<_> = Arrivals::new(Pattern::Constant, 100.0, 1).take(3).collect();
    /// assert_eq!(times[2].as_millis(), 30);
    /// ```
    pub fn new(pattern: Pattern, rate: f64, seed: u64) -> Self {
        Self {
            pattern,
            mean_gap: if rate > 0.0 { rate.recip() } else { f64::MAX },
            time: 0.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn next_gap(&mut self) -> f64 {
        match self.pattern {
            Pattern::Constant => self.mean_gap,
            Pattern::Poisson => self.mean_gap * exponential(&mut self.rng),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.time += self.next_gap();
        Duration::try_from_secs_f64(self.time).ok()
    }
}

/// Samples the exponential distribution with mean 1.
///
/// # Example
///
/// ```
/// use bramleypier_load::arrivals;
/// use rand::{SeedableRng, rngs::StdRng};
///
/// assert!(arrivals::exponential(&mut StdRng::seed_from_u64(1)) >= 0.0);
/// ```
pub fn exponential<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
