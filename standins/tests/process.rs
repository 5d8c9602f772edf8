//! The stand-ins as processes: faults over HTTP, freezes, kills and blocked connections.

use std::{pin::pin, time::Duration};

use bramleypier_standins::{
    child,
    client::{Client, Error, Reply},
    clock, fault,
    fleet::Fleet,
    holder::EpochRange,
    journal::{End, Run},
    platform::Faults,
};
use futures_util::future::{self, Either};
use http::Method;
use serde_json::json;

/// Starts a fleet without VMs; the program given for VMs is never run.
async fn fleet() -> Fleet {
    let program = child::program("standin-platform").unwrap();
    Fleet::start(Some(program)).await.unwrap()
}

async fn put(fleet: &Fleet, key: &str, version: &str, from: &str) -> Result<Reply, Error> {
    let path = format!("/v1/kv/{key}");
    let headers = [("If-Version", version), ("Bramleypier-From", from)];
    let platform = fleet.platform_address();
    let client = fleet.client();
    client
        .call(&platform, Method::PUT, &path, &headers, "v")
        .await
}

async fn work(fleet: &Fleet, target: &str, headers: &[(&str, &str)]) -> Result<Reply, Error> {
    let mut all_headers = vec![("Bramleypier-Hash", "5"), ("Bramleypier-Epoch", "1")];
    all_headers.extend_from_slice(headers);
    let address = &fleet.targets[target].address;
    fleet
        .client()
        .call(address, Method::POST, "/print", &all_headers, "letter")
        .await
}

async fn grant(fleet: &Fleet, target: &str, duration_ms: u64) {
    let status = fleet.target_status(target).await.unwrap();
    let range = EpochRange {
        start: 0,
        end: 9,
        epoch: 1,
    };
    let body = json!({
        "boot": status.boot,
        "until_ms": status.clock_ms + duration_ms,
        "ranges": [range],
    });
    let address = &fleet.targets[target].listen_address;
    let body = serde_json::to_vec(&body).unwrap();
    let reply = fleet
        .client()
        .post(address, "/bramleypier/grant", &[], body)
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
}

#[compio::test]
async fn platform_faults() {
    let fleet = fleet().await;
    assert_eq!(
        put(&fleet, "a%2Fb", "0", "")
            .await
            .unwrap()
            .header("Version"),
        "1"
    );
    let faults = Faults {
        partial: vec!["vm-1".into()],
        ..Faults::default()
    };
    fleet.platform_faults(&faults).await.unwrap();
    assert!(put(&fleet, "cut", "0", "vm-1").await.is_err());
    assert_eq!(put(&fleet, "cut", "0", "vm-2").await.unwrap().status, 200);
    fleet
        .platform_faults(&Faults {
            lose_answers: 1,
            ..Faults::default()
        })
        .await
        .unwrap();
    let refused = put(&fleet, "a/b", "9", "").await.unwrap();
    assert_eq!(
        refused.status, 412,
        "a rejected write still gets its response"
    );
    assert!(put(&fleet, "lost", "0", "").await.is_err());
    assert_eq!(
        put(&fleet, "lost", "0", "").await.unwrap().status,
        412,
        "the write took effect"
    );
    fleet
        .platform_faults(&Faults {
            down: true,
            ..Faults::default()
        })
        .await
        .unwrap();
    assert!(put(&fleet, "down", "0", "").await.is_err());
    fleet.platform_faults(&Faults::default()).await.unwrap();
    assert_eq!(
        put(&fleet, "down", "0", "").await.unwrap().status,
        200,
        "the write had no effect"
    );
    let counts = fleet.call_counts().await.unwrap();
    assert_eq!((counts["put"], counts["cut"]), (6, 2));
}

#[compio::test]
async fn lagging_list() {
    let fleet = fleet().await;
    let names = async || {
        let list = fleet
            .client()
            .get_json::<serde_json::Value>(&fleet.platform_address(), "/v1/vms")
            .await;
        list.unwrap().as_array().unwrap().len()
    };
    fleet
        .register("vm-1", "127.0.0.1:1", "uio-norte", "entry", "live")
        .await
        .unwrap();
    assert_eq!(names().await, 1);
    fleet
        .platform_faults(&Faults {
            list_lag_ms: 200,
            ..Faults::default()
        })
        .await
        .unwrap();
    compio::time::sleep(Duration::from_millis(250)).await;
    fleet.deregister("vm-1").await.unwrap();
    assert_eq!(names().await, 1, "the list lags");
    compio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(names().await, 0);
}

#[compio::test]
async fn watch_ends_with_a_change_or_an_outage() {
    let fleet = fleet().await;
    let platform = fleet.platform_address();
    let client = Client::default();
    let watch =
        compio::runtime::spawn(
            async move { client.get(&platform, "/v1/watch?prefix=w&since=0").await },
        );
    compio::time::sleep(Duration::from_millis(30)).await;
    put(&fleet, "other", "0", "").await.unwrap();
    put(&fleet, "w1", "0", "").await.unwrap();
    let page: serde_json::Value =
        serde_json::from_slice(&watch.await.unwrap().unwrap().body).unwrap();
    assert_eq!(
        page,
        json!({ "revision": 2, "keys": [{ "key": "w1", "version": 2 }] })
    );
    let platform = fleet.platform_address();
    let client = Client::default();
    let watch =
        compio::runtime::spawn(
            async move { client.get(&platform, "/v1/watch?prefix=w&since=2").await },
        );
    compio::time::sleep(Duration::from_millis(30)).await;
    fleet
        .platform_faults(&Faults {
            down: true,
            ..Faults::default()
        })
        .await
        .unwrap();
    assert!(watch.await.unwrap().is_err());
}

#[compio::test]
async fn target_faults() {
    let mut fleet = fleet().await;
    fleet
        .add_target("t", "uio-sur", false, &["--work-ms=20", "--fixed"])
        .await
        .unwrap();
    assert_eq!(
        work(&fleet, "t", &[]).await.unwrap().status,
        421,
        "no grant"
    );
    grant(&fleet, "t", 60_000).await;
    let count = |fault: &str| serde_json::from_value::<fault::Faults>(json!({ fault: 1 })).unwrap();
    let flag =
        |fault: &str| serde_json::from_value::<fault::Faults>(json!({ fault: true })).unwrap();
    // The fault, the status (0 without a complete response), the outcome, and whether work started.
    let table = [
        (fault::Faults::default(), 200, "", true),
        (flag("shed"), 503, "not-run", false),
        (flag("drain"), 503, "not-run", false),
        (count("wrong_5xx"), 503, "", true),
        (count("cut_body"), 0, "", true),
        (count("reset_before"), 0, "", false),
        (count("reset_during"), 0, "", true),
        (count("reset_after"), 0, "", true),
    ];
    for (faults, status, outcome, started) in table {
        fleet.target_faults("t", &faults).await.unwrap();
        let before = fleet.runs_of_targets().unwrap().len();
        let reply = work(&fleet, "t", &[]).await;
        let result = reply.map_or((0, String::new()), |reply| {
            (reply.status, reply.header("Bramleypier-Outcome").to_owned())
        });
        assert_eq!(result, (status, outcome.to_owned()), "{faults:?}");
        let after = fleet.runs_of_targets().unwrap().len();
        assert_eq!(after - before, usize::from(started), "{faults:?}");
    }
}

#[compio::test]
async fn deadline_and_cancel() {
    let mut fleet = fleet().await;
    let arguments = ["--work-ms=400", "--fixed", "--slots=1"];
    fleet
        .add_target("t", "uio-sur", false, &arguments)
        .await
        .unwrap();
    grant(&fleet, "t", 60_000).await;
    let first = work(&fleet, "t", &[("Bramleypier-Deadline", "100")]);
    let second = work(&fleet, "t", &[("Bramleypier-Deadline", "20")]);
    let (first, second) = futures_util::future::join(first, second).await;
    assert_eq!(
        first.unwrap().header("Bramleypier-Outcome"),
        "unknown",
        "expired while it ran"
    );
    assert_eq!(
        second.unwrap().header("Bramleypier-Outcome"),
        "not-run",
        "expired in the queue"
    );
    let address = fleet.targets["t"].listen_address.clone();
    let cancel = async {
        compio::time::sleep(Duration::from_millis(50)).await;
        let reply = fleet
            .client()
            .post(&address, "/bramleypier/cancel/r-1", &[], "")
            .await;
        assert_eq!(reply.unwrap().status, 204);
    };
    let work = work(&fleet, "t", &[("Bramleypier-Request", "r-1")]);
    let (reply, ()) = futures_util::future::join(work, cancel).await;
    assert_eq!(reply.unwrap().header("Bramleypier-Outcome"), "unknown");
    let ends: Vec<_> = fleet
        .runs_of_targets()
        .unwrap()
        .iter()
        .map(|run| run.end)
        .collect();
    assert_eq!(ends, [Some(End::Expired), Some(End::Cancelled)]);
}

#[compio::test]
async fn grant_expires_during_a_freeze() {
    let mut fleet = fleet().await;
    fleet
        .add_target("t", "uio-sur", false, &["--work-ms=1", "--fixed"])
        .await
        .unwrap();
    grant(&fleet, "t", 300).await;
    assert_eq!(work(&fleet, "t", &[]).await.unwrap().status, 200);
    fleet.freeze("t").unwrap();
    compio::time::sleep(Duration::from_millis(400)).await;
    fleet.resume("t").unwrap();
    let reply = work(&fleet, "t", &[]).await.unwrap();
    assert_eq!(reply.status, 421, "the clock advanced during the freeze");
}

#[compio::test]
async fn kill_key_and_restart() {
    let mut fleet = fleet().await;
    fleet.add_target("t", "uio-sur", false, &[]).await.unwrap();
    grant(&fleet, "t", 60_000).await;
    let boot = fleet.target_status("t").await.unwrap().boot;
    let faults = fault::Faults {
        kill_key: Some("bad".into()),
        ..fault::Faults::default()
    };
    fleet.target_faults("t", &faults).await.unwrap();
    assert!(
        work(&fleet, "t", &[("Bramleypier-Key", "good")])
            .await
            .is_ok()
    );
    assert!(
        work(&fleet, "t", &[("Bramleypier-Key", "bad")])
            .await
            .is_err()
    );
    let runs = fleet.runs_of_targets().unwrap();
    assert_eq!(
        (runs.len(), runs[1].end),
        (2, None),
        "the start is in the log file"
    );
    fleet.restart("t").await.unwrap();
    let status = fleet.target_status("t").await.unwrap();
    assert_ne!(status.boot, boot);
    assert!(status.held.is_empty(), "a new incarnation holds no grants");
}

/// Waits until a target has started a request.
async fn until_run(fleet: &Fleet, id: &str) {
    let end = clock::now() + Duration::from_secs(10);
    let is_run = |run: &Run| run.request == id;
    // The last line of a log may be incomplete.
    while !fleet
        .runs_of_targets()
        .is_ok_and(|it| it.iter().any(is_run))
    {
        assert!(clock::now() < end, "{id} is not started");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[compio::test]
async fn block_and_delay() {
    let mut fleet = fleet().await;
    fleet
        .add_target("t", "uio-sur", true, &["--work-ms=1", "--fixed"])
        .await
        .unwrap();
    grant(&fleet, "t", 60_000).await;
    // Whether requests are blocked, whether responses are blocked, and the request.
    for (block_in, block_out, id) in [(true, true, "a"), (true, false, "b"), (false, true, "c")] {
        fleet.forwarder("t").unwrap().update_rules(|rules| {
            rules.block_in = block_in;
            rules.block_out = block_out;
        });
        let headers = [("Bramleypier-Request", id)];
        let mut reply = pin!(work(&fleet, "t", &headers));
        if !block_in {
            // The target may be slow to start it; its caller stays until then.
            let started = pin!(until_run(&fleet, id));
            let first = future::select(reply.as_mut(), started).await;
            assert!(matches!(first, Either::Right(_)), "{id} was answered");
        }
        let reply = compio::time::timeout(Duration::from_millis(150), reply).await;
        assert!(reply.is_err(), "in={block_in} out={block_out}");
        let runs = fleet.runs_of_targets().unwrap();
        if block_in {
            assert!(runs.is_empty(), "in={block_in} out={block_out}: {runs:?}");
        } else {
            // Requests that were held may run too once they aren't blocked any more.
            let own = runs.iter().filter(|run| run.request == id);
            assert_eq!(own.count(), 1, "in={block_in} out={block_out}: {runs:?}");
        }
    }
    fleet.forwarder("t").unwrap().update_rules(|rules| {
        rules.block_out = false;
        rules.delay = Duration::from_millis(30);
    });
    let before = clock::now();
    assert_eq!(work(&fleet, "t", &[]).await.unwrap().status, 200);
    assert!(
        clock::now() >= before + Duration::from_millis(60),
        "delayed in both directions"
    );
}
