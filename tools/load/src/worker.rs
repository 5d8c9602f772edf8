//! Worker thread that sends its share of the plan on time, whether or not earlier requests have ended.
//!
//! A collector task on the same thread counts the results, writes the log and reports once per second.

use std::{cell::Cell, io, path::PathBuf, rc::Rc, sync::mpsc::Sender, time::Duration};

use bramleypier_standins::{audit::ReportedOutcome, clock};
use compio::runtime::{self, Runtime};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::Either};
use uuid::Uuid;

use crate::{
    balancer::Balancer,
    call::{self, CallResult, CallSpec},
    call_log::{CallLog, Line},
    config::{Class, Config},
    plan::{Plan, PlannedRequest},
    pool::Pool,
    tally::Tally,
};

/// Interval of a worker's reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval, in requests, at which a worker that is behind its plan yields so that responses are read.
const YIELD_EVERY: u64 = 32;
/// Delay before an order is retried when the response doesn't name one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the worker checks whether the last requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of a worker for one second.
#[derive(Debug)]
pub struct Report {
    /// Number of the second, counted from the end of the warm-up; requests of the warm-up are never counted.
    pub second: u64,
    /// Counts of this second.
    pub tally: Tally,
}

/// Progress of one request, sent to the collector.
#[derive(Debug)]
enum Event {
    /// The request was due.
    Due(Duration, Class),
    /// One attempt has ended, with or without a response.
    Attempt(Box<Line>),
    /// The last attempt has ended.
    Ended {
        due: Duration,
        class: Class,
        result: CallResult,
        latency: Duration,
        attempts: usize,
    },
}

/// State that the requests of a worker share.
#[derive(Clone)]
struct RequestContext {
    config: Rc<Config>,
    pool: Pool,
    balancer: Balancer,
    events: mpsc::UnboundedSender<Event>,
    in_flight: Rc<Cell<usize>>,
    id_prefix: Rc<str>,
}

/// Runs a worker's share of a run that begins at `start`, on the machine's clock.
///
/// # Errors
///
/// Fails when the runtime doesn't start or the log can't be written.
pub fn run(
    config: &Config,
    worker: usize,
    start: Duration,
    reports: Sender<Report>,
) -> io::Result<()> {
    let log = match log_path(config, worker) {
        Some(path) => Some(CallLog::create(&path)?),
        None => None,
    };
    Runtime::new()?.block_on(async {
        let (events, receiver) = mpsc::unbounded();
        let collector = Collector {
            start: start + config.warm_up,
            warm_up: config.warm_up,
            log,
            reports,
            tally: Tally::default(),
            second: 0,
        };
        let collector_task = runtime::spawn(collector.run(receiver));
        send_plan(config, worker, start, events).await;
        collector_task
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the collector ended early")))
    })
}

/// Returns the log file of a worker, if attempts are logged.
///
/// # Example
///
/// ```
/// use bramleypier_load::{config::Config, worker};
///
/// let config = Config {
///     log_file: Some("run.jsonl".into()),
///     ..Config::default()
/// };
/// let path = worker::log_path(&config, 1).unwrap();
/// assert_eq!(path.to_str(), Some("run.jsonl.1"));
/// ```
pub fn log_path(config: &Config, worker: usize) -> Option<PathBuf> {
    let path = config.log_file.as_ref()?;
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{worker}"));
    Some(name.into())
}

async fn send_plan(
    config: &Config,
    worker: usize,
    start: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let seed = config.seed.wrapping_add(worker as u64);
    let context = RequestContext {
        config: Rc::new(config.clone()),
        pool: Pool::new(config.connections),
        balancer: Balancer::new(&config.addresses, config.policy, seed),
        events,
        in_flight: Rc::default(),
        id_prefix: Uuid::now_v7().simple().to_string().into(),
    };
    if let Some(interval) = config.health_interval {
        context.balancer.start_health_checks(interval);
    }
    for request in Plan::new(config, worker) {
        let due = start + request.due;
        let now = clock::now();
        if due > now {
            compio::time::sleep(due.saturating_sub(now)).await;
        } else if request.number % YIELD_EVERY == 0 {
            compio::time::sleep(Duration::ZERO).await;
        }
        context.spawn_request(request, due);
    }
    while context.in_flight.get() > 0 {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

impl RequestContext {
    /// Sends a request in its own task.
    fn spawn_request(&self, request: PlannedRequest, due: Duration) {
        self.emit(Event::Due(request.due, request.class));
        self.in_flight.set(self.in_flight.get() + 1);
        let context = self.clone();
        runtime::spawn(async move {
            let spec = context.call_spec(&request);
            let (result, attempts) = context.send_with_retries(&spec, due).await;
            context.emit(Event::Ended {
                due: request.due,
                class: request.class,
                result,
                latency: clock::now().saturating_sub(due),
                attempts,
            });
            context.in_flight.set(context.in_flight.get() - 1);
        })
        .detach();
    }

    fn call_spec(&self, request: &PlannedRequest) -> CallSpec {
        let config = &self.config;
        let id = match request.class {
            Class::Orders => Uuid::now_v7().to_string(),
            Class::Lookups | Class::Files => format!("{}-{}", self.id_prefix, request.number),
        };
        CallSpec {
            id,
            class: request.class,
            key: format!("key-{}", request.key),
            work: request.work,
            bytes: config.file_bytes,
            deadline: config.deadline,
            service: (!config.direct).then(|| config.service.clone()),
        }
    }

    /// Sends a request, retries an order up to the limit, and returns the last result and the number of attempts.
    async fn send_with_retries(&self, spec: &CallSpec, due: Duration) -> (CallResult, usize) {
        let limit = match spec.class {
            Class::Orders => self.config.max_attempts.max(1),
            Class::Lookups | Class::Files => 1,
        };
        let mut previous = None;
        let mut attempts = 0;
        loop {
            let Some(address) = self.balancer.choose(previous) else {
                return (CallResult::without_response(false), attempts);
            };
            let sent = clock::now();
            let result = call::exchange(&self.pool, address, spec).await;
            self.balancer.release(address);
            attempts += 1;
            if self.config.log_file.is_some() {
                self.log_attempt(spec, &result, address.to_string(), sent, due);
            }
            let is_final = result.outcome != ReportedOutcome::Unknown && !result.failed;
            if is_final || attempts >= limit {
                return (result, attempts);
            }
            previous = Some(address);
            compio::time::sleep(result.retry_after.unwrap_or(DEFAULT_RETRY_DELAY)).await;
        }
    }

    fn log_attempt(
        &self,
        spec: &CallSpec,
        result: &CallResult,
        address: String,
        sent: Duration,
        due: Duration,
    ) {
        let latency = clock::now().saturating_sub(due);
        self.emit(Event::Attempt(Box::new(Line {
            id: spec.id.clone(),
            key: spec.key.clone(),
            class: spec.class,
            address,
            sent_ms: clock::millis(sent),
            told: result.outcome,
            sound: result.sound,
            status: result.status,
            bytes: result.bytes,
            peer: result.peer.clone(),
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        })));
    }

    fn emit(&self, event: Event) {
        // The collector runs until the last request has ended.
        drop(self.events.unbounded_send(event));
    }
}

/// Counts events and reports once per second.
struct Collector {
    start: Duration,
    warm_up: Duration,
    log: Option<CallLog>,
    reports: Sender<Report>,
    tally: Tally,
    second: u64,
}

impl Collector {
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) -> io::Result<()> {
        loop {
            let due =
                self.start + REPORT_INTERVAL * u32::try_from(self.second + 1).unwrap_or(u32::MAX);
            let remaining = due.saturating_sub(clock::now());
            let timer = Box::pin(compio::time::sleep(remaining));
            match self.process_events(&mut events, timer).await? {
                Wakeup::SecondOver => self.report(),
                Wakeup::Closed => break,
            }
        }
        self.report();
        match self.log {
            Some(log) => log.close(),
            None => Ok(()),
        }
    }

    /// Processes events until the current second is over, or all senders are gone.
    async fn process_events<F>(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
        mut timer: F,
    ) -> io::Result<Wakeup>
    where
        F: Future<Output = ()> + Unpin,
    {
        loop {
            match futures_util::future::select(timer, events.next()).await {
                Either::Left(_) => return Ok(Wakeup::SecondOver),
                Either::Right((None, _)) => return Ok(Wakeup::Closed),
                Either::Right((Some(event), pending_timer)) => {
                    self.handle(event)?;
                    timer = pending_timer;
                }
            }
        }
    }

    fn handle(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Due(due, class) if due >= self.warm_up => self.tally.record_sent(class),
            Event::Ended {
                due,
                class,
                result,
                latency,
                attempts,
            } if due >= self.warm_up => self.tally.record_result(class, &result, latency, attempts),
            Event::Attempt(line) => {
                if let Some(log) = &mut self.log {
                    log.write(&line)?;
                }
            }
            Event::Due(..) | Event::Ended { .. } => {}
        }
        Ok(())
    }

    fn report(&mut self) {
        let tally = std::mem::take(&mut self.tally);
        let second = self.second;
        self.second += 1;
        // The receiver of the reports waits for the last one.
        drop(self.reports.send(Report { second, tally }));
    }
}

/// Reason why the collector stopped processing events.
enum Wakeup {
    SecondOver,
    Closed,
}
