//! A small HTTP/1.1 client that reuses connections and never retries a request.

use std::{cell::RefCell, io, rc::Rc, time::Duration};

use compio::{net::TcpStream, runtime};
use cyper_core::HyperStream;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::clock;

/// The default time limit of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

quick_error! {
    /// Why a call got no complete response.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened.
        Connect(peer: String, cause: io::Error) {
            display("connect to {peer}: {cause}")
            source(cause)
        }
        /// The connection failed before the response head arrived.
        Send(peer: String, cause: hyper::Error) {
            display("send to {peer}: {cause}")
            source(cause)
        }
        /// The connection failed while the response body was read.
        Body(peer: String, cause: hyper::Error) {
            display("read body from {peer}: {cause}")
            source(cause)
        }
        /// The call took longer than the time limit.
        Timeout(peer: String) {
            display("call to {peer}: timed out")
        }
        /// The request could not be built.
        Request(cause: http::Error) {
            from()
            display("build request: {cause}")
            source(cause)
        }
        /// The response is not the expected JSON.
        Json(peer: String, cause: serde_json::Error) {
            display("JSON from {peer}: {cause}")
            source(cause)
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time from the call to the last byte.
    pub took: Duration,
}

impl Reply {
    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// An HTTP client; clones share its idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    idle: Rc<RefCell<IndexMap<String, Vec<Sender>>>>,
    timeout: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(DEFAULT_TIMEOUT)
    }
}

impl Client {
    /// Creates a client whose calls fail after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            idle: Rc::default(),
            timeout,
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time; the request may still have taken effect.
    pub async fn call(
        &self,
        peer: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", peer);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        let exchange = self.exchange(peer, request);
        match compio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(peer.to_owned())),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time.
    pub async fn get(&self, peer: &str, path: &str) -> Result<Reply, Error> {
        self.call(peer, Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time, or it is not the expected JSON.
    pub async fn get_json<T>(&self, peer: &str, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let reply = self.get(peer, path).await?;
        serde_json::from_slice(&reply.body).map_err(|cause| Error::Json(peer.to_owned(), cause))
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time; the request may still have taken effect.
    pub async fn post(
        &self,
        peer: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, Error> {
        self.call(peer, Method::POST, path, headers, body).await
    }

    async fn exchange(&self, peer: &str, request: Request<Full<Bytes>>) -> Result<Reply, Error> {
        let start = clock::now();
        let mut sender = match self.take_idle(peer) {
            Some(sender) => sender,
            None => connect(peer).await?,
        };
        let response = sender
            .send_request(request)
            .await
            .map_err(|cause| Error::Send(peer.to_owned(), cause))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|cause| Error::Body(peer.to_owned(), cause))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        idle.entry(peer.to_owned()).or_default().push(sender);
        Ok(Reply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            took: clock::now().saturating_sub(start),
        })
    }

    fn take_idle(&self, peer: &str) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(peer)?;
        list.retain(|sender| !sender.is_closed());
        let index = list.iter().rposition(SendRequest::is_ready)?;
        Some(list.swap_remove(index))
    }
}

async fn connect(peer: &str) -> Result<Sender, Error> {
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|cause| Error::Connect(peer.to_owned(), cause))?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|cause| Error::Send(peer.to_owned(), cause))?;
    runtime::spawn(async move {
        // The request's sender reports the same failure.
        drop(connection.await);
    })
    .detach();
    Ok(sender)
}
