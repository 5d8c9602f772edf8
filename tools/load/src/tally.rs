//! Counts the results of requests by class, with latency histograms.

use std::time::Duration;

use bramleypier_standins::audit::ReportedOutcome;
use hdrhistogram::Histogram;

use crate::{call::CallResult, config::Class};

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies, recorded in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Option<Histogram<u64>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            histogram: Histogram::new(SIGNIFICANT_DIGITS).ok(),
        }
    }
}

impl Latencies {
    /// Records one latency.
    pub fn add(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            // The histogram resizes itself, so every value fits.
            let _ = histogram.record(micros);
        }
    }

    /// Adds all entries of another one.
    pub fn merge(&mut self, other: &Self) {
        if let (Some(histogram), Some(other)) = (&mut self.histogram, &other.histogram) {
            // The histogram resizes itself, so every value fits.
            let _ = histogram.add(other);
        }
    }

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the latency below or at which this fraction of requests lies; zero when there are none.
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
    pub fn quantile(&self, quantile: f64) -> Duration {
        let histogram = self.histogram.as_ref();
        Duration::from_micros(histogram.map_or(0, |latencies| {
            if latencies.is_empty() {
                return 0;
            }
            latencies.value_at_quantile(quantile)
        }))
    }

    /// Returns the maximum latency.
    pub fn max(&self) -> Duration {
        Duration::from_micros(self.histogram.as_ref().map_or(0, Histogram::max))
    }
}

/// Counts and latencies of the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were due.
    pub sent: u64,
    /// Requests that ran and whose complete, intact and successful response was received in time.
    pub good: u64,
    /// Requests that ran, as their responses reported.
    pub ran: u64,
    /// Requests that didn't run: their responses reported it, or they were never sent.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests without a complete response; they also count as not run or unknown.
    pub errors: u64,
    /// Requests whose response was corrupted or belonged to another request.
    pub unsound: u64,
    /// Retries: attempts after the first.
    pub resent: u64,
    /// Body bytes of responses.
    pub bytes: u64,
    /// Time from the due time to the end of the response, for requests that ran.
    pub served: Latencies,
    /// The same time, for requests that didn't run.
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

/// Counts and latencies of all requests, by class.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    classes: [Counts; 3],
}

impl Tally {
    /// Returns the counts of a class.
    pub fn class(&self, class: Class) -> &Counts {
        &self.classes[class.index()]
    }

    /// Returns the merged counts of all classes.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        for counts in &self.classes {
            total.merge(counts);
        }
        total
    }

    /// Counts a request that is due.
    pub fn record_sent(&mut self, class: Class) {
        self.classes[class.index()].sent += 1;
    }

    /// Counts the final result of a request, `latency` after its due time and after `attempts` attempts.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::{call::CallResult, config::Class, tally::Tally};
    ///
    /// let mut tally = Tally::default();
    /// tally.record_result(Class::Orders, &CallResult::without_response(true), Duration::from_secs(1), 2);
    /// assert_eq!(tally.class(Class::Orders).unknown, 1);
    /// assert_eq!(tally.class(Class::Orders).resent, 1);
    /// ```
    pub fn record_result(
        &mut self,
        class: Class,
        result: &CallResult,
        latency: Duration,
        attempts: usize,
    ) {
        let counts = &mut self.classes[class.index()];
        counts.good += u64::from(result.is_good());
        counts.errors += u64::from(result.failed);
        counts.unsound += u64::from(!result.sound);
        counts.resent += attempts.saturating_sub(1) as u64;
        counts.bytes += result.bytes;
        match result.outcome {
            ReportedOutcome::Ran => {
                counts.ran += 1;
                counts.served.add(latency);
            }
            ReportedOutcome::NotRun => {
                counts.not_run += 1;
                counts.refused.add(latency);
            }
            ReportedOutcome::Unknown => counts.unknown += 1,
        }
    }

    /// Adds all entries of another one.
    pub fn merge(&mut self, other: &Self) {
        for (counts, other) in self.classes.iter_mut().zip(&other.classes) {
            counts.merge(other);
        }
    }
}
