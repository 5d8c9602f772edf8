//! Serves peers and operators on the listen address for peers: batches, gossip, status and timeline.

use futures_channel::oneshot;
use http::{HeaderValue, Method, StatusCode};
use hyper::{Request, Response, body::Incoming};
use serde::Serialize;

use super::{Parts, fleet, life::StateHandle, outbound, owners, wire};
use crate::{
    admin::{self, Query, Status},
    entry::{orders, reply},
    id::VmId,
    peer::{self, Batch, Observer as _},
    util::{
        body::{self, Body},
        server::Control,
    },
};

/// Maximum size of a gossip message or an operator's request, in bytes.
const CALL_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Handler of requests from peers and operators.
#[derive(Clone, Debug)]
pub struct Admin {
    parts: Parts,
    callers: Control,
    life: StateHandle,
}

impl Admin {
    /// Creates the handler of a process.
    pub fn new(parts: Parts, callers: Control, life: StateHandle) -> Self {
        Self {
            parts,
            callers,
            life,
        }
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let recorder = self.parts.recorder.clone();
        if let Some(stamp) = peer::stamp(&head.headers) {
            recorder.receive(stamp);
        }
        let mut response = match (&head.method, head.uri.path()) {
            (&Method::POST, peer::BATCH_PATH) => self.batch(body).await,
            (&Method::POST, fleet::GOSSIP_PATH) => self.gossip(body).await,
            (method, path) => self.question(method, path, body).await,
        };
        let stamp = HeaderValue::from(recorder.stamp());
        response.headers_mut().insert(peer::STAMP, stamp);
        response
    }

    async fn batch(self, body: Incoming) -> Response<Body> {
        let Ok(bytes) = body::read(body, peer::BATCH_LIMIT).await else {
            return bad_request("cut short or too long\n");
        };
        let Ok(batch) = peer::decode::<Batch<wire::Message>>(&bytes) else {
            return bad_request("not a batch\n");
        };
        let seen = outbound::Message::Seen(batch.from.clone(), batch.address);
        let _ = self.parts.tasks.outbound.unbounded_send(seen);
        for message in batch.messages {
            self.deliver(&batch.from, message);
        }
        Response::new(Body::empty())
    }

    /// Passes a message to its task.
    fn deliver(&self, from: &VmId, message: wire::Message) {
        match message {
            wire::Message::Grantor(group, message) => {
                let message = owners::Message::Peer(from.clone(), group, message);
                let _ = self.parts.tasks.owners.unbounded_send(message);
            }
            wire::Message::Order(message) => {
                let message = orders::Message::Peer(from.clone(), message);
                let _ = self.parts.tasks.orders.unbounded_send(message);
            }
        }
    }

    async fn gossip(self, body: Incoming) -> Response<Body> {
        let Ok(bytes) = body::read(body, CALL_LIMIT_BYTES).await else {
            return bad_request("cut short or too long\n");
        };
        let Ok(envelope) = peer::decode(&bytes) else {
            return bad_request("not a probe or news\n");
        };
        let (sender, answer) = oneshot::channel();
        let message = fleet::Message::Asked(envelope, sender);
        let _ = self.parts.tasks.fleet.unbounded_send(message);
        match answer.await.map(|answer| peer::encode(&answer)) {
            Ok(Ok(bytes)) => Response::new(Body::from(bytes)),
            _ => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "no answer\n"),
        }
    }

    async fn question(self, method: &Method, path: &str, body: Incoming) -> Response<Body> {
        let Ok(bytes) = body::read(body, CALL_LIMIT_BYTES).await else {
            return bad_request("cut short or too long\n");
        };
        match Query::read(method, path, &bytes) {
            Ok(Query::Status) => json(&self.status().await),
            Ok(Query::Timeline(filter)) => json(&self.parts.recorder.part(&filter)),
            Err(error) => {
                let mut response = Response::new(Body::from(format!("{error}\n")));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    async fn status(&self) -> Status {
        let (sender, fleet) = oneshot::channel();
        let _ = self
            .parts
            .tasks
            .fleet
            .unbounded_send(fleet::Message::Status(sender));
        let (sender, owners) = oneshot::channel();
        let _ = self
            .parts
            .tasks
            .owners
            .unbounded_send(owners::Message::Status(sender));
        let fleet = fleet.await.unwrap_or_default();
        let owners = owners.await.unwrap_or_default();
        Status {
            vm: self.parts.me.vm.clone(),
            domain: self.parts.me.domain.clone(),
            state: self.life.name().to_owned(),
            platform: fleet.is_reached.unwrap_or(true),
            peers: fleet.members.len() as u64,
            documents: fleet.documents,
            duties: role_names(fleet.is_watcher, &owners),
            active: self.callers.open() as u64,
            measures: self.parts.recorder.measures(),
            totals: self.parts.recorder.metrics().totals(),
            members: fleet.members,
            groups: owners.groups,
        }
    }
}

fn role_names(is_watcher: bool, owners: &owners::Status) -> Vec<String> {
    let watcher = is_watcher.then(|| "watcher".to_owned());
    let named = owners.groups.iter().filter(|(_, group)| group.is_grantor);
    let grantor = named.map(|(name, _)| format!("grantor of {name}"));
    watcher.into_iter().chain(grantor).collect()
}

fn bad_request(text: &'static str) -> Response<Body> {
    reply::plain(StatusCode::BAD_REQUEST, text)
}

/// Creates a JSON response.
fn json<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    match admin::to_json(value) {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(_) => reply::plain(StatusCode::INTERNAL_SERVER_ERROR, "can't be written\n"),
    }
}
