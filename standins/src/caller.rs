//! Callers of the fleet: look-ups, orders and files, with a record of what each was told.

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

/// How often an order is sent at the most.
const ORDER_SENDS: usize = 6;
/// How long to wait before an order is sent again, when the answer doesn't say.
const RESEND_WAIT: Duration = Duration::from_millis(100);
/// How long a client waits beyond the deadline that it names.
const GRACE: Duration = Duration::from_secs(20);

/// One look-up as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// When it was sent.
    pub sent: Duration,
    /// How long the answer took.
    pub took: Duration,
    /// The target that ran it; empty when no whole answer came.
    pub target: String,
    /// Why it was not served, for people.
    pub reason: String,
}

impl Sample {
    /// Returns whether it was answered by a target.
    pub fn served(&self) -> bool {
        !self.target.is_empty()
    }
}

/// The callers; clones share their records.
#[derive(Clone, Debug)]
pub struct Callers {
    client: Client,
    deadline: Duration,
    turn: Rc<Cell<usize>>,
    entries: Rc<RefCell<Vec<String>>>,
    calls: Rc<RefCell<Vec<Call>>>,
    samples: Rc<RefCell<Vec<Sample>>>,
}

/// What was read out of an answer.
struct Heard {
    reported: ReportedOutcome,
    sound: bool,
    echo: Option<Echo>,
    reason: String,
    retry: Option<Duration>,
}

impl Callers {
    /// Creates callers that are ready to wait for `deadline`.
    pub fn new(entries: Vec<String>, deadline: Duration) -> Self {
        Self {
            client: Client::new(deadline + GRACE),
            deadline,
            turn: Rc::default(),
            entries: Rc::new(RefCell::new(entries)),
            calls: Rc::default(),
            samples: Rc::default(),
        }
    }

    /// Returns callers with another deadline that share all records with these.
    #[must_use]
    pub fn with_deadline(&self, deadline: Duration) -> Self {
        Self {
            deadline,
            ..self.clone()
        }
    }

    /// Replaces the entry VMs, as the balancer does when its health check fails.
    pub fn set_entries(&self, entries: Vec<String>) {
        *self.entries.borrow_mut() = entries;
    }

    /// Returns what callers were told.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Returns the look-ups, in order of their answers.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.borrow().clone()
    }

    /// Looks a key up once and notes how that went.
    pub async fn look_up(&self, service: &str, key: &str) -> Sample {
        let tag = Uuid::now_v7().to_string();
        self.look_up_as(service, key, &tag).await
    }

    /// Looks a key up as [`look_up`](Self::look_up) does, under a tag of the caller's choice: the
    /// same tag makes the same request again.
    pub async fn look_up_as(&self, service: &str, key: &str, tag: &str) -> Sample {
        let path = format!("/{service}/{key}/status?tag={tag}");
        let sent = clock::now();
        let heard = self.send(Method::GET, &path, tag, key, true).await;
        let sample = Sample {
            service: service.to_owned(),
            key: key.to_owned(),
            sent,
            took: clock::now().saturating_sub(sent),
            target: heard.echo.map_or_else(String::new, |echo| echo.target),
            reason: heard.reason,
        };
        self.samples.borrow_mut().push(sample.clone());
        sample
    }

    /// Sends an order, and sends it again under the same id until it is said to have run.
    pub async fn order(&self, service: &str, key: &str) -> ReportedOutcome {
        let id = Uuid::now_v7().to_string();
        let path = format!("/{service}/{key}/orders");
        let mut reported = ReportedOutcome::NotRun;
        for _ in 0..ORDER_SENDS {
            let heard = self.send(Method::POST, &path, &id, key, false).await;
            reported = heard.reported;
            if reported == ReportedOutcome::Ran {
                break;
            }
            compio::time::sleep(heard.retry.unwrap_or(RESEND_WAIT)).await;
        }
        reported
    }

    /// Pulls a file of `size` bytes and checks each of them.
    pub async fn fetch_file(&self, service: &str, key: &str, size: u64) -> bool {
        let tag = Uuid::now_v7().to_string();
        let path = format!("/{service}/{key}/files/file?tag={tag}&bytes={size}");
        let sent_ms = clock::millis(clock::now());
        let reply = self.exchange(Method::GET, &path, &tag).await;
        let served = reply.as_ref().is_ok_and(|reply| reply.status == 200);
        let sound = reply.as_ref().map_or(true, |reply| {
            reply.status != 200 || is_pattern(&reply.body, size)
        });
        let reported = reply.map_or(ReportedOutcome::Unknown, |reply| reported(&reply));
        self.note(&tag, true, sent_ms, reported, sound);
        served && sound
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        key: &str,
        idempotent: bool,
    ) -> Heard {
        let sent_ms = clock::millis(clock::now());
        let heard = match self.exchange(method, path, id).await {
            Ok(reply) => hear(&reply, key, id),
            Err(cause) => Heard {
                reported: ReportedOutcome::Unknown,
                sound: true,
                echo: None,
                reason: cause.to_string(),
                retry: None,
            },
        };
        self.note(id, idempotent, sent_ms, heard.reported, heard.sound);
        heard
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
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let entries = self.entries.borrow();
        let entry = entries.get(turn % entries.len().max(1));
        entry.cloned().unwrap_or_default()
    }

    fn note(
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

fn reported(reply: &Reply) -> ReportedOutcome {
    match reply.header(OUTCOME) {
        "ran" => ReportedOutcome::Ran,
        "not-run" => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

fn hear(reply: &Reply, key: &str, id: &str) -> Heard {
    let echo: Option<Echo> = serde_json::from_slice(&reply.body).ok();
    let own = |echo: &Echo| echo.key == key && (echo.idempotency == id || echo.path.contains(id));
    // An answer without an echo is the router's: it names its outcome in the body too.
    let routers = || {
        serde_json::from_slice::<serde_json::Value>(&reply.body)
            .is_ok_and(|body| body.get("outcome").is_some())
    };
    let retry = reply.header("Bramleypier-Retry-Ms").parse().ok();
    Heard {
        reported: reported(reply),
        sound: echo.as_ref().map_or_else(routers, own),
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

/// Returns the reason that the router's own body names.
fn router_reason(reply: &Reply) -> String {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    body["reason"].as_str().unwrap_or("").to_owned()
}

fn is_pattern(bytes: &[u8], size: u64) -> bool {
    let bytes = bytes.iter().copied();
    bytes.len() as u64 == size && bytes.eq((0..size).map(payload::byte_at))
}
