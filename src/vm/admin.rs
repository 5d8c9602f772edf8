//! Answers peers and operators on the port for peers.

use futures_channel::oneshot;
use http::{Method, StatusCode};
use hyper::{Request, Response, body::Incoming};
use serde::Serialize;

use super::{Tasks, mail, news, owners, wire};
use crate::{
    clock::Clock,
    entry::reply,
    id::VmId,
    peer::{self, Batch},
    util::body::{self, Body},
};

/// The largest probe or piece of news that is read, in bytes.
const GOSSIP_LIMIT: usize = 4 * 1024 * 1024;
/// Where operators read the process's state.
pub const STATUS_PATH: &str = "/admin/status";

/// What answering takes.
#[derive(Clone, Debug)]
pub struct Admin {
    vm: VmId,
    tasks: Tasks,
    clock: Clock,
}

/// The state of one process, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// Time since the machine's boot, in milliseconds.
    pub clock_ms: u64,
    /// What is in force here.
    pub news: news::Status,
    /// The groups as known here.
    pub owners: owners::Status,
}

impl Admin {
    /// Creates the handler of a process.
    pub fn new(vm: VmId, tasks: Tasks, clock: Clock) -> Self {
        Self { vm, tasks, clock }
    }

    /// Answers one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match (head.method, head.uri.path()) {
            (Method::POST, peer::BATCH_PATH) => self.batch(body).await,
            (Method::POST, news::GOSSIP_PATH) => self.gossip(body).await,
            (Method::GET, STATUS_PATH) => self.status().await,
            _ => reply::plain(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn batch(self, body: Incoming) -> Response<Body> {
        let Ok(bytes) = body::read(body, peer::BATCH_LIMIT).await else {
            return reply::plain(StatusCode::BAD_REQUEST, "cut short or too long\n");
        };
        let Ok(batch) = peer::decode::<Batch<wire::Message>>(&bytes) else {
            return reply::plain(StatusCode::BAD_REQUEST, "not a batch\n");
        };
        let seen = mail::Message::Seen(batch.from.clone(), batch.address);
        let _ = self.tasks.mail.unbounded_send(seen);
        for message in batch.messages {
            self.deliver(&batch.from, message);
        }
        Response::new(Body::empty())
    }

    /// Hands a message to the task that it is for.
    fn deliver(&self, from: &VmId, message: wire::Message) {
        match message {
            wire::Message::Grantor(group, message) => {
                let message = owners::Message::Peer(from.clone(), group, message);
                let _ = self.tasks.owners.unbounded_send(message);
            }
        }
    }

    async fn gossip(self, body: Incoming) -> Response<Body> {
        let Ok(bytes) = body::read(body, GOSSIP_LIMIT).await else {
            return reply::plain(StatusCode::BAD_REQUEST, "cut short or too long\n");
        };
        let Ok(word) = peer::decode(&bytes) else {
            return reply::plain(StatusCode::BAD_REQUEST, "not a probe or news\n");
        };
        let (sender, answer) = oneshot::channel();
        let _ = self
            .tasks
            .news
            .unbounded_send(news::Message::Asked(word, sender));
        match answer.await.map(|answer| peer::encode(&answer)) {
            Ok(Ok(bytes)) => Response::new(Body::from(bytes)),
            _ => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "no answer\n"),
        }
    }

    async fn status(self) -> Response<Body> {
        let (sender, news) = oneshot::channel();
        let _ = self
            .tasks
            .news
            .unbounded_send(news::Message::Status(sender));
        let (sender, owners) = oneshot::channel();
        let _ = self
            .tasks
            .owners
            .unbounded_send(owners::Message::Status(sender));
        let status = Status {
            vm: self.vm,
            clock_ms: u64::try_from(self.clock.now().as_millis()).unwrap_or(u64::MAX),
            news: news.await.unwrap_or_default(),
            owners: owners.await.unwrap_or_default(),
        };
        json(&status)
    }
}

/// Makes an answer in JSON.
fn json<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(_) => reply::plain(StatusCode::INTERNAL_SERVER_ERROR, "can't be written\n"),
    }
}
