//! The operator's limits on callers' requests, tested with the real program.

mod harness;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use bramleypier_util::{body::Body, clock::Clock};
use futures_channel::oneshot;
use harness::{TEST_TIMEOUT, run_test};
use hyper::{Request, StatusCode, header::HeaderValue};

/// Sends an order with a chunked body and returns the response as text.
async fn send_chunked(callers: SocketAddr, id: &'static str, size: usize) -> String {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || sender.send(write_chunked(callers, id, size)).ok());
    receiver.await.unwrap()
}

fn write_chunked(callers: SocketAddr, id: &str, size: usize) -> String {
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!(
        "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = [&b"2710\r\n"[..], &[b'x'; 10_000], b"\r\n"].concat();
    for _ in 0..size / 10_000 {
        // The response may arrive before the whole body is sent.
        if stream.write_all(&chunk).is_err() {
            break;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

#[test]
fn a_chunked_body_is_forwarded_up_to_the_limit() {
    run_test(async |harness| {
        let callers = harness.program.callers;
        let response = send_chunked(callers, "short", 20_000).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let response = send_chunked(callers, "long", 300_000).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let response = send_chunked(callers, "too-long", 900_000).await;
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 413"),
            "{response}"
        );
        Clock::real().sleep(Duration::from_millis(200)).await;
        assert_eq!(harness.executions("long"), 1);
        assert_eq!(
            harness.executions("too-long"),
            0,
            "a truncated body ran as a whole one"
        );
        let line = harness.program.find_log("event=request id=too-long ");
        let line = line.expect("the request is not logged");
        assert!(line.contains("outcome=too-large"), "{line}");
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    run_test(async |harness| {
        let mut request = Request::new(Body::from(vec![b'x'; 500_000]));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = "/order/x".parse().unwrap();
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("a.example"));
        headers.insert("x-request-id", HeaderValue::from_static("large"));
        let sent = harness
            .client
            .send(harness.program.callers, request, TEST_TIMEOUT)
            .await;
        // The connection may be closed while the rest of the body is being sent.
        if let Ok(response) = sent {
            assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
        }
        assert_eq!(harness.executions("large"), 0);
    });
}
