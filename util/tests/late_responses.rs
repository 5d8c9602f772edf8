//! Responses that come once more, at the point where the next one is expected, and which connections are used then.

use std::{
    io::{BufRead as _, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use bramleypier_util::{
    body::{self, Body},
    client::{Client, Error},
    clock::Clock,
};
use compio::runtime::Runtime;
use hyper::{Request, header::HeaderName};

/// The header that names a request.
const ID: HeaderName = HeaderName::from_static("x-id");
/// Longer than an exchange over loopback takes.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than it takes to close a connection over loopback.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// A peer that names the requests in its responses, but for those whose ids begin with `unnamed`.
///
/// It sends each response to a request whose id ends with `twice` once more, before the next one.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// The connection of each request, in order.
    connections: Arc<Mutex<Vec<usize>>>,
}

impl Peer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
        };
        let connections = peer.connections.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let connections = connections.clone();
                thread::spawn(move || answer(&stream.unwrap(), number, &connections));
            }
        });
        peer
    }

    /// Returns the connection of each request so far, in order.
    fn connections(&self) -> Vec<usize> {
        self.connections.lock().unwrap().clone()
    }
}

fn answer(stream: &TcpStream, number: usize, connections: &Mutex<Vec<usize>>) {
    let mut lines = BufReader::new(stream).lines();
    let mut late = String::new();
    let mut id = String::new();
    while let Some(Ok(line)) = lines.next() {
        if let Some(named) = line.strip_prefix("x-id: ") {
            named.clone_into(&mut id);
        }
        if !line.is_empty() {
            continue;
        }
        connections.lock().unwrap().push(number);
        let header = if id.starts_with("unnamed") {
            String::new()
        } else {
            format!("X-Id: {id}\r\n")
        };
        let response = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n");
        let mut writer = stream;
        let _ = writer.write_all(format!("{late}{response}").as_bytes());
        late = if id.ends_with("twice") {
            response
        } else {
            String::new()
        };
    }
}

/// Sends requests with these ids, each after the one before has been answered, and returns what came of each.
async fn send_all(client: &Client, peer: &Peer, ids: &[&'static str]) -> Vec<Result<(), Error>> {
    let mut results = Vec::new();
    for id in ids {
        let mut request = Request::new(Body::empty());
        request.headers_mut().insert(ID, id.parse().unwrap());
        let sent = client.send(peer.address, request, TIMEOUT).await;
        let read = match sent {
            Ok(response) => {
                body::read(response.into_body(), 10).await.unwrap();
                Ok(())
            }
            Err(error) => Err(error),
        };
        results.push(read);
        Clock::real().sleep(CLOSE_TIME).await;
    }
    results
}

fn connections_of(limit: usize, ids: &[&'static str]) -> Vec<usize> {
    Runtime::new().unwrap().block_on(async {
        let peer = Peer::start();
        let client = Client::new(Clock::real(), limit).with_id_header(ID);
        for result in send_all(&client, &peer, ids).await {
            result.unwrap();
        }
        peer.connections()
    })
}

/// Guards against a late copy of a response that is taken for the response to another attempt of its request.
#[test]
fn another_attempt_of_a_request_gets_another_connection() {
    assert_eq!(connections_of(4, &["a-twice", "a-twice"]), [0, 1]);
    assert_eq!(connections_of(4, &["a", "b", "a"]), [0, 0, 0]);
}

/// Guards against attempts that fail since the only connection allowed must not be used.
#[test]
fn the_only_connection_is_replaced_if_it_must_not_be_used() {
    assert_eq!(
        connections_of(1, &["a-twice", "a-twice", "a-twice"]),
        [0, 1, 2]
    );
    assert_eq!(connections_of(1, &["unnamed", "a"]), [0, 1]);
}

/// Guards against a late copy of a response without an id, which nothing tells from the next response.
#[test]
fn a_connection_with_a_response_without_an_id_is_not_used_again() {
    assert_eq!(connections_of(4, &["unnamed-twice", "b", "c"]), [0, 1, 1]);
}

/// Guards against a connection that stays in use, out of step, after another request's response.
#[test]
fn another_requests_response_ends_the_exchange_and_its_connection() {
    Runtime::new().unwrap().block_on(async {
        let peer = Peer::start();
        let client = Client::new(Clock::real(), 4).with_id_header(ID);
        let results = send_all(&client, &peer, &["a-twice", "b", "c"]).await;
        assert!(results[0].is_ok());
        let foreign = results[1].as_ref().unwrap_err();
        assert!(matches!(foreign, Error::Foreign(_)), "{foreign}");
        assert!(!foreign.unsent(), "the request may have run");
        assert!(results[2].is_ok());
        assert_eq!(peer.connections(), [0, 0, 1]);
    });
}
