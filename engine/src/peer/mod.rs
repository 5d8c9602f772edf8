//! Exchanges state between VMs, over HTTP with `MessagePack`.
//!
//! Several times a second each VM sends the manager its in-flight and queued requests; the response has those of
//! all other VMs and the changes in the store. So each VM knows the load of targets to within a few tens of
//! milliseconds, and one VM watches the store instead of all.

pub mod admin;
mod fleet_load;
pub mod inquiry;
pub mod sync;
pub mod sync_interval;
pub mod sync_task;

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::{
    body::{self, Body},
    client::{self, Client, ResponseLimits},
    stamp::Stamp,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use indexmap::IndexMap;
use quick_error::quick_error;
use rmp_serde::decode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

pub use self::fleet_load::FleetLoad;
use crate::{
    catalogue::{ServiceId, StartTime, TargetHash, TargetId},
    fleet::{LogPosition, RecordUpdate, Relay},
    owner::record::RequestKey,
    placement::{
        hold_offs::HoldOffReport,
        quota::{Quota, TargetQueue},
        rates::RateReport,
    },
    quarantine::CrashReport,
    store::{Era, Revision},
};

/// The path of sync requests.
pub const SYNC_PATH: &str = "/peer";
/// The timeout of a sync exchange: the network latency between VMs is a few milliseconds.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout of a whole response: that of the whole state takes longer on a slow link.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum size of an encoded sync request or response.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The limits of a sync response.
const SYNC_LIMITS: ResponseLimits = ResponseLimits {
    head: SYNC_TIMEOUT,
    whole: WHOLE_TIMEOUT,
    bytes: MAX_MESSAGE_BYTES,
};

quick_error! {
    /// Why a sync exchange failed.
    #[derive(Debug)]
    pub enum Error {
        /// The request could not be sent, or got no response.
        Send(peer: SocketAddr, cause: client::Error) {
            display("step=peer peer={peer} cause={cause}")
            source(cause)
        }
        /// The response can't be used.
        Answer(peer: SocketAddr, reason: String) {
            display("step=peer peer={peer} cause={reason}")
        }
    }
}

/// The message that a VM sends to the manager several times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncRequest {
    /// Identifies the sender, by the start of its process.
    pub start: String,
    /// Whether the sender considers the receiver the manager.
    #[serde(rename = "knows")]
    pub to_manager: bool,
    /// The number of the sender's in-flight requests at each target.
    #[serde(rename = "flights")]
    pub in_flight: Vec<(TargetHash, u32)>,
    /// The sender's requests that wait for a free slot of a target.
    pub queues: Vec<TargetQueue>,
    /// How far the sender has read the receiver's change log.
    #[serde(rename = "place")]
    pub position: LogPosition,
    /// The revision up to which the sender has followed the store, by prefix; empty once it reads the change log.
    pub followed: IndexMap<String, Revision>,
    /// The number of requests by service and key since the last message.
    #[serde(rename = "counts")]
    pub key_counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
    /// By target since the last message: the sum of service times without queueing, in seconds, and their number.
    #[serde(rename = "times")]
    pub service_times: Vec<(TargetHash, f64, u32)>,
    /// The rate limits that targets have reported to the sender, or to other VMs as far as it knows.
    pub rates: Vec<RateReport>,
    /// The minimum time until the sender's next message.
    #[serde(rename = "pause")]
    pub interval: Duration,
    /// When it was sent, for the timeline.
    pub stamp: Stamp,
}

/// The response to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncResponse {
    /// Whether the responder is the manager and follows the store without failures.
    #[serde(rename = "well")]
    pub healthy: bool,
    /// The number of other VMs' in-flight requests at each target.
    #[serde(rename = "others")]
    pub in_flight_elsewhere: Vec<(TargetHash, u32)>,
    /// How many requests the VM may send to each target with queued requests.
    #[serde(rename = "shares")]
    pub quotas: Vec<Quota>,
    /// The rate limits that targets have reported to any VM.
    pub rates: Vec<RateReport>,
    /// The state that the VM lacks, as far as the responder knows it; it may be old.
    pub relay: Relay,
    /// How much later than requested the responder's process wakes up.
    pub lag: Duration,
    /// When it was sent, for the timeline.
    pub stamp: Stamp,
}

/// What VMs tell each other besides the fixed fields of [`SyncRequest`] and [`SyncResponse`].
///
/// It follows the message as a value of its own, with named fields: builds that don't know it ignore it, and builds that
/// know more fields treat missing ones as empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct News {
    /// The targets of which the sender has recently learned that they leave.
    pub leaving: Vec<TargetId>,
    /// The start time of each of them, 0 where it isn't known; builds that don't tell it send none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub leaving_starts: Vec<StartTime>,
    /// The targets that want no requests from the sender, for the manager.
    pub hold_offs: Vec<HoldOffReport>,
    /// The targets that have ended under requests.
    pub crashes: Vec<CrashReport>,
    /// Among how many VMs the slack of the retry budget is divided; 0 unless the sender is the manager.
    pub vms_sharing: usize,
    /// The store's era, of which all revisions in the message are.
    pub era: Era,
    /// The revisions of the services' records that the sender holds, for relays of what changed in them.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub held_records: IndexMap<ServiceId, Revision>,
    /// What changed in records that the receiver holds, instead of these records in the relay.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub record_updates: Vec<RecordUpdate>,
    /// How long ago the store confirmed that the sender, a manager that follows it, knows all of it.
    pub confirmed_age: Option<Duration>,
    /// How long ago the sender certainly knew all of the store, whoever told it so.
    pub known_age: Option<Duration>,
}

/// A message between VMs, and the news that come with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope<M> {
    /// The message.
    pub message: M,
    /// The news.
    pub news: News,
}

impl<M> Envelope<M>
where
    M: Serialize + DeserializeOwned,
{
    /// Encodes the message and, unless there are none, the news.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::peer::{Envelope, News, SyncRequest};
    ///
    /// let news = News { leaving: vec!["t1".to_owned()], ..News::default() };
    /// let envelope = Envelope { message: SyncRequest::default(), news };
    /// assert_eq!(Envelope::decode(&envelope.encode()).unwrap(), envelope);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Strings and numbers always encode.
        let mut bytes = rmp_serde::to_vec(&self.message).unwrap_or_default();
        if self.news != News::default() {
            bytes.extend(rmp_serde::to_vec_named(&self.news).unwrap_or_default());
        }
        bytes
    }

    /// Decodes a message and the news that follow it.
    ///
    /// # Errors
    ///
    /// The error of the decoder if the bytes are no such message.
    ///
    /// # Example
    ///
    /// See [`Envelope::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, decode::Error> {
        let mut reader = bytes;
        let mut decoder = rmp_serde::Deserializer::new(&mut reader);
        let message = M::deserialize(&mut decoder)?;
        let news = if reader.is_empty() {
            News::default()
        } else {
            rmp_serde::from_slice(reader)?
        };
        Ok(Self { message, news })
    }
}

/// Sends a sync request and returns the response.
///
/// # Errors
///
/// [`Error`] when there is no valid response.
pub async fn sync(
    client: &Client,
    peer: SocketAddr,
    message: &Envelope<SyncRequest>,
) -> Result<Envelope<SyncResponse>, Error> {
    let mut request = Request::new(Body::from(message.encode()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(SYNC_PATH);
    let fetched = client.fetch(peer, request, SYNC_LIMITS).await;
    let response = fetched.map_err(|cause| Error::Send(peer, cause))?;
    let status = response.status();
    if !status.is_success() {
        return Err(Error::Answer(peer, format!("status {}", status.as_u16())));
    }
    Envelope::decode(response.body()).map_err(|cause| Error::Answer(peer, cause.to_string()))
}

/// Reads and decodes a sync request.
///
/// # Errors
///
/// The reason as text, when the request can't be read.
pub async fn read(request: Request<Incoming>) -> Result<Envelope<SyncRequest>, String> {
    let bytes = body::read(request.into_body(), MAX_MESSAGE_BYTES).await;
    let bytes = bytes.map_err(|cause| cause.to_string())?;
    Envelope::decode(&bytes).map_err(|cause| cause.to_string())
}

/// Builds the HTTP response of a sync response.
pub fn answer(message: &Envelope<SyncResponse>) -> Response<Body> {
    Response::new(Body::from(message.encode()))
}

/// Builds an empty response with an error status.
pub fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
