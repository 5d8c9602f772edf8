//! Callers that go on asking each VM, on connections that they keep until the process is gone.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bramleypier_util::{
    body::{self, Body},
    client::{self, Client},
    clock::Clock,
};
use hyper::{Request, Response, body::Incoming, header::HeaderValue};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    check::{Ended, Seen},
    fleet::KEYS,
};

/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);
/// How long a caller waits for an answer.
const WAIT: Duration = Duration::from_secs(3);
/// How many connections callers keep to one VM.
const CONNECTIONS: usize = 8;
/// The longest body, in bytes.
const BODY_MOST: usize = 300;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A look-up by key, which may be repeated.
    Key(u64),
    /// A look-up without a key.
    Look,
    /// An order, which runs once at most.
    Order,
}

/// One run's callers.
#[derive(Clone, Debug)]
pub struct Callers {
    client: Client,
    clock: Clock,
    seen: Rc<RefCell<Vec<Seen>>>,
    stopped: Rc<Cell<bool>>,
    sent: Rc<Cell<u64>>,
}

impl Default for Callers {
    fn default() -> Self {
        let clock = Clock::real();
        Self {
            client: Client::new(clock.clone(), CONNECTIONS),
            clock,
            seen: Rc::default(),
            stopped: Rc::default(),
            sent: Rc::default(),
        }
    }
}

impl Callers {
    /// Starts the callers of one VM.
    pub fn start(&self, vm: usize, address: SocketAddr, seed: u64) {
        for number in 0..3 {
            let (callers, seed) = (self.clone(), seed ^ ((vm as u64) << 8) ^ number);
            let mut random = SmallRng::seed_from_u64(seed);
            compio::runtime::spawn(async move {
                while !callers.stopped.get() {
                    let kind = match number {
                        0 => Kind::Order,
                        1 => Kind::Look,
                        _ => Kind::Key(KEYS[random.random_range(0..KEYS.len())]),
                    };
                    callers.ask(vm, address, kind).await;
                    callers.clock.sleep(PAUSE).await;
                }
            })
            .detach();
        }
    }

    /// Has the callers stop after their requests under way.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Takes what they have seen.
    pub fn take(&self) -> Vec<Seen> {
        self.seen.take()
    }

    /// Sends one request and waits for its end; returns whether it was served.
    pub async fn ask(&self, vm: usize, address: SocketAddr, kind: Kind) -> bool {
        let number = self.sent.get() + 1;
        self.sent.set(number);
        let id = format!("{vm}-{number}");
        // Bodies differ in length, and a target's answer names it.
        let length = usize::try_from(number).unwrap_or(0) % BODY_MOST + 1;
        let request = request(&id, kind, length);
        let sent = self.clock.now();
        let result = self.client.send(address, request, WAIT).await;
        let ended = match result {
            Ok(response) => answered(&id, length, response).await,
            Err(error) if error.unsent() => Ended::Unsent,
            Err(client::Error::Timeout(..)) => Ended::GivenUp,
            Err(_) => Ended::Closed,
        };
        let served = ended
            == (Ended::Answered {
                status: 200,
                own: true,
            });
        self.seen.borrow_mut().push(Seen {
            id,
            once: kind == Kind::Order,
            vm,
            sent,
            ended,
        });
        served
    }
}

fn request(id: &str, kind: Kind, length: usize) -> Request<Body> {
    let (method, path, key) = match kind {
        Kind::Key(key) => ("GET", "/key/x", key),
        Kind::Look => ("GET", "/look/x", 0),
        Kind::Order => ("POST", "/order/x", 0),
    };
    let mut request = Request::new(Body::from(vec![b'x'; length]));
    // All of these are well-formed.
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("a.example"));
    headers.insert("x-deadline-ms", HeaderValue::from_static("2500"));
    headers.insert("x-shard-key", HeaderValue::from(key));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    request
}

/// Reads an answer, and tells whether it is a target's whole one for this request.
async fn answered(id: &str, length: usize, response: Response<Incoming>) -> Ended {
    let (head, rest) = response.into_parts();
    let Ok(bytes) = body::read(rest, 1 << 20).await else {
        return Ended::Closed;
    };
    let echoed = head.headers.get("x-request-id");
    let own = echoed.is_some_and(|it| it.as_bytes() == id.as_bytes())
        && head.headers.contains_key("x-response-signature")
        && bytes == format!("done {length}").as_bytes();
    Ended::Answered {
        status: head.status.as_u16(),
        own,
    }
}
