//! Measures how membership and spread grow with the fleet: the decisions alone, without sockets.
//!
//! `cargo run --release --example spread_slopes -- members 3 12 48` runs fleets of those sizes and
//! prints, for each VM and second, messages, bytes as encoded for the wire, and time spent in the
//! decisions; then the members and bytes held; then how soon a lost VM is suspected and declared.
//!
//! `cargo run --release --example spread_slopes -- spread 12 48` compares how a document reaches a
//! fleet by a star, by a tree and by the product's own store: hops, bytes, and what the loss of an
//! interior VM does. A hop is one call; each VM calls at most four others in a hop.

#[path = "spread_slopes/compare.rs"]
mod compare;
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{env, time::Duration};

use bramleypier::{
    id::VmId,
    membership::{Standing, Timing},
    peer,
    spread::Limits,
};
use fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);
/// Failure domains of a small fleet, and of a big one.
const DOMAINS: [usize; 2] = [3, 11];
/// From this size on a fleet is big.
const BIG: usize = 500;
/// VMs that are lost one after the other in a small fleet, and in a big one.
const LOSSES: [usize; 2] = [6, 3];

fn main() {
    let mut arguments = env::args().skip(1);
    let part = arguments.next().unwrap_or_default();
    let sizes: Vec<usize> = arguments.filter_map(|it| it.parse().ok()).collect();
    match part.as_str() {
        "members" => members(&sizes),
        "spread" => compare::run(&sizes),
        _ => eprintln!("usage: spread_slopes members|spread SIZE..."),
    }
}

fn members(sizes: &[usize]) {
    println!(
        "| VMs | messages/s | bytes/s sent | most bytes/s | us/s of decisions | members held \
         | bytes held | size estimated | suspected, s (median, most) | declared by all, s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        measure(*size);
    }
}

fn measure(size: usize) {
    let domains = DOMAINS[usize::from(size >= BIG)];
    let mut fleet = Fleet::new(size, domains, Timing::default(), Limits::default(), 11);
    fleet.tells = false;
    let settle = if size >= BIG { 90 } else { 40 };
    fleet.run(SECOND * settle);
    let calm = calm(&mut fleet);
    let held = held(&fleet);
    let losses = losses(&mut fleet);
    println!("| {size} | {calm} | {held} | {losses} |");
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
    let members = |number: usize| fleet.nodes[number].gossip.members();
    let total: usize = fleet.running().iter().map(|it| members(*it).held()).sum();
    let bytes = peer::encode(&members(0).members()).map_or(0, |bytes| bytes.len());
    let size = members(0).size();
    format!("{} | {bytes} | {size}", total / fleet.running().len())
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
    let holds = |it: &usize| fleet.nodes[*it].gossip.members().is_live(vm);
    if fleet.running().iter().any(holds) {
        return None;
    }
    let told = fleet.told.iter();
    told.filter(|it| it.update.peer.vm == *vm && it.update.standing == Standing::Gone)
        .map(|it| it.at)
        .max()
}
