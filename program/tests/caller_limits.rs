//! The operator's limits on callers, against the real program.

mod harness;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use bramleypier_util::{body::Body, clock::Clock};
use futures_channel::oneshot;
use harness::{PATIENCE, play};
use hyper::{Request, StatusCode, header::HeaderValue};

/// Sends the head of an order and then a body in pieces, and returns what is answered.
async fn send_pieces(callers: SocketAddr, id: &'static str, size: usize) -> String {
    let (tell, told) = oneshot::channel();
    thread::spawn(move || tell.send(write_pieces(callers, id, size)).ok());
    told.await.unwrap()
}

fn write_pieces(callers: SocketAddr, id: &str, size: usize) -> String {
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head = format!(
        "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let piece = [&b"2710\r\n"[..], &[b'x'; 10_000], b"\r\n"].concat();
    for _ in 0..size / 10_000 {
        // The answer may come before the whole body has left.
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

#[test]
fn a_body_in_pieces_is_passed_on_up_to_the_limit() {
    play(async |stage| {
        let callers = stage.program.callers;
        let said = send_pieces(callers, "short", 20_000).await;
        assert!(said.starts_with("HTTP/1.1 200"), "{said}");
        let said = send_pieces(callers, "long", 300_000).await;
        assert!(said.starts_with("HTTP/1.1 200"), "{said}");
        let said = send_pieces(callers, "too-long", 900_000).await;
        assert!(
            said.is_empty() || said.starts_with("HTTP/1.1 413"),
            "{said}"
        );
        Clock::real().sleep(Duration::from_millis(200)).await;
        assert_eq!(stage.ran("long"), 1);
        assert_eq!(stage.ran("too-long"), 0, "a body cut off ran as whole");
        let line = stage.program.find_log("event=request id=too-long ");
        let line = line.expect("no line");
        assert!(line.contains("outcome=too-large"), "{line}");
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    play(async |stage| {
        let mut request = Request::new(Body::from(vec![b'x'; 500_000]));
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
