//! What VMs tell each other, over HTTP with MessagePack.

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::{
    body::{self, Body},
    client::{self, Client},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    catalogue::{ServiceId, TargetId},
    owner::record::Point,
};

/// The path of messages between VMs.
pub const PATH: &str = "/peer";
/// How long a message may take: VMs are a few milliseconds apart.
const TIMEOUT: Duration = Duration::from_millis(800);
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
        /// The other VM did not take it.
        Refused(peer: SocketAddr, status: StatusCode) {
            display("step=peer peer={peer} cause=status {status}")
        }
    }
}

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// What the sender sent to a service's targets since its last message.
    Load {
        /// The service.
        service: ServiceId,
        /// Requests by key.
        counts: Vec<(Point, u32)>,
        /// Measured service times by target, in seconds.
        times: IndexMap<TargetId, f64>,
    },
}

/// Sends a message.
///
/// # Errors
///
/// [`Error`] when it did not arrive, or can't be known to have.
pub async fn send(client: &Client, peer: SocketAddr, message: &Message) -> Result<(), Error> {
    // Text and numbers always encode.
    let bytes = rmp_serde::to_vec(message).unwrap_or_default();
    let mut request = Request::new(Body::from(bytes));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    if let Ok(host) = header::HeaderValue::from_str(&peer.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let sent = client.send(peer, request, TIMEOUT).await;
    let response = sent.map_err(|cause| Error::Send(peer, cause))?;
    let status = response.status();
    // The connection is used again once the empty body has been read.
    let _ = body::read(response.into_body(), BYTES).await;
    if status.is_success() {
        Ok(())
    } else {
        Err(Error::Refused(peer, status))
    }
}

/// Reads a message that came in.
pub async fn read(request: Request<Incoming>) -> Option<Message> {
    let bytes = body::read(request.into_body(), BYTES).await.ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// Builds an empty answer.
pub fn answer(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
