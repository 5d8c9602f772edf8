//! An HTTP/1.1 server with one task per connection, which closes connections that are idle or too slow.

mod control;
pub mod places;
mod shared_timer;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Poll, ready},
    time::Duration,
};

use compio::net::{TcpListener, TcpStream};
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{self, Either, LocalBoxFuture},
};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service};

pub use self::control::Control;
use self::{
    control::OpenConnection,
    places::{Place, Places, Step},
    shared_timer::SharedTimer,
};
use crate::{
    body::Body,
    clock::Clock,
    memory::Memory,
    pipeline::{
        Event, FunctionHandler, Handler, Pipelining, connection::Connection, space::ServerSpace,
        stream::HoldingStream,
    },
    socket,
    stream::Stream,
};

/// The default head timeout and idle timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// The maximum number of headers of a request.
pub(crate) const MAX_HEADERS: usize = 100;
/// The default maximum size of a request's head; hyper responds with 431 to a larger one.
const DEFAULT_HEAD_BYTES: usize = 32 * 1024;
/// How long a stopping connection waits for the runtime to read what has arrived, and how often.
const UNREAD_WAIT: Duration = Duration::from_millis(10);
const MAX_UNREAD_WAITS: usize = 20;
/// How often a connection on which nothing may be read is checked for whether its peer has left.
const LEFT_INTERVAL: Duration = Duration::from_millis(10);
/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits on a connection's peer, in time and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The timeout of a request's head, from its first byte.
    pub head_time: Duration,
    /// The timeout of a connection without a request.
    pub idle_time: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_time: DEFAULT_TIMEOUT,
            idle_time: DEFAULT_TIMEOUT,
        }
    }
}

/// The most that a server and its connections take.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The maximum number of connections.
    pub connections: usize,
    /// The memory for what is held for callers, which is shared with others that hold something for them.
    pub memory: Memory,
    /// The size of a connection's buffers in the operating system, for reading and for writing, in bytes; `None` leaves it
    /// to the system.
    pub socket_bytes: Option<usize>,
}

impl Default for ServerLimits {
    /// Returns no limits.
    fn default() -> Self {
        Self {
            connections: usize::MAX,
            memory: Memory::new(usize::MAX),
            socket_bytes: None,
        }
    }
}

/// Tells that the body of a request has been read, or is being forwarded: an extension of requests.
///
/// Until then its connection counts as one that waits for its peer, and may be closed for another one.
#[derive(Clone, Debug, Default)]
pub struct RequestRead(Arc<AtomicBool>);

impl RequestRead {
    /// Records it.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether it has been recorded.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// When a response must have ended, by the server's clock: an extension of responses.
///
/// If its body isn't complete by then, its connection is reset, and the body dropped; also while the peer reads nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd(pub Duration);

/// Until when a response may stay unread, by the server's clock: an extension of responses.
///
/// Before that the idle timeout doesn't close its connection, however long its peer pauses within the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptUntil(pub Duration);

/// Accepts connections until `control` stops the server, and handles each request with `handler`.
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

/// Accepts connections like [`serve`]; `limits` returns the limits of each new connection.
pub async fn serve_with<B, H, F>(
    listener: TcpListener,
    control: Control,
    clock: Clock,
    limits: B,
    handler: H,
) where
    B: Fn() -> ConnectionLimits,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let server = Server {
        handler: FunctionHandler(handler),
        pipelining: Pipelining::OFF,
        space: ServerSpace::default(),
        capacity: ServerLimits::default(),
        clock,
    };
    server.serve(listener, control, limits).await;
}

/// Accepts connections like [`serve_with`], within the limits of the server, and starts idempotent requests before those
/// ahead of them are answered.
pub async fn serve_pipelined<B, H>(
    listener: TcpListener,
    control: Control,
    clock: Clock,
    (capacity, limits): (ServerLimits, B),
    (pipelining, handler): (Pipelining, H),
) where
    B: Fn() -> ConnectionLimits,
    H: Handler,
{
    let server = Server {
        handler,
        pipelining,
        space: ServerSpace::default(),
        capacity,
        clock,
    };
    server.serve(listener, control, limits).await;
}

/// What the connections of a server share.
struct Server<H> {
    handler: H,
    pipelining: Pipelining,
    space: ServerSpace,
    capacity: ServerLimits,
    clock: Clock,
}

impl<H> Server<H>
where
    H: Handler,
{
    async fn serve<B>(self, listener: TcpListener, control: Control, limits: B)
    where
        B: Fn() -> ConnectionLimits,
    {
        if let Some(bytes) = self.capacity.socket_bytes {
            socket::set_buffers(&listener, bytes);
        }
        let places = Places::new(self.capacity.connections);
        loop {
            let accept = Box::pin(listener.accept());
            let accepted = match future::select(control.stopped.clone(), accept).await {
                // Connections that wait to be accepted may have carried whole requests for a while.
                Either::Left((_, accept)) if socket::is_readable(&listener) => {
                    control.count_unread();
                    accept.await
                }
                Either::Left(_) => return,
                Either::Right((accepted, _)) => accepted,
            };
            // If not, the process has no free file descriptors, or the peer closed before the accept: continue.
            let Ok((stream, _)) = accepted else {
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let limits = limits();
            let requests = Connection::new(
                self.handler.clone(),
                self.pipelining,
                limits.head_bytes.max(MIN_BUFFER_BYTES),
                (&self.space, &self.capacity.memory),
                self.clock.clone(),
            );
            let Some((place, closing)) = self.take_place(&places, &requests).await else {
                // Without a byte read, the peer knows that its request has not run.
                continue;
            };
            let open = OpenConnection::new(control.clone());
            let timer = SharedTimer::new(self.clock.clone(), limits, place.last_bytes());
            let ended = future::select(control.aborted.clone(), closing);
            compio::runtime::spawn(async move {
                let serving = Box::pin(serve_connection(stream, open, timer, requests));
                future::select(serving, ended).await;
                drop(place);
            })
            .detach();
        }
    }

    /// Takes a place for a connection, if need be that of one that waits for its peer; `None` if all are at work.
    async fn take_place(
        &self,
        places: &Places,
        requests: &Connection<H>,
    ) -> Option<(Place, oneshot::Receiver<()>)> {
        loop {
            let waiting = requests.clone();
            match places.take(self.clock.now(), move || waiting.waits_for_peer()) {
                Step::Taken(place, closing) => return Some((place, closing)),
                Step::Closing(last_bytes) => {
                    let silent = self.clock.now().saturating_sub(last_bytes);
                    self.handler.on_event(Event::Displaced(silent));
                    places.until_free().await;
                }
                Step::Full => {
                    self.handler.on_event(Event::TurnedAway);
                    return None;
                }
            }
        }
    }
}

/// Serves one connection until it is closed.
async fn serve_connection<H>(
    stream: TcpStream,
    open: OpenConnection,
    timer: SharedTimer,
    requests: Connection<H>,
) where
    H: Handler,
{
    // A peer that reads nothing for a while is no dead one, and the operating system can't tell them apart. The connection's own
    // timeouts end it if it is dead.
    socket::send_at_once(&stream);
    let (request_timer, open_requests) = (timer.clone(), requests.clone());
    let service = service::service_fn(move |request| {
        request_timer.on_request();
        let answer = open_requests.answer(request);
        let (open_requests, request_timer) = (open_requests.clone(), request_timer.clone());
        async move {
            let response = open_requests.finish(answer).await;
            request_timer.on_response();
            response
        }
    });
    let socket = stream.clone();
    let stream = HoldingStream::new(Stream::new(stream, timer.clone()), requests.clone());
    let connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_buf_size(timer.buffer_bytes())
        .serve_connection(stream, service);
    let mut connection = Box::pin(connection);
    // The connection is polled before these, so that received bytes count first.
    let overdue = Box::pin(until_overdue(&socket, &requests, &timer.clock));
    let gone = future::select(Box::pin(until_left(&socket, &requests)), overdue);
    let mut left = future::select(gone, Box::pin(until_memory_is_needed(&socket, &requests)));
    let closed = {
        let timed_out = Box::pin(timer.expired(|| requests.kept_until()));
        let ended = future::select(connection.as_mut(), &mut left);
        let served = future::select(ended, open.0.stopped.clone());
        match future::select(served, timed_out).await {
            Either::Left((Either::Left(_), _)) | Either::Right(_) => true,
            Either::Left((Either::Right(_), _)) => false,
        }
    };
    if closed || read_arrived(&socket, connection.as_mut(), &open.0).await {
        return;
    }
    requests.drain();
    let answered = Box::pin(answer_read(connection.as_mut(), &requests));
    if let Either::Right(_) | Either::Left((true, _)) = future::select(answered, &mut left).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    // A failure closes the connection as well.
    future::select(connection, left).await;
}

/// Lets a connection answer the requests that were read behind the open one; returns whether it has ended.
async fn answer_read<C, H>(mut connection: C, requests: &Connection<H>) -> bool
where
    C: Future + Unpin,
    H: Handler,
{
    future::poll_fn(|context| {
        if connection.poll_unpin(context).is_ready() {
            Poll::Ready(true)
        } else if requests.has_request() {
            Poll::Pending
        } else {
            Poll::Ready(false)
        }
    })
    .await
}

/// Completes when the peer leaves while nothing may be read.
///
/// This is polled after each step of the connection, which decides whether something may be read.
async fn until_left<H>(socket: &TcpStream, requests: &Connection<H>)
where
    H: Handler,
{
    let mut pause: Option<LocalBoxFuture<'_, ()>> = None;
    future::poll_fn(|context| {
        loop {
            if !requests.is_blind() {
                pause = None;
                return Poll::Pending;
            }
            let sleep =
                pause.get_or_insert_with(|| compio::time::sleep(LEFT_INTERVAL).boxed_local());
            ready!(sleep.as_mut().poll(context));
            pause = None;
            if socket::has_left(socket) {
                return Poll::Ready(());
            }
        }
    })
    .await;
}

/// Completes when a response should have ended, and makes its connection end with a reset.
///
/// This is polled after each step of the connection, which may begin or end a response. A close without a reset would
/// look like the end of a response that states no length.
async fn until_overdue<H>(socket: &TcpStream, requests: &Connection<H>, clock: &Clock)
where
    H: Handler,
{
    let mut pause: Option<(Duration, LocalBoxFuture<'_, ()>)> = None;
    future::poll_fn(|context| {
        loop {
            let Some(end) = requests.response_end() else {
                pause = None;
                return Poll::Pending;
            };
            let left = end.saturating_sub(clock.now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            if pause.as_ref().is_none_or(|(until, _)| *until != end) {
                pause = Some((end, clock.sleep(left).boxed_local()));
            }
            if let Some((_, sleep)) = &mut pause {
                ready!(sleep.as_mut().poll(context));
            }
            pause = None;
        }
    })
    .await;
    socket::reset_on_close(socket);
}

/// Completes when the response that is being sent has to give up its memory, and makes its connection end with a reset.
async fn until_memory_is_needed<H>(socket: &TcpStream, requests: &Connection<H>)
where
    H: Handler,
{
    future::poll_fn(|context| {
        if requests.must_give_up(context.waker()) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    requests.report(Event::GivenUp);
    socket::reset_on_close(socket);
}

/// Lets a stopping connection read what has arrived: the runtime may have been busy since; returns whether it has ended.
///
/// A request that is read is answered before the connection closes, and one that isn't would end without an answer.
async fn read_arrived<C>(socket: &TcpStream, mut connection: C, control: &Control) -> bool
where
    C: Future + Unpin,
{
    for wait in 0..MAX_UNREAD_WAITS {
        if !socket::is_readable(socket) {
            return false;
        }
        if wait == 0 {
            control.count_unread();
        }
        let pause = Box::pin(compio::time::sleep(UNREAD_WAIT));
        if let Either::Left(_) = future::select(&mut connection, pause).await {
            return true;
        }
    }
    false
}
