//! When requests arrive, fixed in advance.

use std::{str::FromStr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// How arrivals are spaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// All gaps are equal.
    Constant,
    /// Gaps are exponential: arrivals of many callers that don't know of each other.
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

/// An endless stream of arrival times, counted from the start of the run.
#[derive(Clone, Debug)]
pub struct Arrivals {
    pattern: Pattern,
    gap: f64,
    next: f64,
    random: StdRng,
}

impl Arrivals {
    /// Creates a stream of `rate` arrivals a second; none at all for a rate of zero.
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
            gap: if rate > 0.0 { rate.recip() } else { f64::MAX },
            next: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn gap(&mut self) -> f64 {
        match self.pattern {
            Pattern::Constant => self.gap,
            Pattern::Poisson => self.gap * exponential(&mut self.random),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.next += self.gap();
        Duration::try_from_secs_f64(self.next).ok()
    }
}

/// Draws from the exponential distribution of mean 1.
///
/// # Example
///
/// ```
/// use bramleypier_load::arrivals;
/// use rand::{SeedableRng, rngs::StdRng};
///
/// assert!(arrivals::exponential(&mut StdRng::seed_from_u64(1)) >= 0.0);
/// ```
pub fn exponential<R>(random: &mut R) -> f64
where
    R: Rng,
{
    let chance: f64 = random.random();
    -(1.0 - chance).ln()
}
