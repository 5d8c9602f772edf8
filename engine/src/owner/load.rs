//! Request rates of keys, from counts that decay exponentially.

use std::{collections::BTreeMap, time::Duration};

use super::record::RequestKey;

/// The half-lives of a key's slow and fast count, in seconds.
///
/// The slow count is steady for keys with two requests per second; the fast one shows within half a second that
/// a key has become hot.
const HALF_LIVES_SECS: [f64; 2] = [3.0, 0.6];
/// The minimum fast count that is used, in requests: below it, chance alone makes keys look hot.
const MIN_FAST_COUNT: f64 = 6.0;
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
    fn rate(self, spans: [f64; 2]) -> f64 {
        let slow = self.slow / spans[0];
        if self.fast < MIN_FAST_COUNT {
            return slow;
        }
        slow.max(self.fast / spans[1])
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
            self.counts.retain(|_, counts| {
                counts.slow *= decay[0];
                counts.fast *= decay[1];
                counts.slow > MIN_SLOW_COUNT
            });
        }
        for (key, count) in counts {
            self.first_at.get_or_insert(now);
            let entry = self.counts.entry(key).or_default();
            entry.slow += f64::from(count);
            entry.fast += f64::from(count);
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
        let range = self.counts.range(from..=to);
        let spans = self.spans();
        // An empty sum is negative zero; adding zero keeps "-0.0" out of the logs.
        range.map(|(_, counts)| counts.rate(spans)).sum::<f64>() + 0.0
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
        let spans = self.spans();
        let mut capped = self.clone();
        for counts in capped.counts.values_mut() {
            let factor = (max_rate / counts.rate(spans)).min(1.0);
            counts.slow *= factor;
            counts.fast *= factor;
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
        let spans = self.spans();
        let range = self.counts.range(from..=to);
        range
            .map(|(key, counts)| (*key, counts.rate(spans)))
            .collect()
    }
}
