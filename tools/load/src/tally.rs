//! What came of requests, added up by class.

use std::time::Duration;

use bramleypier_standins::audit::Told;
use hdrhistogram::Histogram;

use crate::{call::Answer, config::Class};

/// Digits that latencies keep.
const DIGITS: u8 = 3;

/// Latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Option<Histogram<u64>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            histogram: Histogram::new(DIGITS).ok(),
        }
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            // It resizes itself, so every value fits.
            let _ = histogram.record(micros);
        }
    }

    /// Adds all of another's.
    pub fn merge(&mut self, other: &Self) {
        if let (Some(histogram), Some(other)) = (&mut self.histogram, &other.histogram) {
            // It resizes itself, so every value fits.
            let _ = histogram.add(other);
        }
    }

    /// Returns how many were added.
    pub fn count(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the latency within which this share of requests lay; zero when there are none.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::tally::Latencies;
    ///
    /// let mut latencies = Latencies::default();
    /// latencies.add(Duration::from_millis(5));
    /// assert!(latencies.quantile(0.5) >= Duration::from_millis(5));
    /// ```
    pub fn quantile(&self, share: f64) -> Duration {
        let histogram = self.histogram.as_ref();
        Duration::from_micros(histogram.map_or(0, |latencies| {
            if latencies.is_empty() {
                return 0;
            }
            latencies.value_at_quantile(share)
        }))
    }

    /// Returns the greatest latency.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.histogram.as_ref().map_or(0, Histogram::max))
    }
}

/// What came of one class's requests.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were due.
    pub sent: u64,
    /// Those that ran and whose whole answer came in time.
    pub good: u64,
    /// Those that were told to have run.
    pub ran: u64,
    /// Those that were told not to have run.
    pub not_run: u64,
    /// Those of which nobody knows.
    pub unknown: u64,
    /// Those that got no whole answer; they count as not run or unknown too.
    pub errors: u64,
    /// Those whose answer was another's or not what the target sent.
    pub unsound: u64,
    /// Further sendings of the same request.
    pub resent: u64,
    /// Bytes of answers.
    pub bytes: u64,
    /// From the due time to the whole answer, of those that ran.
    pub served: Latencies,
    /// The same, of those that were told not to have run.
    pub refused: Latencies,
}

impl Counts {
    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.good += other.good;
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.errors += other.errors;
        self.unsound += other.unsound;
        self.resent += other.resent;
        self.bytes += other.bytes;
        self.served.merge(&other.served);
        self.refused.merge(&other.refused);
    }
}

/// What came of all requests, by class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    classes: [Counts; 3],
}

impl Tally {
    /// Returns a class's counts.
    pub fn class(&self, class: Class) -> &Counts {
        &self.classes[class.index()]
    }

    /// Returns the counts of all classes together.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for counts in &self.classes {
            total.merge(counts);
        }
        total
    }

    /// Counts a request that is due.
    pub fn sent(&mut self, class: Class) {
        self.classes[class.index()].sent += 1;
    }

    /// Counts a request's last answer, `latency` after it was due.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::{call::Answer, config::Class, tally::Tally};
    ///
    /// let mut tally = Tally::default();
    /// tally.ended(Class::Orders, &Answer::none(true), Duration::from_secs(1), 2);
    /// assert_eq!(tally.class(Class::Orders).unknown, 1);
    /// assert_eq!(tally.class(Class::Orders).resent, 1);
    /// ```
    pub fn ended(&mut self, class: Class, answer: &Answer, latency: Duration, sends: usize) {
        let counts = &mut self.classes[class.index()];
        counts.good += u64::from(answer.is_good());
        counts.errors += u64::from(answer.failed);
        counts.unsound += u64::from(!answer.sound);
        counts.resent += sends.saturating_sub(1) as u64;
        counts.bytes += answer.bytes;
        match answer.told {
            Told::Ran => {
                counts.ran += 1;
                counts.served.add(latency);
            }
            Told::NotRun => {
                counts.not_run += 1;
                counts.refused.add(latency);
            }
            Told::Unknown => counts.unknown += 1,
        }
    }

    /// Adds all of another's.
    pub fn merge(&mut self, other: &Self) {
        for (counts, other) in self.classes.iter_mut().zip(&other.classes) {
            counts.merge(other);
        }
    }
}
