//! Targets, as bramleypier sees them: `docs/CONTRACTS.md`, section "Target".
//!
//! This file is the only one that knows the targets' protocol.

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::headers;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use hyper::{Request, Response, body::Incoming};
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

/// Where grants go.
const GRANT_PATH: &str = "/bramleypier/grant";
/// Where the state is read.
const STATE_PATH: &str = "/bramleypier/state";
/// The start of the path at which a request is given up.
const CANCEL_PATH: &str = "/bramleypier/cancel/";
/// The largest state that is read, in bytes.
const STATE_LIMIT: usize = 4 * 1024 * 1024;
/// The most connections to a target for grants.
const GRANT_CONNECTIONS: usize = 2;
/// Carries the id of one attempt of a request.
const REQUEST: HeaderName = HeaderName::from_static("bramleypier-request");
/// Carries the key.
const KEY: HeaderName = HeaderName::from_static("bramleypier-key");
/// Carries the key's point, in decimal.
const HASH: HeaderName = HeaderName::from_static("bramleypier-hash");
/// Carries the epoch of the key's range.
const EPOCH: HeaderName = HeaderName::from_static("bramleypier-epoch");

quick_error! {
    /// Why a target did not answer a grant.
    #[derive(Debug)]
    pub enum Error {
        /// The exchange failed.
        Exchange(step: &'static str, peer: SocketAddr, cause: client::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// The target answered, but not as agreed.
        Answer(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} cause={cause:?}")
        }
    }
}

/// Sends grants, and reads targets' states.
#[derive(Clone, Debug)]
pub struct Control {
    clock: Clock,
    client: Client,
}

impl Control {
    /// Creates a client; it connects when first used.
    pub fn new(clock: Clock) -> Self {
        Self {
            client: Client::new(clock.clone(), GRANT_CONNECTIONS),
            clock,
        }
    }

    /// Gives a target a grant, and returns the state it answers with.
    ///
    /// # Errors
    ///
    /// The target did not answer within `span`.
    pub async fn grant<G, S>(&self, peer: SocketAddr, grant: &G, span: Duration) -> Result<S, Error>
    where
        G: Serialize,
        S: DeserializeOwned,
    {
        let bytes = serde_json::to_vec(grant)
            .map_err(|cause| Error::Answer("grant", peer, cause.to_string()))?;
        let request = Request::post(GRANT_PATH).body(Body::from(bytes));
        self.state_of("grant", peer, request, span).await
    }

    /// Reads a target's state.
    ///
    /// # Errors
    ///
    /// The target did not answer within `span`.
    pub async fn state<S>(&self, peer: SocketAddr, span: Duration) -> Result<S, Error>
    where
        S: DeserializeOwned,
    {
        let request = Request::get(STATE_PATH).body(Body::empty());
        self.state_of("state", peer, request, span).await
    }

    async fn state_of<S>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: http::Result<Request<Body>>,
        span: Duration,
    ) -> Result<S, Error>
    where
        S: DeserializeOwned,
    {
        let wrong = |cause: String| Error::Answer(step, peer, cause);
        let mut request = request.map_err(|cause| wrong(cause.to_string()))?;
        set_host(request.headers_mut(), peer);
        let exchange = async {
            let response = self
                .client
                .send(peer, request, span)
                .await
                .map_err(|cause| Error::Exchange(step, peer, cause))?;
            // 409 carries the state too: of another start of the target.
            let status = response.status();
            if status != StatusCode::OK && status != StatusCode::CONFLICT {
                return Err(wrong(format!("status {status}")));
            }
            let bytes = body::read(response.into_body(), STATE_LIMIT)
                .await
                .map_err(|cause| wrong(cause.to_string()))?;
            serde_json::from_slice(&bytes).map_err(|cause| wrong(cause.to_string()))
        };
        let late = || Err(wrong("timed out".into()));
        self.clock
            .timeout(span, exchange)
            .await
            .unwrap_or_else(|_| late())
    }
}

/// One attempt of a request, as a target gets it.
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
    /// The key.
    pub key: String,
    /// The key's point.
    pub point: Point,
    /// The epoch of the key's range; none for a shared service.
    pub epoch: Option<Epoch>,
    /// How long the answer may take.
    pub left: Duration,
}

/// Sends work to targets.
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

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.client.opened()
    }

    /// Sends one attempt, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`client::Error::unsent`] tells whether the target can't have seen any of it.
    pub async fn send(
        &self,
        peer: SocketAddr,
        work: &TargetRequest,
        body: Body,
    ) -> Result<Response<Incoming>, client::Error> {
        let mut request = Request::new(body);
        *request.method_mut() = work.method.clone();
        // The caller's own path was parsed as a URI before.
        *request.uri_mut() = work.uri.parse().unwrap_or_default();
        *request.headers_mut() = headers(work);
        set_host(request.headers_mut(), peer);
        self.client.send(peer, request, work.left).await
    }

    /// Tells a target that nobody waits for an attempt any more.
    pub async fn cancel(&self, peer: SocketAddr, attempt: &RequestId, span: Duration) {
        let mut request = Request::new(Body::empty());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("{CANCEL_PATH}{attempt}")
            .parse()
            .unwrap_or_default();
        set_host(request.headers_mut(), peer);
        // Cancelling only saves work: a target that doesn't hear of it runs to the end.
        let _ = self.client.send(peer, request, span).await;
    }
}

/// Returns the caller's headers without those of the connection, with ours.
fn headers(work: &TargetRequest) -> HeaderMap {
    let mut headers = work.headers.clone();
    drop_hop_headers(&mut headers);
    // A caller's own epoch would be believed by the target.
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

/// Removes the headers that belong to one connection, those that `Connection` names too.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    headers::strip(headers);
    headers.remove(header::HOST);
}

fn set_host(headers: &mut HeaderMap, peer: SocketAddr) {
    if let Ok(value) = HeaderValue::from_str(&peer.to_string()) {
        headers.insert(header::HOST, value);
    }
}
