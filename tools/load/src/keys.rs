//! Which keys requests ask for.

use rand::Rng;

/// Keys numbered from zero, drawn uniformly or by Zipf's law.
#[derive(Clone, Debug)]
pub struct Keys {
    count: usize,
    /// The sums of weights up to each key; empty when all keys are equally likely.
    sums: Vec<f64>,
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
    /// assert!(keys.draw(&mut StdRng::seed_from_u64(1)) < 10);
    /// ```
    pub fn new(count: usize, exponent: f64) -> Self {
        let count = count.max(1);
        let mut sums = Vec::new();
        if exponent > 0.0 {
            let mut sum = 0.0;
            let mut rank = 0.0_f64;
            sums.extend((0..count).map(|_| {
                rank += 1.0;
                sum += rank.powf(-exponent);
                sum
            }));
        }
        Self { count, sums }
    }

    /// Draws a key.
    pub fn draw<R>(&self, random: &mut R) -> usize
    where
        R: Rng,
    {
        let Some(whole) = self.sums.last() else {
            return random.random_range(0..self.count);
        };
        let point = random.random_range(0.0..*whole);
        self.sums.partition_point(|sum| *sum <= point)
    }
}
