//! Client of the targets, specified in `docs/CONTRACTS.md`, section "Target".
//!
//! Only this module knows the targets' protocol: grants, state, requests and cancellation.

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::headers;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use hyper::{Request, Response};
use percent_encoding as percent;
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    id::{Epoch, RequestId},
    key::Point,
    request,
    util::{
        body::{self, Body},
        client::{self, Client},
    },
};

/// Path that receives grants.
const GRANT_PATH: &str = "/bramleypier/grant";
/// Path that returns the target's state.
const STATE_PATH: &str = "/bramleypier/state";
/// Prefix of the path that cancels an attempt.
const CANCEL_PATH: &str = "/bramleypier/cancel/";
/// Maximum size of a state response, in bytes.
const STATE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of connections to a target for grants and state.
const GRANT_CONNECTIONS: usize = 2;
/// Carries the id of one attempt of a request.
const REQUEST: HeaderName = HeaderName::from_static("bramleypier-request");
/// Carries the key, percent-encoded.
const KEY: HeaderName = HeaderName::from_static("bramleypier-key");
/// Carries the key's point in the hash space, in decimal.
const HASH: HeaderName = HeaderName::from_static("bramleypier-hash");
/// Carries the epoch of the key's range.
const EPOCH: HeaderName = HeaderName::from_static("bramleypier-epoch");

quick_error! {
    /// Why a grant or a state request failed.
    #[derive(Debug)]
    pub enum Error {
        /// The HTTP exchange failed.
        Exchange(step: &'static str, peer: SocketAddr, cause: client::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// The target's response violates the protocol.
        Answer(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} cause={cause:?}")
        }
    }
}

/// Sends grants and reads the targets' state.
#[derive(Clone, Debug)]
pub struct Control {
    clock: Clock,
    client: Client,
}

impl Control {
    /// Creates a client that connects on first use.
    pub fn new(clock: Clock) -> Self {
        Self {
            client: Client::new(clock.clone(), GRANT_CONNECTIONS),
            clock,
        }
    }

    /// Sends a grant to a target and returns the state in its response.
    ///
    /// # Errors
    ///
    /// The target did not respond within `timeout`, or its response violates the protocol.
    pub async fn grant<G, S>(
        &self,
        peer: SocketAddr,
        grant: &G,
        timeout: Duration,
    ) -> Result<S, Error>
    where
        G: Serialize,
        S: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(grant)
            .map_err(|cause| Error::Answer("grant", peer, cause.to_string()))?;
        let request = Request::post(GRANT_PATH).body(Body::from(bytes));
        self.state_of("grant", peer, request, timeout).await
    }

    /// Reads a target's state.
    ///
    /// # Errors
    ///
    /// The target did not respond within `timeout`, or its response violates the protocol.
    pub async fn state<S>(&self, peer: SocketAddr, timeout: Duration) -> Result<S, Error>
    where
        S: DeserializeOwned,
    {
        let request = Request::get(STATE_PATH).body(Body::empty());
        self.state_of("state", peer, request, timeout).await
    }

    async fn state_of<S>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: http::Result<Request<Body>>,
        timeout: Duration,
    ) -> Result<S, Error>
    where
        S: DeserializeOwned,
    {
        let invalid = |cause: String| Error::Answer(step, peer, cause);
        let mut request = request.map_err(|cause| invalid(cause.to_string()))?;
        set_host(request.headers_mut(), peer);
        let exchange = async {
            let response = self
                .client
                .send(peer, request, timeout)
                .await
                .map_err(|cause| Error::Exchange(step, peer, cause))?;
            // 409 also carries the state: another process of the target is running than the one addressed.
            let status = response.status();
            if status != StatusCode::OK && status != StatusCode::CONFLICT {
                return Err(invalid(format!("status {status}")));
            }
            let bytes = body::read(response.into_body(), STATE_LIMIT_BYTES)
                .await
                .map_err(|cause| invalid(cause.to_string()))?;
            serde_json::from_slice(&bytes).map_err(|cause| invalid(cause.to_string()))
        };
        let timed_out = || Err(invalid("timed out".into()));
        self.clock
            .timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| timed_out())
    }
}

/// One attempt of a request, as sent to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The caller's method.
    pub method: Method,
    /// The caller's path and query.
    pub uri: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The id of this attempt.
    pub attempt: RequestId,
    /// The key, not yet percent-encoded.
    pub key: String,
    /// The key's point.
    pub point: Point,
    /// The epoch of the key's range; `None` for a shared service.
    pub epoch: Option<Epoch>,
    /// The time that remains for the response.
    pub left: Duration,
}

/// Sends requests to targets.
#[derive(Clone, Debug)]
pub struct Sender {
    client: Client,
}

impl Sender {
    /// Creates a client that opens at most `limit` connections to a target.
    pub fn new(clock: Clock, limit: usize) -> Self {
        Self {
            client: Client::new(clock, limit),
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.client.opened()
    }

    /// Sends one attempt and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`client::Error::unsent`] tells whether the target can't have received any part of the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        work: &TargetRequest,
        body: Body,
    ) -> Result<Response<client::ResponseBody>, client::Error> {
        let mut request = Request::new(body);
        *request.method_mut() = work.method.clone();
        // The caller's path was parsed as a URI before, so parsing it again can't fail.
        *request.uri_mut() = work.uri.parse().unwrap_or_default();
        *request.headers_mut() = headers(work);
        set_host(request.headers_mut(), peer);
        self.client.send(peer, request, work.left).await
    }

    /// Tells a target that the response to an attempt is no longer needed.
    pub async fn cancel(&self, peer: SocketAddr, attempt: &RequestId, timeout: Duration) {
        let mut request = Request::new(Body::empty());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("{CANCEL_PATH}{attempt}")
            .parse()
            .unwrap_or_default();
        set_host(request.headers_mut(), peer);
        // Cancellation only saves work: a target that doesn't receive it runs the request to its end.
        let _ = self.client.send(peer, request, timeout).await;
    }
}

/// Returns the caller's headers without the hop-by-hop ones, plus those that bramleypier adds.
fn headers(work: &TargetRequest) -> HeaderMap {
    let mut headers = work.headers.clone();
    drop_hop_headers(&mut headers);
    // The target would trust an epoch header set by the caller.
    headers.remove(&EPOCH);
    let mut set = |name: HeaderName, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    set(REQUEST, work.attempt.clone());
    set(
        KEY,
        percent::utf8_percent_encode(&work.key, percent::NON_ALPHANUMERIC).to_string(),
    );
    set(HASH, work.point.to_string());
    set(
        HeaderName::from_static(request::DEADLINE),
        work.left.as_millis().to_string(),
    );
    if let Some(epoch) = work.epoch {
        set(EPOCH, epoch.to_string());
    }
    headers
}

/// Removes the hop-by-hop headers, including those named by `Connection`, and `Host`.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    headers::strip(headers);
    headers.remove(header::HOST);
}

fn set_host(headers: &mut HeaderMap, peer: SocketAddr) {
    if let Ok(value) = HeaderValue::from_str(&peer.to_string()) {
        headers.insert(header::HOST, value);
    }
}
