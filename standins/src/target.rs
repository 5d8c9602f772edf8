//! A target's stand-in: it holds grants, runs work in its slots, and fails on demand.

use std::{cell::RefCell, io, path::PathBuf, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime};
use futures_channel::oneshot;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use indexmap::IndexMap;
use uuid::Uuid;

use crate::{
    clock,
    fault::{Fault, Faults},
    holder::{EpochRange, Grant, Holder, Status},
    journal::Journal,
    serve::{self, CloseConnection, Connection, Response},
    slots::Slots,
    work,
};

/// What a target is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Whether it checks grants.
    pub checks_grants: bool,
    /// How many requests it runs at a time.
    pub slots: usize,
    /// How many requests wait for a slot before it sheds.
    pub queue: usize,
    /// What each new connection costs, one after the other.
    pub connect_cost: Duration,
    /// The mean time of a request's work.
    pub work_time: Duration,
    /// Whether work takes an exponentially distributed time, or the same each time.
    pub exponential: bool,
    /// How long it is cold after its start.
    pub cold_time: Duration,
    /// How much slower it works while it is cold.
    pub cold_factor: f64,
    /// The file of its log.
    pub log: Option<PathBuf>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            checks_grants: true,
            slots: 2,
            queue: 256,
            connect_cost: Duration::from_millis(1),
            work_time: Duration::from_millis(10),
            exponential: true,
            cold_time: Duration::ZERO,
            cold_factor: 3.0,
            log: None,
        }
    }
}

/// What the tasks of a target share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) holder: Holder,
    pub(crate) journal: Journal,
    pub(crate) faults: Faults,
    pub(crate) slots: Slots,
    pub(crate) cancels: IndexMap<String, oneshot::Sender<()>>,
    pub(crate) bytes_read: u64,
}

/// A target, shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct Target {
    pub(crate) config: Rc<Config>,
    pub(crate) boot: Rc<str>,
    pub(crate) state: Rc<RefCell<State>>,
    origin: Duration,
}

/// Runs a target on a listener for ever.
///
/// # Errors
///
/// Fails when its log can't be opened.
pub async fn run(listener: TcpListener, config: Config) -> io::Result<()> {
    let target = Target::new(config)?;
    let cost = target.config.connect_cost;
    serve::run(listener, cost, move |request, link| {
        target.clone().answer(request, link)
    })
    .await;
    Ok(())
}

impl Target {
    fn new(config: Config) -> io::Result<Self> {
        let state = State {
            holder: Holder::default(),
            journal: Journal::open(config.log.as_deref())?,
            faults: Faults::default(),
            slots: Slots::new(config.slots, config.queue),
            cancels: IndexMap::new(),
            bytes_read: 0,
        };
        let boot = format!("{}-{}", config.name, Uuid::now_v7());
        Ok(Self {
            config: Rc::new(config),
            boot: boot.into(),
            state: Rc::new(RefCell::new(state)),
            origin: clock::now(),
        })
    }

    /// Returns the target's clock: the time since its start, freezes included.
    pub(crate) fn now(&self) -> Duration {
        clock::now().saturating_sub(self.origin)
    }

    /// Returns whether it is still cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.now() < self.config.cold_time
    }

    async fn answer(
        self,
        request: Request<Incoming>,
        link: Connection,
    ) -> Result<Response, CloseConnection> {
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| CloseConnection)?
            .to_bytes();
        let request = Request::from_parts(parts, body);
        let path = request.uri().path();
        if let Some(id) = path.strip_prefix("/bramleypier/cancel/") {
            self.state.borrow_mut().cancels.swap_remove(id);
            return Ok(serve::empty(StatusCode::NO_CONTENT));
        }
        match (request.method().as_str(), path) {
            ("POST", "/bramleypier/grant") => Ok(self.grant(request.body())),
            ("GET", "/bramleypier/state") => {
                Ok(serve::json(StatusCode::OK, &self.status(Vec::new())))
            }
            ("POST", "/fault") => Ok(self.set_faults(request.body())),
            ("GET", "/log") => {
                let state = self.state.borrow();
                Ok(serve::json(StatusCode::OK, &state.journal.runs()))
            }
            _ => self.work(request, link).await,
        }
    }

    /// Runs work in a task of its own, so that it goes on when the caller's connection closes.
    async fn work(
        self,
        request: Request<Bytes>,
        link: Connection,
    ) -> Result<Response, CloseConnection> {
        let size = request.body().len() as u64;
        self.state.borrow_mut().bytes_read += size;
        if self
            .state
            .borrow_mut()
            .faults
            .take(Fault::ResetBefore, request.method().as_str())
        {
            link.reset();
            return Err(CloseConnection);
        }
        let (answer, answered) = oneshot::channel();
        runtime::spawn(work::run(self, request, link, answer)).detach();
        answered.await.unwrap_or(Err(CloseConnection))
    }

    fn grant(&self, body: &Bytes) -> Response {
        let Ok(grant) = serde_json::from_slice::<Grant>(body) else {
            return serve::empty(StatusCode::BAD_REQUEST);
        };
        if *grant.boot != *self.boot {
            return serve::json(StatusCode::CONFLICT, &self.status(Vec::new()));
        }
        let refused = self.state.borrow_mut().holder.grant(&grant);
        serve::json(StatusCode::OK, &self.status(refused))
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state.borrow_mut().faults = faults;
                serve::empty(StatusCode::OK)
            }
            Err(_) => serve::empty(StatusCode::BAD_REQUEST),
        }
    }

    fn status(&self, refused: Vec<EpochRange>) -> Status {
        let state = self.state.borrow();
        let phase = match &state.faults.health_lie {
            Some(lie) => lie,
            None if state.faults.drain => "draining",
            None if self.is_cold() => "cold",
            None => "ready",
        };
        Status {
            boot: self.boot.to_string(),
            clock_ms: clock::millis(self.now()),
            phase: phase.to_owned(),
            load: state.faults.load_lie.unwrap_or_else(|| state.slots.load()),
            held: state.holder.held().to_vec(),
            released: state.holder.released(),
            refused,
            running: state.holder.running(),
        }
    }
}
