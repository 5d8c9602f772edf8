//! Messages between the processes of bramleypier: HTTP with `MessagePack` bodies.
//!
//! Messages go one way and in batches: each peer has a task of its own that owns the sending, and
//! takes whatever has gathered while the last batch was under way. A message that can't be sent
//! is dropped and counted; every protocol above this one lives with lost messages.

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

/// Where batches go.
pub const BATCH_PATH: &str = "/peer/batch";
/// Carries the sender's hybrid logical time, so that events order causally.
pub const STAMP: HeaderName = HeaderName::from_static("bramleypier-stamp");
/// The largest batch that is read, in bytes.
pub const BATCH_LIMIT: usize = 8 * 1024 * 1024;
/// The most messages in a batch.
const BATCH_MESSAGES: usize = 128;
/// The most connections to a peer.
const CONNECTIONS: usize = 16;
/// How many batches to a peer may be under way at once.
const IN_FLIGHT: usize = 4;
/// How long a batch may take.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// How many messages may wait for a peer; more are dropped.
const QUEUE: usize = 4_096;

quick_error! {
    /// Why a peer did not answer.
    #[derive(Debug)]
    pub enum Error {
        /// The exchange failed.
        Exchange(step: &'static str, peer: SocketAddr, cause: client::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// The peer answered, but not as agreed.
        Answer(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} cause={cause:?}")
        }
    }
}

/// What hears of each message to and from a peer, for the time line and the counters.
pub trait Observer: fmt::Debug {
    /// Returns the stamp of a message that leaves now.
    fn stamp(&self) -> Stamp;

    /// Takes the stamp of a message that came.
    fn receive(&self, stamp: Stamp);

    /// Counts the bytes of a body that is sent.
    fn sent(&self, bytes: usize);

    /// Counts a message that was dropped because too many waited.
    fn dropped(&self);
}

/// Reads the stamp that a message carries.
pub fn stamp(headers: &HeaderMap) -> Option<Stamp> {
    headers.get(STAMP)?.to_str().ok()?.parse().ok()
}

/// Who sends, and what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch<M> {
    /// The sender.
    pub from: VmId,
    /// The address at which the sender takes batches.
    pub address: SocketAddr,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<M>,
}

/// Writes a value for the wire.
///
/// # Errors
///
/// The value can't be written; its types are at fault.
pub fn encode<T>(value: &T) -> Result<Bytes, rmp_serde::encode::Error>
where
    T: Serialize,
{
    rmp_serde::to_vec_named(value).map(Bytes::from)
}

/// Reads a value from the wire.
///
/// # Errors
///
/// The bytes hold no such value.
pub fn decode<T>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error>
where
    T: DeserializeOwned,
{
    rmp_serde::from_slice(bytes)
}

/// Sends to peers; each has a task of its own.
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
    /// Creates an outbox of the VM `from`, which takes batches at `address`.
    pub fn new(clock: Clock, from: VmId, address: SocketAddr, observer: Rc<dyn Observer>) -> Self {
        Self {
            client: Client::new(clock, CONNECTIONS),
            from,
            address,
            observer,
            queues: IndexMap::new(),
        }
    }

    /// Queues a message for a peer, or drops it when too many wait.
    pub fn send(&mut self, to: SocketAddr, message: M) {
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            let courier = Sender {
                client: self.client.clone(),
                from: self.from.clone(),
                address: self.address,
                to,
                observer: self.observer.clone(),
            };
            compio::runtime::spawn(courier.run(receiver)).detach();
            sender
        });
        if queue.try_send(message).is_err() {
            self.observer.dropped();
        }
    }

    /// Forgets the peers that are no longer there; their tasks end.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SocketAddr) -> bool,
    {
        self.queues.retain(|address, _| keep(address));
    }
}

/// The sending side of one peer.
#[derive(Clone, Debug)]
struct Sender {
    client: Client,
    from: VmId,
    address: SocketAddr,
    to: SocketAddr,
    observer: Rc<dyn Observer>,
}

impl Sender {
    /// Sends batch after batch, a few at a time, until the outbox forgets the peer.
    async fn run<M>(self, queue: mpsc::Receiver<M>)
    where
        M: Serialize + 'static,
    {
        queue
            .ready_chunks(BATCH_MESSAGES)
            .for_each_concurrent(IN_FLIGHT, |messages| {
                let sender = self.clone();
                async move {
                    // A lost batch is a lost batch; membership finds lost peers by itself.
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
        let span = SEND_TIMEOUT;
        exchange(&self.client, observer, self.to, BATCH_PATH, &batch, span).await?;
        Ok(())
    }
}

/// Calls a peer and reads its answer.
///
/// # Errors
///
/// The peer did not answer in time, or not as agreed.
pub async fn call<Q, A>(
    client: &Client,
    observer: &dyn Observer,
    to: SocketAddr,
    path: &str,
    question: &Q,
    span: Duration,
) -> Result<A, Error>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let bytes = exchange(client, observer, to, path, question, span).await?;
    decode(&bytes).map_err(|cause| Error::Answer("call", to, cause.to_string()))
}

async fn exchange<Q>(
    client: &Client,
    observer: &dyn Observer,
    to: SocketAddr,
    path: &str,
    question: &Q,
    span: Duration,
) -> Result<Vec<u8>, Error>
where
    Q: Serialize,
{
    let wrong = |cause: String| Error::Answer("call", to, cause);
    let bytes = encode(question).map_err(|cause| wrong(cause.to_string()))?;
    observer.sent(bytes.len());
    let request = Request::post(path)
        .header(header::HOST, to.to_string())
        .header(STAMP, observer.stamp())
        .body(Body::from(bytes))
        .map_err(|cause| wrong(cause.to_string()))?;
    let response = client
        .send(to, request, span)
        .await
        .map_err(|cause| Error::Exchange("call", to, cause))?;
    if let Some(stamp) = stamp(response.headers()) {
        observer.receive(stamp);
    }
    if response.status() != StatusCode::OK {
        return Err(wrong(format!("status {}", response.status())));
    }
    body::read(response.into_body(), BATCH_LIMIT)
        .await
        .map(Vec::from)
        .map_err(|cause| wrong(cause.to_string()))
}
