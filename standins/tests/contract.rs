//! Runs bramleypier's clients against the stand-ins, which covers both sides of `docs/CONTRACTS.md`.

use std::{net::SocketAddr, time::Duration};

use bramleypier::{
    clock::Clock,
    key,
    platform::{Error, Kind, Platform, State, WriteOutcome},
    target::{Control, Sender, TargetRequest},
    util::body::Body,
};
use bramleypier_standins::{
    client::Client,
    holder::{EpochRange, Grant, Status},
    platform::{self, Faults},
    target::{self, Config},
};
use compio::{net::TcpListener, runtime};
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use hyper::body::Bytes;

const TIMEOUT: Duration = Duration::from_secs(2);

struct Service {
    address: SocketAddr,
    client: Platform,
}

async fn service() -> Service {
    let address = platform::spawn().await.unwrap();
    Service {
        address,
        client: Platform::new(Clock::real(), address, "vm-1".to_owned()),
    }
}

impl Service {
    async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_vec(&faults).unwrap();
        let address = self.address.to_string();
        let reply = Client::default().post(&address, "/fault", &[], body).await;
        assert_eq!(reply.unwrap().status, 200);
    }

    async fn read(&self, key: &str) -> Option<Vec<u8>> {
        let value = self.client.get(key).await.unwrap();
        value.map(|(_, bytes)| bytes.to_vec())
    }
}

fn value(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

#[compio::test]
async fn compare_and_swap() {
    let service = service().await;
    let client = &service.client;
    assert_eq!(
        client.put("group/a", 0, value("1")).await.unwrap(),
        WriteOutcome::Committed(1)
    );
    assert_eq!(
        client.put("group/a", 0, value("2")).await.unwrap(),
        WriteOutcome::Conflict(1)
    );
    assert_eq!(
        client.put("group/a", 1, value("2")).await.unwrap(),
        WriteOutcome::Committed(2)
    );
    assert_eq!(service.read("group/a").await.unwrap(), b"2");
    assert_eq!(service.read("group/b").await, None);
    assert_eq!(
        client.delete("group/a", 1).await.unwrap(),
        WriteOutcome::Conflict(2)
    );
    assert!(matches!(
        client.delete("group/a", 2).await.unwrap(),
        WriteOutcome::Committed(_)
    ));
    assert_eq!(service.read("group/a").await, None);
}

/// Keys must stay distinct whatever characters they contain, such as `#`, `?`, `%` and `/`.
#[compio::test]
async fn keys_with_any_characters() {
    let service = service().await;
    let keys = [
        "vm-1", "vm-1#1", "vm-1#2", "vm 1", "vm-1?x=1", "vm%2D1", "vm/1", "ñandú",
    ];
    for key in keys {
        let put = service.client.put(key, 0, value(key)).await;
        assert!(
            matches!(put, Ok(WriteOutcome::Committed(_))),
            "{key}: {put:?}"
        );
    }
    for key in keys {
        assert_eq!(
            service.read(key).await.as_deref(),
            Some(key.as_bytes()),
            "{key}"
        );
    }
    let listed = service.client.list("vm-1#").await.unwrap().keys;
    let listed: Vec<&str> = listed.iter().map(|listed| listed.key.as_str()).collect();
    assert_eq!(listed, ["vm-1#1", "vm-1#2"]);
}

#[compio::test]
async fn leases_and_watches() {
    let service = service().await;
    let client = service.client.clone();
    let lease = client.lease(Duration::from_millis(300)).await.unwrap();
    assert_eq!(
        client
            .put_leased("session/a", &lease, value("1"))
            .await
            .unwrap(),
        WriteOutcome::Committed(1)
    );
    assert!(client.renew(&lease).await.unwrap());
    let page = client.watch("session/", 1).await.unwrap();
    let changed: Vec<_> = page
        .keys
        .iter()
        .map(|key| (key.key.as_str(), key.version))
        .collect();
    assert_eq!(changed, [("session/a", 0)], "the lease has expired");
    assert!(!client.renew(&lease).await.unwrap());
    let expired = client.put_leased("session/a", &lease, value("1")).await;
    assert!(expired.is_err(), "{expired:?}");
    assert_eq!(service.read("session/a").await, None);
}

#[compio::test]
async fn faults() {
    // The fault, the result of a write at the client, and whether the value is stored afterwards.
    let table = [
        ("none", Faults::default(), "won", true),
        (
            "down",
            Faults {
                down: true,
                ..Faults::default()
            },
            "doubt",
            false,
        ),
        (
            "this client blocked",
            Faults {
                partial: vec!["vm-1".into()],
                ..Faults::default()
            },
            "doubt",
            false,
        ),
        (
            "another client blocked",
            Faults {
                partial: vec!["vm-2".into()],
                ..Faults::default()
            },
            "won",
            true,
        ),
        (
            "response lost",
            Faults {
                lose_answers: 1,
                ..Faults::default()
            },
            "doubt",
            true,
        ),
        (
            "slow response",
            Faults {
                answer_delay_ms: 3_000,
                ..Faults::default()
            },
            "doubt",
            true,
        ),
        (
            "slow call",
            Faults {
                delay_ms: 100,
                ..Faults::default()
            },
            "won",
            true,
        ),
    ];
    for (name, faults, expected, written) in table {
        let service = service().await;
        service.set_faults(faults).await;
        let result = match service.client.put("k", 0, value("1")).await {
            Ok(WriteOutcome::Committed(_)) => "won",
            Ok(WriteOutcome::Conflict(_)) => "lost",
            Err(Error::Failed(..)) => "failed",
            Err(Error::OutcomeUnknown(..)) => "doubt",
        };
        // A write may be reported as doubtful at any time, but never as failed if it took effect.
        assert_eq!(result, expected, "{name}");
        service.set_faults(Faults::default()).await;
        assert_eq!(service.read("k").await.is_some(), written, "{name}");
    }
}

#[compio::test]
async fn list_of_vms() {
    let service = service().await;
    let listing =
        r#"{"address":"127.0.0.1:1","domain":"uio-sur","kind":"entry","state":"leaving"}"#;
    let address = service.address.to_string();
    let client = Client::default();
    let put = client.call(&address, Method::PUT, "/vms/vm-9", &[], listing);
    assert_eq!(put.await.unwrap().status, 200);
    let vms = service.client.vms().await.unwrap();
    assert_eq!((vms[0].kind, vms[0].state), (Kind::Entry, State::Leaving));
    assert_eq!(
        (vms[0].name.as_str(), vms[0].domain.as_str()),
        ("vm-9", "uio-sur")
    );
}

async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let config = Config {
        work_time: Duration::from_millis(1),
        ..Config::default()
    };
    runtime::spawn(async move { target::run(listener, config).await.unwrap() }).detach();
    address
}

fn work(key: &str, epoch: u64) -> TargetRequest {
    TargetRequest {
        method: Method::POST,
        uri: "/print?copies=1".to_owned(),
        headers: HeaderMap::new(),
        attempt: "attempt-1".to_owned(),
        key: key.to_owned(),
        point: key::point(key),
        epoch: Some(epoch),
        left: TIMEOUT,
    }
}

/// Sends work and returns the status, the outcome header and the body as JSON.
async fn send(peer: SocketAddr, work: &TargetRequest) -> (u16, String, serde_json::Value) {
    let sender = Sender::new(Clock::real(), 4);
    let response = sender
        .send(peer, work, Body::from(value("letter")))
        .await
        .unwrap();
    let status = response.status().as_u16();
    let outcome = response.headers().get("Bramleypier-Outcome");
    let outcome = outcome.map_or(String::new(), |value| value.to_str().unwrap().to_owned());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (
        status,
        outcome,
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}

#[compio::test]
async fn grants_and_work() {
    let peer = target().await;
    let control = Control::new(Clock::real());
    let status: Status = control.state(peer, TIMEOUT).await.unwrap();
    let mut grant = Grant {
        boot: "another incarnation".to_owned(),
        until_ms: status.clock_ms + 60_000,
        ranges: vec![EpochRange {
            start: 0,
            end: u64::MAX,
            epoch: 3,
        }],
        release: Vec::new(),
    };
    let refused: Status = control.grant(peer, &grant, TIMEOUT).await.unwrap();
    assert!(
        refused.held.is_empty(),
        "a grant for another incarnation is ignored"
    );
    assert_eq!(refused.boot, status.boot);
    grant.boot = status.boot;
    let held: Status = control.grant(peer, &grant, TIMEOUT).await.unwrap();
    assert_eq!((held.held[0].end, held.held[0].epoch), (u64::MAX, 3));
    for key in ["letter-1", "señora López/7"] {
        let (status, outcome, echo) = send(peer, &work(key, 3)).await;
        assert_eq!((status, outcome.as_str()), (200, ""));
        assert_eq!(
            (&echo["key"], &echo["path"]),
            (&key.into(), &"/print?copies=1".into())
        );
        assert_eq!(echo["bytes"], 6);
    }
    let (status, outcome, _) = send(peer, &work("letter-1", 2)).await;
    assert_eq!(
        (status, outcome.as_str()),
        (421, "not-run"),
        "another epoch"
    );
    grant.release = std::mem::take(&mut grant.ranges);
    let released: Status = control.grant(peer, &grant, TIMEOUT).await.unwrap();
    assert_eq!(released.released, grant.release);
    let (status, outcome, _) = send(peer, &work("letter-1", 3)).await;
    assert_eq!((status, outcome.as_str()), (421, "not-run"), "released");
}
