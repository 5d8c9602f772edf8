//! Counters and gauges, aggregated in memory and sent as statsd datagrams over UDP.
//!
//! Counting only changes memory; [`Metrics::flush`] sends the aggregated values, so that the number
//! of datagrams does not grow with the number of requests.

use std::{cell::RefCell, io, net::SocketAddr, net::UdpSocket, rc::Rc};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};
use indexmap::IndexMap;
use quick_error::quick_error;

use crate::id::ServiceId;

/// The prefix of every metric's name, without the separating dot.
pub const PREFIX: &str = "bramleypier";

quick_error! {
    /// Why metrics can't be sent.
    #[derive(Debug)]
    pub enum Error {
        /// The UDP socket could not be opened.
        Socket(peer: SocketAddr, cause: io::Error) {
            display("step=metrics peer={peer} cause={cause}")
            source(cause)
        }
        /// The statsd sink could not be created.
        Sink(peer: SocketAddr, cause: cadence::MetricError) {
            display("step=metrics peer={peer} cause={cause}")
            source(cause)
        }
    }
}

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count that only grows; its growth since the last flush is sent.
    Counter,
    /// A current value, sent at each flush.
    Gauge,
}

/// The definition of a metric, as documented for operators.
#[derive(Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name without the prefix.
    pub name: &'static str,
    /// Counter or gauge.
    pub kind: MetricKind,
    /// What it counts or measures.
    pub meaning: &'static str,
    /// What an operator should do about it.
    pub action: &'static str,
}

/// Declares each metric as a static, and the table of all metrics.
macro_rules! metrics {
    ($($const:ident $kind:ident $name:literal, $meaning:literal, $action:literal;)+) => {
        $(
            #[doc = $meaning]
            pub static $const: Metric = Metric {
                name: $name,
                kind: MetricKind::$kind,
                meaning: $meaning,
                action: $action,
            };
        )+

        /// Every metric.
        pub static TABLE: &[&Metric] = &[$(&$const),+];
    };
}

metrics! {
    REQUESTS_RAN Counter "requests.ran", "Requests that ran and were answered whole.", "None.";
    REQUESTS_NOT_RUN Counter "requests.not_run", "Requests refused, none of which ran.", "Look at the steps in the time line: `limit` and `queue` ask for more targets, `grant` for patience after a loss.";
    REQUESTS_UNKNOWN Counter "requests.unknown", "Requests that may have run.", "Ask `timeline --request ID`; whoever sent an order looks up whether it took effect.";
    REQUESTS_RETRIED Counter "requests.retried", "Attempts after the first.", "When it grows with `requests.not_run`, targets shed or are being moved.";
    REQUESTS_CUT Counter "requests.cut", "Answers of targets that ended short; callers got an error.", "Look at the target named in the time line.";
    REQUESTS_ACTIVE Gauge "requests.active", "Requests whose answer has not begun.", "None.";
    CONNECTIONS_OPENED Counter "connections.opened", "Connections to targets opened for requests.", "Steady growth under even load: targets close connections, or answers are cut; look at `requests.cut`.";
    QUARANTINED Counter "quarantine.suspects", "Requests that ran on a target as it died, here or as heard from other VMs.", "Find the kind `quarantined` in the time line, and tell the service's team.";
    ORDERS_DOUBLE Counter "orders.double", "Orders that came again and did not run again.", "None; many from one caller mean that it resends early.";
    ORDERS_HELD Gauge "orders.held", "Orders remembered.", "When orders are refused for lack of memory, raise `[limits] order_bytes`.";
    GRANTS_RENEWED Counter "grants.renewed", "Grants that targets confirmed.", "None; 0 on a grantor means that it reaches no target.";
    GRANTS_FAILED Counter "grants.failed", "Grants that got no answer.", "Look for a target that is frozen or cut off.";
    RANGES_MOVED Counter "ranges.moved", "Ranges that got another owner.", "Unplanned growth is churn: look for targets that come and go.";
    RANGES_LOST Gauge "ranges.lost", "Ranges without an owner that serves, as this grantor knows.", "Alarm above 0 for more than 4 s: look for `grantor-struck` and `platform-lost`.";
    CHURN Gauge "ranges.churn", "Share of the hash space that moved since the start, in millionths.", "Compare with the service's `churn_weight`.";
    UNAVAILABLE Gauge "ranges.unavailable_ms", "Time without an owner that serves, summed over ranges, in ms.", "Each growth is a loss: `timeline` tells its course.";
    IMBALANCE Gauge "targets.imbalance", "Greatest load of a target over the mean, in thousandths, among those of a group that this VM grants to; the load is what runs there, smoothed.", "Above 2000 for minutes: a hot key stands alone already, or targets are unequal.";
    PEERS_LIVE Gauge "peers.live", "VMs that this one takes for live.", "Less than the platform's list for minutes: a partition.";
    PEERS_LOST Counter "peers.lost", "VMs taken for lost.", "Compare with planned replacements.";
    MESSAGES_SENT Counter "messages.sent", "Messages and batches of messages to peers.", "None.";
    MESSAGES_BYTES Counter "messages.bytes", "Bytes sent to peers.", "None; the budget is in docs/CAPACITY.md.";
    MESSAGES_DROPPED Counter "messages.dropped", "Messages dropped because too many waited.", "A peer is slow or cut off; protocols repeat what matters.";
    PLATFORM_CALLS Counter "platform.calls", "Calls to the platform's service, a waiting watch as one.", "Compare with what the platform allows.";
    PLATFORM_FAILED Counter "platform.failed", "Calls that failed or got no answer in time.", "An outage: serving goes on; see the page of outages.";
    PLATFORM_DOUBT Counter "platform.doubt", "Writes whose answer was lost, settled by reading back.", "None.";
    DOCUMENTS_FORCED Counter "documents.forced", "Versions of documents that came into force here.", "None.";
    DOCUMENTS_REFUSED Counter "documents.refused", "Documents in the platform's service that could not be read.", "Put a sound version with `document put`; the last sound one stays in force.";
    EVENTS_DROPPED Gauge "timeline.dropped", "Events that the time line no longer keeps.", "Raise `[limits] events` if accounts have gaps.";
    STAMPS_IGNORED Gauge "timeline.ignored", "Messages whose time was far ahead of the wall clock here.", "Set the wall clock of the VM that sends them.";
}

/// The value of a metric for one service.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    total: i64,
    /// The total at the last flush.
    sent: i64,
}

#[derive(Debug)]
struct State {
    client: StatsdClient,
    /// By name, then by service; the empty service is for metrics without one.
    readings: IndexMap<&'static str, IndexMap<ServiceId, Reading>>,
}

/// The metrics of a process; clones share the values.
///
/// # Example
///
/// ```
/// use bramleypier::metrics::{self, Metrics};
///
/// let metrics = Metrics::open(None).unwrap();
/// metrics.count(&metrics::REQUESTS_RAN, Some("tracking"), 2);
/// assert_eq!(metrics.totals()["requests.ran{service=tracking}"], 2);
/// ```
#[derive(Clone, Debug)]
pub struct Metrics {
    state: Rc<RefCell<State>>,
}

impl Metrics {
    /// Creates metrics that are sent to a statsd address, or not at all if there is none.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the socket or the sink can't be opened.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::metrics::Metrics;
    ///
    /// assert!(Metrics::open(None).is_ok());
    /// ```
    pub fn open(statsd: Option<SocketAddr>) -> Result<Self, Error> {
        let client = match statsd {
            Some(address) => udp(address)?,
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        let state = State {
            client,
            readings: IndexMap::new(),
        };
        Ok(Self {
            state: Rc::new(RefCell::new(state)),
        })
    }

    /// Adds to a counter, for a service if one is given.
    ///
    /// # Example
    ///
    /// See [`Metrics`].
    pub fn count(&self, metric: &'static Metric, service: Option<&str>, by: u32) {
        self.update(metric, service, |reading| reading.total += i64::from(by));
    }

    /// Sets a gauge, or the total of a counter that is kept elsewhere, for a service if one is given.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::metrics::{self, Metrics};
    ///
    /// let metrics = Metrics::open(None).unwrap();
    /// metrics.set(&metrics::PEERS_LIVE, None, 12);
    /// assert_eq!(metrics.totals()["peers.live"], 12);
    /// ```
    pub fn set(&self, metric: &'static Metric, service: Option<&str>, to: u64) {
        let to = i64::try_from(to).unwrap_or(i64::MAX);
        self.update(metric, service, |reading| reading.total = to);
    }

    fn update<F>(&self, metric: &'static Metric, service: Option<&str>, update: F)
    where
        F: FnOnce(&mut Reading),
    {
        let mut state = self.state.borrow_mut();
        let services = state.readings.entry(metric.name).or_default();
        let service = service.unwrap_or_default();
        // A lookup first: `entry` would allocate a copy of the service name at each call.
        match services.get_mut(service) {
            Some(reading) => update(reading),
            None => update(services.entry(service.to_owned()).or_default()),
        }
    }

    /// Sends the growth of counters since the last flush, and the current values of gauges.
    ///
    /// A datagram that can't be sent is lost, so that metrics never block the process.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::metrics::{self, Metrics};
    ///
    /// let metrics = Metrics::open(None).unwrap();
    /// metrics.count(&metrics::PEERS_LOST, None, 1);
    /// metrics.flush();
    /// ```
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        let State { client, readings } = &mut *state;
        for (name, services) in readings {
            for (service, reading) in services {
                send(client, name, service, *reading);
                reading.sent = reading.total;
            }
        }
        // If the socket buffer is full or there is no receiver, only the values of this flush are lost.
        let _ = client.flush();
    }

    /// Returns every value, by name and service.
    ///
    /// # Example
    ///
    /// See [`Metrics`].
    pub fn totals(&self) -> IndexMap<String, i64> {
        let state = self.state.borrow();
        let totals = state.readings.iter().flat_map(|(name, services)| {
            let label = move |service: &str| match service {
                "" => (*name).to_owned(),
                service => format!("{name}{{service={service}}}"),
            };
            services
                .iter()
                .map(move |(service, reading)| (label(service), reading.total))
        });
        totals.collect()
    }
}

/// Creates a client that batches lines into datagrams and never blocks.
fn udp(address: SocketAddr) -> Result<StatsdClient, Error> {
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
    };
    let socket = UdpSocket::bind(local).map_err(|cause| Error::Socket(address, cause))?;
    let set = socket.set_nonblocking(true);
    set.map_err(|cause| Error::Socket(address, cause))?;
    let sink = BufferedUdpMetricSink::from(address, socket);
    let sink = sink.map_err(|cause| Error::Sink(address, cause))?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}

/// Sends one value; a counter that did not grow is skipped.
fn send(client: &StatsdClient, name: &str, service: &str, reading: Reading) {
    let kind = TABLE
        .iter()
        .find(|metric| metric.name == name)
        .map(|metric| metric.kind);
    let growth = reading.total - reading.sent;
    if kind == Some(MetricKind::Gauge) {
        let total = u64::try_from(reading.total).unwrap_or(0);
        let mut line = client.gauge_with_tags(name, total);
        if !service.is_empty() {
            line = line.with_tag("service", service);
        }
        line.send();
    } else if growth > 0 {
        let mut line = client.count_with_tags(name, growth);
        if !service.is_empty() {
            line = line.with_tag("service", service);
        }
        line.send();
    }
}

/// Returns the table of metrics as Markdown, for the operators' manual.
///
/// # Example
///
/// ```
/// use bramleypier::metrics;
///
/// assert!(metrics::markdown().contains("| `requests.ran` |"));
/// ```
pub fn markdown() -> String {
    let mut page = "| metric | form | meaning | what to do |\n|---|---|---|---|\n".to_owned();
    for metric in TABLE {
        let kind = match metric.kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        };
        let Metric {
            name,
            meaning,
            action,
            ..
        } = metric;
        let row = format!("| `{name}` | {kind} | {meaning} | {action} |\n");
        page.push_str(&row);
    }
    page
}
