//! Callers that send requests to each VM all the time, on connections that they keep until the process ends.
//!
//! They record the outcome of every request; [`crate::check`] compares it with what the targets ran.

mod deployment;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bramleypier_platform_standin::server;
use bramleypier_util::{
    body::{self, Body},
    client::{self, Client},
    clock::Clock,
};
use hyper::{Request, Response, header::HeaderValue};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    check::{Outcome, RequestRecord},
    fleet::KEYS,
    pipelined::{self, Connection},
    plan::{Shape, VmSet},
};

/// How much time callers say that they have.
pub const DEADLINE: Duration = Duration::from_millis(2500);
/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most connections of all callers to one VM.
const CONNECTIONS_PER_VM: usize = 8;
/// The longest request body.
const BODY_MAX_BYTES: usize = 300;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A lookup by key, which may be retried.
    Key(u64),
    /// A lookup without a key, which may be retried.
    Lookup,
    /// An order, which may run at most once.
    Order,
    /// A download, which may be retried.
    File,
}

impl RequestKind {
    /// Returns the service that serves it.
    fn service(self, shape: Shape) -> &'static str {
        match self {
            Self::Key(_) => "keyed",
            Self::Lookup if shape == Shape::Deployment => "files",
            Self::File => "files",
            Self::Lookup | Self::Order => "plain",
        }
    }

    /// Returns the method, the path and the key.
    pub(crate) fn line(self) -> (&'static str, &'static str, u64) {
        match self {
            Self::Key(key) => ("GET", "/key/x", key),
            Self::Lookup => ("GET", "/look/x", 0),
            Self::Order => ("POST", "/order/x", 0),
            Self::File => ("GET", "/file/x", 0),
        }
    }
}

/// The callers of one run; clones share them.
#[derive(Clone, Debug)]
pub struct Callers {
    client: Client,
    clock: Clock,
    records: Rc<RefCell<Vec<RequestRecord>>>,
    stopped: Rc<Cell<bool>>,
    sent: Rc<Cell<u64>>,
    /// The VMs whose callers send nothing for now.
    quiet: Rc<Cell<VmSet>>,
    shape: Shape,
    /// Whether a part of the callers leaves early.
    leaving: Rc<Cell<bool>>,
    /// Whether callers ask for one key most of the time.
    hot: Rc<Cell<bool>>,
    /// The addresses of VMs that have moved.
    moved: Rc<RefCell<IndexMap<usize, SocketAddr>>>,
}

impl Callers {
    /// Creates the callers of a run.
    pub fn new(shape: Shape) -> Self {
        let clock = Clock::real();
        Self {
            client: Client::new(clock.clone(), CONNECTIONS_PER_VM),
            clock,
            records: Rc::default(),
            stopped: Rc::default(),
            sent: Rc::default(),
            quiet: Rc::default(),
            shape,
            leaving: Rc::default(),
            hot: Rc::default(),
            moved: Rc::default(),
        }
    }

    /// Starts the three callers of one VM, one for each kind of request.
    ///
    /// Each waits for `pause` between two requests.
    pub fn start(&self, vm: usize, address: SocketAddr, seed: u64, pause: Duration) {
        for number in 0..3 {
            let (callers, seed) = (self.clone(), seed ^ ((vm as u64) << 8) ^ number);
            let mut random = SmallRng::seed_from_u64(seed);
            compio::runtime::spawn(async move {
                while !callers.stopped.get() {
                    let kind = match number {
                        0 => RequestKind::Order,
                        1 => RequestKind::Lookup,
                        _ => RequestKind::Key(KEYS[random.random_range(0..KEYS.len())]),
                    };
                    if callers.quiet.get() & (1 << vm) == 0 {
                        callers.send(vm, address, kind).await;
                    }
                    callers.clock.sleep(pause).await;
                }
            })
            .detach();
        }
    }

    /// Starts a caller of one VM that sends several requests on a connection before the first response.
    ///
    /// It waits for `pause` for each request that it has sent.
    pub fn start_pipelining(&self, vm: usize, address: SocketAddr, seed: u64, pause: Duration) {
        let callers = self.clone();
        let mut random = SmallRng::seed_from_u64(seed ^ ((vm as u64) << 8) ^ 3);
        compio::runtime::spawn(async move {
            let mut connection = Connection::new(callers.clock.clone(), address);
            while !callers.stopped.get() {
                let kinds = pipelined::choose(&mut random);
                let pauses = u32::try_from(kinds.len()).unwrap_or(1);
                if callers.quiet.get() & (1 << vm) == 0 {
                    callers.send_batch(vm, &mut connection, kinds).await;
                }
                callers.clock.sleep(pause * pauses).await;
            }
        })
        .detach();
    }

    /// Sends several requests at once, and records their outcomes.
    async fn send_batch(&self, vm: usize, connection: &mut Connection, kinds: Vec<RequestKind>) {
        let requests = kinds.into_iter().map(|kind| pipelined::Request {
            id: self.next_id(vm),
            kind,
        });
        let batch: Vec<pipelined::Request> = requests.collect();
        let sent = self.clock.now();
        let seen = connection.send(&batch).await;
        let records = batch
            .into_iter()
            .zip(seen)
            .map(|(request, seen)| RequestRecord {
                id: request.id,
                once: request.kind == RequestKind::Order,
                service: request.kind.service(self.shape),
                vm,
                sent,
                ended: seen.ended,
                leaving: seen.leaving,
                outcome: seen.outcome,
            });
        self.records.borrow_mut().extend(records);
    }

    fn next_id(&self, vm: usize) -> String {
        let number = self.sent.get() + 1;
        self.sent.set(number);
        format!("{vm}-{number}")
    }

    /// Stops the callers once their requests in flight have ended.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Sets the VMs whose callers send nothing from now on.
    pub fn set_quiet(&self, vms: VmSet) {
        self.quiet.set(vms);
    }

    /// Ends the quiet of a set of VMs, unless that of another set has begun.
    pub fn end_quiet(&self, vms: VmSet) {
        if self.quiet.get() == vms {
            self.quiet.set(0);
        }
    }

    /// Returns the records so far of the requests that may run once.
    pub fn orders(&self) -> Vec<RequestRecord> {
        let records = self.records.borrow();
        records.iter().filter(|it| it.once).cloned().collect()
    }

    /// Takes the records of all requests so far.
    pub fn take(&self) -> Vec<RequestRecord> {
        self.records.take()
    }

    /// Sends one request and waits for its end; returns whether it was served.
    pub async fn send(&self, vm: usize, address: SocketAddr, kind: RequestKind) -> bool {
        let id = self.next_id(vm);
        let number = self.sent.get();
        // Bodies differ in length, and a target's response states the length that it received.
        let length = usize::try_from(number).unwrap_or(0) % BODY_MAX_BYTES + 1;
        let request = build_request(&id, kind, length);
        let address = self.moved.borrow().get(&vm).copied().unwrap_or(address);
        let sent = self.clock.now();
        let result = self.client.send(address, request, self.patience()).await;
        let mut leaving = false;
        let outcome = match result {
            Ok(response) => {
                leaving = response.headers().contains_key("server-leaving");
                read_response(&id, kind, length, response).await
            }
            Err(error) if error.unsent() => Outcome::Unsent,
            Err(client::Error::Timeout(..)) => Outcome::GivenUp,
            Err(_) => Outcome::Closed,
        };
        let answered = matches!(outcome, Outcome::Answered { .. });
        let served = outcome
            == (Outcome::Answered {
                status: 200,
                valid: true,
            });
        self.records.borrow_mut().push(RequestRecord {
            id,
            once: kind == RequestKind::Order,
            service: kind.service(self.shape),
            vm,
            sent,
            ended: answered.then(|| self.clock.now()),
            leaving,
            outcome,
        });
        served
    }
}

fn build_request(id: &str, kind: RequestKind, length: usize) -> Request<Body> {
    let (method, path, key) = kind.line();
    let mut request = Request::new(Body::from(vec![b'x'; length]));
    // All of these values parse.
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("a.example"));
    let deadline = u64::try_from(DEADLINE.as_millis()).unwrap_or(u64::MAX);
    headers.insert("x-deadline-ms", HeaderValue::from(deadline));
    headers.insert("x-shard-key", HeaderValue::from(key));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    request
}

/// Reads a response and checks whether it is a target's complete response to this request.
async fn read_response(
    id: &str,
    kind: RequestKind,
    length: usize,
    response: Response<client::ResponseBody>,
) -> Outcome {
    let (head, body) = response.into_parts();
    let Ok(bytes) = body::read(body, 1 << 20).await else {
        return Outcome::Closed;
    };
    let echoed = head.headers.get("x-request-id");
    let valid = echoed.is_some_and(|it| it.as_bytes() == id.as_bytes())
        && head.headers.contains_key("x-response-signature")
        && bytes == server::response_text(kind == RequestKind::File, length);
    Outcome::Answered {
        status: head.status.as_u16(),
        valid,
    }
}
