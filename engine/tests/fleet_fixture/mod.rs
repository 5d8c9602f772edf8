//! A catalogue whose values are plain text, and changes to its entries in the store.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;

use bramleypier_engine::{
    catalogue::{Catalogue, Config, DomainId, Error, Service, Target, Warmup},
    fleet::StoreKeys,
    store::{Change, Item, Revision},
};

/// How long targets stay cold.
pub const WARMUP_DURATION: Duration = Duration::from_secs(3);

/// Reads values that are plain text. The value of a configuration is its version, followed by the services that it has
/// besides `s`; that of a target is `ready`, `leaving`, or its failure domain and the milliseconds for which it stays
/// cold. Before it may stand the service and the start time of the target, as in `s2@7:ready`; these are else `s` and 1.
pub struct TextCatalogue;

impl Catalogue for TextCatalogue {
    fn config_key(&self) -> &'static str {
        "config"
    }

    fn targets_prefix(&self) -> &'static str {
        "targets/"
    }

    fn evacuated_domain(&self, key: &str) -> Option<DomainId> {
        key.strip_prefix("evacuated/").map(str::to_owned)
    }

    fn config(&self, value: &[u8]) -> Result<Config, Error> {
        let text = String::from_utf8_lossy(value);
        let mut words = text.split(' ').map(str::to_owned);
        let version = words.next().unwrap_or_default().parse();
        let version = version.map_err(|_| Error::Unreadable("config".into(), text.to_string()))?;
        let service = |name: String| Service {
            name,
            max_connections: 100,
            keyed: true,
            key_warmup: Duration::ZERO,
            warmup: Some(Warmup {
                duration: WARMUP_DURATION,
                rate: 8.0,
            }),
        };
        Ok(Config {
            version,
            services: ["s".to_owned()]
                .into_iter()
                .chain(words)
                .map(|name| (name.clone(), service(name)))
                .collect(),
            ..Config::default()
        })
    }

    fn target(&self, key: &str, value: &[u8]) -> Result<Target, Error> {
        let text = String::from_utf8_lossy(value).into_owned();
        let (incarnation, text) = text.split_once(':').unwrap_or(("s@1", &text));
        let (service, start) = incarnation.split_once('@').unwrap();
        let (domain, cold) = match text.split_once(' ') {
            Some((domain, cold)) => (domain, cold.parse().unwrap()),
            None if matches!(text, "ready" | "leaving") => ("d", 0),
            None => return Err(Error::Unreadable(key.into(), "not a target".into())),
        };
        Ok(Target {
            id: key.trim_start_matches("targets/").into(),
            start_time: start.parse().unwrap(),
            service: service.into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: domain.into(),
            slots: 2,
            leaving: text == "leaving",
            cold: Duration::from_millis(cold),
        })
    }
}

pub fn store_keys() -> StoreKeys {
    StoreKeys {
        prefix: "own/".into(),
    }
}

pub fn put<V>(key: &str, value: V, revision: Revision) -> Change
where
    V: AsRef<[u8]>,
{
    Change::Put(Item {
        key: key.into(),
        value: value.as_ref().to_vec(),
        revision,
    })
}

pub fn removed(key: &str, revision: Revision) -> Change {
    Change::Removed {
        key: key.into(),
        revision,
    }
}
