//! Requests that a VM has read when it is asked to stop, tested with a real VM.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::{server::Server, store::Store, vm::Program};
use bramleypier_util::{body::Body, client::Client, clock::Clock};
use compio::runtime::Runtime;
use futures_util::future;
use harness::{Harness, TEST_TIMEOUT, config, sleep_ms, start_vm, until_logged};
use hyper::{Request, StatusCode, header::HeaderValue};
use rustix::process::Signal;

/// How long callers wait, longer than the grace of 6 s.
const CALLER_TIME: Duration = Duration::from_secs(20);
/// How long the target takes for a request, longer than the grace too.
const WORK_TIME: Duration = Duration::from_secs(12);
/// The grace of the VM.
const GRACE: Duration = Duration::from_secs(6);

/// Sends a request; returns its status, whether it says when to come back, and when the response arrived.
///
/// The status is `None` if the connection is closed without a response.
async fn send(vm: &Program, client: &Client, id: &str) -> (Option<StatusCode>, bool, Instant) {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = http::Uri::from_static("/look/x");
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("a.example"));
    headers.insert("x-request-id", HeaderValue::from_str(id).unwrap());
    headers.insert("x-deadline-ms", HeaderValue::from_static("20000"));
    let sent = client.send(vm.callers, request, CALLER_TIME).await;
    let response = sent.ok();
    let says_when = response
        .as_ref()
        .is_some_and(|it| it.headers().contains_key("retry-after"));
    (response.map(|it| it.status()), says_when, Instant::now())
}

/// Guards against requests that wait in the dispatcher's queue until the process ends: their connections were closed
/// without a response.
#[test]
fn each_request_that_a_stopping_vm_has_read_gets_a_response() {
    Runtime::new().unwrap().block_on(async {
        let (store, store_address) = Store::start().await;
        let server = Server::start("i-plain-1", false, WORK_TIME).await;
        store.put("servers/i-plain-1", &server.entry("plain", "ready"));
        let config = String::from_utf8(config(1, "/key/")).unwrap();
        store.put("op/config", config.replace("2000ms", "20s").as_bytes());
        let harness = Harness {
            store,
            store_address,
            servers: vec![server],
            program: start_vm("vm-1", store_address, None),
            client: Client::new(Clock::real(), 8),
        };
        harness.until_ready().await;
        let vm = &harness.program;
        // More than the VM sends to the target at once, which is some more than its capacity of 2.
        let ids = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let requests = ids.map(|id| send(vm, &harness.client, id));
        let stop = async {
            sleep_ms(500).await;
            vm.signal(Signal::TERM).unwrap();
            Instant::now()
        };
        let (responses, stopped) = future::join(future::join_all(requests), stop).await;
        until_logged(vm, "event=stopped").await;
        let pairs = ids.iter().zip(&responses);
        let unanswered = pairs.filter(|(_, (status, ..))| status.is_none());
        let unanswered: Vec<_> = unanswered.map(|(id, _)| id).collect();
        assert!(unanswered.is_empty(), "no response: {unanswered:?}");
        let mut refused = 0;
        for (id, (status, says_when, at)) in ids.iter().zip(responses) {
            let took = at.saturating_duration_since(stopped);
            assert!(took < GRACE, "{id}: {took:?}");
            let is_refused = status == Some(StatusCode::SERVICE_UNAVAILABLE);
            let has_run = harness.executions(id) > 0;
            assert_eq!(is_refused, !has_run, "{id}: {status:?}");
            assert_eq!(is_refused, says_when, "{id}: {status:?}");
            refused += usize::from(is_refused);
        }
        assert!((1..ids.len()).contains(&refused), "{refused}");
        assert!(stopped.elapsed() < TEST_TIMEOUT);
    });
}
