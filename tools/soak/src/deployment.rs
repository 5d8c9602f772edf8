//! The services, requests and route limits of a deployment of ten VMs, which some plans reproduce.

use std::time::Duration;

use serde_json::{Value, json};

/// The number of VMs that run from the start.
pub const VMS: usize = 10;
/// The number of VMs that are added during a run.
pub const SPARE_VMS: usize = 3;
/// How many requests a target runs at once, and how many it queues.
pub const SLOTS: usize = 2;
/// See [`SLOTS`].
pub const QUEUE: usize = 8;

/// One service of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// The number of its targets.
    pub targets: usize,
    /// The mean time that a target takes for a request.
    pub work_time: Duration,
}

/// The services; only the first has keys.
pub const SERVICES: [Service; 3] = [
    Service {
        name: "keyed",
        targets: 12,
        work_time: Duration::from_millis(220),
    },
    Service {
        name: "plain",
        targets: 7,
        work_time: Duration::from_millis(290),
    },
    Service {
        name: "files",
        targets: 11,
        work_time: Duration::from_millis(400),
    },
];

/// Returns a version of the configuration; odd and even ones differ in weights and timeouts.
pub fn config(version: u32) -> Vec<u8> {
    let odd = !version.is_multiple_of(2);
    let (share, timeout) = if odd { (90, 1200) } else { (80, 1250) };
    let route = |name: &str, kind: &str, goal: u32, timeout: u32, action: Value| {
        let mut action = action;
        action["timeout"] = json!(format!("{timeout}ms"));
        action["max-attempts"] = json!(2);
        json!({"name": name, "kind": kind, "goal": format!("{goal}ms"), "priority": 1,
            "match": {"prefix": format!("/{name}/")}, "action": action})
    };
    let to = |service: &str| json!({"service": service});
    let backends = json!({"backends": [{"service": "files", "weight": share},
        {"service": "plain", "weight": 100 - share}]});
    let service = |it: &Service| {
        json!({"name": it.name, "health-path": "/health", "max-conns": 120,
            "sharded": it.name == SERVICES[0].name, "warm": "2s"})
    };
    let config = json!({
        "version": format!("r{version}"),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67_108_864,
            "header-timeout": "3000ms", "idle-timeout": "15000ms"},
        "listeners": [{"host": "a.example", "rules": [
            route("key", "idempotent", 600, 1500, to("keyed")),
            route("order", "non_idempotent", 800, timeout, to("plain")),
            route("file", "download", 600, 1500, backends),
            route("look", "idempotent", 2500, 4000, to("files")),
        ]}],
        "clusters": SERVICES.iter().map(service).collect::<Vec<Value>>(),
    });
    config.to_string().into_bytes()
}
