//! Targets that announce a rate limit for the requests of all VMs together, tested with two real VMs.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::{server::Server, vm::Program};
use bramleypier_soak::check;
use bramleypier_util::clock::Clock;
use futures_util::future;
use harness::{Harness, TEST_TIMEOUT, run_test, start_vm};
use hyper::StatusCode;

/// The key of all requests.
const KEY: u64 = 777;
/// The announced limit, in requests per second.
const RATE_LIMIT: &str = "2";
/// The time in which a target counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// The most requests that may run in a window: one and a half times the announced limit, plus five.
const MAX_REQUESTS: usize = 17;
/// The interval between two requests to one VM: twenty a second to both together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The rounds of requests after which VMs must comply with the limit: three seconds.
const GRACE_ROUNDS: u32 = 30;
/// The rounds of requests in the measured load, which some VMs serve later: they let requests wait for their turn.
const MEASURED_ROUNDS: u32 = 40;

/// Sends this many requests to each VM, and returns how many were served.
async fn send_load(harness: &Harness, other: &Program, name: &str, rounds: u32) -> usize {
    let responses = (0..rounds).flat_map(|round| {
        [&harness.program, other].map(|program| async move {
            Clock::real().sleep(REQUEST_INTERVAL * round).await;
            let id = format!("{name}-{round}-{}", program.callers.port());
            harness.send_to(program, "GET", "/key/x", &id).await.0
        })
    });
    let statuses = future::join_all(responses).await;
    statuses.iter().filter(|it| **it == StatusCode::OK).count()
}

/// Sends requests until both VMs have logged a text.
async fn send_until_logged(harness: &Harness, other: &Program, text: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    while harness.program.find_log(text).is_none() || other.find_log(text).is_none() {
        assert!(Instant::now() < end, "not logged: {text}");
        send_load(harness, other, text, 3).await;
    }
}

/// Returns when requests started at a target, by its own clock.
fn starts(target: &Server) -> Vec<Duration> {
    let starts = target.request_starts().into_iter();
    starts.map(|(_, at)| at).collect()
}

/// Guards against ignored limits: overloaded targets announced a rate limit, and no VM read it.
#[test]
fn all_vms_together_keep_to_the_rate_limit_of_a_target() {
    run_test(async |harness| {
        let other = start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&other).await;
        send_load(&harness, &other, "before", 10).await;
        let owners = &harness.servers[2..];
        for it in owners {
            it.set_rate_limit(Some(RATE_LIMIT));
        }
        send_until_logged(&harness, &other, "event=rate-named").await;
        send_load(&harness, &other, "grace", GRACE_ROUNDS).await;
        let earlier: Vec<usize> = owners.iter().map(|it| starts(it).len()).collect();
        let served = send_load(&harness, &other, "named", MEASURED_ROUNDS).await;
        for (target, earlier) in owners.iter().zip(earlier) {
            let starts = starts(target).split_off(earlier);
            let most = check::most_within(&starts, WINDOW);
            assert!(
                most <= MAX_REQUESTS,
                "{most} requests ran in four seconds: {starts:?}"
            );
        }
        assert!(served > 0, "no request is served under the limit");
        for it in owners {
            it.set_rate_limit(None);
        }
        send_until_logged(&harness, &other, "event=rate-lifted").await;
        let served = send_load(&harness, &other, "lifted", MEASURED_ROUNDS).await;
        assert!(
            served > MAX_REQUESTS * 2,
            "only {served} served after the limit was lifted"
        );
    });
}

/// Guards against hot keys that stay with an overloaded owner: their callers were refused while other targets were
/// idle.
#[test]
fn hot_keys_move_away_from_an_owner_with_a_rate_limit() {
    run_test(async |harness| {
        let other = start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&other).await;
        send_load(&harness, &other, "before", 20).await;
        let owner = harness.servers.iter().find(|it| it.holds(KEY));
        let owner = owner.expect("the key has an owner");
        owner.set_rate_limit(Some("1"));
        let end = Instant::now() + TEST_TIMEOUT;
        while owner.holds(KEY) {
            assert!(Instant::now() < end, "the key stays");
            send_load(&harness, &other, "named", 5).await;
        }
        let served = send_load(&harness, &other, "moved", MEASURED_ROUNDS).await;
        assert!(
            served > MAX_REQUESTS * 2,
            "only {served} served by the next owner"
        );
    });
}
