//! The limits of a server on its clients, in time and memory.

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

const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
const WORK_TIME: Duration = Duration::from_millis(2900);
/// More than the buffers of a connection hold.
const LARGE_BYTES: usize = 16 << 20;
/// For how long a caller reads nothing: less than the idle timeout.
const READ_PAUSE: Duration = Duration::from_millis(2100);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Runs a client against a server with short timeouts, and returns the client's result.
fn run_client<F, T>(client: F) -> T
where
    F: FnOnce(SocketAddr) -> T + Send + 'static,
    T: Send + 'static,
{
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = || ConnectionLimits {
            head_bytes: 8192,
            head_time: HEAD_TIMEOUT,
            idle_time: IDLE_TIMEOUT,
        };
        let clock = Clock::real();
        let handler = |request: Request<Incoming>| async move {
            if request.uri().path() == "/slow" {
                compio::time::sleep(WORK_TIME).await;
            }
            if request.uri().path() == "/large" {
                return Response::new(Body::from(vec![b'x'; LARGE_BYTES]));
            }
            Response::new(Body::from("done"))
        };
        let serving = server::serve_with(listener, Control::default(), clock, limits, handler);
        compio::runtime::spawn(serving).detach();
        let (sender, receiver) = futures_channel::oneshot::channel();
        thread::spawn(move || sender.send(client(address)).ok());
        receiver.await.unwrap()
    })
}

/// Reads until the server closes the connection, and returns the text and how long that took.
fn read_to_close(stream: &mut TcpStream) -> (String, Duration) {
    let started = Instant::now();
    let mut bytes = Vec::new();
    // A reset also ends the response.
    let _ = stream.read_to_end(&mut bytes);
    (
        String::from_utf8_lossy(&bytes).into_owned(),
        started.elapsed(),
    )
}

/// Reads one response.
fn read_response(stream: &mut TcpStream) -> String {
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
fn a_head_sent_slowly_hits_the_head_timeout() {
    let took = run_client(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        let started = Instant::now();
        for piece in REQUEST.chunks(2) {
            if stream.write_all(piece).is_err() || started.elapsed() > IDLE_TIMEOUT {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let (text, _) = read_to_close(&mut stream);
        assert!(!text.contains("done"), "{text}");
        started.elapsed()
    });
    assert!(
        took >= HEAD_TIMEOUT && took < IDLE_TIMEOUT,
        "closed after {took:?}"
    );
}

#[test]
fn an_idle_connection_stays_open_until_its_idle_timeout() {
    run_client(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        for _ in 0..2 {
            stream.write_all(REQUEST).unwrap();
            assert!(read_response(&mut stream).contains("200 OK"));
            // Longer than the head timeout.
            thread::sleep(IDLE_TIMEOUT.mul_f64(0.4));
        }
        let (_, took) = read_to_close(&mut stream);
        assert!(took < IDLE_TIMEOUT, "closed after {took:?} more");
    });
}

#[test]
fn a_request_may_take_longer_than_the_idle_timeout() {
    run_client(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        assert!(read_response(&mut stream).contains("200 OK"));
    });
}

#[test]
fn a_too_large_head_is_rejected() {
    run_client(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        let line = format!("X-Long: {}\r\n", "x".repeat(20_000));
        stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
        // The server may respond before it has read the whole head.
        let _ = stream.write_all(line.as_bytes());
        let (text, _) = read_to_close(&mut stream);
        assert!(text.contains("431"), "{text}");
    });
}

/// Guards against a caller that reads nothing for a while and loses the rest of its response.
#[test]
fn a_caller_that_pauses_within_a_response_gets_all_of_it() {
    let (size, tail) = run_client(|address| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        thread::sleep(READ_PAUSE);
        stream.set_read_timeout(Some(HEAD_TIMEOUT)).unwrap();
        let mut bytes = Vec::new();
        // The connection stays open, or is reset.
        let end = stream.read_to_end(&mut bytes);
        (bytes.len(), end.map_err(|it| it.kind()))
    });
    assert!(size > LARGE_BYTES, "{size} bytes, {tail:?}");
}
