//! The real program between the stand-ins of the store and of targets.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::{server::Server, store::Store};
use bramleypier_util::{
    body::{self, Body},
    client::Client,
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::{Request, Response, StatusCode, header::HeaderValue};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tempfile::TempDir;

pub const PATIENCE: Duration = Duration::from_secs(15);
pub const WORK: Duration = Duration::from_millis(20);

/// The next port to look at. They lie below those that the system gives out by itself, or another
/// test's connection could take one before the program listens there.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;

/// A free port of the loopback interface.
pub fn port() -> u16 {
    let own = u16::try_from(std::process::id() % 97).unwrap() * 120;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (own + next) % PORTS;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A running program, which is ended with the test.
pub struct Program {
    pub child: Child,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
    _folder: TempDir,
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    pub fn start(store: SocketAddr) -> Self {
        Self::start_as("vm-1", store, None)
    }

    /// Starts a VM that knows of another.
    pub fn start_as(name: &str, store: SocketAddr, other: Option<&Self>) -> Self {
        let ports = [port(), port(), port(), port()];
        let at = |index: usize| SocketAddr::from(([127, 0, 0, 1], ports[index]));
        let seeds = other.map_or_else(String::new, |it| it.peers.to_string());
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("vm.ini");
        let text = format!(
            "[vm]\nname = {name}\ndomain = z1\n[peers]\nseeds = {seeds}\n[listen]\ncallers = {}\nreadiness = {}\npeers = {}\n\
             metrics = {}\n[store]\naddress = {store}\n[platform]\n\
             figures = grace=6s,hold-max=10000ms,retry-slack=60\n",
            at(0),
            at(1),
            at(2),
            at(3)
        );
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_bramleypier"))
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (output, kept) = (child.stdout.take().unwrap(), lines.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().unwrap().push(line);
            }
        });
        Self {
            child,
            lines,
            callers: at(0),
            readiness: at(1),
            peers: at(2),
            metrics: at(3),
            settings: path,
            _folder: folder,
        }
    }

    pub fn log(&self, part: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().find(|line| line.contains(part)).cloned()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }
}

pub fn config(version: u32, keyed: &str) -> Vec<u8> {
    let route = |name: &str, kind: &str, prefix: &str, service: &str| {
        json!({"name": name, "kind": kind, "goal": "500ms", "priority": 1,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout": "2000ms", "max-attempts": 2}})
    };
    let service = |name: &str, sharded: bool| json!({"name": name, "health-path": "/health", "max-conns": 130, "sharded": sharded});
    let config = json!({
        "version": format!("r{version}"),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 400_000,
            "header-timeout": "3000ms", "idle-timeout": "15000ms"},
        "listeners": [{"host": "a.example", "rules": [
            route("look", "idempotent", "/look/", "plain"),
            route("order", "non_idempotent", "/order/", "plain"),
            route("key", "idempotent", keyed, "keyed"),
        ]}],
        "clusters": [service("plain", false), service("keyed", true)],
    });
    config.to_string().into_bytes()
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
            program: Program::start(address),
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
        let mut request = Request::new(Body::from("0123456789"));
        *request.method_mut() = method.parse().unwrap();
        *request.uri_mut() = path.parse().unwrap();
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("a.example"));
        headers.insert("x-request-id", HeaderValue::from_str(id).unwrap());
        headers.insert("x-deadline-ms", HeaderValue::from_static("3000"));
        headers.insert("x-shard-key", HeaderValue::from_static("777"));
        let sent = self
            .client
            .send(self.program.callers, request, PATIENCE)
            .await;
        let (head, rest) = sent.unwrap().into_parts();
        let bytes = body::read(rest, 1 << 20).await.unwrap_or_default();
        (head.status, Response::from_parts(head, Body::from(bytes)))
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
