//! What the process tells of itself: log lines on standard output, counters, latencies.
//!
//! A line is written for each decision that touches a request and each change of a belief. Lines
//! wait in a bounded buffer that a task empties, so that a reader that doesn't read holds nobody
//! up; what doesn't fit is counted and told later.

mod buffer;
mod events;
mod metrics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bramleypier_util::{clock::Clock, stamp::Stamp};
use cadence::{CountedExt, StatsdClient, Timed};
use log::{LevelFilter, SetLoggerError};
use simplelog::{Config, ConfigBuilder, WriteLogger};

pub use self::events::{Event, Events, VmEvents};
use self::{buffer::Buffer, metrics::Totals};

/// What precedes each metric's name.
const PREFIX: &str = "bramleypier";
/// How often waiting lines are written.
const FLUSH: Duration = Duration::from_millis(100);
/// The most lines about requests in one second; a VM serves some 50 requests a second.
const REQUEST_LINES: u32 = 200;

/// Writes log lines and counts; clones share one.
#[derive(Clone, Debug)]
pub struct Report {
    clock: Clock,
    client: Rc<StatsdClient>,
    totals: Totals,
    buffer: Buffer,
    events: Rc<RefCell<Events>>,
    second: Rc<Cell<(u64, u32)>>,
    left_out: Rc<Cell<u64>>,
}

impl Report {
    /// Creates a report that logs nowhere and counts.
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
        let totals = Totals::default();
        let client = StatsdClient::from_sink(PREFIX, totals.clone());
        Self {
            clock,
            client: Rc::new(client),
            totals,
            buffer: Buffer::default(),
            events: Rc::default(),
            second: Rc::default(),
            left_out: Rc::default(),
        }
    }

    /// Makes this report's lines the process's log, on standard output.
    ///
    /// # Errors
    ///
    /// There is a logger already.
    pub fn start_log(&self, level: LevelFilter) -> Result<(), SetLoggerError> {
        WriteLogger::init(level, config(), self.buffer.clone())?;
        let (report, buffer) = (self.clone(), self.buffer.clone());
        compio::runtime::spawn(async move {
            loop {
                report.clock.sleep(FLUSH).await;
                report.tell_left_out();
                buffer.flush_out();
            }
        })
        .detach();
        Ok(())
    }

    /// Writes what still waits; called before the process ends.
    pub fn finish(&self) {
        self.tell_left_out();
        self.buffer.flush_out();
    }

    /// Logs one line of `key=value` pairs, and keeps it for the time line.
    pub fn line(&self, text: &str) {
        self.events.borrow_mut().add(text, false);
        log::info!("{text}");
    }

    /// Returns a stamp for a message to another process.
    pub fn stamp(&self) -> Stamp {
        self.events.borrow_mut().stamp()
    }

    /// Takes the stamp of another process's message.
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

    /// Logs a line about one request, unless too many were logged in this second.
    pub fn request_line<F>(&self, text: F)
    where
        F: FnOnce() -> String,
    {
        let now = self.clock.now().as_secs();
        let (second, count) = self.second.get();
        let count = if second == now { count } else { 0 };
        self.second.set((now, count + 1));
        if count < REQUEST_LINES {
            let text = text();
            self.events.borrow_mut().add(&text, true);
            log::info!("{text}");
        } else {
            self.left_out.set(self.left_out.get() + 1);
        }
    }

    fn tell_left_out(&self) {
        let requests = self.left_out.replace(0);
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

    /// Adds a latency to a histogram.
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
    pub fn time(&self, name: &str, span: Duration, tags: &[(&str, &str)]) {
        let mut metric = self.client.time_with_tags(name, span);
        for (key, value) in tags {
            metric = metric.with_tag(key, value);
        }
        metric.send();
    }

    /// Returns all counters and histograms as text, one a line.
    ///
    /// # Example
    ///
    /// See [`Report::new`].
    pub fn text(&self) -> String {
        self.totals.text()
    }
}

/// Full times in UTC; one thread and one place need no names.
fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
