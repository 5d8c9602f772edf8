//! Request rates of keys, from counts that decay exponentially.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::record::RequestKey;

/// The half-lives of a key's slow and fast count, in seconds.
///
/// The slow count is steady for keys with two requests per second; the fast one shows within half a second that
/// a key has become hot.
const HALF_LIVES_SECS: [f64; 2] = [3.0, 0.6];
/// The minimum fast count that is used, in requests: below it, chance alone makes keys look hot.
const MIN_FAST_COUNT: f64 = 6.0;
/// How many low bits of a key number it within its block of neighbouring keys.
const BLOCK_BITS: u32 = 5;
/// The minimum fast count of a block that shows that its keys have become hot, in requests.
const MIN_BLOCK_COUNT: f64 = 12.0;
/// The growth of a block's rate that shows that its keys have become hot, as a factor.
///
/// Of 200 neighbouring keys with 40 % of all requests each gets some two requests per second, so that none shows alone.
const BLOCK_GROWTH: f64 = 2.0;
/// What is added to the variance of a count, in requests, since chance produces high small counts more often.
const SMALL_COUNT: f64 = 4.0;
/// The number of requests counted in a block at which half of its keys' rates counts as known.
///
/// Of keys that are all alike, those with the most requests by chance would otherwise seem to carry most of the load.
const KNOWN_COUNT: f64 = 8.0;
/// The shortest time over which a rate is computed.
const MIN_SPAN: Duration = Duration::from_millis(200);
/// The minimum slow count, in requests; keys with a lower one are dropped.
const MIN_SLOW_COUNT: f64 = 0.02;

/// The decaying counts of one key, in requests.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    slow: f64,
    fast: f64,
}

impl Counts {
    /// Returns the rate in requests per second; `spans` are the seconds that each count covers.
    ///
    /// The fast count is used if it is high enough, or if the key's block is hot.
    fn rate(self, spans: [f64; 2], in_hot_block: bool) -> f64 {
        let slow = self.slow / spans[0];
        if self.fast < MIN_FAST_COUNT && !in_hot_block {
            return slow;
        }
        slow.max(self.fast / spans[1])
    }

    /// Returns whether these counts are of a block of keys that has become hot.
    fn is_hot_block(self, spans: [f64; 2]) -> bool {
        self.fast >= MIN_BLOCK_COUNT && self.fast / spans[1] > self.slow / spans[0] * BLOCK_GROWTH
    }

    /// Multiplies the counts by these factors; returns whether they are still worth keeping.
    fn decay(&mut self, factors: [f64; 2]) -> bool {
        self.slow *= factors[0];
        self.fast *= factors[1];
        self.slow > MIN_SLOW_COUNT
    }

    fn add(&mut self, count: u32) {
        self.slow += f64::from(count);
        self.fast += f64::from(count);
    }
}

/// Request rates by key.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::load::Load;
///
/// let mut load = Load::default();
/// for second in 0..30 {
///     load.add(Duration::from_secs(second), [(7, 4)]);
/// }
/// assert!((load.rate(0, 9) - 4.0).abs() < 1.0);
/// assert_eq!(load.rate(0, 6), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Load {
    counts: BTreeMap<RequestKey, Counts>,
    /// The counts of each block of neighbouring keys.
    blocks: HashMap<RequestKey, Counts>,
    /// When the first request was counted.
    first_at: Option<Duration>,
    /// When the counts last decayed.
    decayed_at: Duration,
}

impl Load {
    /// Adds counts of requests by key and decays the older ones.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn add<I>(&mut self, now: Duration, counts: I)
    where
        I: IntoIterator<Item = (RequestKey, u32)>,
    {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        if elapsed > 0.0 {
            self.decayed_at = now;
            let decay = HALF_LIVES_SECS.map(|half| (-elapsed / half).exp2());
            self.counts.retain(|_, counts| counts.decay(decay));
            self.blocks.retain(|_, counts| counts.decay(decay));
        }
        for (key, count) in counts {
            self.first_at.get_or_insert(now);
            self.counts.entry(key).or_default().add(count);
            let block = self.blocks.entry(key >> BLOCK_BITS).or_default();
            block.add(count);
        }
    }

    /// Returns the time that each count covers, in seconds: less than its mean lifetime at first.
    fn spans(&self) -> [f64; 2] {
        let elapsed = self.first_at.map_or(Duration::ZERO, |first_at| {
            self.decayed_at.saturating_sub(first_at)
        });
        let elapsed = elapsed.max(MIN_SPAN).as_secs_f64();
        HALF_LIVES_SECS.map(|half| half / std::f64::consts::LN_2 * (1.0 - (-elapsed / half).exp2()))
    }

    /// Returns how many requests were counted, less those that have decayed.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 4), (3, 1)]);
    /// assert_eq!(load.request_count(), 5.0);
    /// ```
    pub fn request_count(&self) -> f64 {
        self.counts.values().map(|counts| counts.slow).sum()
    }

    /// Returns the rate of a range, in requests per second.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn rate(&self, from: RequestKey, to: RequestKey) -> f64 {
        // An empty sum is negative zero; adding zero keeps "-0.0" out of the logs.
        self.rates(from, to).map(|(_, rate)| rate).sum::<f64>() + 0.0
    }

    /// Returns the keys of a range that have load, with their rates.
    fn rates(
        &self,
        from: RequestKey,
        to: RequestKey,
    ) -> impl Iterator<Item = (RequestKey, f64)> + '_ {
        let spans = self.spans();
        // The last block and whether it is hot: neighbouring keys follow each other.
        let mut last = (RequestKey::MAX, false);
        self.counts.range(from..=to).map(move |(key, counts)| {
            let block = key >> BLOCK_BITS;
            if last.0 != block {
                let counts = self.blocks.get(&block);
                last = (block, counts.is_some_and(|it| it.is_hot_block(spans)));
            }
            (*key, counts.rate(spans, last.1))
        })
    }

    /// Returns the part of each key's rate that isn't likely to be chance, for the keys of [`Self::key_rates`].
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 400), (99, 1)]);
    /// let ratios: Vec<_> = load.known_ratios(0, 99).collect();
    /// assert!(ratios[0] > 0.9 && ratios[1] < 0.2);
    /// ```
    pub fn known_ratios(&self, from: RequestKey, to: RequestKey) -> impl Iterator<Item = f64> + '_ {
        self.counts.range(from..=to).map(|(key, _)| {
            let block = self.blocks.get(&(key >> BLOCK_BITS));
            let count = block.map_or(0.0, |it| it.slow);
            count / (count + KNOWN_COUNT)
        })
    }

    /// Returns whether the rate of a range is rising, so that it is still unknown how far.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 8), (9, 8)]);
    /// load.add(Duration::from_secs(9), [(9, 20)]);
    /// assert!(load.is_rising(9, 9) && !load.is_rising(7, 7));
    /// ```
    pub fn is_rising(&self, from: RequestKey, to: RequestKey) -> bool {
        let slow: f64 = self.counts.range(from..=to).map(|(_, it)| it.slow).sum();
        self.rate(from, to) > slow / self.spans()[0] * BLOCK_GROWTH
    }

    /// Returns the highest rate of a single key, in requests per second.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 40), (8, 4)]);
    /// assert_eq!(load.max_key_rate(), load.rate(7, 7));
    /// ```
    pub fn max_key_rate(&self) -> f64 {
        let rates = self.rates(0, RequestKey::MAX).map(|(_, rate)| rate);
        rates.fold(0.0, f64::max)
    }

    /// Returns how many requests a rate was measured from.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 4)]);
    /// assert!((load.counted(load.rate(7, 7)) - 4.0).abs() < 0.1);
    /// ```
    pub fn counted(&self, rate: f64) -> f64 {
        rate.max(0.0) * self.spans()[0]
    }

    /// Returns the standard deviation of a measured rate by chance, in requests per second.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// for second in 0..30 {
    ///     load.add(Duration::from_secs(second), [(7, 4)]);
    /// }
    /// assert!((load.deviation(4.0) - 1.0).abs() < 0.1);
    /// ```
    pub fn deviation(&self, rate: f64) -> f64 {
        let span = self.spans()[0];
        (self.counted(rate) + SMALL_COUNT).sqrt() / span
    }

    /// Returns the same load with each key's rate limited to `max_rate` requests per second.
    ///
    /// Requests for one key beyond what any target can serve are refused whichever target owns the key, so they
    /// must not influence which target owns other keys.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 40), (8, 4)]);
    /// let capped = load.capped(50.0);
    /// assert!((capped.rate(7, 7) - 50.0).abs() < 0.1);
    /// assert!((capped.rate(8, 8) - load.rate(8, 8)).abs() < 0.1);
    /// ```
    #[must_use]
    pub fn capped(&self, max_rate: f64) -> Self {
        let mut capped = self.clone();
        for (key, rate) in self.rates(0, RequestKey::MAX) {
            if rate > max_rate
                && let Some(counts) = capped.counts.get_mut(&key)
            {
                counts.slow *= max_rate / rate;
                counts.fast *= max_rate / rate;
            }
        }
        capped
    }

    /// Returns the keys of a range that have load, with their rates in requests per second, in key order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 4), (3, 1)]);
    /// let keys: Vec<_> = load.key_rates(0, 9).into_iter().map(|(key, _)| key).collect();
    /// assert_eq!(keys, [3, 7]);
    /// ```
    pub fn key_rates(&self, from: RequestKey, to: RequestKey) -> Vec<(RequestKey, f64)> {
        self.rates(from, to).collect()
    }
}
