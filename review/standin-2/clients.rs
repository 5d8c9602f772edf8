//! Clients: each sends one request after the other, each on a new connection to a random VM.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    record::Record,
    server::body_of,
};

/// For how many seconds the same keys are busy.
const HOT_S: u64 = 4;

/// What a client sends.
#[derive(Clone, Copy)]
pub struct Request {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    /// Whether it bears a key.
    pub keyed: bool,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub vm: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// The status; none if the connection ended without a whole answer, or nothing came in time.
    pub status: Option<u16>,
    /// Whether the connection ended, in contrast to the time.
    pub closed: bool,
    /// Whether the whole request was written.
    pub written: bool,
    /// Whether it is a signed success with another body than the server's, and that body.
    pub wrong: Option<String>,
}

#[derive(Clone, Default)]
pub struct Clients {
    pub outcomes: Arc<Mutex<HashMap<String, Outcome>>>,
    stop: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
}

/// A small generator of random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

impl Clients {
    pub fn start(&self, count: u64, pause: Duration, vms: Vec<SocketAddr>, request: Request, record: &Record) {
        for index in 0..count {
            let (clients, vms, record) = (self.clone(), vms.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random(0x9e37_79b9_7f4a_7c15 ^ (index + 1) << 20);
                while !clients.stop.load(Ordering::SeqCst) {
                    clients.send(&vms, request, &mut random, &record);
                    thread::sleep(pause / 2 + pause * random.below(100) as u32 / 100);
                }
            });
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    fn send(&self, vms: &[SocketAddr], request: Request, random: &mut Random, record: &Record) {
        let id = format!("{:016x}", self.count.fetch_add(1, Ordering::SeqCst));
        let vm = random.below(vms.len() as u64) as usize;
        let Ok(mut connection) = Connection::open(vms[vm]) else {
            return;
        };
        let mut headers = vec![
            ("Host", "jepu9.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
        ];
        if request.keyed {
            // Two fifths of the requests are for 200 keys that are close to one another; others get busy after 4 s.
            let hot = record.elapsed().as_secs() / HOT_S * 9973 % 65_000;
            let key = if random.below(5) < 2 { hot + random.below(200) } else { random.below(65_536) };
            headers.push(("X-Shard-Key", key.to_string()));
        }
        let first = format!("{} {}{id} HTTP/1.1", request.method, request.path);
        let body: &[u8] = if request.method == "POST" { b"order" } else { b"" };
        let sent = Instant::now();
        let written = connection.write(&first, &headers, body).is_ok();
        record.line(&format!("client sends {id} to vm {}", vm + 1));
        let read = connection.read(request.deadline, || false);
        let status = read.as_ref().ok().map(|it| it.status());
        let closed = !matches!(read, Ok(_) | Err(crate::http::End::Idle));
        let ended = Instant::now();
        let line = match &status {
            Some(status) => format!("client gets {status} for {id} after {} ms", (ended - sent).as_millis()),
            None => format!("client gets no answer for {id}, closed={closed}, after {} ms", (ended - sent).as_millis()),
        };
        record.line(&line);
        let signed = |it: &&Message| it.status() == 200 && it.header("x-response-signature").is_some();
        let body = read.as_ref().ok().filter(signed).map(|it| String::from_utf8_lossy(&it.body).into_owned());
        let wrong = body.filter(|it| *it != body_of(&id));
        if let Some(body) = &wrong {
            record.line(&format!("client gets a wrong body for {id}: {body:?}"));
        }
        let outcome = Outcome { vm, sent, ended, status, closed, written, wrong };
        self.outcomes.lock().expect("outcomes").insert(id, outcome);
    }
}
