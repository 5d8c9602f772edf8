//! Records events of this process in the timeline, the metrics and the log with a single call.
//!
//! All tasks of a process run on one thread and share the recorder. Recording only changes memory;
//! [`Recorder::flush`] sends the metrics.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::{
    id::VmId,
    logging, measure,
    metrics::{self, Metric, Metrics},
    peer,
    range::Range,
    timeline::{Event, Filter, Kind, ProcessEvents, Ring, Stamp, stamp},
};

/// The shared recorder.
#[derive(Clone, Debug)]
pub struct Recorder {
    state: Rc<RefCell<State>>,
    metrics: Metrics,
    active: Rc<Cell<u64>>,
}

/// Guard that counts one request as active until it is dropped.
#[derive(Debug)]
pub struct Active(Rc<Cell<u64>>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[derive(Debug)]
struct State {
    ring: Ring,
    meter: measure::Meter,
}

impl Recorder {
    /// Creates a recorder that keeps the last `capacity` events.
    pub fn new(vm: VmId, capacity: usize, metrics: Metrics) -> Self {
        let state = State {
            ring: Ring::new(vm, capacity),
            meter: measure::Meter::default(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            metrics,
            active: Rc::default(),
        }
    }

    /// Records an event in the timeline, in the counter of its kind and in the log.
    pub fn event(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        let State { ring, meter } = &mut *state;
        let event = ring.record(stamp::wall(), event);
        meter.on(event);
        logging::event(event);
        if let Some(metric) = counter(event.kind) {
            self.metrics.count(metric, event.service.as_deref(), 1);
        }
    }

    /// Counts a request as active until the returned guard is dropped.
    pub fn enter(&self) -> Active {
        self.active.set(self.active.get() + 1);
        Active(self.active.clone())
    }

    /// Returns the number of requests without a response.
    pub fn active(&self) -> u64 {
        self.active.get()
    }

    /// Adds 1 to a counter.
    pub fn count(&self, metric: &'static Metric, service: Option<&str>) {
        self.metrics.count(metric, service, 1);
    }

    /// Sets a gauge, or the total of a counter that is kept elsewhere.
    pub fn set(&self, metric: &'static Metric, to: u64) {
        self.metrics.set(metric, None, to);
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Stops accounting for a lost range here, because other processes account for it.
    pub fn pass(&self, service: &str, range: Range) {
        let mut state = self.state.borrow_mut();
        state.meter.close_gaps(service, range, stamp::wall());
    }

    /// Returns the recorded events that match a filter.
    pub fn part(&self, filter: &Filter) -> ProcessEvents {
        self.state.borrow().ring.query(filter)
    }

    /// Returns the measures of each service.
    pub fn measures(&self) -> indexmap::IndexMap<String, measure::Measures> {
        self.state.borrow().meter.measures(stamp::wall())
    }

    /// Updates the gauges and totals, and sends all metrics.
    pub fn flush(&self) {
        let measures = self.measures();
        for (service, measures) in measures {
            let service = Some(service.as_str());
            let churn = Duration::from_secs_f64(measures.churn.clamp(0.0, 1e9));
            let unavailable = Duration::from_secs_f64(measures.unavailable.clamp(0.0, 1e9));
            self.set_total(&metrics::CHURN, service, churn.as_micros());
            self.set_total(&metrics::UNAVAILABLE, service, unavailable.as_millis());
            self.metrics
                .set(&metrics::RANGES_LOST, service, measures.open);
        }
        let (dropped, ignored) = {
            let state = self.state.borrow();
            (state.ring.dropped(), state.ring.ignored())
        };
        self.set(&metrics::REQUESTS_ACTIVE, self.active());
        self.set(&metrics::EVENTS_DROPPED, dropped);
        self.set(&metrics::STAMPS_IGNORED, ignored);
        self.metrics.flush();
    }

    fn set_total(&self, metric: &'static Metric, service: Option<&str>, to: u128) {
        self.metrics
            .set(metric, service, u64::try_from(to).unwrap_or(u64::MAX));
    }
}

impl peer::Observer for Recorder {
    fn stamp(&self) -> Stamp {
        self.state.borrow_mut().ring.stamp(stamp::wall())
    }

    fn receive(&self, stamp: Stamp) {
        let mut state = self.state.borrow_mut();
        state.ring.receive(stamp::wall(), stamp);
    }

    fn sent(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.metrics.count(&metrics::MESSAGES_SENT, None, 1);
        self.metrics.count(&metrics::MESSAGES_BYTES, None, bytes);
    }

    fn dropped(&self) {
        self.metrics.count(&metrics::MESSAGES_DROPPED, None, 1);
    }
}

/// Returns the counter for a kind of event, if there is one.
fn counter(kind: Kind) -> Option<&'static Metric> {
    match kind {
        Kind::RangeMoved => Some(&metrics::RANGES_MOVED),
        Kind::PeerLost => Some(&metrics::PEERS_LOST),
        Kind::Quarantined => Some(&metrics::QUARANTINED),
        Kind::DocumentForced => Some(&metrics::DOCUMENTS_FORCED),
        Kind::DocumentRefused => Some(&metrics::DOCUMENTS_REFUSED),
        _ => None,
    }
}
