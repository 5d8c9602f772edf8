//! The open requests of one connection.

use std::{
    cell::RefCell, collections::VecDeque, io, ops::ControlFlow, rc::Rc, task::Waker, time::Duration,
};

use compio::runtime::JoinHandle;
use hyper::{
    HeaderMap, Method, Request, Response, Version,
    body::{Body as _, Incoming},
    header::{self, HeaderValue},
};

use super::{
    Event, Handler, Pipelining, RequestTarget, StopCause,
    feed::{BodySize, Feed},
    head::{self, Found},
    holding::Holding,
    space::{Full, Reserved, ServerSpace, Space},
    tracked_body::TrackedBody,
};
use crate::{
    body::Body,
    clock::Clock,
    headers,
    memory::{self, Memory},
    server::{KeptUntil, MAX_HEADERS, RequestRead, ResponseEnd},
};

/// The smallest bound of the read buffer: about sixty requests.
const MIN_HELD_BYTES: usize = 32 * 1024;

/// A finished response that was started early.
pub(crate) struct Ready {
    response: Response<Body>,
    /// When it was finished.
    at: Duration,
    reserved: Reserved,
}

/// A request that was started early.
struct Started {
    request: Request<()>,
    /// Whether nothing behind it may be read.
    closes: bool,
    answer: JoinHandle<Ready>,
}

/// Whether requests may start behind the one that hyper has handed over last.
enum Current {
    /// It has not been asked yet.
    Unknown(RequestTarget),
    /// They may.
    Idempotent,
    /// They may not.
    Alone,
}

/// The response to a request that hyper has handed over.
pub(crate) enum Answer<F> {
    /// It starts now.
    New(F),
    /// It was started early.
    Early(JoinHandle<Ready>),
}

struct State<H> {
    handler: H,
    pipelining: Pipelining,
    /// hyper's limit of a head, in bytes.
    head_bytes: usize,
    feed: Feed,
    current: Current,
    started: VecDeque<Started>,
    /// How many held bytes belong to started requests.
    started_bytes: usize,
    /// The number of held bytes when the last of them were the start of a head.
    seen_bytes: usize,
    stopped: Option<StopCause>,
    /// Whether the connection closes after what has been read.
    draining: bool,
    /// Whether no request behind the one that hyper has handed over last is answered.
    closing: bool,
    space: Space,
    /// The memory for `feed` and for the response that is being sent.
    holding: Holding,
    /// Set once the body of the request that hyper has handed over last has been read.
    read: RequestRead,
    /// When the response that hyper is sending must have been taken completely; see [`ResponseEnd`].
    response_end: Option<Duration>,
    /// Until when the response that is being sent may stay unread; see [`KeptUntil`].
    kept_until: Option<Duration>,
    /// The task of the connection.
    waker: Option<Waker>,
    /// Whether that task is woken by further bytes.
    reading: bool,
}

/// The open requests of a connection; clones share them.
pub(crate) struct Connection<H> {
    state: Rc<RefCell<State<H>>>,
    clock: Clock,
}

impl<H> Clone for Connection<H> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<H> Connection<H>
where
    H: Handler,
{
    /// Creates the state of a new connection; `head_bytes` is hyper's limit of a head.
    pub(crate) fn new(
        handler: H,
        pipelining: Pipelining,
        head_bytes: usize,
        (space, memory): (&ServerSpace, &Memory),
        clock: Clock,
    ) -> Self {
        let state = State {
            handler,
            pipelining,
            head_bytes,
            feed: Feed::default(),
            current: Current::Alone,
            started: VecDeque::new(),
            started_bytes: 0,
            seen_bytes: 0,
            stopped: None,
            draining: false,
            closing: false,
            space: space.connect(),
            holding: Holding::new(memory),
            read: RequestRead::default(),
            response_end: None,
            kept_until: None,
            waker: None,
            reading: false,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            clock,
        }
    }

    /// Takes the response of a request that hyper hands over: the one that was started early, or a new one.
    pub(crate) fn answer(&self, mut request: Request<Incoming>) -> Answer<H::Answer> {
        let mut state = self.state.borrow_mut();
        state.read = RequestRead::default();
        request.extensions_mut().insert(state.read.clone());
        match state.take_started(&request) {
            Some(answer) => Answer::Early(answer),
            None => Answer::New(state.handler.handle(request)),
        }
    }

    /// Waits for a response, and prepares it for hyper.
    ///
    /// # Errors
    ///
    /// The task of the request has panicked.
    pub(crate) async fn finish(
        &self,
        answer: Answer<H::Answer>,
    ) -> io::Result<Response<TrackedBody<H>>> {
        let mut response = match answer {
            Answer::New(answer) => answer.await,
            Answer::Early(answer) => {
                let ready = answer.await?;
                let event = Event::Waited {
                    time: self.clock.now().saturating_sub(ready.at),
                    bytes: ready.reserved.bytes(),
                };
                self.state.borrow().handler.on_event(event);
                ready.response
            }
        };
        let mut state = self.state.borrow_mut();
        state.finish(response.headers_mut());
        state.response_end = response.extensions().get().map(|it: &ResponseEnd| it.0);
        let kept_until = response.extensions().get().map(|it: &KeptUntil| it.0);
        state.kept_until = kept_until.or(state.response_end);
        state
            .holding
            .begin_response(response.body_mut().take_held());
        drop(state);
        Ok(response.map(|body| TrackedBody::new(body, self.clone())))
    }

    /// Returns the held bytes that hyper may take now; empty if it may only take new ones, `None` if it may take none.
    pub(super) fn next_bytes(&self, limit: usize, waker: &Waker) -> Option<Vec<u8>> {
        let mut state = self.state.borrow_mut();
        match &mut state.waker {
            Some(known) => known.clone_from(waker),
            none => *none = Some(waker.clone()),
        }
        if state.feed.is_held() {
            return None;
        }
        let bytes = state.feed.allow_held(limit);
        let size = state.feed.held().len();
        state.holding.shrink(size);
        state.started_bytes = state.started_bytes.saturating_sub(bytes.len());
        state.seen_bytes = 0;
        Some(bytes)
    }

    /// Returns how many of these new bytes hyper may take.
    pub(super) fn allow(&self, bytes: &[u8]) -> usize {
        self.state.borrow_mut().feed.allow(bytes)
    }

    /// Returns how many more bytes may be held.
    pub(super) fn room(&self) -> usize {
        self.state.borrow().room()
    }

    /// Holds new bytes.
    ///
    /// # Errors
    ///
    /// There is no memory for them.
    pub(super) fn hold(&self, bytes: &[u8]) -> Result<(), memory::Full> {
        let mut state = self.state.borrow_mut();
        let size = state.feed.held().len() + bytes.len();
        state.holding.grow(size)?;
        state.feed.push(bytes);
        Ok(())
    }

    /// Starts held requests early; `reading` says whether the task is woken by further bytes.
    pub(super) fn read_ahead(&self, waker: &Waker, reading: bool) {
        let mut state = self.state.borrow_mut();
        state.reading = reading;
        state.read_ahead(waker, &self.clock);
    }

    /// Reads no more requests: the connection closes after those that have been read.
    pub(crate) fn drain(&self) {
        self.state.borrow_mut().draining = true;
    }

    /// Returns whether the whole head of a request has been read that hyper has not taken.
    pub(crate) fn has_request(&self) -> bool {
        self.state.borrow().has_request()
    }

    /// Returns whether a request is open and hyper doesn't read, so that it would miss that the peer leaves.
    pub(crate) fn is_blind(&self) -> bool {
        let state = self.state.borrow();
        let is_full = state.holding.is_starved() || state.room() == 0;
        state.feed.is_unknown() || state.feed.is_held() && is_full
    }

    /// Returns whether the connection waits for its peer: for a request, or for the rest of one.
    pub(crate) fn waits_for_peer(&self) -> bool {
        let state = self.state.borrow();
        !state.holding.has_response()
            && (!state.feed.is_open() || state.feed.is_body() && !state.read.is_set())
    }

    /// Returns whether what is held for the response that is being sent has to be given up; if not, `waker` is woken once
    /// it has.
    pub(crate) fn must_give_up(&self, waker: &Waker) -> bool {
        self.state.borrow().holding.must_give_up(waker)
    }

    /// Reports something to the handler.
    pub(crate) fn report(&self, event: Event) {
        self.state.borrow().handler.on_event(event);
    }

    /// Records that all that hyper has written is with the operating system.
    pub(super) fn on_flushed(&self) {
        let mut state = self.state.borrow_mut();
        if !state.feed.is_open() {
            state.holding.end_response();
            state.kept_until = None;
        }
    }

    /// Returns until when the response that is being sent may stay unread, if it says so.
    pub(crate) fn kept_until(&self) -> Option<Duration> {
        self.state.borrow().kept_until
    }

    /// Returns when the response that is being sent must have been taken completely, if it must.
    pub(crate) fn response_end(&self) -> Option<Duration> {
        self.state.borrow().response_end
    }

    /// Records that a response has been handed to hyper completely.
    pub(super) fn on_answered(&self) {
        let mut state = self.state.borrow_mut();
        state.feed.on_answered();
        state.response_end = None;
        // Without held bytes, only further bytes matter, and these wake the task.
        if !state.feed.held().is_empty() || !state.reading {
            state.waker.iter().for_each(Waker::wake_by_ref);
        }
    }
}

impl<H> State<H>
where
    H: Handler,
{
    /// Records a request that hyper hands over; returns its response if it was started early.
    fn take_started(&mut self, request: &Request<Incoming>) -> Option<JoinHandle<Ready>> {
        let headers = request.headers();
        let upgrades = request.method() == Method::CONNECT || headers.contains_key(header::UPGRADE);
        let size = request.body().size_hint().exact().filter(|_| !upgrades);
        let size = size.map_or(BodySize::Unknown, BodySize::Exact);
        self.feed.on_request(size);
        self.closing |= upgrades
            || request.version() != Version::HTTP_11
            || headers::closes_connection(headers);
        let Some(next) = self.started.pop_front() else {
            self.set_stopped(None);
            self.current = if self.pipelining.requests > 1 && !self.closing {
                Current::Unknown(RequestTarget::new(request.method(), request.uri(), headers))
            } else {
                Current::Alone
            };
            return None;
        };
        if is_same(&next.request, request) {
            self.current = Current::Idempotent;
            self.closing |= next.closes;
            return Some(next.answer);
        }
        // The parsers differ, and hyper's counts.
        self.cancel_started();
        self.current = Current::Alone;
        None
    }

    fn cancel_started(&mut self) {
        self.started.clear();
        self.started_bytes = 0;
        self.set_stopped(None);
    }

    fn set_stopped(&mut self, cause: Option<StopCause>) {
        if cause == self.stopped {
            return;
        }
        if self.stopped == Some(StopCause::TotalBytes) {
            // Otherwise its place in the queue would keep out the other connections.
            self.space.leave();
        }
        if let Some(cause) = cause {
            self.handler.on_event(Event::Stopped(cause));
        }
        self.stopped = cause;
    }

    /// Decides whether the connection closes after a response with these headers.
    fn finish(&mut self, headers: &mut HeaderMap) {
        self.draining |= self.handler.is_draining();
        if headers::closes_connection(headers) {
            self.closing = true;
        } else if self.draining && !self.has_request() {
            self.closing = true;
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if self.closing {
            self.cancel_started();
        }
    }

    fn has_request(&self) -> bool {
        !self.closing && self.feed.has_request()
    }

    fn held_limit(&self) -> usize {
        self.head_bytes.max(MIN_HELD_BYTES)
    }

    fn room(&self) -> usize {
        if self.draining {
            return 0;
        }
        self.held_limit().saturating_sub(self.feed.held().len())
    }

    /// Starts as many held requests as are allowed.
    fn read_ahead(&mut self, waker: &Waker, clock: &Clock) {
        if self.feed.held().is_empty() {
            return;
        }
        let cause = loop {
            if let ControlFlow::Break(cause) = self.start_next(waker, clock) {
                break cause;
            }
        };
        self.set_stopped(cause);
    }

    /// Starts the next held request; breaks with the cause if it may not start, and without one if it isn't complete.
    fn start_next(&mut self, waker: &Waker, clock: &Clock) -> ControlFlow<Option<StopCause>> {
        // Both last until hyper hands that request over.
        if let Some(StopCause::Alone | StopCause::Form) = self.stopped {
            return ControlFlow::Break(self.stopped);
        }
        let held = self.feed.held();
        let is_new = held.len() > self.seen_bytes && held.len() > self.started_bytes;
        if !is_new || self.closing || self.pipelining.requests <= 1 {
            return ControlFlow::Break(self.stopped.filter(|it| *it == StopCause::Buffer));
        }
        if self.started.len() + 1 >= self.pipelining.requests {
            return ControlFlow::Break(Some(StopCause::Requests));
        }
        let rest = &held[self.started_bytes..];
        let found = match head::find(rest, MAX_HEADERS, self.head_bytes) {
            Found::Request(found) => found,
            Found::Partial => {
                self.seen_bytes = held.len();
                let is_full = held.len() >= self.held_limit();
                return ControlFlow::Break(is_full.then_some(StopCause::Buffer));
            }
            Found::Other => return ControlFlow::Break(Some(StopCause::Form)),
        };
        if !self.is_current_idempotent() {
            return ControlFlow::Break(Some(StopCause::Alone));
        }
        let reserved = match self.space.reserve(self.pipelining.response_bytes, waker) {
            Ok(reserved) => reserved,
            Err(Full::Connection) => return ControlFlow::Break(Some(StopCause::ConnectionBytes)),
            Err(Full::Server) => return ControlFlow::Break(Some(StopCause::TotalBytes)),
        };
        let Some(answer) = self.handler.start_early(found.request.clone()) else {
            return ControlFlow::Break(Some(StopCause::Alone));
        };
        let ahead = self.started.len() + 1;
        self.handler.on_event(Event::Started(ahead));
        self.started_bytes += found.length;
        self.started.push_back(Started {
            request: found.request,
            closes: found.closes,
            answer: compio::runtime::spawn(run_early(answer, reserved, clock.clone())),
        });
        if found.closes {
            return ControlFlow::Break(Some(StopCause::Form));
        }
        ControlFlow::Continue(())
    }

    fn is_current_idempotent(&mut self) -> bool {
        if let Current::Unknown(target) = &self.current {
            self.current = if self.handler.is_idempotent(target) {
                Current::Idempotent
            } else {
                Current::Alone
            };
        }
        matches!(self.current, Current::Idempotent)
    }
}

/// Runs an early request until its response is ready, which then counts with its own size.
async fn run_early<F>(answer: F, reserved: Reserved, clock: Clock) -> Ready
where
    F: Future<Output = Response<Body>>,
{
    let response = answer.await;
    if let (true, Some(size)) = (
        response.body().is_whole(),
        response.body().size_hint().exact(),
    ) {
        reserved.shrink(usize::try_from(size).unwrap_or(usize::MAX));
    }
    Ready {
        response,
        at: clock.now(),
        reserved,
    }
}

/// Returns whether hyper has read the request that was started.
fn is_same(started: &Request<()>, request: &Request<Incoming>) -> bool {
    started.method() == request.method()
        && started.uri() == request.uri()
        && started.headers() == request.headers()
        && request.body().is_end_stream()
}
