//! What VMs tell each other, over HTTP with `MessagePack`.
//!
//! Each VM tells the manager several times a second what it has under way, and hears what the
//! others have under way and what is new in the store. So targets' queues are known to within a
//! few ten milliseconds, and the store is watched by one VM instead of all.

pub mod admin;
mod board;
pub mod sync;
pub mod sync_interval;

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::{
    body::{self, Body},
    client::{self, Client},
    stamp::Stamp,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::board::FleetLoad;
use crate::{
    catalogue::{ServiceId, TargetHash},
    fleet::{LogPosition, Relay},
    owner::record::RequestKey,
    placement::{
        quota::{Quota, TargetQueue},
        rates::RateReport,
    },
    store::Revision,
};

/// The path of messages between VMs.
pub const PATH: &str = "/peer";
/// How long a message may take: VMs are a few milliseconds apart.
const TIMEOUT: Duration = Duration::from_millis(300);
/// The largest message.
const BYTES: usize = 1 << 20;

quick_error! {
    /// Why a message did not arrive.
    #[derive(Debug)]
    pub enum Error {
        /// It could not be sent, or got no answer.
        Send(peer: SocketAddr, cause: client::Error) {
            display("step=peer peer={peer} cause={cause}")
            source(cause)
        }
        /// The answer can't be used.
        Answer(peer: SocketAddr, reason: String) {
            display("step=peer peer={peer} cause={reason}")
        }
    }
}

/// What a VM tells the manager, several times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Sync {
    /// The start of the VM that tells.
    pub start: String,
    /// Whether it believes that the other is the manager.
    pub knows: bool,
    /// Its requests at each target.
    pub flights: Vec<(TargetHash, u32)>,
    /// What waits there for room at targets.
    pub queues: Vec<TargetQueue>,
    /// How far it has followed the manager's journal.
    pub place: LogPosition,
    /// How far it has followed the store itself, by prefix; empty once it follows the journal.
    pub followed: IndexMap<String, Revision>,
    /// Requests by service and key since the last message.
    pub counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
    /// Sums and counts of service times without waiting, in seconds, since the last message.
    pub times: Vec<(TargetHash, f64, u32)>,
    /// The rates that targets have named to it, or to others as it was told.
    pub rates: Vec<RateReport>,
    /// How long it waits at the least until it tells again.
    pub pause: Duration,
    /// When it was sent, for the time line.
    pub stamp: Stamp,
}

/// What the manager answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Synced {
    /// Whether it is the manager and follows the store without trouble.
    pub well: bool,
    /// Other VMs' requests at each target.
    pub others: Vec<(TargetHash, u32)>,
    /// What the VM may send to targets for which requests wait.
    pub shares: Vec<Quota>,
    /// The rates that targets have named to any VM.
    pub rates: Vec<RateReport>,
    /// What the VM lacks of what this one knows, however old.
    pub relay: Relay,
    /// How much later than asked for this process wakes up.
    pub lag: Duration,
    /// When it was sent, for the time line.
    pub stamp: Stamp,
}

/// Tells the manager, and returns its answer.
///
/// # Errors
///
/// [`Error`] when there is no answer that can be read.
pub async fn sync(client: &Client, peer: SocketAddr, message: &Sync) -> Result<Synced, Error> {
    // Text and numbers always encode.
    let bytes = rmp_serde::to_vec(message).unwrap_or_default();
    let mut request = Request::new(Body::from(bytes));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    let sent = client.send(peer, request, TIMEOUT).await;
    let response = sent.map_err(|cause| Error::Send(peer, cause))?;
    let status = response.status();
    let bytes = body::read(response.into_body(), BYTES).await;
    let bytes = bytes.map_err(|cause| Error::Answer(peer, cause.to_string()))?;
    if !status.is_success() {
        return Err(Error::Answer(peer, format!("status {}", status.as_u16())));
    }
    rmp_serde::from_slice(&bytes).map_err(|cause| Error::Answer(peer, cause.to_string()))
}

/// Reads a message that came in.
///
/// # Errors
///
/// The reason, for the log.
pub async fn read(request: Request<Incoming>) -> Result<Sync, String> {
    let bytes = body::read(request.into_body(), BYTES).await;
    let bytes = bytes.map_err(|cause| cause.to_string())?;
    rmp_serde::from_slice(&bytes).map_err(|cause| cause.to_string())
}

/// Builds the answer to a message.
pub fn answer(synced: &Synced) -> Response<Body> {
    // Text and numbers always encode.
    Response::new(Body::from(rmp_serde::to_vec(synced).unwrap_or_default()))
}

/// Builds an answer that says only that a message could not be taken.
pub fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
