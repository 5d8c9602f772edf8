//! Test harness: runs the real program against stand-ins of the store and of targets.

#![allow(dead_code, reason = "each test file uses only part of it")]

pub mod crowd;
pub mod played_vm;
pub mod raw_target;

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::{server::Server, store::Store, vm::ListenAddresses};
pub use bramleypier_platform_standin::{store::config, vm::Program};
use bramleypier_util::{
    body::{self, Body},
    client::{Client, ResponseBody},
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::{Request, Response, StatusCode, header::HeaderValue};

/// How long tests wait for an expected state.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a target takes for a request.
pub const REQUEST_TIME: Duration = Duration::from_millis(20);

/// Starts a VM; `other` is its seed, if there is one.
pub fn start_vm(name: &str, store: SocketAddr, other: Option<&Program>) -> Program {
    let seeds = other.map_or_else(String::new, |it| it.peers.to_string());
    let binary = Path::new(env!("CARGO_BIN_EXE_bramleypier"));
    Program::start(
        binary,
        name,
        store,
        &seeds,
        ListenAddresses::on_free_ports(),
    )
    .unwrap()
}

/// Starts a VM without seeds; `more` is added to its platform settings.
pub fn start_vm_with(name: &str, store: SocketAddr, more: &str) -> Program {
    let binary = Path::new(env!("CARGO_BIN_EXE_bramleypier"));
    Program::start_with_settings(
        binary,
        name,
        store,
        "",
        ListenAddresses::on_free_ports(),
        more,
    )
    .unwrap()
}

/// Starts a VM without seeds, with other parameters of the platform.
pub fn start_vm_with_figures(name: &str, store: SocketAddr, figures: &str) -> Program {
    let binary = Path::new(env!("CARGO_BIN_EXE_bramleypier"));
    let listens = ListenAddresses::on_free_ports();
    Program::start_with_figures(binary, name, store, "", listens, figures).unwrap()
}

/// Waits for this many milliseconds.
pub async fn sleep_ms(millis: u64) {
    Clock::real().sleep(Duration::from_millis(millis)).await;
}

/// Waits until a VM has logged a text.
pub async fn until_logged(program: &Program, text: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while program.find_log(text).is_none() {
        let lines = program.lines.lock().unwrap();
        assert!(Instant::now() < end, "not logged: {text}; {lines:#?}");
        drop(lines);
        sleep_ms(20).await;
    }
}

/// A store, four targets (two of them own keys) and one VM.
pub struct Harness {
    pub store: Store,
    pub store_address: SocketAddr,
    pub servers: Vec<Server>,
    pub program: Program,
    pub client: Client,
}

impl Harness {
    /// Starts everything, without a configuration.
    pub async fn start() -> Self {
        let (store, address) = Store::start().await;
        let plain_1 = Server::start("i-plain-1", false, REQUEST_TIME).await;
        let plain_2 = Server::start("i-plain-2", false, REQUEST_TIME).await;
        let keyed_1 = Server::start("i-key-1", true, REQUEST_TIME).await;
        let keyed_2 = Server::start("i-key-2", true, REQUEST_TIME).await;
        let servers = vec![plain_1, plain_2, keyed_1, keyed_2];
        for (server, service) in servers.iter().zip(["plain", "plain", "keyed", "keyed"]) {
            store.put(
                &format!("servers/{}", server.id),
                &server.entry(service, "ready"),
            );
        }
        store.put("servers/foreign", b"\xff not an entry");
        Self {
            store,
            servers,
            store_address: address,
            program: start_vm("vm-1", address, None),
            client: Client::new(Clock::real(), 8),
        }
    }

    /// Starts everything with a configuration and waits until the VM is ready.
    pub async fn configured() -> Self {
        let harness = Self::start().await;
        harness.store.put("op/config", &config(1, "/key/"));
        harness.until_ready().await;
        harness
    }

    /// Waits until the first VM has logged a text.
    pub async fn until_logged(&self, text: &str) {
        until_logged(&self.program, text).await;
    }

    /// Returns how many lines of the first VM's log contain a text.
    pub fn count_logged(&self, text: &str) -> usize {
        let lines = self.program.lines.lock().unwrap();
        lines.iter().filter(|it| it.contains(text)).count()
    }

    /// Waits until the first VM is ready.
    pub async fn until_ready(&self) {
        self.until_ready_at(&self.program).await;
    }

    /// Waits until a VM is ready.
    pub async fn until_ready_at(&self, program: &Program) {
        let clock = Clock::real();
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            if self.ready_at(program).await == Some(StatusCode::OK) {
                return;
            }
            clock.sleep(Duration::from_millis(20)).await;
        }
        panic!("not ready: {:?}", program.lines.lock().unwrap());
    }

    /// Returns the status of the first VM's readiness check, or `None` without a response.
    pub async fn ready(&self) -> Option<StatusCode> {
        self.ready_at(&self.program).await
    }

    async fn ready_at(&self, program: &Program) -> Option<StatusCode> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = "/-/ready".parse().unwrap();
        let sent = self
            .client
            .send(program.readiness, request, TEST_TIMEOUT)
            .await;
        sent.ok().map(|response| response.status())
    }

    /// Sends a request to the first VM.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> (StatusCode, Response<Body>) {
        self.send_to(&self.program, method, path, id).await
    }

    /// Sends a request to a VM.
    pub async fn send_to(
        &self,
        program: &Program,
        method: &str,
        path: &str,
        id: &str,
    ) -> (StatusCode, Response<Body>) {
        let build = || build_request(method, path, id);
        let (head, body) = self.send_once(program.callers, build).await.into_parts();
        let bytes = body::read(body, 1 << 20).await.unwrap_or_default();
        (head.status, Response::from_parts(head, Body::from(bytes)))
    }

    /// Returns the metrics of the first VM as text.
    pub async fn metrics(&self) -> String {
        let build = || {
            let mut request = Request::new(Body::empty());
            *request.uri_mut() = "/metrics".parse().unwrap();
            request
        };
        let response = self.send_once(self.program.metrics, build).await;
        let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Sends a request once, and tries again as long as nothing was sent.
    ///
    /// Connecting may time out on a loaded machine.
    async fn send_once<F>(&self, address: SocketAddr, build: F) -> Response<ResponseBody>
    where
        F: Fn() -> Request<Body>,
    {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.client.send(address, build(), TEST_TIMEOUT).await {
                Err(error) if error.unsent() && Instant::now() < end => {
                    Clock::real().sleep(Duration::from_millis(20)).await;
                }
                sent => return sent.unwrap(),
            }
        }
    }

    /// Returns how often a request ran, summed over all servers.
    pub fn executions(&self, id: &str) -> usize {
        let ids = self.servers.iter().flat_map(Server::ran);
        ids.filter(|it| it == id).count()
    }
}

/// Runs a test with a configured harness.
pub fn run_test<F>(test: F)
where
    F: AsyncFnOnce(Harness),
{
    Runtime::new()
        .unwrap()
        .block_on(async { test(Harness::configured().await).await });
}

fn build_request(method: &str, path: &str, id: &str) -> Request<Body> {
    let mut request = Request::new(Body::from("0123456789"));
    *request.method_mut() = method.parse().unwrap();
    *request.uri_mut() = path.parse().unwrap();
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("a.example"));
    headers.insert("x-request-id", HeaderValue::from_str(id).unwrap());
    headers.insert("x-deadline-ms", HeaderValue::from_static("3000"));
    headers.insert("x-shard-key", HeaderValue::from_static("777"));
    request
}
