//! Targets that name how many requests a second they take from all VMs together, before two real VMs.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::vm::Program;
use bramleypier_util::clock::Clock;
use futures_util::future;
use harness::{PATIENCE, Stage, play, start_vm};
use hyper::StatusCode;

/// The key for which both VMs are asked.
const KEY: u64 = 777;
/// Two requests a second.
const NAMED: &str = "2";
/// What the users allow in four seconds: one and a half times what it names, and five.
const MOST: usize = 17;
/// The time between two requests to each VM: twenty a second to both.
const PAUSE: Duration = Duration::from_millis(100);
/// By when VMs must keep to it.
const GRACE: u32 = 30;
/// Four seconds.
const SPAN: u32 = 40;

/// Asks both VMs for one key so many times; returns how many were answered well.
async fn load(stage: &Stage, other: &Program, name: &str, rounds: u32) -> usize {
    let asked = (0..rounds).flat_map(|round| {
        [&stage.program, other].map(|program| async move {
            Clock::real().sleep(PAUSE * round).await;
            let id = format!("{name}-{round}-{}", program.callers.port());
            stage.ask_at(program, "GET", "/key/x", &id).await.0
        })
    });
    let answered = future::join_all(asked).await;
    answered.iter().filter(|it| **it == StatusCode::OK).count()
}

/// Goes on with the load until both VMs have logged something.
async fn load_until(stage: &Stage, other: &Program, what: &str) {
    let end = Instant::now() + PATIENCE;
    while stage.program.find_log(what).is_none() || other.find_log(what).is_none() {
        assert!(Instant::now() < end, "not logged: {what}");
        load(stage, other, what, 3).await;
    }
}

/// How many requests ran at the two targets that own keys, each.
fn ran(stage: &Stage) -> [usize; 2] {
    [2, 3].map(|number: usize| stage.servers[number].ran().len())
}

/// Targets in need named what they could take, and no VM read it.
#[test]
fn a_target_that_names_a_rate_is_held_to_it_by_all_vms() {
    play(async |stage| {
        let other = start_vm("vm-2", stage.store_address, Some(&stage.program));
        stage.until_ready_at(&other).await;
        load(&stage, &other, "before", 10).await;
        let owners = &stage.servers[2..];
        for it in owners {
            it.set_rate_limit(Some(NAMED));
        }
        load_until(&stage, &other, "event=rate-named").await;
        load(&stage, &other, "grace", GRACE).await;
        let before = ran(&stage);
        let answered = load(&stage, &other, "named", SPAN).await;
        let after = ran(&stage);
        for (before, after) in before.into_iter().zip(after) {
            assert!(after - before <= MOST, "{} in four seconds", after - before);
        }
        assert!(answered > 0, "it takes some");
        for it in owners {
            it.set_rate_limit(None);
        }
        load_until(&stage, &other, "event=rate-lifted").await;
        let answered = load(&stage, &other, "lifted", SPAN).await;
        assert!(answered > MOST * 2, "{answered} once it names no rate");
    });
}

/// An owner in need kept its busy keys, whose callers were refused while other targets were idle.
#[test]
fn busy_keys_leave_an_owner_that_names_a_rate() {
    play(async |stage| {
        let other = start_vm("vm-2", stage.store_address, Some(&stage.program));
        stage.until_ready_at(&other).await;
        load(&stage, &other, "before", 20).await;
        let owner = stage.servers.iter().find(|it| it.holds(KEY));
        let owner = owner.expect("the key has an owner");
        owner.set_rate_limit(Some("1"));
        let end = Instant::now() + PATIENCE;
        while owner.holds(KEY) {
            assert!(Instant::now() < end, "the key stays");
            load(&stage, &other, "named", 5).await;
        }
        let answered = load(&stage, &other, "moved", SPAN).await;
        assert!(answered > MOST * 2, "{answered} at the next owner");
    });
}
