//! The real program between the stand-ins of the store and of targets.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::{server::Server, store::Store, vm::ListenAddresses};
pub use bramleypier_platform_standin::{store::config, vm::Program};
use bramleypier_util::{
    body::{self, Body},
    client::Client,
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::{Request, Response, StatusCode, header::HeaderValue};

pub const PATIENCE: Duration = Duration::from_secs(15);
pub const WORK: Duration = Duration::from_millis(20);

/// Starts a VM that knows of another.
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

/// Starts a VM that knows of no other, with more lines of settings of the platform.
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

pub struct Stage {
    pub store: Store,
    pub store_address: SocketAddr,
    pub servers: Vec<Server>,
    pub program: Program,
    pub client: Client,
}

impl Stage {
    pub async fn start() -> Self {
        let (store, address) = Store::start().await;
        let plain = Server::start("i-plain-1", false, WORK).await;
        let other = Server::start("i-plain-2", false, WORK).await;
        let first = Server::start("i-key-1", true, WORK).await;
        let second = Server::start("i-key-2", true, WORK).await;
        let servers = vec![plain, other, first, second];
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

    pub async fn configured() -> Self {
        let stage = Self::start().await;
        stage.store.put("op/config", &config(1, "/key/"));
        stage.until_ready().await;
        stage
    }

    pub async fn until_ready(&self) {
        self.until_ready_at(&self.program).await;
    }

    /// Waits until a VM is ready.
    pub async fn until_ready_at(&self, program: &Program) {
        let clock = Clock::real();
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if self.ready_at(program).await == Some(StatusCode::OK) {
                return;
            }
            clock.sleep(Duration::from_millis(20)).await;
        }
        panic!("not ready: {:?}", program.lines.lock().unwrap());
    }

    pub async fn ready(&self) -> Option<StatusCode> {
        self.ready_at(&self.program).await
    }

    async fn ready_at(&self, program: &Program) -> Option<StatusCode> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = "/-/ready".parse().unwrap();
        let sent = self.client.send(program.readiness, request, PATIENCE).await;
        sent.ok().map(|response| response.status())
    }

    pub async fn ask(&self, method: &str, path: &str, id: &str) -> (StatusCode, Response<Body>) {
        self.ask_at(&self.program, method, path, id).await
    }

    /// Asks a VM.
    pub async fn ask_at(
        &self,
        program: &Program,
        method: &str,
        path: &str,
        id: &str,
    ) -> (StatusCode, Response<Body>) {
        let end = Instant::now() + PATIENCE;
        let sent = loop {
            let sent = self
                .client
                .send(program.callers, request(method, path, id), PATIENCE);
            match sent.await {
                // Beside other load connecting may time out; nothing was sent then.
                Err(error) if error.unsent() && Instant::now() < end => {
                    Clock::real().sleep(Duration::from_millis(20)).await;
                }
                sent => break sent,
            }
        };
        let (head, rest) = sent.unwrap().into_parts();
        let bytes = body::read(rest, 1 << 20).await.unwrap_or_default();
        (head.status, Response::from_parts(head, Body::from(bytes)))
    }

    /// Returns the first VM's counters as text.
    pub async fn metrics(&self) -> String {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = "/metrics".parse().unwrap();
        let sent = self.client.send(self.program.metrics, request, PATIENCE);
        let answer = sent.await.unwrap().into_body();
        let bytes = body::read(answer, 1 << 20).await.unwrap();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// How often a request ran, over all servers.
    pub fn ran(&self, id: &str) -> usize {
        let all = self.servers.iter().flat_map(Server::ran);
        all.filter(|ran| ran == id).count()
    }
}

pub fn play<F>(test: F)
where
    F: AsyncFnOnce(Stage),
{
    Runtime::new()
        .unwrap()
        .block_on(async { test(Stage::configured().await).await });
}

fn request(method: &str, path: &str, id: &str) -> Request<Body> {
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
