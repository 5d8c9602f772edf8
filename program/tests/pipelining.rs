//! Callers that pipeline requests to the real program.

mod harness;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use bramleypier_platform_standin::server::Server;
use futures_channel::oneshot;
use harness::{TEST_TIMEOUT, run_test, sleep_ms};
use rustix::process::Signal;

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         X-Shard-Key: 777\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends text, and reads until a response has all of `end`, or until the connection closes.
async fn exchange(address: SocketAddr, text: String, end: &'static str) -> String {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut text = String::new();
        while end.is_empty() || !text.contains(end) {
            let mut piece = [0; 4096];
            match stream.read(&mut piece) {
                Ok(size) if size > 0 => text += &String::from_utf8_lossy(&piece[..size]),
                _ => break,
            }
        }
        let _ = sender.send(text);
    });
    receiver.await.unwrap()
}

/// Returns the ids that responses echo, in their order.
fn ids(text: &str) -> Vec<&str> {
    let lines = text.split("\r\n");
    let ids = lines.filter_map(|it| it.strip_prefix("x-request-id: "));
    ids.collect()
}

/// Guards against responses out of order, requests that run twice, and orders that run beside others.
#[test]
fn pipelined_requests_run_once_and_are_answered_in_order() {
    run_test(async |harness| {
        let mut text: String = (0..5)
            .map(|it| request("GET", "/look/x", &format!("l-{it}"), ""))
            .collect();
        text += &request("POST", "/order/x", "o-1", "abc");
        text += &request("GET", "/look/x", "l-5", "");
        text += &request("GET", "/look/x", "last", "");
        text += &request("POST", "/order/x", "o-2", "abcde");
        let received = exchange(harness.program.callers, text, "done 5").await;
        let expected = [
            "l-0", "l-1", "l-2", "l-3", "l-4", "o-1", "l-5", "last", "o-2",
        ];
        assert_eq!(ids(&received), expected, "{received}");
        for id in expected {
            assert_eq!(harness.executions(id), 1, "{id}");
        }
        let all = harness.servers.iter().flat_map(Server::request_starts);
        let mut starts: Vec<(String, Duration)> = all.collect();
        starts.sort_by_key(|(_, at)| *at);
        let order = starts.iter().position(|(id, _)| id == "o-1");
        assert_eq!(order, Some(5), "{starts:?}");
        let metrics = harness.metrics().await;
        for part in [
            "pipeline.started{ahead:4} 1",
            "pipeline.wait_count",
            "pipeline.stopped{cause:form}",
        ] {
            assert!(metrics.contains(part), "{metrics}");
        }
    });
}

/// Guards against requests of callers that have left being sent to targets.
#[test]
fn a_caller_that_leaves_cancels_requests_that_wait() {
    run_test(async |harness| {
        let mut text: String = (0..100)
            .map(|it| request("GET", "/look/x", &format!("l-{it}"), ""))
            .collect();
        text += &request("POST", "/order/x", "o-1", "abc");
        let address = harness.program.callers;
        thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            thread::sleep(Duration::from_millis(5));
        });
        sleep_ms(500).await;
        assert_eq!(harness.executions("o-1"), 0);
    });
}

/// Guards against a stop that drops requests which were read behind an open one.
#[test]
fn a_stop_answers_what_was_read() {
    run_test(async |harness| {
        let text: String = (0..6)
            .map(|it| request("GET", "/look/x", &format!("l-{it}"), ""))
            .collect();
        harness.program.signal(Signal::TERM).unwrap();
        harness.until_logged("event=stopping").await;
        let received = exchange(harness.program.callers, text, "").await;
        assert_eq!(ids(&received).len(), 6, "{received}");
        let closes = received.matches("connection: close").count();
        let (_, last) = received.rsplit_once("HTTP/1.1").unwrap();
        assert!(
            closes == 1 && last.contains("connection: close"),
            "{received}"
        );
    });
}
