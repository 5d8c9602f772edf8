//! Messages between the processes of bramleypier: HTTP with `MessagePack` bodies.
//!
//! Messages are one-way and sent in batches. Each peer has its own sending task, which collects the messages
//! queued while earlier batches are in flight. A message that can't be sent is dropped; one that is dropped
//! because the queue is full is also counted. Every protocol on top of this module tolerates lost messages.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, StatusCode, header};
use hyper::{Request, body::Bytes};
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    id::VmId,
    timeline::Stamp,
    util::{
        body::{self, Body},
        client::{self, Client},
    },
};

/// Path that receives batches.
pub const BATCH_PATH: &str = "/peer/batch";
/// Carries the sender's hybrid logical clock, so that events can be ordered causally.
pub const STAMP: HeaderName = HeaderName::from_static("bramleypier-stamp");
/// Maximum size of a received batch, in bytes.
pub const BATCH_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum number of messages in a batch.
const MAX_BATCH_MESSAGES: usize = 128;
/// Maximum number of connections to a peer.
const MAX_CONNECTIONS: usize = 16;
/// Maximum number of batches in flight to a peer.
const MAX_IN_FLIGHT: usize = 4;
/// Timeout of a batch, including the peer's response.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of messages queued for a peer; further messages are dropped.
const QUEUE_LIMIT: usize = 4_096;

quick_error! {
    /// Why a call to a peer failed.
    #[derive(Debug)]
    pub enum Error {
        /// The HTTP exchange failed.
        Exchange(step: &'static str, peer: SocketAddr, cause: client::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// The peer's response violates the protocol.
        Answer(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} cause={cause:?}")
        }
    }
}

/// Observes every message to and from a peer, for the timeline and the counters.
pub trait Observer: fmt::Debug {
    /// Returns the stamp for a message that is sent now.
    fn stamp(&self) -> Stamp;

    /// Merges the stamp of a received message.
    fn receive(&self, stamp: Stamp);

    /// Counts a sent message and the bytes of its body.
    fn sent(&self, bytes: usize);

    /// Counts a message that was dropped because the peer's queue was full.
    fn dropped(&self);
}

/// Reads the stamp from a message's headers.
pub fn stamp(headers: &HeaderMap) -> Option<Stamp> {
    headers.get(STAMP)?.to_str().ok()?.parse().ok()
}

/// A batch of messages from one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch<M> {
    /// The sender.
    pub from: VmId,
    /// The address at which the sender receives batches.
    pub address: SocketAddr,
    /// The messages in the order in which they were queued.
    pub messages: Vec<M>,
}

/// Encodes a value as `MessagePack`.
///
/// # Errors
///
/// The value's type can't be serialised.
pub fn encode<T>(value: &T) -> Result<Bytes, rmp_serde::encode::Error>
where
    T: Serialize,
{
    rmp_serde::to_vec_named(value).map(Bytes::from)
}

/// Decodes a value from `MessagePack`.
///
/// # Errors
///
/// The bytes don't encode a value of this type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error>
where
    T: DeserializeOwned,
{
    rmp_serde::from_slice(bytes)
}

/// Queues messages for peers and sends them, with one sending task per peer.
#[derive(Debug)]
pub struct Outbox<M> {
    client: Client,
    from: VmId,
    address: SocketAddr,
    observer: Rc<dyn Observer>,
    queues: IndexMap<SocketAddr, mpsc::Sender<M>>,
}

impl<M> Outbox<M>
where
    M: Serialize + 'static,
{
    /// Creates an outbox for the VM `from`, which receives batches at `address`.
    pub fn new(clock: Clock, from: VmId, address: SocketAddr, observer: Rc<dyn Observer>) -> Self {
        Self {
            client: Client::new(clock, MAX_CONNECTIONS),
            from,
            address,
            observer,
            queues: IndexMap::new(),
        }
    }

    /// Queues a message for a peer; drops it when the peer's queue is full.
    pub fn send(&mut self, to: SocketAddr, message: M) {
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
            let task = Sender {
                client: self.client.clone(),
                from: self.from.clone(),
                address: self.address,
                to,
                observer: self.observer.clone(),
            };
            compio::runtime::spawn(task.run(receiver)).detach();
            sender
        });
        if queue.try_send(message).is_err() {
            self.observer.dropped();
        }
    }

    /// Removes the peers for which `keep` returns false, and ends their tasks.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SocketAddr) -> bool,
    {
        self.queues.retain(|address, _| keep(address));
    }
}

/// Sends the batches for one peer.
#[derive(Clone, Debug)]
struct Sender {
    client: Client,
    from: VmId,
    address: SocketAddr,
    to: SocketAddr,
    observer: Rc<dyn Observer>,
}

impl Sender {
    /// Sends batches, up to [`MAX_IN_FLIGHT`] at once, until the outbox removes the peer.
    async fn run<M>(self, queue: mpsc::Receiver<M>)
    where
        M: Serialize + 'static,
    {
        queue
            .ready_chunks(MAX_BATCH_MESSAGES)
            .for_each_concurrent(MAX_IN_FLIGHT, |messages| {
                let sender = self.clone();
                async move {
                    // A lost batch isn't retried: membership detects failed peers by itself.
                    let _ = sender.post(messages).await;
                }
            })
            .await;
    }

    async fn post<M>(&self, messages: Vec<M>) -> Result<(), Error>
    where
        M: Serialize,
    {
        let batch = Batch {
            from: self.from.clone(),
            address: self.address,
            messages,
        };
        let observer = &*self.observer;
        let timeout = SEND_TIMEOUT;
        exchange(&self.client, observer, self.to, BATCH_PATH, &batch, timeout).await?;
        Ok(())
    }
}

/// Sends a request to a peer and decodes its response.
///
/// # Errors
///
/// The peer did not respond within `timeout`, or its response violates the protocol.
pub async fn call<Q, A>(
    client: &Client,
    observer: &dyn Observer,
    to: SocketAddr,
    path: &str,
    question: &Q,
    timeout: Duration,
) -> Result<A, Error>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let bytes = exchange(client, observer, to, path, question, timeout).await?;
    decode(&bytes).map_err(|cause| Error::Answer("call", to, cause.to_string()))
}

async fn exchange<Q>(
    client: &Client,
    observer: &dyn Observer,
    to: SocketAddr,
    path: &str,
    question: &Q,
    timeout: Duration,
) -> Result<Vec<u8>, Error>
where
    Q: Serialize,
{
    let invalid = |cause: String| Error::Answer("call", to, cause);
    let bytes = encode(question).map_err(|cause| invalid(cause.to_string()))?;
    observer.sent(bytes.len());
    let request = Request::post(path)
        .header(header::HOST, to.to_string())
        .header(STAMP, observer.stamp())
        .body(Body::from(bytes))
        .map_err(|cause| invalid(cause.to_string()))?;
    let response = client
        .send(to, request, timeout)
        .await
        .map_err(|cause| Error::Exchange("call", to, cause))?;
    if let Some(stamp) = stamp(response.headers()) {
        observer.receive(stamp);
    }
    if response.status() != StatusCode::OK {
        return Err(invalid(format!("status {}", response.status())));
    }
    body::read(response.into_body(), BATCH_LIMIT)
        .await
        .map(Vec::from)
        .map_err(|cause| invalid(cause.to_string()))
}
