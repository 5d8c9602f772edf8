//! Client of the platform's service, specified in `docs/CONTRACTS.md`, section "Platform".
//!
//! Only this module knows the platform's protocol. A write whose response was lost is reported as
//! [`Error::OutcomeUnknown`]: it may have taken effect, and only reading the value back can tell.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderName, Method, StatusCode};
use hyper::{Request, body::Bytes};
use percent_encoding::{self as percent, AsciiSet};
use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    clock::Clock,
    id::{DomainId, LeaseId, TargetId, Version, VmId},
    metrics::{self, Metric, Metrics},
    util::{
        body::{self, Body},
        client::{self, Client},
    },
};

/// Prefix of all keys that bramleypier owns.
pub const ROOT: &str = "bramleypier/";
/// Key prefix of the service documents.
pub const DOCUMENTS: &str = "bramleypier/documents/";
/// Key prefix of the groups' records.
pub const GROUPS: &str = "bramleypier/groups/";
/// Key of the views of orders.
pub const ORDERS: &str = "bramleypier/orders";
/// Maximum number of connections to the platform; an open watch occupies one.
const MAX_CONNECTIONS: usize = 8;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a watch, which the service holds open until a change or for about 20 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;
/// Maximum size of a response, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Carries a value's version in a response.
const VERSION: HeaderName = HeaderName::from_static("version");
/// Carries the version that a write is based on.
const IF_VERSION: HeaderName = HeaderName::from_static("if-version");
/// Carries the lease that a key is attached to.
const LEASE: HeaderName = HeaderName::from_static("lease");
/// Carries the name of the calling VM.
const FROM: HeaderName = HeaderName::from_static("bramleypier-from");

/// Characters escaped in a path or a query; an unescaped `#`, for example, would start a fragment.
const ESCAPED: &AsciiSet = &percent::NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug)]
    pub enum Error {
        /// The call had no effect.
        Failed(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} outcome=not-run cause={cause:?}")
        }
        /// The call may or may not have taken effect.
        OutcomeUnknown(step: &'static str, peer: SocketAddr, cause: String) {
            display("step={step} peer={peer} outcome=unknown cause={cause:?}")
        }
    }
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    #[serde(rename = "Won")]
    Committed(Version),
    /// The key has this other version (0: it doesn't exist); nothing was changed.
    #[serde(rename = "Lost")]
    Conflict(Version),
}

/// A key and the version of its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The key.
    pub key: String,
    /// Its version; 0 when the key was deleted.
    pub version: Version,
}

/// Keys with a prefix, as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: Version,
    /// The keys.
    pub keys: Vec<KeyVersion>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name; for a target, the target's id.
    pub name: VmId,
    /// The address at which peers reach it.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// What runs on it.
    pub kind: Kind,
    /// Whether it is about to be removed.
    pub state: State,
}

/// Returns the targets whose VMs are listed as leaving.
///
/// # Example
///
/// ```
/// use bramleypier::platform;
///
/// assert!(platform::leaving_targets(&[]).is_empty());
/// ```
pub fn leaving_targets(list: &[ListedVm]) -> Vec<TargetId> {
    let targets = list.iter().filter(|vm| vm.kind == Kind::Target);
    targets
        .filter(|vm| vm.state == State::Leaving)
        .map(|vm| vm.name.clone())
        .collect()
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A bramleypier process.
    Entry,
    /// A target.
    Target,
}

/// A VM's state in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is running.
    Live,
    /// It is about to be removed.
    Leaving,
}

#[derive(Deserialize)]
struct Granted {
    id: LeaseId,
}

/// A client of the platform's service.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    from: String,
    clock: Clock,
    client: Client,
    metrics: Option<Metrics>,
}

/// A response with its complete body.
struct RawResponse {
    status: StatusCode,
    version: Version,
    body: Bytes,
}

impl Platform {
    /// Creates a client that connects on first use. `from` identifies this process to the platform.
    pub fn new(clock: Clock, address: SocketAddr, from: String) -> Self {
        Self {
            address,
            from,
            client: Client::new(clock.clone(), MAX_CONNECTIONS),
            clock,
            metrics: None,
        }
    }

    /// Counts all calls, failed calls and writes with an unknown outcome in `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    fn count(&self, metric: &'static Metric) {
        if let Some(metrics) = &self.metrics {
            metrics.count(metric, None, 1);
        }
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn get(&self, key: &str) -> Result<Option<(Version, Bytes)>, Error> {
        let answer = self
            .call(
                "get",
                Method::GET,
                &format!("/v1/kv/{}", escape(key)),
                &[],
                Bytes::new(),
            )
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Some((answer.version, answer.body))),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.status_error("get", status)),
        }
    }

    /// Lists the keys with a prefix.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.read("list", &format!("/v1/list?prefix={}", escape(prefix)))
            .await
    }

    /// Waits until a key with a prefix has changed after the revision `since`, or about 20 s have passed.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn watch(&self, prefix: &str, since: Version) -> Result<Listing, Error> {
        self.read(
            "watch",
            &format!("/v1/watch?prefix={}&since={since}", escape(prefix)),
        )
        .await
    }

    /// Lists the VMs. The list may be out of date.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn vms(&self) -> Result<Vec<ListedVm>, Error> {
        self.read("vms", "/v1/vms").await
    }

    /// Writes a value if the key's version is `base` (0: the key must not exist).
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] when the write may have taken effect.
    pub async fn put(&self, key: &str, base: Version, value: Bytes) -> Result<WriteOutcome, Error> {
        self.write(
            "put",
            Method::PUT,
            key,
            &[(IF_VERSION, base.to_string())],
            value,
        )
        .await
    }

    /// Creates a key attached to a lease; it is deleted when the lease expires.
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] when the write may have taken effect.
    pub async fn put_leased(
        &self,
        key: &str,
        lease: &LeaseId,
        value: Bytes,
    ) -> Result<WriteOutcome, Error> {
        let headers = [(IF_VERSION, "0".to_owned()), (LEASE, lease.clone())];
        self.write("put", Method::PUT, key, &headers, value).await
    }

    /// Deletes a key if its version is `base`.
    ///
    /// # Errors
    ///
    /// [`Error::OutcomeUnknown`] when the write may have taken effect.
    pub async fn delete(&self, key: &str, base: Version) -> Result<WriteOutcome, Error> {
        let headers = [(IF_VERSION, base.to_string())];
        self.write("delete", Method::DELETE, key, &headers, Bytes::new())
            .await
    }

    /// Creates a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn lease(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let path = format!("/v1/lease?ttl_ms={}", ttl.as_millis());
        let answer = self
            .call("lease", Method::POST, &path, &[], Bytes::new())
            .await?;
        let granted: Granted = self.parse("lease", &answer)?;
        Ok(granted.id)
    }

    /// Renews a lease; returns `false` when it has expired, after which it can't be renewed.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn renew(&self, lease: &LeaseId) -> Result<bool, Error> {
        let path = format!("/v1/lease/{lease}/renew");
        let answer = self
            .call("renew", Method::POST, &path, &[], Bytes::new())
            .await?;
        self.exists("renew", answer.status)
    }

    /// Ends a lease; returns `false` when it no longer exists.
    ///
    /// # Errors
    ///
    /// The service did not respond, or responded with an unexpected status.
    pub async fn revoke(&self, lease: &LeaseId) -> Result<bool, Error> {
        let path = format!("/v1/lease/{lease}");
        let answer = self
            .call("revoke", Method::DELETE, &path, &[], Bytes::new())
            .await?;
        self.exists("revoke", answer.status)
    }

    fn exists(&self, step: &'static str, status: StatusCode) -> Result<bool, Error> {
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(self.status_error(step, status)),
        }
    }

    async fn read<T>(&self, step: &'static str, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let answer = self
            .call(step, Method::GET, path, &[], Bytes::new())
            .await?;
        self.parse(step, &answer)
    }

    fn parse<T>(&self, step: &'static str, answer: &RawResponse) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        if answer.status != StatusCode::OK {
            return Err(self.status_error(step, answer.status));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|cause| Error::OutcomeUnknown(step, self.address, cause.to_string()))
    }

    async fn write(
        &self,
        step: &'static str,
        method: Method,
        key: &str,
        headers: &[(HeaderName, String)],
        value: Bytes,
    ) -> Result<WriteOutcome, Error> {
        let answer = self
            .call(
                step,
                method,
                &format!("/v1/kv/{}", escape(key)),
                headers,
                value,
            )
            .await?;
        match answer.status {
            StatusCode::OK => Ok(WriteOutcome::Committed(answer.version)),
            StatusCode::PRECONDITION_FAILED => Ok(WriteOutcome::Conflict(answer.version)),
            // Any other status doesn't tell whether the write took effect.
            status => Err(Error::OutcomeUnknown(
                step,
                self.address,
                format!("status {status}"),
            )),
        }
    }

    /// Makes a call and counts its outcome.
    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        headers: &[(HeaderName, String)],
        value: Bytes,
    ) -> Result<RawResponse, Error> {
        self.count(&metrics::PLATFORM_CALLS);
        let is_write = method == Method::PUT || method == Method::DELETE;
        let result = self.exchange(step, method, path, headers, value).await;
        match &result {
            Ok(_) => {}
            Err(Error::OutcomeUnknown(..)) if is_write => self.count(&metrics::PLATFORM_DOUBT),
            Err(_) => self.count(&metrics::PLATFORM_FAILED),
        }
        result
    }

    async fn exchange(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        headers: &[(HeaderName, String)],
        value: Bytes,
    ) -> Result<RawResponse, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(FROM, &self.from);
        for (name, text) in headers {
            request = request.header(name, text);
        }
        let request = request
            .body(Body::from(value))
            .map_err(|cause| Error::Failed(step, self.address, cause.to_string()))?;
        let timeout = if step == "watch" {
            WATCH_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let response = self
            .client
            .send(self.address, request, timeout)
            .await
            .map_err(|cause| self.send_error(step, &cause))?;
        let status = response.status();
        let version = response
            .headers()
            .get(VERSION)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        let body = self
            .clock
            .timeout(
                CALL_TIMEOUT,
                body::read(response.into_body(), RESPONSE_LIMIT_BYTES),
            )
            .await
            .unwrap_or_else(|_| Err("timed out".into()))
            .map_err(|cause| Error::OutcomeUnknown(step, self.address, cause.to_string()))?;
        Ok(RawResponse {
            status,
            version,
            body,
        })
    }

    fn send_error(&self, step: &'static str, cause: &client::Error) -> Error {
        if cause.unsent() {
            Error::Failed(step, self.address, cause.to_string())
        } else {
            Error::OutcomeUnknown(step, self.address, cause.to_string())
        }
    }

    fn status_error(&self, step: &'static str, status: StatusCode) -> Error {
        Error::Failed(step, self.address, format!("status {status}"))
    }
}

/// Escapes a key or a prefix for a path or a query.
fn escape(key: &str) -> percent::PercentEncode<'_> {
    percent::utf8_percent_encode(key, ESCAPED)
}
