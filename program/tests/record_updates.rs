//! Relays of what changed in a service's record, between two real VMs.

mod harness;

use std::time::Instant;

use bramleypier_platform_standin::vm::Program;
use bramleypier_util::body::{self, Body};
use harness::{Harness, TEST_TIMEOUT, run_test, sleep_ms, start_vm, until_logged};
use hyper::{Request, StatusCode};

async fn metrics(harness: &Harness, vm: &Program) -> String {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = http::Uri::from_static("/metrics");
    let sent = harness.client.send(vm.metrics, request, TEST_TIMEOUT).await;
    let bytes = body::read(sent.unwrap().into_body(), 1 << 20).await;
    String::from_utf8_lossy(&bytes.unwrap()).into_owned()
}

/// Guards against VMs that always ask for the whole record, and against updates that they reject.
#[test]
fn a_vm_learns_of_a_changed_record_by_an_update() {
    run_test(async |harness| {
        let other = start_vm("vm-2", harness.store_address, Some(&harness.program));
        until_logged(&other, "event=manager-heard").await;
        let end = Instant::now() + TEST_TIMEOUT;
        let is_served = async || {
            let (status, _) = harness.send_to(&other, "GET", "/key/x", "first").await;
            status == StatusCode::OK
        };
        while !is_served().await {
            assert!(Instant::now() < end, "the key has no owner");
            sleep_ms(50).await;
        }
        let owner = harness.servers.iter().find(|it| it.holds(777)).unwrap();
        owner.stop();
        harness.store.remove(&format!("servers/{}", owner.id));
        while !metrics(&harness, &other).await.contains("record_updates") {
            assert!(Instant::now() < end, "{:#?}", other.lines.lock().unwrap());
            sleep_ms(50).await;
        }
        assert_eq!(other.find_log("event=record-update-rejected"), None);
        while !is_served().await {
            assert!(Instant::now() < end, "the key has no new owner");
            sleep_ms(50).await;
        }
    });
}
