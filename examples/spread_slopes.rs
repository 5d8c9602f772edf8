//! Measures how membership and spread grow with the fleet: the decisions alone, without sockets.
//!
//! `cargo run --release --example spread_slopes -- members 3 12 48` runs fleets of those sizes and
//! prints, for each VM and second, messages, bytes as encoded for the wire, and time spent in the
//! decisions; then the members and bytes held; then how soon a lost VM is suspected and declared.
//!
//! `cargo run --release --example spread_slopes -- spread 12 48` compares how a document reaches a
//! fleet by a star, by a tree and by the product's own store: hops, bytes, and what the loss of an
//! interior VM does. A hop is one call; each VM calls at most four others in a hop.
//!
//! `cargo run --release --example spread_slopes -- heal 12 48` cuts a third of the fleet off for two
//! minutes and prints how soon after the cut has gone all are live to each other again, and hold a
//! document put meanwhile.

#[path = "spread_slopes/compare.rs"]
mod compare;
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{env, time::Duration};

use bramleypier::{
    gossip::Event,
    id::VmId,
    membership::{Standing, Timing},
    peer,
    spread::{Id, Item, Kind, Limits},
};
use fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);
/// Failure domains of a small fleet, and of a big one.
const DOMAINS: [usize; 2] = [3, 11];
/// From this size on a fleet is big.
const BIG: usize = 500;
/// From this size on a start takes minutes to settle.
const HUGE: usize = 1_000;
/// VMs that are lost one after the other in a small fleet, and in a big one.
const LOSSES: [usize; 2] = [6, 3];

fn main() {
    let mut arguments = env::args().skip(1);
    let part = arguments.next().unwrap_or_default();
    let sizes: Vec<usize> = arguments.filter_map(|it| it.parse().ok()).collect();
    match part.as_str() {
        "members" => members(&sizes),
        "spread" => compare::run(&sizes),
        "heal" => heal(&sizes),
        _ => eprintln!("usage: spread_slopes members|spread|heal SIZE..."),
    }
}

fn members(sizes: &[usize]) {
    println!(
        "| VMs | messages/s | bytes/s sent | most bytes/s | us/s of decisions | members held \
         | bytes held | size estimated | document everywhere, s | suspected, s (median, most) \
         | declared by all, s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        measure(*size);
    }
}

fn heal(sizes: &[usize]) {
    println!("| VMs | first contact, s | all hold the document, s | all live to each other, s |");
    println!("|---|---|---|---|");
    for size in sizes {
        let mut fleet = Fleet::new(*size, DOMAINS[0], Timing::default(), Limits::default(), 11);
        fleet.tells = false;
        fleet.run(SECOND * 30);
        let far = *size / 3;
        cut_off(&mut fleet, far);
        let times = reunion(&mut fleet, far);
        let text = times.map(|time| time.map_or("-".to_owned(), |time| format!("{time:.2}")));
        println!("| {size} | {} |", text.join(" | "));
    }
}

/// The document that is put while some VMs are cut off.
fn document() -> Item {
    Item::new(Id::new(Kind::Document, "tracking"), 7, vec![b'x'; 1_500])
}

/// Cuts the first VMs off for two minutes, and puts a document on the other side.
fn cut_off(fleet: &mut Fleet, far: usize) {
    let all = fleet.nodes.len();
    let pairs = (0..far).flat_map(|a| (far..all).flat_map(move |b| [(a, b), (b, a)]));
    fleet.cuts.extend(pairs);
    fleet.run(SECOND * 60);
    fleet.put(all - 1, Event::Put(document()));
    fleet.run(SECOND * 60);
    fleet.cuts.clear();
}

/// Tells when one far VM has the document, when all have, and when all see all.
fn reunion(fleet: &mut Fleet, far: usize) -> [Option<f64>; 3] {
    let all = fleet.nodes.len();
    let id = document().id;
    let begun = fleet.now;
    let mut times = [None; 3];
    while times[2].is_none() && fleet.now < begun + SECOND * 120 {
        fleet.run(Duration::from_millis(50));
        let holds = |it: usize| fleet.nodes[it].gossip.store().version(&id).is_some();
        let sees = |it: usize| fleet.nodes[it].gossip.membership().live().len() == all;
        let met = [(0..far).any(holds), (0..all).all(holds), (0..all).all(sees)];
        let now = fleet.now.saturating_sub(begun).as_secs_f64();
        for (time, met) in times.iter_mut().zip(met) {
            *time = time.or(met.then_some(now));
        }
    }
    times
}

fn measure(size: usize) {
    let domains = DOMAINS[usize::from(size >= BIG)];
    let mut fleet = Fleet::new(size, domains, Timing::default(), Limits::default(), 11);
    fleet.tells = false;
    fleet.run(settling(size));
    let calm = calm(&mut fleet);
    let held = held(&fleet);
    let everywhere = everywhere(&mut fleet);
    let losses = losses(&mut fleet);
    println!("| {size} | {calm} | {held} | {everywhere:.2} | {losses} |");
}

/// Returns how long a fleet that starts at once passes on the news of its start.
fn settling(size: usize) -> Duration {
    match size {
        0..BIG => SECOND * 40,
        BIG..HUGE => SECOND * 90,
        _ => SECOND * 150,
    }
}

/// Counts what a calm fleet sends and spends.
fn calm(fleet: &mut Fleet) -> String {
    let span = 5;
    for node in &mut fleet.nodes {
        node.bytes = 0;
        node.messages = 0;
    }
    fleet.spent = Duration::ZERO;
    fleet.weighs = true;
    fleet.run(SECOND * span);
    fleet.weighs = false;
    let count = fleet.nodes.len() as u64;
    let span = u64::from(span);
    let messages: u64 = fleet.nodes.iter().map(|it| it.messages).sum();
    let bytes: u64 = fleet.nodes.iter().map(|it| it.bytes).sum();
    let most = fleet.nodes.iter().map(|it| it.bytes).max().unwrap_or(0);
    let spent = fleet.spent.as_micros() / u128::from(count * span);
    format!(
        "{} | {} | {} | {spent}",
        messages / count / span,
        bytes / count / span,
        most / span
    )
}

/// Counts what the VMs hold: the mean of members, and their encoded size at one VM.
fn held(fleet: &Fleet) -> String {
    let members = |number: usize| fleet.nodes[number].gossip.membership();
    let total: usize = fleet
        .running()
        .iter()
        .map(|it| members(*it).member_count())
        .sum();
    let bytes = peer::encode(&members(0).members()).map_or(0, |bytes| bytes.len());
    let size = members(0).fleet_size();
    format!("{} | {bytes} | {size}", total / fleet.running().len())
}

/// Puts a document at the last VM and tells when all hold it; the time of a hop is not counted.
fn everywhere(fleet: &mut Fleet) -> f64 {
    let begun = fleet.now;
    fleet.put(fleet.nodes.len() - 1, Event::Put(document()));
    let id = document().id;
    let holds = |fleet: &Fleet, it: usize| fleet.nodes[it].gossip.store().version(&id).is_some();
    while !(0..fleet.nodes.len()).all(|it| holds(fleet, it)) && fleet.now < begun + SECOND * 20 {
        fleet.run(Duration::from_millis(10));
    }
    fleet.now.saturating_sub(begun).as_secs_f64()
}

/// Loses VMs one by one and tells how soon others suspect and declare them.
fn losses(fleet: &mut Fleet) -> String {
    let count = fleet.nodes.len();
    let losses = LOSSES[usize::from(count >= BIG)].min(count - 2);
    let mut suspected = Vec::new();
    let mut declared = Vec::new();
    for loss in 0..losses {
        let number = count - 1 - loss;
        let vm = fleet.peer(number).vm;
        fleet.told.clear();
        fleet.tells = true;
        let begun = fleet.now;
        fleet.crash(number);
        fleet.run(SECOND * 6);
        fleet.tells = false;
        suspected.extend(first(fleet, &vm, Standing::Suspect).map(|at| at.saturating_sub(begun)));
        declared.extend(last(fleet, &vm).map(|at| at.saturating_sub(begun)));
    }
    suspected.sort();
    declared.sort();
    let at =
        |times: &[Duration], index: usize| times.get(index).map_or(f64::NAN, Duration::as_secs_f64);
    format!(
        "{:.2}, {:.2} | {:.2}, {:.2}",
        at(&suspected, suspected.len() / 2),
        at(&suspected, suspected.len().saturating_sub(1)),
        at(&declared, declared.len() / 2),
        at(&declared, declared.len().saturating_sub(1)),
    )
}

/// Returns when a standing was first told of a VM.
fn first(fleet: &Fleet, vm: &VmId, standing: Standing) -> Option<Duration> {
    let told = fleet.told.iter();
    told.filter(|it| it.update.peer.vm == *vm && it.update.standing == standing)
        .map(|it| it.at)
        .min()
}

/// Returns when the last VM that holds a lost one declared it, if all did.
fn last(fleet: &Fleet, vm: &VmId) -> Option<Duration> {
    let holds = |it: &usize| fleet.nodes[*it].gossip.membership().is_live(vm);
    if fleet.running().iter().any(holds) {
        return None;
    }
    let told = fleet.told.iter();
    told.filter(|it| it.update.peer.vm == *vm && it.update.standing == Standing::Gone)
        .map(|it| it.at)
        .max()
}
