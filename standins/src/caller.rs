//! Clients of the fleet that send look-ups, orders and file downloads.
//!
//! They record every attempt and its reported outcome for the audit, and every look-up with its
//! timing for the measurements.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use http::Method;
use uuid::Uuid;

use crate::{
    audit::{Call, ReportedOutcome},
    client::{Client, Reply},
    clock, payload,
    work::{Echo, OUTCOME},
};

/// The maximum number of attempts for an order.
const MAX_ORDER_ATTEMPTS: usize = 6;
/// The delay before an order is retried if the response names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a client waits for a response after the deadline that it sent has passed.
const DEADLINE_GRACE: Duration = Duration::from_secs(20);

/// One look-up with its result and timing as the caller measured them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The send time since the machine's boot.
    pub sent: Duration,
    /// The time until the response was complete or the call failed.
    pub took: Duration,
    /// The target that served it; empty if it was not served.
    pub target: String,
    /// The status, outcome and reason of the response, or the error, as text for reports.
    pub reason: String,
}

impl Sample {
    /// Returns whether a target served the look-up.
    pub fn served(&self) -> bool {
        !self.target.is_empty()
    }
}

/// The clients; clones share their records.
#[derive(Clone, Debug)]
pub struct Callers {
    client: Client,
    deadline: Duration,
    next_index: Rc<Cell<usize>>,
    entries: Rc<RefCell<Vec<String>>>,
    calls: Rc<RefCell<Vec<Call>>>,
    samples: Rc<RefCell<Vec<Sample>>>,
}

/// The parts of a response that callers use.
struct ParsedReply {
    reported: ReportedOutcome,
    sound: bool,
    echo: Option<Echo>,
    reason: String,
    retry: Option<Duration>,
}

impl Callers {
    /// Creates callers that send their requests to `entries` with the given deadline.
    pub fn new(entries: Vec<String>, deadline: Duration) -> Self {
        Self {
            client: Client::new(deadline + DEADLINE_GRACE),
            deadline,
            next_index: Rc::default(),
            entries: Rc::new(RefCell::new(entries)),
            calls: Rc::default(),
            samples: Rc::default(),
        }
    }

    /// Returns callers with another deadline that share their records with these.
    #[must_use]
    pub fn with_deadline(&self, deadline: Duration) -> Self {
        Self {
            deadline,
            ..self.clone()
        }
    }

    /// Replaces the entry VMs, as the load balancer does when a health check fails.
    pub fn set_entries(&self, entries: Vec<String>) {
        *self.entries.borrow_mut() = entries;
    }

    /// Returns all attempts with their reported outcomes.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Returns all look-ups in the order in which they completed.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.borrow().clone()
    }

    /// Looks a key up once and records the result.
    pub async fn look_up(&self, service: &str, key: &str) -> Sample {
        let tag = Uuid::now_v7().to_string();
        self.look_up_as(service, key, &tag).await
    }

    /// Looks a key up as [`look_up`](Self::look_up) does, with a given tag; the same tag repeats the
    /// same request.
    pub async fn look_up_as(&self, service: &str, key: &str, tag: &str) -> Sample {
        let path = format!("/{service}/{key}/status?tag={tag}");
        let sent = clock::now();
        let parsed = self.send(Method::GET, &path, tag, key, true).await;
        let sample = Sample {
            service: service.to_owned(),
            key: key.to_owned(),
            sent,
            took: clock::now().saturating_sub(sent),
            target: parsed.echo.map_or_else(String::new, |echo| echo.target),
            reason: parsed.reason,
        };
        self.samples.borrow_mut().push(sample.clone());
        sample
    }

    /// Sends an order and retries it under the same id until it is reported as run.
    ///
    /// Gives up after a fixed number of attempts and returns the last reported outcome.
    pub async fn order(&self, service: &str, key: &str) -> ReportedOutcome {
        let id = Uuid::now_v7().to_string();
        let path = format!("/{service}/{key}/orders");
        let mut reported = ReportedOutcome::NotRun;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let parsed = self.send(Method::POST, &path, &id, key, false).await;
            reported = parsed.reported;
            if reported == ReportedOutcome::Ran {
                break;
            }
            compio::time::sleep(parsed.retry.unwrap_or(DEFAULT_RETRY_DELAY)).await;
        }
        reported
    }

    /// Downloads a file of `size` bytes, checks each byte and returns whether all were correct.
    pub async fn fetch_file(&self, service: &str, key: &str, size: u64) -> bool {
        let tag = Uuid::now_v7().to_string();
        let path = format!("/{service}/{key}/files/file?tag={tag}&bytes={size}");
        let sent_ms = clock::millis(clock::now());
        let reply = self.exchange(Method::GET, &path, &tag).await;
        let served = reply.as_ref().is_ok_and(|reply| reply.status == 200);
        let sound = reply.as_ref().map_or(true, |reply| {
            reply.status != 200 || matches_pattern(&reply.body, size)
        });
        let reported = reply.map_or(ReportedOutcome::Unknown, |reply| reported_outcome(&reply));
        self.record(&tag, true, sent_ms, reported, sound);
        served && sound
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
        idempotent: bool,
    ) -> ParsedReply {
        let sent_ms = clock::millis(clock::now());
        let parsed = match self.exchange(method, path, id).await {
            Ok(reply) => parse_reply(&reply, key, id),
            Err(cause) => ParsedReply {
                reported: ReportedOutcome::Unknown,
                sound: true,
                echo: None,
                reason: cause.to_string(),
                retry: None,
            },
        };
        self.record(id, idempotent, sent_ms, parsed.reported, parsed.sound);
        parsed
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        id: &str,
    ) -> Result<Reply, crate::client::Error> {
        let entry = self.next_entry();
        let deadline = self.deadline.as_millis().to_string();
        let mut headers = vec![("Bramleypier-Deadline", deadline.as_str())];
        if method == Method::POST {
            headers.push(("Idempotency-Key", id));
        }
        self.client.call(&entry, method, path, &headers, "").await
    }

    fn next_entry(&self) -> String {
        let index = self.next_index.get();
        self.next_index.set(index.wrapping_add(1));
        let entries = self.entries.borrow();
        let entry = entries.get(index % entries.len().max(1));
        entry.cloned().unwrap_or_default()
    }

    fn record(
        &self,
        id: &str,
        idempotent: bool,
        sent_ms: u64,
        reported: ReportedOutcome,
        sound: bool,
    ) {
        self.calls.borrow_mut().push(Call {
            id: id.to_owned(),
            idempotent,
            sent_ms,
            reported,
            sound,
        });
    }
}

fn reported_outcome(reply: &Reply) -> ReportedOutcome {
    match reply.header(OUTCOME) {
        "ran" => ReportedOutcome::Ran,
        "not-run" => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

fn parse_reply(reply: &Reply, key: &str, id: &str) -> ParsedReply {
    let echo: Option<Echo> = serde_json::from_slice(&reply.body).ok();
    let is_own =
        |echo: &Echo| echo.key == key && (echo.idempotency == id || echo.path.contains(id));
    // A response without an echo must come from the router, which repeats the outcome in the body.
    let from_router = || {
        serde_json::from_slice::<serde_json::Value>(&reply.body)
            .is_ok_and(|body| body.get("outcome").is_some())
    };
    let retry = reply.header("Bramleypier-Retry-Ms").parse().ok();
    ParsedReply {
        reported: reported_outcome(reply),
        sound: echo.as_ref().map_or_else(from_router, is_own),
        echo: echo.filter(|_| reply.status == 200),
        reason: format!(
            "{} {} at {}: {}",
            reply.status,
            reply.header(OUTCOME),
            reply.header("Bramleypier-Step"),
            router_reason(reply),
        ),
        retry: retry.map(Duration::from_millis),
    }
}

/// Returns the reason in the body of a response that the router made itself.
fn router_reason(reply: &Reply) -> String {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    body["reason"].as_str().unwrap_or("").to_owned()
}

fn matches_pattern(bytes: &[u8], size: u64) -> bool {
    let bytes = bytes.iter().copied();
    bytes.len() as u64 == size && bytes.eq((0..size).map(payload::byte_at))
}
