//! A server: it runs requests, holds keys by grants, and announces itself in the store.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    clients::Random,
    http::{Connection, End, Message, reset_on_close},
    json::Json,
    record::Record,
    store::Store,
};

pub const KEYS: usize = 65_536;
const HEARTBEAT: Duration = Duration::from_millis(870);
/// The silence after which the store removes an entry.
const EXPIRY: Duration = Duration::from_millis(870 * 3);
const SLOTS: u64 = 2;
const QUEUE: u64 = 8;

/// What a server is like.
#[derive(Clone, Copy)]
pub struct Kind {
    pub service: &'static str,
    pub sharded: bool,
    pub work: Duration,
    /// The timeout of idle connections, in whole seconds, which its answers tell.
    pub idle_s: u64,
    /// Of how many answers in a thousand the last bytes stay away, and a second answer comes.
    pub spoilt: u64,
}

/// How long after an answer that breaks off the second one comes.
const SECOND_ANSWER: Duration = Duration::from_millis(30);

/// Returns the body of the answer to a request.
pub fn body_of(id: &str) -> String {
    id.repeat(25)
}

/// A run of a request: its id, when it began, and whether its answer was written.
pub type Run = (String, Instant, bool);

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    kind: Kind,
    /// For each key the highest fence that was seen, and until when it is held.
    held: Arc<Mutex<Vec<(u64, Instant)>>>,
    /// The keys of requests that run now.
    running: Arc<Mutex<Vec<usize>>>,
    load: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Whether all paths to it are cut.
    cut: Arc<AtomicBool>,
    /// When it last closed an idle connection on which it had answered a grant or a release.
    pub closed_idle: Arc<Mutex<Option<Instant>>>,
    random: Arc<Mutex<Random>>,
    record: Record,
}

impl Server {
    pub fn start(id: &str, kind: Kind, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Self {
            id: id.to_owned(),
            address,
            kind,
            held: Arc::new(Mutex::new(vec![(0, Instant::now()); KEYS])),
            running: Arc::default(),
            load: Arc::default(),
            runs: Arc::default(),
            cut: Arc::default(),
            closed_idle: Arc::default(),
            random: Arc::new(Mutex::new(Random(0x9e37_79b9_7f4a_7c15 ^ u64::from(address.port()) << 16))),
            record: record.clone(),
        };
        record.line(&format!("server {id} of {} starts at {}", kind.service, server.address));
        let (accepting, beating, store) = (server.clone(), server.clone(), store.clone());
        thread::spawn(move || accepting.accept(listener));
        thread::spawn(move || beating.announce(&store));
        server
    }

    /// Cuts all paths to and from it: connections are reset, and new ones refused. It goes on running.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.record.line(&format!("server {}: paths cut={cut}", self.id));
    }

    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    pub fn holds(&self, key: usize) -> bool {
        self.held.lock().expect("held")[key].1 > Instant::now()
    }

    /// Returns how many of these keys it holds.
    pub fn held_of(&self, keys: &[usize]) -> Vec<bool> {
        let (now, held) = (Instant::now(), self.held.lock().expect("held"));
        keys.iter().map(|key| held[*key].1 > now).collect()
    }

    fn announce(&self, store: &Store) {
        let key = format!("servers/{}", self.id);
        let (mut sequence, mut last) = (0, Instant::now());
        loop {
            if self.is_cut() {
                if last.elapsed() > EXPIRY && store.has(&key) {
                    store.remove(&key);
                }
            } else {
                last = Instant::now();
                sequence += 1;
                if sequence == 1 || !store.has(&key) {
                    store.put(
                        &key,
                        &format!(
                            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                             \"capacity\":{SLOTS},\"state\":\"ready\",\"warmup-left\":\"0ms\",\"sequence\":{sequence}}}",
                            self.kind.service, self.address
                        ),
                    );
                }
            }
            thread::sleep(HEARTBEAT / 8);
        }
    }

    fn accept(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.is_cut() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(open) = &listener {
                let _ = open.set_nonblocking(true);
                while let Ok((stream, _)) = open.accept() {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let (mut used, mut granted) = (false, false);
        let mut idle = Duration::from_secs(10);
        loop {
            match connection.read(idle, || self.is_cut()) {
                Ok(request) => {
                    let path = request.part(1);
                    granted |= path == "/-/grant" || path == "/-/release";
                    let answered = self.handle(&mut connection, &request);
                    if self.is_cut() {
                        reset_on_close(&connection.stream);
                        return;
                    }
                    if !answered {
                        return;
                    }
                    used = true;
                    idle = Duration::from_secs(self.kind.idle_s);
                }
                Err(End::Idle) => {
                    if used && granted {
                        drop(connection);
                        *self.closed_idle.lock().expect("closed") = Some(Instant::now());
                        let line = format!("server {}: closes a manager's connection, idle for {idle:?}", self.id);
                        self.record.line(&line);
                    }
                    return;
                }
                Err(End::Stopped) => {
                    reset_on_close(&connection.stream);
                    return;
                }
                Err(_) => return,
            }
        }
    }

    /// Handles a request; returns whether its connection goes on.
    fn handle(&self, connection: &mut Connection, request: &Message) -> bool {
        let expected = request.header("x-expect-instance");
        let keep = ("Keep-Alive", format!("timeout={}", self.kind.idle_s));
        let id = request.header("x-request-id").map(str::to_owned);
        let other = expected.is_some_and(|it| it != self.id);
        let refuse = |status: u16| {
            let mut headers = vec![keep.clone(), ("X-Not-Executed", "1".to_owned())];
            headers.push(("X-Instance-Id", self.id.clone()));
            headers.extend(id.clone().map(|it| ("X-Request-Id", it)));
            (status, headers)
        };
        let (status, headers) = match request.part(1) {
            _ if other => refuse(421),
            "/-/grant" => (self.grant(&Json::parse(&request.body)), vec![keep]),
            "/-/release" => {
                self.release(&Json::parse(&request.body));
                (200, vec![keep, ("X-Handover", "5c0e7a21d94b36f8".to_owned())])
            }
            _ => match id.clone() {
                None => refuse(400),
                Some(id) => match self.run(connection, &id, request) {
                    Err(status) => refuse(status),
                    Ok(status) => {
                        let headers = vec![
                            keep,
                            ("X-Request-Id", id.clone()),
                            ("X-Response-Signature", format!("sig.{id}")),
                        ];
                        (status, headers)
                    }
                },
            },
        };
        let body = body_of(id.as_deref().unwrap_or_default());
        if status == 200 && id.is_some() && self.is_spoilt() {
            return self.answer_twice(connection, &headers, &body);
        }
        let written = !self.is_cut() && connection.answer(status, &headers, body.as_bytes()).is_ok();
        if let Some(id) = id.filter(|_| written && status == 200) {
            let mut runs = self.runs.lock().expect("runs");
            if let Some(run) = runs.iter_mut().rev().find(|it| it.0 == id) {
                run.2 = true;
            }
        }
        written
    }

    /// Decides whether an answer is spoilt.
    fn is_spoilt(&self) -> bool {
        self.random.lock().expect("random").below(1000) < self.kind.spoilt
    }

    /// Breaks an answer off shortly before its end, and sends a second, whole one on the same connection.
    fn answer_twice(&self, connection: &mut Connection, headers: &[(&str, String)], body: &str) -> bool {
        let missing = 1 + self.random.lock().expect("random").below(40) as usize;
        self.record.line(&format!("server {} breaks off {} bytes before the end, and answers again", self.id, missing));
        let broken = connection.answer_part(200, headers, body.as_bytes(), missing);
        thread::sleep(SECOND_ANSWER);
        broken.is_ok() && connection.answer(200, headers, body.as_bytes()).is_ok()
    }

    /// Runs a request; an error is the status with which it isn't run.
    fn run(&self, connection: &Connection, id: &str, request: &Message) -> Result<u16, u16> {
        let key = request.header("x-shard-key").and_then(|it| it.parse::<usize>().ok());
        if self.kind.sharded && !key.is_some_and(|key| key < KEYS && self.holds(key)) {
            return Err(421);
        }
        if self.load.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.load.fetch_sub(1, Ordering::SeqCst);
            return Err(503);
        }
        // Waiting for a slot.
        while self.running.lock().expect("running").len() as u64 >= SLOTS {
            thread::sleep(Duration::from_millis(1));
            if connection.has_left() {
                self.load.fetch_sub(1, Ordering::SeqCst);
                return Err(503);
            }
        }
        if self.kind.sharded && !key.is_some_and(|key| self.holds(key)) {
            self.load.fetch_sub(1, Ordering::SeqCst);
            return Err(421);
        }
        self.running.lock().expect("running").push(key.unwrap_or(KEYS));
        self.runs.lock().expect("runs").push((id.to_owned(), Instant::now(), false));
        self.record.line(&format!("server {} runs {id}", self.id));
        thread::sleep(self.kind.work);
        let mut running = self.running.lock().expect("running");
        let at = running.iter().position(|it| *it == key.unwrap_or(KEYS));
        running.swap_remove(at.expect("its own entry"));
        drop(running);
        self.load.fetch_sub(1, Ordering::SeqCst);
        let outlasted = self.kind.sharded && !key.is_some_and(|key| self.holds(key));
        Ok(if outlasted { 500 } else { 200 })
    }

    fn grant(&self, order: &Json) -> u16 {
        let arrived = Instant::now();
        let (from, to) = (order.get("from").number(), order.get("to").number());
        let fence = order.get("fence").number();
        let time = order.get("hold_time").text().strip_suffix("ms").and_then(|it| it.parse().ok());
        let (Some(from), Some(to), Some(fence), Some(time)) = (from, to, fence, time) else {
            return 400;
        };
        let keys = from as usize..=to as usize;
        if *keys.end() >= KEYS || keys.is_empty() {
            return 400;
        }
        let mut held = self.held.lock().expect("held");
        if held[keys.clone()].iter().any(|it| it.0 > fence) {
            return 409;
        }
        let until = arrived + Duration::from_millis(time);
        let is_new = held[from as usize].0 != fence;
        held[keys].fill((fence, until));
        drop(held);
        if is_new {
            self.record.line(&format!("server {} is granted {from}..{to} fence={fence} for {time} ms", self.id));
        }
        200
    }

    fn release(&self, order: &Json) {
        let (Some(from), Some(to)) = (order.get("from").number(), order.get("to").number()) else {
            return;
        };
        let fence = order.get("fence").number().unwrap_or(0);
        let keys = from as usize..=(to as usize).min(KEYS - 1);
        let now = Instant::now();
        for entry in &mut self.held.lock().expect("held")[keys.clone()] {
            *entry = (entry.0.max(fence), now);
        }
        self.record.line(&format!("server {} releases {from}..{to} fence={fence}", self.id));
        while self.running.lock().expect("running").iter().any(|key| keys.contains(key)) {
            thread::sleep(Duration::from_millis(1));
        }
    }
}
