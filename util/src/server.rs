//! An HTTP/1.1 server: one task a connection, each with its own socket.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    rc::Rc,
    task::{Poll, ready},
    time::Duration,
};

use compio::net::{TcpListener, TcpStream};
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{self, Either, LocalBoxFuture, Shared},
};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service};

use crate::{
    body::Body,
    clock::Clock,
    socket,
    stream::{Stream, Watch},
    timer::ConnectionTimer,
};

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
pub struct ConnectionLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for ConnectionLimits {
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
    serve_with(
        listener,
        control,
        Clock::real(),
        ConnectionLimits::default,
        handler,
    )
    .await;
}

/// Accepts connections as [`serve`] does; `bounds` gives each new one its limits.
pub async fn serve_with<B, H, F>(
    listener: TcpListener,
    control: Control,
    clock: Clock,
    bounds: B,
    handler: H,
) where
    B: Fn() -> ConnectionLimits,
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
        let pace = Paced::new(clock.clone(), bounds());
        compio::runtime::spawn(connection(stream, open, pace, handler.clone())).detach();
    }
}

/// Serves one connection to its end.
async fn connection<H, F>(stream: TcpStream, open: Open, pace: Paced, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    socket::prepare(&stream);
    let served = pace.clone();
    let answer = service::service_fn(move |request| {
        served.on_request();
        let (answer, served) = (handler(request), served.clone());
        async move {
            let answer = answer.await;
            served.on_answer();
            Ok::<_, Infallible>(answer)
        }
    });
    let stream = Stream::new(stream, pace.clone());
    let connection = http1::Builder::new()
        .max_headers(HEADERS)
        .max_buf_size(pace.bounds.head_bytes.max(BUFFER_LEAST))
        .serve_connection(stream, answer);
    let mut connection = Box::pin(connection);
    let ended = {
        let too_slow = Box::pin(pace.ran_out());
        // What has come is read before the time is looked at.
        let served = future::select(connection.as_mut(), open.0.stopped.clone());
        match future::select(served, too_slow).await {
            Either::Left((Either::Left(_), _)) | Either::Right(_) => true,
            Either::Left((Either::Right(_), _)) => false,
        }
    };
    if !ended {
        connection.as_mut().graceful_shutdown();
        // A failure ends the connection as well.
        let _ = connection.await;
    }
}

/// A connection's pace, shared by its task, its stream and its service.
#[derive(Clone, Debug)]
struct Paced {
    clock: Clock,
    bounds: ConnectionLimits,
    pace: Rc<RefCell<ConnectionTimer>>,
}

impl Paced {
    fn new(clock: Clock, bounds: ConnectionLimits) -> Self {
        let pace = ConnectionTimer::new(bounds, clock.now());
        Self {
            clock,
            bounds,
            pace: Rc::new(RefCell::new(pace)),
        }
    }

    fn on_request(&self) {
        self.pace.borrow_mut().on_request();
    }

    fn on_answer(&self) {
        self.pace.borrow_mut().on_answer(self.clock.now());
    }

    /// Takes note of bytes that came or left; between requests only these tell anything.
    fn on_bytes(&self, note: fn(&mut ConnectionTimer, Duration)) {
        let mut pace = self.pace.borrow_mut();
        if pace.is_idle() {
            note(&mut pace, self.clock.now());
        }
    }

    /// Waits until the peer has taken longer than it may.
    ///
    /// It is looked at after each step of the connection, so a timer is set anew only when the time
    /// ends earlier than it would ring.
    async fn ran_out(&self) {
        let mut timer: Option<(Duration, LocalBoxFuture<'_, ()>)> = None;
        future::poll_fn(|context| {
            loop {
                let Some(due) = self.pace.borrow().due() else {
                    return Poll::Pending;
                };
                if timer.as_ref().is_none_or(|(rings, _)| *rings > due) {
                    let left = due.saturating_sub(self.clock.now());
                    if left.is_zero() {
                        return Poll::Ready(());
                    }
                    timer = Some((due, self.clock.sleep(left).boxed_local()));
                }
                if let Some((_, sleep)) = &mut timer {
                    ready!(sleep.as_mut().poll(context));
                }
                timer = None;
            }
        })
        .await;
    }
}

impl Watch for Paced {
    fn on_read(&mut self, bytes: usize) {
        if bytes > 0 {
            self.on_bytes(ConnectionTimer::on_read);
        }
    }

    fn on_write(&mut self, _bytes: usize) {
        self.on_bytes(ConnectionTimer::on_write);
    }
}
