//! The platform's stand-in: the key-value store and the list of VMs and targets over HTTP.
//!
//! Tests can inject outages, delays, lost responses and a lagging list.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::{net::TcpListener, runtime};
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use indexmap::IndexMap;
use percent_encoding as percent;
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    payload::Payload,
    serve::{self, CloseConnection, Response},
    store::{Refusal, Store},
};

/// The request header that carries the client's name.
pub const FROM: &str = "Bramleypier-From";
/// The longest time that a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which a watch checks for changes and faults.
const WATCH_POLL: Duration = Duration::from_millis(5);
/// How many versions of the list are kept to serve a lagging one.
const MAX_LIST_VERSIONS: usize = 10_000;
/// The maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A VM or target on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// The name; taken from the path when an entry is written.
    #[serde(default)]
    pub name: String,
    /// `IP:port`.
    pub address: String,
    /// The failure domain.
    pub domain: String,
    /// `entry` or `target`.
    pub kind: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The active faults of the platform; setting them replaces all previous ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// All calls fail: connections are closed without a response, and calls have no effect.
    pub down: bool,
    /// As `down`, but only for the clients of these names.
    pub partial: Vec<String>,
    /// The delay in milliseconds before a call takes effect.
    pub delay_ms: u64,
    /// The delay in milliseconds of the response after the call has taken effect.
    pub answer_delay_ms: u64,
    /// How many writes take effect but have their connection closed without a response.
    pub lose_answers: u32,
    /// The lag of the list in milliseconds. Once set, the list stays unchanged for that long.
    pub list_lag_ms: u64,
}

impl Faults {
    /// Returns whether calls of a client fail; a name matches all incarnations `name#start` of a VM.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::platform::Faults;
    ///
    /// let mut faults = Faults::default();
    /// faults.partial.push("vm-1".into());
    /// assert!(faults.blocks("vm-1") && !faults.blocks("vm-2"));
    /// ```
    pub fn blocks(&self, client: &str) -> bool {
        let name = client.split('#').next().unwrap_or(client);
        self.down || self.partial.iter().any(|blocked| blocked == name)
    }
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    list: IndexMap<String, Listing>,
    list_versions: VecDeque<(Duration, Vec<Listing>)>,
    faults: Faults,
    lag_set_at: Duration,
    counts: IndexMap<String, u64>,
}

/// The platform, shared by the tasks of one thread.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Rc<RefCell<State>>,
    watches: Rc<Cell<u64>>,
}

/// Runs the platform on a listener forever.
pub async fn run(listener: TcpListener) {
    let platform = Platform::default();
    serve::run(listener, Duration::ZERO, move |request, _connection| {
        platform.clone().handle(request)
    })
    .await;
}

/// Starts the platform as a task of this runtime on a free port and returns its address.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn spawn() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    runtime::spawn(run(listener)).detach();
    Ok(address)
}

impl Platform {
    async fn handle(self, request: Request<Incoming>) -> Result<Response, CloseConnection> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| CloseConnection)?
            .to_bytes();
        let request = Request::from_parts(parts, body);
        if !request.uri().path().starts_with("/v1/") {
            return Ok(self.handle_control(&request));
        }
        let client = serve::header(&request, FROM).unwrap_or("").to_owned();
        self.check_reachable(&client)?;
        self.delay(|faults| faults.delay_ms).await;
        self.check_reachable(&client)?;
        self.count_call(kind(&request));
        if request.uri().path() == "/v1/watch" {
            return self.handle_watch(&request, &client).await;
        }
        let response = self.handle_call(&request);
        if request.method() != Method::GET && response.status().is_success() {
            self.check_response_kept()?;
        }
        self.delay(|faults| faults.answer_delay_ms).await;
        self.check_reachable(&client)?;
        Ok(response)
    }

    /// Fails if calls of the client are to fail.
    fn check_reachable(&self, client: &str) -> Result<(), CloseConnection> {
        if !self.state.borrow().faults.blocks(client) {
            return Ok(());
        }
        self.count_call("cut");
        Err(CloseConnection)
    }

    /// Fails if the response to a write is to be lost, and uses up one count.
    fn check_response_kept(&self) -> Result<(), CloseConnection> {
        let faults = &mut self.state.borrow_mut().faults;
        if faults.lose_answers == 0 {
            return Ok(());
        }
        faults.lose_answers -= 1;
        Err(CloseConnection)
    }

    async fn delay<F>(&self, span: F)
    where
        F: Fn(&Faults) -> u64,
    {
        let span = span(&self.state.borrow().faults);
        if span > 0 {
            compio::time::sleep(Duration::from_millis(span)).await;
        }
    }

    fn count_call(&self, kind: &str) {
        let counts = &mut self.state.borrow_mut().counts;
        *counts.entry(kind.to_owned()).or_default() += 1;
    }

    /// Handles a call other than a watch, without faults.
    fn handle_call(&self, request: &Request<Bytes>) -> Response {
        let path = request.uri().path();
        let now = clock::now();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.handle_value(now, &decode(key), request);
        }
        if let Some(id) = path.strip_prefix("/v1/lease/") {
            return self.handle_lease(now, &decode(id), request);
        }
        let query = serve::query(request.uri());
        match (request.method().as_str(), path) {
            ("GET", "/v1/list") => {
                let prefix = query.get("prefix").map_or("", String::as_str);
                serve::json(
                    StatusCode::OK,
                    &self.state.borrow_mut().store.list(now, prefix),
                )
            }
            ("POST", "/v1/lease") => {
                let Some(ttl) = query.get("ttl_ms").and_then(|text| text.parse().ok()) else {
                    return serve::empty(StatusCode::BAD_REQUEST);
                };
                let ttl = Duration::from_millis(ttl);
                let id = self.state.borrow_mut().store.lease(now, ttl);
                serve::json(StatusCode::OK, &serde_json::json!({ "id": id }))
            }
            ("GET", "/v1/vms") => {
                serve::json(StatusCode::OK, &self.state.borrow().lagging_list(now))
            }
            _ => serve::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_value(&self, now: Duration, key: &str, request: &Request<Bytes>) -> Response {
        let store = &mut self.state.borrow_mut().store;
        if request.method() == Method::GET {
            let Some(item) = store.get(now, key) else {
                return serve::empty(StatusCode::NOT_FOUND);
            };
            let mut response = Response::new(Payload::whole(item.value.clone()));
            set_version(&mut response, item.version);
            return response;
        }
        let expected = serve::header(request, "If-Version").and_then(|text| text.parse().ok());
        let Some(expected) = expected else {
            return serve::empty(StatusCode::BAD_REQUEST);
        };
        match *request.method() {
            Method::PUT if request.body().len() > MAX_VALUE_BYTES => {
                serve::empty(StatusCode::PAYLOAD_TOO_LARGE)
            }
            Method::PUT => {
                let lease = serve::header(request, "Lease");
                write_response(store.put(now, key, request.body().to_vec(), expected, lease))
            }
            Method::DELETE => write_response(store.delete(now, key, expected).map(|()| 0)),
            _ => serve::empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn handle_lease(&self, now: Duration, path: &str, request: &Request<Bytes>) -> Response {
        let store = &mut self.state.borrow_mut().store;
        match (request.method().as_str(), path.strip_suffix("/renew")) {
            ("POST", Some(id)) if store.renew(now, id) => serve::empty(StatusCode::OK),
            ("DELETE", None) => {
                store.revoke(now, path);
                serve::empty(StatusCode::OK)
            }
            _ => serve::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_watch(
        &self,
        request: &Request<Bytes>,
        client: &str,
    ) -> Result<Response, CloseConnection> {
        let query = serve::query(request.uri());
        let prefix = query.get("prefix").map_or("", String::as_str);
        let since = query.get("since").and_then(|text| text.parse().ok());
        let since = since.unwrap_or(0);
        let end = clock::now() + WATCH_TIMEOUT;
        self.watches.set(self.watches.get() + 1);
        let page = loop {
            let now = clock::now();
            if self.state.borrow().faults.blocks(client) {
                break Err(CloseConnection);
            }
            let page = self.state.borrow_mut().store.changed(now, prefix, since);
            if !page.keys.is_empty() || now >= end {
                break Ok(page);
            }
            compio::time::sleep(WATCH_POLL).await;
        };
        self.watches.set(self.watches.get() - 1);
        page.map(|page| serve::json(StatusCode::OK, &page))
    }

    /// Handles the calls that only tests make: set faults, edit the list, read the call counts.
    fn handle_control(&self, request: &Request<Bytes>) -> Response {
        let path = request.uri().path();
        let body = request.body();
        let state = &mut *self.state.borrow_mut();
        match (request.method().as_str(), path.strip_prefix("/vms/")) {
            ("PUT", Some(name)) => {
                let Ok(mut listing) = serde_json::from_slice::<Listing>(body) else {
                    return serve::empty(StatusCode::BAD_REQUEST);
                };
                listing.name = decode(name);
                state.list.insert(listing.name.clone(), listing);
                state.record_list();
                serve::empty(StatusCode::OK)
            }
            ("DELETE", Some(name)) => {
                state.list.shift_remove(&decode(name));
                state.record_list();
                serve::empty(StatusCode::OK)
            }
            ("POST", None) if path == "/fault" => match serde_json::from_slice(body) {
                Ok(faults) => {
                    state.set_faults(faults);
                    serve::empty(StatusCode::OK)
                }
                Err(_) => serve::empty(StatusCode::BAD_REQUEST),
            },
            ("GET", None) if path == "/counts" => serve::json(StatusCode::OK, &state.counts),
            _ => serve::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl State {
    fn set_faults(&mut self, faults: Faults) {
        if faults.list_lag_ms != self.faults.list_lag_ms {
            self.lag_set_at = clock::now();
        }
        self.faults = faults;
    }

    fn record_list(&mut self) {
        let list = self.list.values().cloned().collect();
        self.list_versions.push_back((clock::now(), list));
        if self.list_versions.len() > MAX_LIST_VERSIONS {
            self.list_versions.pop_front();
        }
    }

    fn lagging_list(&self, now: Duration) -> Vec<Listing> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let view_time = now.saturating_sub(lag).max(self.lag_set_at.min(now));
        let mut states = self.list_versions.iter().rev();
        states
            .find(|(since, _)| *since <= view_time)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

/// Returns the kind of a call for the counts.
fn kind(request: &Request<Bytes>) -> &'static str {
    let path = request.uri().path();
    let kinds = [
        ("GET", "/v1/kv/", "get"),
        ("PUT", "/v1/kv/", "put"),
        ("DELETE", "/v1/kv/", "delete"),
        ("GET", "/v1/list", "list"),
        ("GET", "/v1/watch", "watch"),
        ("GET", "/v1/vms", "vms"),
        ("POST", "/v1/lease/", "renew"),
        ("DELETE", "/v1/lease/", "revoke"),
        ("POST", "/v1/lease", "lease"),
    ];
    kinds
        .iter()
        .find(|(method, start, _)| request.method() == *method && path.starts_with(start))
        .map_or("other", |(_, _, kind)| kind)
}

fn write_response(result: Result<u64, Refusal>) -> Response {
    match result {
        Ok(version) => {
            let mut response = serve::empty(StatusCode::OK);
            set_version(&mut response, version);
            response
        }
        Err(Refusal::Version(version)) => {
            let mut response = serve::empty(StatusCode::PRECONDITION_FAILED);
            set_version(&mut response, version);
            response
        }
        Err(Refusal::Lease) => serve::empty(StatusCode::NOT_FOUND),
    }
}

fn set_version(response: &mut Response, version: u64) {
    response.headers_mut().insert("Version", version.into());
}

fn decode(text: &str) -> String {
    percent::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
