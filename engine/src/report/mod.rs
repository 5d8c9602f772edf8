//! Logs, counters and latencies of the process.
//!
//! A line is logged for each decision about a request and each change in this VM's view of the fleet.
//! Lines go through a bounded buffer that a task writes to standard output, so that a slow reader
//! never blocks the process; lines that don't fit are counted, and the count is logged later.

mod buffer;
mod events;
mod metrics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bramleypier_util::{clock::Clock, stamp::Stamp};
use cadence::{Counted as _, CountedExt, StatsdClient, Timed};
use log::{LevelFilter, SetLoggerError};
use simplelog::{Config, ConfigBuilder, WriteLogger};

pub use self::events::{Event, Events, VmEvents};
use self::{buffer::Buffer, metrics::Aggregates};

/// The prefix of each metric's name.
const METRIC_PREFIX: &str = "bramleypier";
/// The interval at which buffered lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The limit on logged request lines; a VM serves about 50 requests per second.
const MAX_REQUEST_LINES_PER_SECOND: u32 = 200;

/// Writes logs and metrics; clones share the same state.
#[derive(Clone, Debug)]
pub struct Report {
    clock: Clock,
    client: Rc<StatsdClient>,
    metrics: Aggregates,
    buffer: Buffer,
    events: Rc<RefCell<Events>>,
    /// The current second and the request lines logged in it.
    second: Rc<Cell<(u64, u32)>>,
    /// Request lines not logged because of the limit.
    omitted: Rc<Cell<u64>>,
}

impl Report {
    /// Creates a report that collects metrics; it logs nothing until [`Report::start_log`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::report::Report;
    /// use bramleypier_util::clock::Clock;
    ///
    /// let report = Report::new(Clock::paused());
    /// report.count("requests.answered", &[("route", "a")]);
    /// assert!(report.text().contains("bramleypier.requests.answered{route:a} 1"));
    /// ```
    pub fn new(clock: Clock) -> Self {
        let metrics = Aggregates::default();
        let client = StatsdClient::from_sink(METRIC_PREFIX, metrics.clone());
        Self {
            clock,
            client: Rc::new(client),
            metrics,
            buffer: Buffer::default(),
            events: Rc::default(),
            second: Rc::default(),
            omitted: Rc::default(),
        }
    }

    /// Installs this report as the process's logger, which writes to standard output.
    ///
    /// # Errors
    ///
    /// A logger is already installed.
    pub fn start_log(&self, level: LevelFilter) -> Result<(), SetLoggerError> {
        WriteLogger::init(level, config(), self.buffer.clone())?;
        let (report, buffer) = (self.clone(), self.buffer.clone());
        compio::runtime::spawn(async move {
            loop {
                report.clock.sleep(FLUSH_INTERVAL).await;
                report.report_omitted();
                buffer.flush_out();
            }
        })
        .detach();
        Ok(())
    }

    /// Writes the buffered lines; called before the process ends.
    pub fn finish(&self) {
        self.report_omitted();
        self.buffer.flush_out();
    }

    /// Logs one line of `key=value` pairs, and keeps it for the timeline.
    pub fn line(&self, text: &str) {
        self.events.borrow_mut().add(text, false);
        log::info!("{text}");
    }

    /// Returns the stamp for a message to another process.
    pub fn stamp(&self) -> Stamp {
        self.events.borrow_mut().stamp()
    }

    /// Merges the stamp of another process's message.
    pub fn merge(&self, theirs: Stamp) {
        self.events.borrow_mut().merge(theirs);
    }

    /// Returns the events of this process since a stamp.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::report::Report;
    /// use bramleypier_util::clock::Clock;
    ///
    /// let report = Report::new(Clock::paused());
    /// report.line("event=started");
    /// assert_eq!(report.events_since("vm-1", 0).events.len(), 1);
    /// ```
    pub fn events_since(&self, vm: &str, since: Stamp) -> VmEvents {
        self.events.borrow().since(vm, since)
    }

    /// Logs several lines.
    pub fn lines(&self, lines: &[String]) {
        for line in lines {
            self.line(line);
        }
    }

    /// Logs a line about one request, unless this second's limit has been reached.
    pub fn request_line<F>(&self, text: F)
    where
        F: FnOnce() -> String,
    {
        let now = self.clock.now().as_secs();
        let (second, count) = self.second.get();
        let count = if second == now { count } else { 0 };
        self.second.set((now, count + 1));
        if count < MAX_REQUEST_LINES_PER_SECOND {
            let text = text();
            self.events.borrow_mut().add(&text, true);
            log::info!("{text}");
        } else {
            self.omitted.set(self.omitted.get() + 1);
        }
    }

    /// Logs how many lines have been omitted since the last call, if any.
    fn report_omitted(&self) {
        let requests = self.omitted.replace(0);
        let lines = self.buffer.take_dropped();
        if requests + lines > 0 {
            self.line(&format!(
                "event=lines-left-out requests={requests} buffer={lines}"
            ));
        }
    }

    /// Adds one to a counter.
    ///
    /// # Example
    ///
    /// See [`Report::new`].
    pub fn count(&self, name: &str, tags: &[(&str, &str)]) {
        let mut metric = self.client.incr_with_tags(name);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Adds an amount to a counter.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::report::Report;
    /// use bramleypier_util::clock::Clock;
    ///
    /// let report = Report::new(Clock::paused());
    /// report.add("bytes", 7, &[]);
    /// assert!(report.text().contains("bramleypier.bytes 7"));
    /// ```
    pub fn add(&self, name: &str, amount: u64, tags: &[(&str, &str)]) {
        let mut metric = self.client.count_with_tags(name, amount);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Adds a latency to a histogram with millisecond resolution.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::report::Report;
    /// use bramleypier_util::clock::Clock;
    ///
    /// let report = Report::new(Clock::paused());
    /// report.time("answer", Duration::from_millis(5), &[]);
    /// assert!(report.text().contains("bramleypier.answer_ms_p99 5"));
    /// ```
    pub fn time(&self, name: &str, duration: Duration, tags: &[(&str, &str)]) {
        let mut metric = self.client.time_with_tags(name, duration);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Returns all counters and histograms as text, one value per line.
    ///
    /// # Example
    ///
    /// See [`Report::new`].
    pub fn text(&self) -> String {
        self.metrics.text()
    }
}

/// Returns the log format: RFC 3339 times in UTC, without thread, target and source location.
fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
