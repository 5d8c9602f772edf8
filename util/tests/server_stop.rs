//! A server that stops serves what its clients had sent before.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use bramleypier_util::{
    body::Body,
    server::{self, Control},
};
use compio::{net::TcpListener, runtime::Runtime};
use futures_channel::oneshot;
use hyper::{Request, Response, body::Incoming};

/// How long the server's thread does other work before it stops: what the client sends meanwhile stays unread.
const OTHER_WORK: Duration = Duration::from_millis(300);
/// How long after the start of that work the client sends its request.
const SEND_DELAY: Duration = Duration::from_millis(100);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Stops a server right after its thread has done other work for a while, and returns how `client` ended.
///
/// The client has its channel completed as that work begins.
fn stop_after_other_work<F, G>(prepare: F, client: G) -> String
where
    F: FnOnce(SocketAddr) -> Option<TcpStream> + Send + 'static,
    G: FnOnce(SocketAddr, Option<TcpStream>) -> String + Send + 'static,
{
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let control = Control::default();
        let handler = |_: Request<Incoming>| async { Response::new(Body::from("done")) };
        compio::runtime::spawn(server::serve(listener, control.clone(), handler)).detach();
        let (prepared, is_prepared) = oneshot::channel();
        let (ended, result) = oneshot::channel();
        thread::spawn(move || {
            let stream = prepare(address);
            prepared.send(()).unwrap();
            thread::sleep(SEND_DELAY);
            ended.send(client(address, stream)).unwrap();
        });
        is_prepared.await.unwrap();
        thread::sleep(OTHER_WORK);
        control.stop();
        result.await.unwrap()
    })
}

/// Sends a request and reads until the server closes the connection.
fn exchange(mut stream: TcpStream) -> String {
    stream.write_all(REQUEST).unwrap();
    let mut bytes = Vec::new();
    // A reset also ends the response.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a stop that closes a kept connection on which a whole request has arrived unread.
#[test]
fn a_request_that_waits_unread_on_a_kept_connection_is_answered() {
    let response = stop_after_other_work(
        |address| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(REQUEST).unwrap();
            let mut piece = [0; 512];
            let _ = stream.read(&mut piece).unwrap();
            Some(stream)
        },
        |_, stream| exchange(stream.unwrap()),
    );
    assert!(response.ends_with("done"), "{response:?}");
}

/// Guards against a stop that resets connections which wait to be accepted, with a whole request each.
#[test]
fn a_request_on_a_connection_that_waits_to_be_accepted_is_answered() {
    let response = stop_after_other_work(
        |_| None,
        |address, _| exchange(TcpStream::connect(address).unwrap()),
    );
    assert!(response.ends_with("done"), "{response:?}");
}
