//! The platform's metadata store: keys, ranges, watches, transactions and leases.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::{Json, base64, quote},
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Default)]
struct Item {
    /// In base64, as it is sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Each change with its revision.
    events: Vec<(u64, String, String)>,
    revision: u64,
    /// The duration of each lease, and its end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":{},\"revision\":{},\"removed\":true}}", quote(key), self.revision);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|it| it.1.lease == id && id != 0).map(|it| it.0.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|it| it.1.1 <= now).map(|it| *it.0).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

fn parse_millis(text: &str) -> Option<Duration> {
    let millis: f64 = match text.strip_suffix("ms") {
        Some(number) => number.parse().ok()?,
        None => text.strip_suffix('s')?.parse::<f64>().ok()? * 1000.0,
    };
    Some(Duration::from_micros((millis * 1000.0) as u64))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn query(target: &str, name: &str) -> String {
    let parts = target.split_once('?').map_or("", |it| it.1).split('&');
    let found = parts.filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
    found.map_or_else(String::new, |it| decode(it.1))
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 7, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read(Duration::from_secs(120), || false) {
                        let (status, body) = store.handle(&request);
                        thread::sleep(ANSWER_TIME);
                        let headers = [("Content-Type", "application/json".to_owned())];
                        if connection.answer(status, &headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = expiring.lock();
                let before = state.revision;
                state.expire();
                if state.revision != before {
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Removes a key as the operator or a server does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let (method, target) = (request.part(0), request.part(1));
        let path = target.split('?').next().unwrap_or_default();
        let message = Json::parse(&request.body);
        let result = match (method, path) {
            ("GET", "/-/kv-key") => {
                let key = query(target, "key");
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-range") => self.range(&query(target, "prefix"), &query(target, "after")),
            ("GET", "/-/kv-watch") => {
                let number = |name| query(target, name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("wait-ms"));
                self.watch(&query(target, "prefix"), number("after"), wait)
            }
            ("POST", "/-/kv-txn") => self.commit(&message),
            ("POST", "/-/kv-lease") => {
                let Some(time) = parse_millis(message.get("ttl_time").text()) else {
                    return (400, "{}".to_owned());
                };
                let time = time.max(Duration::from_secs(1));
                let mut state = self.lock();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{id},\"ttl_time\":\"{}ms\"}}", time.as_millis()))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let mut state = self.lock();
                state.expire();
                if method == "POST" && path.starts_with("/-/kv-keep/") {
                    match state.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.1 = Instant::now() + lease.0;
                            (200, format!("{{\"lease\":{id},\"ttl_time\":\"{}ms\"}}", lease.0.as_millis()))
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if method == "DELETE" && path.starts_with("/-/kv-lease-end/") {
                    let known = state.end_lease(id);
                    (if known { 200 } else { 404 }, "{}".to_owned())
                } else {
                    (400, "{}".to_owned())
                }
            }
        };
        self.state.1.notify_all();
        result
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let all = state.items.iter().filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after);
        let mut rows: Vec<String> = all.take(PAGE_ITEMS + 1).map(|it| item_json(it.0, it.1)).collect();
        let more = rows.len() > PAGE_ITEMS;
        rows.truncate(PAGE_ITEMS);
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{more},\"store-revision\":{}}}",
            rows.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let newer = state.events.iter().rev().take_while(|it| it.0 > after);
            let mut events: Vec<String> =
                newer.filter(|it| it.1.starts_with(prefix)).map(|it| it.2.clone()).collect();
            events.reverse();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!("{{\"events\":[{}],\"store-revision\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).expect("no thread panics with the lock").0;
        }
    }

    fn commit(&self, message: &Json) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let expected = message.get("expected-rev").list();
        let current = |row: &Json| state.items.get(row.get("key").text()).map_or(0, |it| it.revision);
        if expected.iter().any(|row| row.get("revision").number() != Some(current(row))) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let items: Vec<String> =
                keys.filter_map(|key| state.items.get(key).map(|it| item_json(key, it))).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = message.get("puts").list();
        let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|it| lease(it) != 0 && !state.leases.contains_key(&lease(it))) {
            return (404, "{}".to_owned());
        }
        let removed = message.get("remove").list();
        let mut keys = puts.iter().map(|it| it.get("key").text()).chain(removed.iter().map(Json::text));
        if keys.any(|it| it.starts_with("op/") || it.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text().to_owned(), lease(put));
        }
        for key in removed {
            state.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
