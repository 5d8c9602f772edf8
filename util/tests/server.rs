//! What a server allows its callers of time and room.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use bramleypier_util::{
    body::Body,
    clock::Clock,
    server::{self, ConnectionLimits, Control},
};
use compio::{net::TcpListener, runtime::Runtime};
use hyper::{Request, Response, body::Incoming};

const HEAD: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_millis(2500);
const WORK: Duration = Duration::from_millis(2900);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Plays a caller against a server with short bounds; returns what the caller does.
fn play<F, T>(caller: F) -> T
where
    F: FnOnce(SocketAddr) -> T + Send + 'static,
    T: Send + 'static,
{
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bounds = || ConnectionLimits {
            head_bytes: 8192,
            head_time: HEAD,
            idle_time: IDLE,
        };
        let clock = Clock::real();
        let handler = |request: Request<Incoming>| async move {
            if request.uri().path() == "/slow" {
                compio::time::sleep(WORK).await;
            }
            Response::new(Body::from("done"))
        };
        let serving = server::serve_with(listener, Control::default(), clock, bounds, handler);
        compio::runtime::spawn(serving).detach();
        let (tell, told) = futures_channel::oneshot::channel();
        thread::spawn(move || tell.send(caller(address)).ok());
        told.await.unwrap()
    })
}

/// Reads until the server closes, and returns what came and how long that took.
fn drain(stream: &mut TcpStream) -> (String, Duration) {
    let started = Instant::now();
    let mut bytes = Vec::new();
    // A reset ends the reading too.
    let _ = stream.read_to_end(&mut bytes);
    (
        String::from_utf8_lossy(&bytes).into_owned(),
        started.elapsed(),
    )
}

/// Reads one answer.
fn answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"done") {
        let mut piece = [0; 512];
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&piece[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn a_head_in_slow_pieces_is_given_up_in_its_own_time() {
    let took = play(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        let started = Instant::now();
        for piece in REQUEST.chunks(2) {
            if stream.write_all(piece).is_err() || started.elapsed() > IDLE {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let (said, _) = drain(&mut stream);
        assert!(!said.contains("done"), "{said}");
        started.elapsed()
    });
    assert!(took >= HEAD && took < IDLE, "given up after {took:?}");
}

#[test]
fn a_connection_stays_through_its_idle_time_and_no_longer() {
    play(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        for _ in 0..2 {
            stream.write_all(REQUEST).unwrap();
            assert!(answer(&mut stream).contains("200 OK"));
            // Longer than a head may take.
            thread::sleep(IDLE.mul_f64(0.4));
        }
        let (_, took) = drain(&mut stream);
        assert!(took < IDLE, "closed after {took:?} more");
    });
}

#[test]
fn work_longer_than_the_idle_time_is_answered() {
    play(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        assert!(answer(&mut stream).contains("200 OK"));
    });
}

#[test]
fn a_head_that_is_too_large_is_refused() {
    play(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        let line = format!("X-Long: {}\r\n", "x".repeat(20_000));
        stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        // The answer may cross the rest of the head.
        let _ = stream.write_all(line.as_bytes());
        let (said, _) = drain(&mut stream);
        assert!(said.contains("431"), "{said}");
    });
}
