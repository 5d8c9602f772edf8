//! Case: settings change, and two signals tell of each change, one shortly after the other.

use std::{
    collections::HashSet,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIG, Verdict,
    clients::{Clients, Outcome, Random, Request},
    record::Record,
    server::{Kind, Server},
    store::Store,
    vm::Vm,
    wait_ready,
};

const KIND: Kind = Kind { service: "wuno96b", sharded: false, work: Duration::from_millis(100), idle_s: 10, spoilt: 0 };
const VMS: usize = 10;
/// How many of the VMs get the signals of a change.
const SHARE: usize = 7;
/// How often settings change, and how long after the first signal the second may come.
const CHANGES: u32 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);
const MAX_DELAY_US: u64 = 1000;
/// The delay after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
const SIGHUP: i32 = 1;

pub fn play(store: &Store, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    store.put("op/config", CONFIG);
    let servers: Vec<Server> =
        (1..=14).map(|it| Server::start(&format!("i-{it}"), KIND, store, record)).collect();
    let mut vms = Vm::start_all(VMS, store.address, folder);
    if !wait_ready(&vms) {
        return Verdict::NotRun("the VMs aren't ready".to_owned());
    }
    let clients = Clients::default();
    let request =
        Request { method: "POST", path: "/xapu221/", deadline: Duration::from_millis(2000), keyed: false };
    let addresses = vms.iter().map(|it| it.callers).collect();
    clients.start(24, Duration::from_millis(100), addresses, request, record);
    thread::sleep(Duration::from_secs(3));
    let (began, mut random) = (Instant::now(), Random(0x2545_f491_4f6c_dd1d));
    let (mut changes, mut signals) = (0, 0);
    while began.elapsed() < CHANGE_INTERVAL * (CHANGES + 1) {
        thread::sleep(Duration::from_millis(10));
        if vms.iter_mut().any(Vm::has_ended) {
            thread::sleep(RESTART);
            vms.iter_mut().for_each(|it| it.revive(record));
        }
        if !trouble || changes >= CHANGES || began.elapsed() < CHANGE_INTERVAL * changes {
            continue;
        }
        changes += 1;
        for at in 0..SHARE {
            let vm = &vms[(changes as usize * SHARE + at) % VMS];
            record.line(&format!("{} gets SIGHUP twice", vm.name));
            vm.signal(SIGHUP);
            let until = Instant::now() + Duration::from_micros(random.below(MAX_DELAY_US));
            while Instant::now() < until {}
            vm.signal(SIGHUP);
            signals += 2;
            thread::sleep(Duration::from_millis(20));
        }
    }
    clients.stop();
    thread::sleep(Duration::from_millis(2500));
    let runs: HashSet<String> = servers
        .iter()
        .flat_map(|it| it.runs.lock().expect("runs").iter().map(|it| it.0.clone()).collect::<Vec<_>>())
        .collect();
    let outcomes = clients.outcomes.lock().expect("outcomes");
    let served = outcomes.values().filter(|it| it.status == Some(200)).count();
    let ends: usize = vms.iter().map(|it| it.ends).sum();
    let in_time = |it: &Outcome| it.ended - it.sent < request.deadline;
    let cut = |(id, it): &(&String, &Outcome)| it.written && it.closed && in_time(it) && runs.contains(*id);
    let lost: Vec<_> = outcomes.iter().filter(cut).collect();
    for (id, it) in &lost {
        record.line(&format!(
            "order {id}: run by a server, its connection to {} ended without an answer after {} ms",
            vms[it.vm].name,
            (it.ended - it.sent).as_millis()
        ));
    }
    record.say(&format!(
        "orders={} served={served} signals={signals} processes that ended={ends} orders cut={}",
        outcomes.len(),
        lost.len()
    ));
    if served * 2 < outcomes.len() || served == 0 {
        return Verdict::NotRun("the orders aren't served".to_owned());
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
