//! What the client concludes from the way in which connections end.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use bramleypier_util::{
    body::{self, Body},
    client::Client,
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::Request;

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const LAST_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// Longer than a connection may have been idle for its end to count.
const IDLE: Duration = Duration::from_millis(1700);
/// Longer than an end takes to be noticed over loopback, on a busy machine too.
const NOTICED: Duration = Duration::from_millis(600);
/// The time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// How a peer ends a connection that it has answered on.
#[derive(Clone, Copy, Debug)]
enum End {
    /// As the system does for a process that ends.
    Closes,
    /// As a path does that resets what passes it.
    Resets,
    /// Not at all.
    Stays,
}

/// Answers one request, waits for a sign, ends the connection and listens no more.
fn peer(answer: &'static str, end: End) -> (SocketAddr, mpsc::Sender<()>, thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (go, waits) = mpsc::channel();
    let work = move || {
        let (mut stream, _) = listener.accept().unwrap();
        drop(listener);
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        waits.recv().unwrap();
        finish(&stream, end);
    };
    (address, go, thread::spawn(work))
}

fn finish(stream: &TcpStream, end: End) {
    match end {
        End::Closes => {}
        End::Resets => {
            rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
        }
        End::Stays => thread::sleep(IDLE),
    }
}

/// Returns whether the client holds the peer's process to have closed a connection in use.
async fn closed(answer: &'static str, end: End, idle: Duration) -> bool {
    let (address, go, thread) = peer(answer, end);
    let clock = Clock::real();
    let client = Client::new(clock.clone(), 4);
    let request = || Request::new(Body::from(Vec::new()));
    let answered = client
        .send(address, request(), Duration::from_secs(1))
        .await;
    body::read(answered.unwrap().into_body(), 10).await.unwrap();
    clock.sleep(idle).await;
    go.send(()).unwrap();
    let last = clock.now() + NOTICED;
    while client.last_closed(address).is_none() && clock.now() < last {
        clock.sleep(LOOK).await;
    }
    let closed = client.last_closed(address).is_some();
    let refused = client
        .send(address, request(), Duration::from_millis(200))
        .await;
    if !matches!(end, End::Stays) {
        assert!(refused.unwrap_err().is_refused(), "nobody listens");
    }
    thread.join().unwrap();
    closed
}

#[test]
fn only_an_orderly_end_in_use_counts_as_the_peers_own() {
    let rows = [
        ("a process ends", ANSWER, End::Closes, Duration::ZERO, true),
        ("a path resets", ANSWER, End::Resets, Duration::ZERO, false),
        (
            "a path falls silent",
            ANSWER,
            End::Stays,
            Duration::ZERO,
            false,
        ),
        ("an idle time ends", ANSWER, End::Closes, IDLE, false),
        (
            "an end that was announced",
            LAST_ANSWER,
            End::Closes,
            Duration::ZERO,
            false,
        ),
    ];
    Runtime::new().unwrap().block_on(async {
        for (what, answer, end, idle, expected) in rows {
            assert_eq!(closed(answer, end, idle).await, expected, "{what}");
        }
    });
}
