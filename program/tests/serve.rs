//! The real program against the stand-in of the platform: from the settings file to the answer.

use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::{
    server::{Fault, Server},
    store::{self, Store},
};
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

const PATIENCE: Duration = Duration::from_secs(15);
const WORK: Duration = Duration::from_millis(20);

/// The next port to look at. They lie below those that the system gives out by itself, or another
/// test's connection could take one before the program listens there.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;

/// A free port of the loopback interface.
fn port() -> u16 {
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
struct Program {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
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
    fn start(store: SocketAddr) -> Self {
        let ports = [port(), port(), port(), port()];
        let at = |index: usize| SocketAddr::from(([127, 0, 0, 1], ports[index]));
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("vm.ini");
        let text = format!(
            "[vm]\nname = vm-1\ndomain = z1\n[listen]\ncallers = {}\nreadiness = {}\npeers = {}\n\
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
            metrics: at(3),
            _folder: folder,
        }
    }

    fn log(&self, part: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        lines.iter().find(|line| line.contains(part)).cloned()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }
}

fn config(version: u32, keyed: &str) -> Vec<u8> {
    let route = |name: &str, kind: &str, prefix: &str, service: &str| {
        json!({"name": name, "kind": kind, "goal": "500ms", "priority": 1,
            "match": {"prefix": prefix},
            "action": {"service": service, "timeout": "2000ms", "max-attempts": 2}})
    };
    let service = |name: &str, sharded: bool| json!({"name": name, "health-path": "/health", "max-conns": 130, "sharded": sharded});
    let config = json!({
        "version": format!("r{version}"),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
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

struct Stage {
    store: Store,
    servers: Vec<Server>,
    program: Program,
    client: Client,
}

impl Stage {
    async fn start() -> Self {
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
            program: Program::start(address),
            client: Client::new(Clock::real(), 8),
        }
    }

    async fn configured() -> Self {
        let stage = Self::start().await;
        stage.store.put("op/config", &config(1, "/key/"));
        stage.until_ready().await;
        stage
    }

    async fn until_ready(&self) {
        let clock = Clock::real();
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if self.ready().await == Some(StatusCode::OK) {
                return;
            }
            clock.sleep(Duration::from_millis(20)).await;
        }
        panic!("not ready: {:?}", self.program.lines.lock().unwrap());
    }

    async fn ready(&self) -> Option<StatusCode> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = "/-/ready".parse().unwrap();
        let sent = self
            .client
            .send(self.program.readiness, request, PATIENCE)
            .await;
        sent.ok().map(|response| response.status())
    }

    async fn ask(&self, method: &str, path: &str, id: &str) -> (StatusCode, Response<Body>) {
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
    fn ran(&self, id: &str) -> usize {
        let all = self.servers.iter().flat_map(Server::ran);
        all.filter(|ran| ran == id).count()
    }
}

fn play<F>(test: F)
where
    F: AsyncFnOnce(Stage),
{
    Runtime::new()
        .unwrap()
        .block_on(async { test(Stage::configured().await).await });
}

#[test]
fn requests_reach_their_targets_and_the_log_tells() {
    play(async |stage| {
        let (status, answer) = stage.ask("GET", "/look/x?y=1", "id-1").await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(answer.headers()["x-response-signature"], "sig");
        assert_eq!(stage.ran("id-1"), 1);
        let clock = Clock::real();
        let end = Instant::now() + PATIENCE;
        let mut keyed = StatusCode::SERVICE_UNAVAILABLE;
        let mut tries = 0;
        while keyed != StatusCode::OK && Instant::now() < end {
            tries += 1;
            keyed = stage.ask("GET", "/key/x", &format!("key-{tries}")).await.0;
            clock.sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(keyed, StatusCode::OK, "a key has no owner");
        assert_eq!(
            stage
                .servers
                .iter()
                .filter(|server| server.holds(777))
                .count(),
            1
        );
        assert_eq!(
            stage.ask("GET", "/nowhere/", "id-2").await.0,
            StatusCode::NOT_FOUND
        );
        clock.sleep(Duration::from_millis(300)).await;
        let line = stage
            .program
            .log("event=request id=id-1 ")
            .expect("no line");
        for part in [
            "route=look",
            "version=1",
            "outcome=answered",
            "targets=i-plain-",
        ] {
            assert!(line.contains(part), "{line}");
        }
        assert!(stage.program.log("event=target-unreadable").is_some());
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = "/metrics".parse().unwrap();
        let metrics = stage
            .client
            .send(stage.program.metrics, request, PATIENCE)
            .await
            .unwrap();
        let text = body::read(metrics.into_body(), 1 << 20).await.unwrap();
        let text = String::from_utf8_lossy(&text);
        assert!(
            text.contains("bramleypier.requests{outcome:answered,route:look} 1"),
            "{text}"
        );
    });
}

#[test]
fn without_a_configuration_nobody_is_told_that_a_route_is_missing() {
    Runtime::new().unwrap().block_on(async {
        let stage = Stage::start().await;
        let clock = Clock::real();
        let end = Instant::now() + PATIENCE;
        while stage.program.log("event=started").is_none() && Instant::now() < end {
            clock.sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stage.ready().await, Some(StatusCode::SERVICE_UNAVAILABLE));
        let (status, answer) = stage.ask("GET", "/look/x", "id-1").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
        stage.store.put("op/config", &config(1, "/key/"));
        stage.until_ready().await;
        assert_eq!(stage.ask("GET", "/look/x", "id-2").await.0, StatusCode::OK);
    });
}

#[test]
fn a_newer_configuration_is_in_force_within_its_bound() {
    play(async |stage| {
        stage.store.put("op/config", &config(9, "/renamed/"));
        Clock::real().sleep(Duration::from_millis(400)).await;
        assert_eq!(
            stage.ask("GET", "/key/x", "id-1").await.0,
            StatusCode::NOT_FOUND
        );
        stage.store.put("op/config", &config(4, "/key/"));
        Clock::real().sleep(Duration::from_millis(400)).await;
        assert_eq!(
            stage.ask("GET", "/key/x", "id-2").await.0,
            StatusCode::NOT_FOUND
        );
    });
}

#[test]
fn what_targets_do_wrong_reaches_no_caller_as_an_answer() {
    let cases = [
        // fault, look-ups are answered, an order's status, how often the order may have run
        (Fault::ForeignId, StatusCode::BAD_GATEWAY),
        (Fault::Unsigned, StatusCode::BAD_GATEWAY),
        (Fault::Cut, StatusCode::BAD_GATEWAY),
        (Fault::Refuse, StatusCode::SERVICE_UNAVAILABLE),
        (Fault::Fail, StatusCode::INTERNAL_SERVER_ERROR),
    ];
    play(async |stage| {
        for (number, (fault, status)) in cases.into_iter().enumerate() {
            for server in &stage.servers[..2] {
                server.set_fault(Some(fault));
            }
            let id = format!("order-{number}");
            assert_eq!(
                stage.ask("POST", "/order/x", &id).await.0,
                status,
                "{fault:?}"
            );
            let ran = stage.ran(&id);
            assert!(ran <= 1, "{fault:?}: an order ran {ran} times");
            assert!(fault != Fault::Refuse || ran == 0, "refused, but it ran");
            stage.servers[1].set_fault(None);
            let id = format!("look-{number}");
            let looked = stage.ask("GET", "/look/x", &id).await.0;
            assert_eq!(
                looked,
                StatusCode::OK,
                "{fault:?}: the other target is well"
            );
        }
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    play(async |stage| {
        let mut request = Request::new(Body::from(vec![b'x'; 200_000]));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = "/order/x".parse().unwrap();
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("a.example"));
        headers.insert("x-request-id", HeaderValue::from_static("large"));
        let sent = stage
            .client
            .send(stage.program.callers, request, PATIENCE)
            .await;
        // The answer may cross the rest of the body.
        if let Ok(response) = sent {
            assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
        }
        assert_eq!(stage.ran("large"), 0);
    });
}

#[test]
fn a_target_that_leaves_gets_no_new_work() {
    play(async |stage| {
        let leaving = &stage.servers[0];
        stage.store.put(
            &format!("servers/{}", leaving.id),
            &leaving.entry("plain", "draining"),
        );
        Clock::real().sleep(Duration::from_millis(400)).await;
        let before = leaving.ran().len();
        for number in 0..6 {
            let id = format!("id-{number}");
            assert_eq!(stage.ask("GET", "/look/x", &id).await.0, StatusCode::OK);
        }
        assert_eq!(leaving.ran().len(), before);
    });
}

#[test]
fn an_order_whose_caller_leaves_while_it_waits_is_not_sent() {
    play(async |stage| {
        let plain = &stage.servers[..2];
        for server in plain {
            stage.store.remove(&format!("servers/{}", server.id));
        }
        let clock = Clock::real();
        clock.sleep(Duration::from_millis(400)).await;
        let asking = stage.ask("POST", "/order/x", "left");
        let left = clock.timeout(Duration::from_millis(100), asking).await;
        assert!(left.is_err(), "it was answered without a target");
        for server in plain {
            let key = format!("servers/{}", server.id);
            stage.store.put(&key, &server.entry("plain", "ready"));
        }
        clock.sleep(Duration::from_millis(600)).await;
        assert_eq!(stage.ran("left"), 0);
        assert_eq!(
            stage.ask("POST", "/order/x", "stays").await.0,
            StatusCode::OK
        );
    });
}

#[test]
fn serving_goes_on_while_the_store_is_away() {
    play(async |stage| {
        for fault in [store::Fault::Status(503), store::Fault::Silent] {
            stage.store.set_fault(Some(fault));
            Clock::real().sleep(Duration::from_millis(1500)).await;
            let status = stage.ask("GET", "/look/x", &format!("{fault:?}")).await.0;
            assert_eq!(status, StatusCode::OK, "{fault:?}");
        }
        stage.store.set_fault(None);
        stage.store.put("op/config", &config(9, "/renamed/"));
        Clock::real().sleep(Duration::from_millis(2500)).await;
        assert_eq!(
            stage.ask("GET", "/key/x", "after").await.0,
            StatusCode::NOT_FOUND
        );
        assert!(stage.program.log("event=pulse-lost").is_some());
        assert!(stage.program.log("event=pulse-back").is_some());
    });
}

#[test]
fn a_stop_cuts_nothing_off() {
    play(async |stage| {
        stage.program.signal(Signal::TERM);
        Clock::real().sleep(Duration::from_millis(200)).await;
        assert_eq!(stage.ready().await, Some(StatusCode::SERVICE_UNAVAILABLE));
        let (status, answer) = stage.ask("GET", "/look/x", "late").await;
        assert_eq!(
            status,
            StatusCode::OK,
            "new requests are served until nobody sends more"
        );
        assert_eq!(answer.headers()["connection"], "close");
        let mut stage = stage;
        let started = Instant::now();
        let ended = loop {
            if let Some(status) = stage.program.child.try_wait().unwrap() {
                break status;
            }
            assert!(started.elapsed() < Duration::from_secs(7), "it goes on");
            Clock::real().sleep(Duration::from_millis(50)).await;
        };
        assert!(ended.success());
        assert!(stage.program.log("event=drained cut=0").is_some());
    });
}

#[test]
fn settings_that_are_wrong_end_with_one_clear_line() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("vm.ini");
    for (text, said) in [
        ("[vm]\nname = a\ncolour = red\n", "colour"),
        ("[vm]\nname = a\n", "domain"),
        ("not settings", "expected"),
    ] {
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_bramleypier"))
            .args(["serve", "--settings"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let status = child.wait().unwrap();
        let mut complaint = String::new();
        child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut complaint)
            .unwrap();
        assert_eq!(status.code(), Some(2), "{text}");
        assert!(
            complaint.contains(said) && complaint.trim().lines().count() == 1,
            "{complaint}"
        );
    }
}
