//! What becomes of requests and of calls to targets whose responses come once more, late, or that name no request.

mod harness;

use std::{
    io::{self, Write as _},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use compio::runtime::Runtime;
use harness::{
    Harness,
    raw_target::{RawRequest, RawTarget},
    sleep_ms,
};
use hyper::StatusCode;

/// Requests of each run.
const REQUESTS: usize = 24;
/// How long a target works on a request.
const WORK_MS: u64 = 20;

/// Sends a request until its target runs it, which it does once it owns the key.
async fn until_served(harness: &Harness) {
    for attempt in 0..200 {
        let id = format!("first-{attempt}");
        if harness.send("POST", "/key/x", &id).await.0 == StatusCode::OK {
            return;
        }
        sleep_ms(50).await;
    }
    panic!("{:#?}", harness.program.lines.lock().unwrap());
}

/// Responds to grants and releases.
fn respond_to_call(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nX-Handover: 1\r\nContent-Length: 2\r\n\r\n{}")
}

/// A session of a target that refuses each first attempt and runs each second one; the refusal comes once more, late.
fn refuse_first() -> impl FnMut(&RawRequest, &mut TcpStream) -> io::Result<()> {
    let mut late: Option<String> = None;
    move |request: &RawRequest, stream: &mut TcpStream| {
        if let Some(copy) = late.take() {
            stream.write_all(copy.as_bytes())?;
        }
        if request.is_call() {
            return respond_to_call(stream);
        }
        if request.id().starts_with("late") && is_first(request) {
            late = Some(request.refusal());
            return stream.write_all(request.refusal().as_bytes());
        }
        std::thread::sleep(Duration::from_millis(WORK_MS));
        stream.write_all(request.answer("done").as_bytes())
    }
}

/// How long a target still works on requests for keys that it is to release.
const RELEASE_MS: u64 = 600;

/// What a target that leaves has been told and has done.
#[derive(Clone, Debug, Default)]
struct Departure {
    announced: Arc<AtomicBool>,
    /// Whether its last request for the keys that it is to release has ended.
    released: Arc<AtomicBool>,
}

/// The grant whose response comes once more: the first renewal, the last grant before the target leaves.
const LATE_GRANT: usize = 2;

/// A session of a target whose response to a grant comes once more, late.
fn repeat_grants(
    departure: &Departure,
) -> impl FnMut(&RawRequest, &mut TcpStream) -> io::Result<()> + use<> {
    let departure = departure.clone();
    let (mut is_late, mut grants) = (false, 0);
    move |request: &RawRequest, stream: &mut TcpStream| {
        if is_late {
            respond_to_call(stream)?;
        }
        let is_grant = request.line.contains("/-/grant");
        grants += usize::from(is_grant);
        is_late = is_grant && grants == LATE_GRANT;
        if request.line.contains("/-/release") && departure.announced.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(RELEASE_MS));
            departure.released.store(true, Ordering::SeqCst);
        }
        if request.is_call() {
            return respond_to_call(stream);
        }
        stream.write_all(request.answer("done").as_bytes())
    }
}

/// Guards against a late copy of a grant's response that ends a release while the target still works on the keys.
#[test]
fn a_late_copy_of_a_grants_response_does_not_end_a_release() {
    Runtime::new().unwrap().block_on(async {
        let departure = Departure::default();
        let session_departure = departure.clone();
        let leaving = RawTarget::start(move || repeat_grants(&session_departure));
        let harness = Harness::with_raw_target(&leaving, "keyed").await;
        until_served(&harness).await;
        let early = Arc::new(AtomicUsize::new(0));
        let (released, session_early) = (departure.released.clone(), early.clone());
        let next = RawTarget::start(move || {
            let (released, early) = (released.clone(), session_early.clone());
            move |request: &RawRequest, stream: &mut TcpStream| {
                if request.is_call() {
                    let is_early = !released.load(Ordering::SeqCst);
                    early.fetch_add(usize::from(is_early), Ordering::SeqCst);
                    return respond_to_call(stream);
                }
                stream.write_all(request.answer("next").as_bytes())
            }
        });
        let draining = String::from_utf8(leaving.entry("keyed")).unwrap();
        let draining = draining.replace("\"ready\"", "\"draining\"");
        departure.announced.store(true, Ordering::SeqCst);
        harness.store.put("servers/i-next", &next.entry("keyed"));
        harness.store.put("servers/i-raw", draining.as_bytes());
        while next.requests().is_empty() {
            let _ = harness.send("POST", "/key/x", "moved").await;
            sleep_ms(50).await;
        }
        assert!(departure.released.load(Ordering::SeqCst));
        assert_eq!(early.load(Ordering::SeqCst), 0, "grants before the release");
    });
}

/// Returns whether a request wasn't seen before, by any target of the process.
fn is_first(request: &RawRequest) -> bool {
    static SEEN: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let mut seen = SEEN.lock().unwrap();
    let id = request.id().to_owned();
    let first = !seen.contains(&id);
    seen.push(id);
    first
}

/// What comes late, before the next response on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extra {
    /// A copy of the response before.
    Copy,
    /// A refusal that names no request.
    UnnamedRefusal,
}

/// A session of a target that refuses each third request, and sends an extra response after that; `ran` gets the ids of those that run.
fn send_extras(
    extra: Extra,
    ran: &Arc<Mutex<Vec<String>>>,
) -> impl FnMut(&RawRequest, &mut TcpStream) -> io::Result<()> + use<> {
    let (ran, mut late, mut count) = (ran.clone(), None, 0);
    move |request: &RawRequest, stream: &mut TcpStream| {
        if let Some(late) = late.take() {
            let late: String = late;
            stream.write_all(late.as_bytes())?;
        }
        count += 1;
        let refuses = count % 3 == 0;
        let response = if refuses {
            request.refusal()
        } else {
            ran.lock().unwrap().push(request.id().to_owned());
            request.answer("done")
        };
        late = refuses.then(|| match extra {
            Extra::Copy => response.clone(),
            Extra::UnnamedRefusal => RawRequest::default()
                .refusal()
                .replace("X-Request-Id: \r\n", ""),
        });
        stream.write_all(response.as_bytes())
    }
}

/// Guards against requests that run though they are refused, or run twice, after a response that belongs to no request.
#[test]
fn requests_that_may_run_once_survive_extra_responses() {
    for extra in [Extra::Copy, Extra::UnnamedRefusal] {
        Runtime::new().unwrap().block_on(async {
            let ran: Arc<Mutex<Vec<String>>> = Arc::default();
            let start_target = || {
                let ran = ran.clone();
                RawTarget::start(move || send_extras(extra, &ran))
            };
            let (first, second) = (start_target(), start_target());
            let harness = Harness::with_raw_target(&first, "plain").await;
            harness.store.put("servers/i-two", &second.entry("plain"));
            harness.until_logged("target=i-two").await;
            let mut served = 0;
            for number in 0..20 * REQUESTS {
                let id = format!("post-{number}");
                let (status, _) = harness.send("POST", "/post/x", &id).await;
                let runs = ran.lock().unwrap().iter().filter(|it| **it == id).count();
                assert!(runs <= 1, "{extra:?}: {id} ran {runs} times");
                let not_run = status == StatusCode::SERVICE_UNAVAILABLE;
                assert!(!(not_run && runs > 0), "{extra:?}: {id} ran, {status}");
                served += usize::from(status == StatusCode::OK);
            }
            assert!(served > REQUESTS, "{extra:?}: only {served} were served");
        });
    }
}

/// Guards against a late copy of a refusal that ends the second attempt, which runs, as refused.
#[test]
fn a_late_copy_of_a_refusal_does_not_refuse_the_attempt_that_runs() {
    Runtime::new().unwrap().block_on(async {
        let target = RawTarget::start(refuse_first);
        let harness = Harness::with_raw_target(&target, "keyed").await;
        until_served(&harness).await;
        let mut served = 0;
        for number in 0..REQUESTS {
            let id = format!("late-{number}");
            let (status, _) = harness.send("POST", "/key/x", &id).await;
            let arrived = target.requests().iter().filter(|it| it.id() == id).count();
            let told_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(!(told_not_run && arrived > 1), "{id} ran: {status}");
            served += usize::from(arrived > 1 && status == StatusCode::OK);
        }
        assert!(served > 0, "no second attempt was served");
    });
}

/// Guards against a connection that stays in use after another request's response, which puts each later one out of step.
#[test]
fn a_connection_with_another_requests_response_is_not_used_again() {
    Runtime::new().unwrap().block_on(async {
        let target = RawTarget::start(refuse_first);
        let harness = Harness::with_raw_target(&target, "keyed").await;
        until_served(&harness).await;
        let _ = harness.send("POST", "/key/x", "late-step").await;
        let mut lost = 0;
        for number in 0..REQUESTS {
            let id = format!("step-{number}");
            let (status, _) = harness.send("POST", "/key/x", &id).await;
            lost += usize::from(status == StatusCode::BAD_GATEWAY);
        }
        assert!(lost <= 1, "{lost} requests got another one's response");
    });
}

/// Guards against bytes that belong to no request and that keep all requests from a target for as long as they say.
#[test]
fn a_response_that_names_no_request_holds_no_target_off() {
    Runtime::new().unwrap().block_on(async {
        let stray = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n";
        let target = RawTarget::start(move || {
            move |request: &RawRequest, stream: &mut TcpStream| {
                let before = if request.id() == "stray" { stray } else { "" };
                stream.write_all(format!("{before}{}", request.answer("done")).as_bytes())
            }
        });
        let harness = Harness::with_raw_target(&target, "plain").await;
        let (status, _) = harness.send("POST", "/post/x", "stray").await;
        assert_eq!(status, StatusCode::BAD_GATEWAY);
        for number in 0..REQUESTS {
            let (status, _) = harness.send("POST", "/post/x", &format!("next-{number}")).await;
            assert_eq!(status, StatusCode::OK, "request {number}");
        }
    });
}
