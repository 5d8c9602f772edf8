//! A target's stand-in: a server that holds grants, runs requests in a limited number of slots, and
//! shows faults that tests inject.

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

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name.
    pub name: String,
    /// Whether it rejects work that no grant covers.
    pub checks_grants: bool,
    /// How many requests run concurrently.
    pub slots: usize,
    /// How many requests can be queued for a slot; further ones are rejected.
    pub queue: usize,
    /// How long accepting a connection takes, during which no other is accepted.
    pub connect_cost: Duration,
    /// The mean processing time of a request.
    pub work_time: Duration,
    /// Whether processing times are exponentially distributed; otherwise all are equal.
    pub exponential: bool,
    /// How long the target is cold after its start.
    pub cold_time: Duration,
    /// The factor by which work takes longer while the target is cold.
    pub cold_factor: f64,
    /// The file for the log of runs, if one is written.
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

/// State shared by the tasks of a target.
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
    started_at: Duration,
}

/// Runs a target on a listener forever.
///
/// # Errors
///
/// Fails if the log can't be opened.
pub async fn run(listener: TcpListener, config: Config) -> io::Result<()> {
    let target = Target::new(config)?;
    let cost = target.config.connect_cost;
    serve::run(listener, cost, move |request, connection| {
        target.clone().handle(request, connection)
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
            started_at: clock::now(),
        })
    }

    /// Returns the target's clock: the time since its start, including time when it was frozen.
    pub(crate) fn now(&self) -> Duration {
        clock::now().saturating_sub(self.started_at)
    }

    /// Returns whether the target is still cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.now() < self.config.cold_time
    }

    async fn handle(
        self,
        request: Request<Incoming>,
        connection: Connection,
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
            ("POST", "/bramleypier/grant") => Ok(self.handle_grant(request.body())),
            ("GET", "/bramleypier/state") => {
                Ok(serve::json(StatusCode::OK, &self.status(Vec::new())))
            }
            ("POST", "/fault") => Ok(self.set_faults(request.body())),
            ("GET", "/log") => {
                let state = self.state.borrow();
                Ok(serve::json(StatusCode::OK, &state.journal.runs()))
            }
            _ => self.handle_work(request, connection).await,
        }
    }

    /// Runs work in its own task, so that it continues if the caller closes the connection.
    async fn handle_work(
        self,
        request: Request<Bytes>,
        connection: Connection,
    ) -> Result<Response, CloseConnection> {
        let size = request.body().len() as u64;
        self.state.borrow_mut().bytes_read += size;
        if self
            .state
            .borrow_mut()
            .faults
            .take(Fault::ResetBefore, request.method().as_str())
        {
            connection.reset();
            return Err(CloseConnection);
        }
        let (sender, receiver) = oneshot::channel();
        runtime::spawn(work::run(self, request, connection, sender)).detach();
        receiver.await.unwrap_or(Err(CloseConnection))
    }

    fn handle_grant(&self, body: &Bytes) -> Response {
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
            Some(phase) => phase,
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
