//! How the client sends bodies of known and unknown size, with each method.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    pin::Pin,
    task::{Context, Poll},
    thread,
    time::Duration,
};

use bramleypier_util::{
    body::{Body, Cause},
    client::Client,
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::{
    Method, Request,
    body::{Body as HttpBody, Bytes, Frame},
};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a peer waits for the rest of a request.
const REST_TIME: Duration = Duration::from_millis(100);

/// A body of one frame, whose size isn't known before it is read.
struct Unsized(Option<&'static [u8]>);

impl HttpBody for Unsized {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let frame = self.0.take().map(Bytes::from_static).map(Frame::data);
        Poll::Ready(frame.map(Ok))
    }
}

/// Starts a peer that responds to one request, and returns the text that it has read.
fn start_peer() -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let work = move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut text = String::new();
        stream.set_read_timeout(Some(REST_TIME)).unwrap();
        // The read ends with a timeout.
        let _ = stream.read_to_string(&mut text);
        stream.write_all(RESPONSE).unwrap();
        text
    };
    (address, thread::spawn(work))
}

/// Returns what a peer gets of a request, in lower case.
fn sent(method: &Method, body: Body) -> String {
    Runtime::new().unwrap().block_on(async {
        let (address, peer) = start_peer();
        let mut request = Request::new(body);
        request.method_mut().clone_from(method);
        let client = Client::new(Clock::real(), 1);
        client.send(address, request, TIMEOUT).await.unwrap();
        peer.join().unwrap().to_ascii_lowercase()
    })
}

/// Guards against bodies that are dropped because of their request's method.
#[test]
fn a_body_of_unknown_size_is_sent_with_each_method() {
    for method in [
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
        Method::TRACE,
    ] {
        let text = sent(&method, Body::stream(Unsized(Some(b"abc"))));
        assert!(text.contains("transfer-encoding: chunked"), "{text}");
        assert!(text.ends_with("3\r\nabc\r\n0\r\n\r\n"), "{text}");
    }
}

#[test]
fn a_body_of_known_size_is_sent_with_its_length() {
    for method in [Method::GET, Method::HEAD, Method::POST, Method::DELETE] {
        let text = sent(&method, Body::from("abc"));
        assert!(text.contains("content-length: 3"), "{text}");
        assert!(text.ends_with("\r\n\r\nabc"), "{text}");
    }
}

#[test]
fn a_request_without_a_body_announces_none() {
    let text = sent(&Method::GET, Body::empty());
    assert!(!text.contains("transfer-encoding"), "{text}");
    assert!(text.ends_with("\r\n\r\n"), "{text}");
}
