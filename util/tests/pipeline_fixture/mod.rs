//! A server whose requests log what happens to them, and its client.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    panic::{self, AssertUnwindSafe},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use bramleypier_util::{
    body::Body,
    clock::Clock,
    pipeline::{Event, Handler, Pipelining, RequestTarget},
    server::{self, ConnectionLimits, Control, ServerLimits},
};
use compio::{net::TcpListener, runtime::Runtime};
use futures_channel::oneshot;
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use hyper::{
    Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};

pub const PIPELINING: Pipelining = Pipelining {
    requests: 8,
    response_bytes: 1 << 20,
};
/// How long a test waits for what must happen.
const PATIENCE: Duration = Duration::from_secs(5);

/// What has happened to requests, in order; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    lines: Vec<String>,
    running: usize,
    most: usize,
    draining: bool,
    events: Vec<Event>,
}

impl Log {
    fn add(&self, line: String) {
        self.0.lock().unwrap().lines.push(line);
    }

    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap().lines.clone()
    }

    /// Returns the paths of the lines that start with `word`.
    pub fn all(&self, word: &str) -> Vec<String> {
        let lines = self.lines();
        let words = lines.iter().filter_map(|it| it.strip_prefix(word));
        words.map(|it| it.trim().to_owned()).collect()
    }

    pub fn position(&self, line: &str) -> usize {
        let lines = self.lines();
        let found = lines.iter().position(|it| it == line);
        found.unwrap_or_else(|| panic!("no {line} in {lines:?}"))
    }

    /// Waits until as many lines start with `word`.
    pub fn wait(&self, word: &str, count: usize) {
        let started = Instant::now();
        while self.all(word).len() < count {
            assert!(started.elapsed() < PATIENCE, "{word}: {:?}", self.lines());
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the largest number of requests that ran at the same time.
    pub fn most(&self) -> usize {
        self.0.lock().unwrap().most
    }

    pub fn events(&self) -> Vec<Event> {
        self.0.lock().unwrap().events.clone()
    }

    pub fn drain(&self) {
        self.0.lock().unwrap().draining = true;
    }
}

/// A request that runs; it logs its end.
struct Running {
    log: Log,
    path: String,
    done: bool,
}

impl Running {
    fn new(log: &Log, uri: &Uri) -> Self {
        let path = uri.path().to_owned();
        log.add(format!("start {path}"));
        let mut state = log.0.lock().unwrap();
        state.running += 1;
        state.most = state.most.max(state.running);
        drop(state);
        Self {
            log: log.clone(),
            path,
            done: false,
        }
    }
}

impl Running {
    fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let word = if self.done { "done" } else { "cancel" };
        self.log.add(format!("{word} {}", self.path));
        self.log.0.lock().unwrap().running -= 1;
    }
}

/// Answers with the path and the size of the body, after the milliseconds that the query states.
///
/// Only paths that start with `/look` are idempotent; the responses to `/close` close the connection. Some panic.
#[derive(Clone, Debug)]
struct LogHandler(Log);

impl LogHandler {
    fn run(&self, uri: Uri, body: Option<Incoming>) -> LocalBoxFuture<'static, Response<Body>> {
        let mut running = Running::new(&self.0, &uri);
        async move {
            let size = match body {
                Some(body) => bramleypier_util::body::read(body, 1 << 20).await,
                None => Ok(hyper::body::Bytes::new()),
            };
            let time = uri.query().and_then(|it| it.parse().ok()).unwrap_or(0);
            compio::time::sleep(Duration::from_millis(time)).await;
            assert!(!uri.path().ends_with("panic"), "asked for");
            running.finish();
            let size = size.map_or(0, |it| it.len());
            let mut response = Response::new(Body::from(format!("<{} {size}>", uri.path())));
            if uri.path().starts_with("/close") || uri.path().starts_with("/look/close") {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        .boxed_local()
    }
}

impl Handler for LogHandler {
    type Answer = LocalBoxFuture<'static, Response<Body>>;

    fn handle(&self, request: Request<Incoming>) -> Self::Answer {
        let (head, body) = request.into_parts();
        self.run(head.uri, Some(body))
    }

    fn is_idempotent(&self, target: &RequestTarget) -> bool {
        target.uri.path().starts_with("/look")
    }

    fn start_early(&self, request: Request<()>) -> Option<Self::Answer> {
        let uri = request.uri().clone();
        uri.path().starts_with("/look").then(|| self.run(uri, None))
    }

    fn is_draining(&self) -> bool {
        self.0.0.lock().unwrap().draining
    }

    fn on_event(&self, event: Event) {
        self.0.0.lock().unwrap().events.push(event);
    }
}

/// Runs a client against a server; completing the channel stops the server.
pub fn run_stoppable<F, T>(pipelining: Pipelining, client: F) -> (T, Log)
where
    F: FnOnce(SocketAddr, Log, oneshot::Sender<()>) -> T + Send + 'static,
    T: Send + 'static,
{
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = || ConnectionLimits {
            head_bytes: 8192,
            head_time: Duration::from_millis(300),
            ..ConnectionLimits::default()
        };
        let log = Log::default();
        let (control, handler) = (Control::default(), LogHandler(log.clone()));
        let serving = server::serve_pipelined(
            listener,
            control.clone(),
            Clock::real(),
            (ServerLimits::default(), limits),
            (pipelining, handler),
        );
        compio::runtime::spawn(serving).detach();
        let (stop, stopped) = oneshot::channel();
        compio::runtime::spawn(async move {
            if stopped.await.is_ok() {
                control.stop();
            }
        })
        .detach();
        let (sender, receiver) = oneshot::channel();
        let client_log = log.clone();
        thread::spawn(move || {
            // A thread that ends with a panic would abort the process as it drops the channel.
            let client = AssertUnwindSafe(|| client(address, client_log, stop));
            sender.send(panic::catch_unwind(client)).ok()
        });
        let result = receiver.await.unwrap();
        (
            result.unwrap_or_else(|cause| panic::resume_unwind(cause)),
            log,
        )
    })
}

/// Runs a client against a server.
pub fn run<F, T>(pipelining: Pipelining, client: F) -> (T, Log)
where
    F: FnOnce(SocketAddr, Log) -> T + Send + 'static,
    T: Send + 'static,
{
    run_stoppable(pipelining, |address, log, _stop| client(address, log))
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

pub fn connect(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads until the server closes the connection, without the lines that depend on the time.
pub fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset also ends the responses.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let lines = text.split("\r\n").filter(|it| !it.starts_with("date:"));
    lines.collect::<Vec<_>>().join("\r\n")
}

/// Reads as many responses of the handler.
pub fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    while text.matches('>').count() < count {
        let mut piece = [0; 4096];
        match stream.read(&mut piece) {
            Ok(size) if size > 0 => text.push_str(&String::from_utf8_lossy(&piece[..size])),
            _ => break,
        }
    }
    text
}

/// Returns the bodies of the handler's responses.
pub fn bodies(text: &str) -> Vec<String> {
    let parts = text.split('<').skip(1);
    let bodies = parts.filter_map(|it| it.split_once('>'));
    bodies.map(|(body, _)| body.to_owned()).collect()
}
