//! How busy each key is, forgotten with time.

use std::{collections::BTreeMap, time::Duration};

use super::record::RequestKey;

/// The times in which a key's two counts lose half their weight.
///
/// The slow one is steady for keys with two requests a second; the fast one shows within half a
/// second that a key has become busy.
const HALF_LIVES: [f64; 2] = [3.0, 0.6];
/// The least fast count that is believed: below, chance alone makes keys look busy.
const FAST_LEAST: f64 = 6.0;
/// The least time over which a rate is taken.
const SPAN_LEAST: Duration = Duration::from_millis(200);
/// What is dropped as nothing, in requests.
const NOTHING: f64 = 0.02;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    slow: f64,
    fast: f64,
}

impl Counts {
    /// The rate in requests a second, over so many seconds.
    fn rate(self, spans: [f64; 2]) -> f64 {
        let slow = self.slow / spans[0];
        if self.fast < FAST_LEAST {
            return slow;
        }
        slow.max(self.fast / spans[1])
    }
}

/// Rates of requests by key.
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
    since: Option<Duration>,
    at: Duration,
}

impl Load {
    /// Adds counts of requests by key, as of now.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn add<I>(&mut self, now: Duration, counts: I)
    where
        I: IntoIterator<Item = (RequestKey, u32)>,
    {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed > 0.0 {
            self.at = now;
            let kept = HALF_LIVES.map(|half| (-passed / half).exp2());
            self.counts.retain(|_, counts| {
                counts.slow *= kept[0];
                counts.fast *= kept[1];
                counts.slow > NOTHING
            });
        }
        for (point, count) in counts {
            self.since.get_or_insert(now);
            let entry = self.counts.entry(point).or_default();
            entry.slow += f64::from(count);
            entry.fast += f64::from(count);
        }
    }

    /// The time over which each count adds up, in seconds: less than its mean life at first.
    fn spans(&self) -> [f64; 2] {
        let passed = self
            .since
            .map_or(Duration::ZERO, |since| self.at.saturating_sub(since));
        let passed = passed.max(SPAN_LEAST).as_secs_f64();
        HALF_LIVES.map(|half| half / std::f64::consts::LN_2 * (1.0 - (-passed / half).exp2()))
    }

    /// Returns how many requests were counted, less those forgotten.
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

    /// Returns the rate of a range, in requests a second.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn rate(&self, from: RequestKey, to: RequestKey) -> f64 {
        let range = self.counts.range(from..=to);
        let spans = self.spans();
        // A sum of nothing is negative zero, which reads oddly in logs.
        range.map(|(_, counts)| counts.rate(spans)).sum::<f64>() + 0.0
    }

    /// Returns the same load with no key above a rate.
    ///
    /// What callers ask of one key beyond what any target can do is refused wherever the key lies, so
    /// it says nothing of where other keys should lie.
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
    pub fn capped(&self, most: f64) -> Self {
        let spans = self.spans();
        let mut capped = self.clone();
        for counts in capped.counts.values_mut() {
            let part = (most / counts.rate(spans)).min(1.0);
            counts.slow *= part;
            counts.fast *= part;
        }
        capped
    }

    /// Returns the busy keys of a range with their rates, in order.
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
            .map(|(point, counts)| (*point, counts.rate(spans)))
            .collect()
    }
}
