//! An HTTP/1.1 server: one task a connection, each with its own socket.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    rc::Rc,
    time::Duration,
};

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{self, Either, Shared},
};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service};

use crate::{body::Body, socket, stream::Stream};

/// How long a caller may take over the head of a request, where nothing else is set.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The least buffer that hyper takes.
const BUFFER_LEAST: usize = 8192;
/// The most headers a request may have.
const HEADERS: usize = 100;
/// The most bytes of a head; hyper answers 431 beyond it.
const HEAD_BYTES: usize = 32 * 1024;
/// How long to wait when no connection can be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a connection's peer may take of time and room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            head_bytes: HEAD_BYTES,
            head_time: HEAD_TIMEOUT,
            idle_time: HEAD_TIMEOUT,
        }
    }
}

/// What a server and its connections share.
#[derive(Clone, Debug)]
pub struct Control {
    /// Dropped when the server stops; that wakes whoever waits for `stopped`.
    running: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    stopped: Shared<oneshot::Receiver<()>>,
    open: Rc<Cell<usize>>,
}

impl Default for Control {
    fn default() -> Self {
        let (running, stopped) = oneshot::channel();
        Self {
            running: Rc::new(RefCell::new(Some(running))),
            stopped: stopped.shared(),
            open: Rc::default(),
        }
    }
}

impl Control {
    /// Tells the server to take no more connections and to end each after its request.
    pub fn stop(&self) {
        self.running.borrow_mut().take();
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// Counts one open connection for as long as it lives.
struct Open(Control);

impl Open {
    fn new(control: Control) -> Self {
        control.open.set(control.open.get() + 1);
        Self(control)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections until told to stop, and answers each request with `handler`.
pub async fn serve<H, F>(listener: TcpListener, control: Control, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_with(listener, control, Bounds::default, handler).await;
}

/// Accepts connections as [`serve`] does; `bounds` gives each new one its limits.
pub async fn serve_with<B, H, F>(listener: TcpListener, control: Control, bounds: B, handler: H)
where
    B: Fn() -> Bounds,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        let accept = Box::pin(listener.accept());
        let stream = match future::select(control.stopped.clone(), accept).await {
            Either::Left(_) => return,
            Either::Right((Ok((stream, _)), _)) => stream,
            // Out of descriptors, or a connection gone before it was taken: go on.
            Either::Right((Err(_), _)) => {
                compio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let open = Open::new(control.clone());
        compio::runtime::spawn(connection(stream, open, bounds(), handler.clone())).detach();
    }
}

/// Serves one connection to its end.
async fn connection<H, F>(stream: TcpStream, open: Open, bounds: Bounds, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    socket::prepare(&stream);
    let answer = service::service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Box::pin(
        http1::Builder::new()
            .timer(CompioTimer)
            // Counts from the end of the last answer, so it bounds idle connections too.
            .header_read_timeout(bounds.idle_time.max(bounds.head_time))
            .max_headers(HEADERS)
            .max_buf_size(bounds.head_bytes.max(BUFFER_LEAST))
            .serve_connection(Stream::new(stream), answer),
    );
    let stopped = open.0.stopped.clone();
    if let Either::Right((_, mut connection)) = future::select(connection, stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
