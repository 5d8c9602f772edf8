//! Chooses the sharding keys of requests.

use rand::Rng;

/// Keys numbered from zero, sampled from a uniform or a Zipf distribution.
#[derive(Clone, Debug)]
pub struct Keys {
    count: usize,
    /// Sum of the weights up to and including each key; empty when all keys are equally likely.
    cumulative_weights: Vec<f64>,
}

impl Keys {
    /// Creates `count` keys; key `n` has a weight of `1 / (n + 1)` to the power of `exponent`.
    ///
    /// With an exponent of zero all keys are equally likely.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::keys::Keys;
    /// use rand::{SeedableRng, rngs::StdRng};
    ///
    /// let keys = Keys::new(10, 1.0);
    /// assert!(keys.sample(&mut StdRng::seed_from_u64(1)) < 10);
    /// ```
    pub fn new(count: usize, exponent: f64) -> Self {
        let count = count.max(1);
        let mut cumulative_weights = Vec::new();
        if exponent > 0.0 {
            let mut sum = 0.0;
            let mut rank = 0.0_f64;
            cumulative_weights.extend((0..count).map(|_| {
                rank += 1.0;
                sum += rank.powf(-exponent);
                sum
            }));
        }
        Self {
            count,
            cumulative_weights,
        }
    }

    /// Samples a key.
    pub fn sample<R>(&self, rng: &mut R) -> usize
    where
        R: Rng,
    {
        let Some(total) = self.cumulative_weights.last() else {
            return rng.random_range(0..self.count);
        };
        let threshold = rng.random_range(0.0..*total);
        self.cumulative_weights
            .partition_point(|sum| *sum <= threshold)
    }
}
