//! Crowds of callers that don't behave: the process lives, stays within its memory and descriptors, and serves others.

mod harness;

use std::{
    io::{self, Write as _},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::store::Store;
use bramleypier_soak::proxy::{Cut, Partition, Proxy};
use compio::runtime::Runtime;
use harness::{
    Harness, Program,
    crowd::{self, Crowd, Script, Watch},
    raw_target::{RawRequest, RawTarget},
    sleep_ms, start_vm,
};

/// The operator's limits of the known deployments, and routes on which work lasts as long as a crowd stays.
const CONFIG: &str = r#"{"version":"r1","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
    "header-timeout":"30000ms","idle-timeout":"30000ms"},
    "listeners":[{"host":"a.example","rules":[
        {"name":"crowd","kind":"non_idempotent","goal":"30000ms","priority":1,"match":{"prefix":"/crowd/"},
            "action":{"service":"crowd","timeout":"60000ms","max-attempts":2}},
        {"name":"read","kind":"idempotent","goal":"30000ms","priority":1,"match":{"prefix":"/read/"},
            "action":{"service":"crowd","timeout":"60000ms","max-attempts":2}},
        {"name":"order","kind":"non_idempotent","goal":"2000ms","priority":1,"match":{"prefix":"/order/"},
            "action":{"service":"plain","timeout":"10000ms","max-attempts":3}},
        {"name":"look","kind":"idempotent","goal":"2000ms","priority":1,"match":{"prefix":"/look/"},
            "action":{"service":"plain","timeout":"10000ms","max-attempts":2}}]}],
    "clusters":[{"name":"crowd","health-path":"/health","max-conns":130,"sharded":false},
        {"name":"plain","health-path":"/health","max-conns":130,"sharded":false}]}"#;
/// How many connections a crowd has.
const CROWD: usize = 1400;
/// How many connections a crowd has whose bytes take more memory than they have.
const SMALL_CROWD: usize = 100;
/// The size of a body, below the operator's limit.
const BODY_BYTES: usize = 256 << 10;
/// The size of a large body, below the operator's limit.
const LARGE_BODY_BYTES: usize = 2_000_000;
/// The operator's limit of a body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How many chunks of one byte a body has.
const CHUNKS: usize = 200_000;
/// The size of larger chunks.
const CHUNK_BYTES: usize = 1000;
/// The size of a response that a caller doesn't read.
const RESPONSE_BYTES: usize = 1_000_000;
/// How many responses it doesn't read.
const UNREAD: usize = 4;
/// The size of the largest header of a request whose head is below the operator's limit.
const HEADER_BYTES: usize = 15_000;
/// How many requests a caller sends on a connection without waiting for a response.
const PIPELINED: usize = 12;
/// How many such callers there are.
const PIPELINING_CROWD: usize = 2000;
/// More connections than a VM has descriptors.
const MANY_CONNECTIONS: usize = 4500;
/// A lowered limit of descriptors, and a crowd beyond it.
const FEW_DESCRIPTORS: u64 = 512;
const SMALL_CONNECTIONS: usize = 600;
/// How long a target works for a crowd.
const WORK_TIME: Duration = Duration::from_secs(20);

const LOOK: &str =
    "GET /look/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: look\r\nX-Deadline-Ms: 10000\r\n\r\n";
const ORDER: &str = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: order\r\nX-Deadline-Ms: 10000\r\n\
    Content-Length: 10\r\n\r\n0123456789";

/// What the crowd's target does with a request that it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// It responds at once.
    Short,
    /// It responds at once, with a large body.
    Large,
    /// It works for as long as the crowd stays.
    Long,
}

fn respond(work: Work, request: &RawRequest, stream: &mut TcpStream) -> io::Result<()> {
    if work == Work::Long {
        thread::sleep(WORK_TIME);
    }
    let body = match work {
        Work::Large => "x".repeat(RESPONSE_BYTES),
        Work::Short | Work::Long => request.body.len().to_string(),
    };
    stream.write_all(request.answer(&body).as_bytes())
}

fn start_target(work: Work) -> RawTarget {
    RawTarget::start(move || {
        move |request: &RawRequest, stream: &mut TcpStream| respond(work, request, stream)
    })
}

/// A VM with a target for the crowd and one for ordinary callers.
struct Fixture {
    harness: Harness,
    target: RawTarget,
    _ordinary: RawTarget,
}

impl Fixture {
    async fn start(work: Work) -> Self {
        Self::start_behind(work, None).await
    }

    /// Starts it with proxies in front of the targets, which can cut off VMs.
    async fn start_behind(work: Work, partition: Option<&Partition>) -> Self {
        let (store, store_address) = Store::start().await;
        let (target, ordinary) = (start_target(work), start_target(Work::Short));
        // A VM that reaches none of several targets sends through another one.
        for (id, service, target) in [
            ("i-crowd", "crowd", &target),
            ("i-crowd-2", "crowd", &target),
            ("i-plain", "plain", &ordinary),
            ("i-plain-2", "plain", &ordinary),
        ] {
            let mut shown = target.clone();
            if let Some(partition) = partition {
                shown.address = Proxy::start_with(target.address, partition.clone())
                    .unwrap()
                    .address;
            }
            store.put(&format!("servers/{id}"), &shown.entry(service));
        }
        store.put("op/config", CONFIG.as_bytes());
        let harness = Harness::with_store(store, store_address).await;
        Self {
            harness,
            target,
            _ordinary: ordinary,
        }
    }

    /// Sends a crowd to the VM and checks what must hold beside and after it.
    async fn check(mut self, count: usize, script: Box<Script>) {
        let address = self.harness.program.callers;
        let watch = Watch::start(&self.harness.program);
        let crowd = Crowd::send(address, count, script).await;
        assert_lives(&mut self.harness.program);
        crowd::until_served(address, LOOK).await;
        crowd::until_served(address, ORDER).await;
        crowd.check_refusals(&self.target);
        drop(crowd);
        crowd::until_served(address, LOOK).await;
        assert_lives(&mut self.harness.program);
        watch.finish().check();
    }
}

fn assert_lives(program: &mut Program) {
    let ended = program.child.try_wait().unwrap();
    assert!(ended.is_none(), "the process has ended: {ended:?}");
}

fn run<F>(test: F)
where
    F: AsyncFnOnce(),
{
    let _alone = crowd::alone();
    Runtime::new().unwrap().block_on(async { test().await });
}

/// Returns the head of a request of the crowd up to its last header.
fn head(method: &str, path: &str, number: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-{number}\r\nX-Deadline-Ms: 60000\r\n"
    )
}

/// Returns a request with a body of a stated length, without its last bytes.
fn body_without(number: usize, size: usize, missing: usize) -> Vec<u8> {
    let mut bytes = format!(
        "{}Content-Length: {size}\r\n\r\n",
        head("POST", "/crowd/x", number)
    )
    .into_bytes();
    bytes.resize(bytes.len() + size - missing, b'x');
    bytes
}

/// Returns a request with a body in chunks of one byte, without its last chunk.
fn chunks(number: usize, count: usize) -> Vec<u8> {
    let head = head("POST", "/crowd/x", number);
    let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    bytes.extend(b"1\r\nx\r\n".repeat(count));
    bytes
}

#[test]
fn bodies_that_stop_a_byte_short_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        fixture
            .check(CROWD, Box::new(|it| body_without(it, BODY_BYTES, 1)))
            .await;
    });
}

#[test]
fn large_bodies_that_stop_a_byte_short_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        fixture
            .check(CROWD, Box::new(|it| body_without(it, LARGE_BODY_BYTES, 1)))
            .await;
    });
}

#[test]
fn bodies_in_chunks_without_the_last_one_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        let script = |it| {
            let mut bytes = chunks(it, 0);
            let chunk = [&b"3e8\r\n"[..], &[b'x'; CHUNK_BYTES], b"\r\n"].concat();
            bytes.extend(chunk.repeat(BODY_BYTES / CHUNK_BYTES));
            bytes
        };
        fixture.check(CROWD, Box::new(script)).await;
    });
}

#[test]
fn bodies_in_small_chunks_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        fixture
            .check(SMALL_CROWD, Box::new(|it| chunks(it, CHUNKS)))
            .await;
    });
}

#[test]
fn whole_bodies_that_wait_for_a_target_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Long).await;
        fixture
            .check(CROWD, Box::new(|it| body_without(it, BODY_BYTES, 0)))
            .await;
    });
}

#[test]
fn responses_that_are_not_read_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Large).await;
        let requests = |it: usize| {
            let numbers = (0..UNREAD).map(|number| it * UNREAD + number);
            let requests = numbers.map(|it| format!("{}\r\n", head("GET", "/read/x", it)));
            requests.collect::<String>().into_bytes()
        };
        fixture.check(CROWD / 2, Box::new(requests)).await;
    });
}

#[test]
fn pipelined_requests_that_are_not_read_fill_the_memory() {
    run(async || {
        let fixture = Fixture::start(Work::Long).await;
        let padding = "x".repeat(HEADER_BYTES);
        let script = move |it: usize| {
            let numbers = (0..PIPELINED).map(|number| it * PIPELINED + number);
            let heads = numbers.map(|it| head("GET", "/read/x", it));
            let requests = heads.map(|it| format!("{it}X-Padding: {padding}\r\n\r\n"));
            requests.collect::<String>().into_bytes()
        };
        fixture.check(PIPELINING_CROWD, Box::new(script)).await;
    });
}

#[test]
fn many_connections_use_up_the_descriptors() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        let script = |it| head("GET", "/read/x", it).into_bytes();
        fixture.check(MANY_CONNECTIONS, Box::new(script)).await;
    });
}

#[test]
fn connections_use_up_a_lowered_limit_of_descriptors() {
    run(async || {
        crowd::set_descriptors(FEW_DESCRIPTORS);
        let fixture = Fixture::start(Work::Short).await;
        // The limit was for the process that has just started.
        crowd::set_descriptors(u64::MAX);
        let script = |it| body_without(it, 1000, 1);
        fixture.check(SMALL_CONNECTIONS, Box::new(script)).await;
    });
}

#[test]
fn bodies_by_way_of_another_vm_fill_the_memory() {
    run(async || {
        let partition = Partition::default();
        let fixture = Fixture::start_behind(Work::Long, Some(&partition)).await;
        let Fixture {
            mut harness,
            target,
            ..
        } = fixture;
        let mut relay = start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&relay).await;
        partition.set(harness.program.child.id(), Some(Cut::Reset));
        let address = harness.program.callers;
        // A request that is repeated while its targets break off is refused in the end.
        let end = Instant::now() + harness::TEST_TIMEOUT;
        for number in 0.. {
            let look = LOOK.replace("/look/x", &format!("/look/{number}"));
            let sent = compio::runtime::spawn_blocking(move || crowd::is_served(address, &look));
            if sent.await.unwrap() {
                break;
            }
            assert!(Instant::now() < end, "nothing is relayed");
            sleep_ms(50).await;
        }
        let watches = [Watch::start(&harness.program), Watch::start(&relay)];
        let bodies = |it: usize| match it % 3 {
            0 => body_without(it, LARGE_BODY_BYTES, 0),
            _ => body_without(it, BODY_BYTES, 1),
        };
        let crowd = Crowd::send(address, CROWD, Box::new(bodies)).await;
        for program in [&mut harness.program, &mut relay] {
            assert_lives(program);
            crowd::until_served(program.callers, LOOK).await;
            crowd::until_served(program.callers, ORDER).await;
        }
        crowd.check_refusals(&target);
        drop(crowd);
        for watch in watches {
            watch.finish().check();
        }
    });
}

/// Sends one request and returns its response.
async fn send_alone(fixture: &Fixture, request: Vec<u8>) -> String {
    let address = fixture.harness.program.callers;
    let sending = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(2 * harness::TEST_TIMEOUT))
            .unwrap();
        stream.write_all(&request).unwrap();
        let mut buffer = [0; 4096];
        let count = io::Read::read(&mut stream, &mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    });
    while !sending.is_finished() {
        sleep_ms(20).await;
    }
    sending.join().unwrap()
}

/// Guards the single caller inside the limits.
#[test]
fn a_body_of_the_largest_size_is_served_in_calm() {
    run(async || {
        let fixture = Fixture::start(Work::Short).await;
        let watch = Watch::start(&fixture.harness.program);
        let whole = body_without(1, MAX_BODY_BYTES, 0);
        let mut small_chunks = chunks(2, CHUNKS);
        small_chunks.extend(b"0\r\n\r\n");
        let mut large_chunks = chunks(3, 0);
        let chunk = [&b"100000\r\n"[..], &vec![b'x'; 1 << 20], b"\r\n"].concat();
        large_chunks.extend(chunk.repeat(MAX_BODY_BYTES >> 20));
        large_chunks.extend(b"0\r\n\r\n");
        for (request, size) in [
            (whole, MAX_BODY_BYTES),
            (small_chunks, CHUNKS),
            (large_chunks, MAX_BODY_BYTES),
        ] {
            let response = send_alone(&fixture, request).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(response.ends_with(&format!("\r\n\r\n{size}")), "{response}");
        }
        watch.finish().check();
    });
}
