//! Case: answers break off shortly before their end, and a second answer follows on the same connection.

use std::{path::Path, thread, time::Duration};

use crate::{
    CONFIG, Verdict,
    clients::{Clients, Request},
    record::Record,
    server::{Kind, Server},
    store::Store,
    vm::Vm,
    wait_ready,
};

const KIND: Kind =
    Kind { service: "wuno96b", sharded: false, work: Duration::from_millis(20), idle_s: 10, spoilt: 0 };
/// Six servers of ten spoil 30 answers in a thousand.
const SERVERS: usize = 10;
const FAULTY: usize = 6;
const SPOILT: u64 = 30;
/// How long servers are faulty, after two calm seconds.
const TIME: Duration = Duration::from_secs(5);

pub fn play(store: &Store, folder: &Path, record: &Record, trouble: bool) -> Verdict {
    store.put("op/config", CONFIG);
    let vms = Vm::start_all(4, store.address, folder);
    let kind = |index: usize| Kind { spoilt: if trouble && index < FAULTY { SPOILT } else { 0 }, ..KIND };
    let servers: Vec<Server> =
        (0..SERVERS).map(|it| Server::start(&format!("i-{}", it + 1), kind(it), store, record)).collect();
    if !wait_ready(&vms) {
        return Verdict::NotRun("the VMs aren't ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let clients = Clients::default();
    let request =
        Request { method: "POST", path: "/xapu221/", deadline: Duration::from_millis(2000), keyed: false };
    let addresses = vms.iter().map(|it| it.callers).collect();
    clients.start(24, Duration::from_millis(80), addresses, request, record);
    thread::sleep(TIME);
    clients.stop();
    thread::sleep(Duration::from_millis(2500));
    let outcomes = clients.outcomes.lock().expect("outcomes");
    let served = outcomes.values().filter(|it| it.status == Some(200)).count();
    let wrong = outcomes.values().filter(|it| it.wrong.is_some()).count();
    let ran: usize = servers.iter().map(|it| it.runs.lock().expect("runs").len()).sum();
    record.say(&format!("orders={} run={ran} served={served} wrong bodies={wrong}", outcomes.len()));
    if served * 2 < outcomes.len() || served == 0 {
        return Verdict::NotRun("the orders aren't served".to_owned());
    }
    if wrong > 0 { Verdict::Broken } else { Verdict::Held }
}
