//! Case: a server whose paths are cut is taken for ended, because it has just closed an idle connection.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIG, Verdict,
    clients::{Clients, Request},
    record::Record,
    server::{KEYS, Kind, Server},
    store::Store,
    vm::Vm,
    wait_ready,
};

const KIND: Kind = Kind { service: "huvo11a", sharded: true, work: Duration::from_millis(25), idle_s: 1, spoilt: 0 };
/// How long both servers may hold a key at the same time.
const ALLOWED: Duration = Duration::from_millis(500);
/// How long ago a server has closed a connection at most when its paths are cut.
const JUST: Duration = Duration::from_millis(300);
/// How long the paths to one server of six are cut, when first, and how often.
const CUT: Duration = Duration::from_secs(3);
const FIRST_CUT: Duration = Duration::from_secs(10);
const CUT_INTERVAL: Duration = Duration::from_secs(7);
const CUTS: usize = 4;

/// For each key that is looked at: since when which pair of servers holds it.
struct Watch {
    keys: Vec<usize>,
    since: Vec<Option<(usize, usize, Instant)>>,
    longest: Duration,
    worst: String,
}

impl Watch {
    fn new() -> Self {
        let keys: Vec<usize> = (0..KEYS).step_by(256).collect();
        let since = vec![None; keys.len()];
        Self { keys, since, longest: Duration::ZERO, worst: String::new() }
    }

    fn look(&mut self, servers: &[Server]) {
        let held: Vec<Vec<bool>> = servers.iter().map(|it| it.held_of(&self.keys)).collect();
        let now = Instant::now();
        for (at, key) in self.keys.iter().enumerate() {
            let holders: Vec<usize> = (0..servers.len()).filter(|it| held[*it][at]).collect();
            let [first, second, ..] = holders[..] else {
                self.since[at] = None;
                continue;
            };
            let since = match self.since[at] {
                Some((a, b, since)) if (a, b) == (first, second) => since,
                _ => now,
            };
            self.since[at] = Some((first, second, since));
            if now - since > self.longest {
                self.longest = now - since;
                self.worst = format!("key {key} by {} and {}", servers[first].id, servers[second].id);
            }
        }
    }
}

pub fn play(store: &Store, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    store.put("op/config", CONFIG);
    let mut servers: Vec<Server> =
        (1..=5).map(|it| Server::start(&format!("i-{it}"), KIND, store, record)).collect();
    let vms = Vm::start_all(4, store.address, folder);
    if !wait_ready(&vms) {
        return Verdict::NotRun("the VMs aren't ready".to_owned());
    }
    let clients = Clients::default();
    let request =
        Request { method: "GET", path: "/lepu270/", deadline: Duration::from_millis(500), keyed: true };
    let addresses = vms.iter().map(|it| it.callers).collect();
    clients.start(24, Duration::from_millis(90), addresses, request, record);
    let began = Instant::now();
    let mut watch = Watch::new();
    let mut cut: Option<(usize, Instant)> = None;
    let (mut cuts, mut added) = (0, false);
    while began.elapsed() < Duration::from_secs(45) {
        thread::sleep(Duration::from_millis(5));
        watch.look(&servers);
        if !added && began.elapsed() > Duration::from_secs(6) {
            added = true;
            servers.push(Server::start("i-6", KIND, store, record));
        }
        if let Some((at, since)) = cut {
            if since.elapsed() > CUT {
                servers[at].set_cut(false);
                cut = None;
            }
        } else if trouble && cuts < CUTS && began.elapsed() > FIRST_CUT + CUT_INTERVAL * cuts as u32 {
            // The next server that closes an idle connection of the manager is cut, while it holds keys.
            let closed = |it: &Server| *it.closed_idle.lock().expect("closed");
            let just = |it: &Server| closed(it).is_some_and(|at| at.elapsed() < JUST);
            let holds = |it: &Server| it.held_of(&watch.keys).contains(&true);
            if let Some(at) = servers.iter().position(|it| just(it) && holds(it)) {
                servers[at].set_cut(true);
                (cut, cuts) = (Some((at, Instant::now())), cuts + 1);
            }
        }
    }
    clients.stop();
    thread::sleep(Duration::from_millis(600));
    for vm in &vms {
        for line in vm.log_lines(&["range-lost", "ending=Gone", "manager-elected"]) {
            record.line(&format!("log of {}: {line}", vm.name));
        }
    }
    let outcomes = clients.outcomes.lock().expect("outcomes");
    let served = outcomes.values().filter(|it| it.status == Some(200)).count();
    record.say(&format!("requests={} served={served} cuts={cuts}", outcomes.len()));
    if served * 2 < outcomes.len() || served == 0 {
        return Verdict::NotRun("the requests aren't served".to_owned());
    }
    if trouble && cuts == 0 {
        return Verdict::NotRun("no server closed an idle connection of the manager".to_owned());
    }
    record.say(&format!("held by two servers at once for {} ms at most: {}", watch.longest.as_millis(), watch.worst));
    if watch.longest > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
