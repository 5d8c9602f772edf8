//! Asking all VMs.

use std::{net::SocketAddr, path::Path, time::Duration};

use futures_util::{StreamExt, stream};
use http::StatusCode;
use hyper::body::Bytes;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;

use crate::{
    cli::Error,
    clock::Clock,
    id::VmId,
    platform::{Kind, Platform},
    settings::{self, Settings},
};

/// How long a VM may take to answer.
const SPAN: Duration = Duration::from_secs(3);
/// How many VMs are asked at a time.
const AT_ONCE: usize = 64;
/// The name by which operators' calls are counted.
const FROM: &str = "operator";

/// What operators' commands call.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    client: cyper::Client,
    settings: Settings,
    /// The platform's service.
    pub platform: Platform,
    /// The clock of pauses.
    pub clock: Clock,
}

/// The VMs' answers to one question.
#[derive(Clone, Debug)]
pub(super) struct Answers<T> {
    /// What was answered.
    pub answers: Vec<T>,
    /// The VMs that did not answer: `name` or `IP:port`.
    pub unreached: Vec<VmId>,
}

impl Fleet {
    /// Reads the settings that say where the platform's service and the first VMs are.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let settings = settings::load(path).map_err(Error::Settings)?;
        let clock = Clock::real();
        Ok(Self {
            client: cyper::Client::new().map_err(Error::Client)?,
            platform: Platform::new(clock.clone(), settings.platform, FROM.to_owned()),
            settings,
            clock,
        })
    }

    /// Asks every VM that the platform lists or the settings name; they answer as JSON.
    pub async fn ask<T>(&self, path: &str, question: Option<Bytes>) -> Answers<T>
    where
        T: DeserializeOwned,
    {
        let calls = self.vms().await.into_iter().map(|(address, name)| {
            let question = question.clone();
            async move { self.call(address, path, question).await.ok_or(name) }
        });
        let mut results: Vec<Result<T, VmId>> =
            stream::iter(calls).buffered(AT_ONCE).collect().await;
        let unreached = results.extract_if(.., |result| result.is_err());
        let unreached = unreached.filter_map(Result::err).collect();
        Answers {
            answers: results.into_iter().flatten().collect(),
            unreached,
        }
    }

    /// Returns the VMs' addresses and names; in an outage, those that the settings know.
    async fn vms(&self) -> IndexMap<SocketAddr, VmId> {
        let own = std::iter::once(self.settings.peers).filter(|own| own.port() != 0);
        let known = own.chain(self.settings.seeds.iter().copied());
        let mut vms: IndexMap<SocketAddr, VmId> = known
            .map(|address| (address, address.to_string()))
            .collect();
        let listed = self.platform.vms().await.unwrap_or_default();
        for vm in listed.into_iter().filter(|vm| vm.kind == Kind::Entry) {
            if let Ok(address) = vm.address.parse() {
                vms.insert(address, vm.name);
            }
        }
        vms
    }

    /// Calls one VM; a wrong answer is as good as none.
    async fn call<T>(&self, to: SocketAddr, path: &str, question: Option<Bytes>) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let method = match question {
            Some(_) => http::Method::POST,
            None => http::Method::GET,
        };
        let url = format!("http://{to}{path}");
        let request = self.client.request(method, url).ok()?;
        let request = request.body(question.unwrap_or_default());
        let exchange = async {
            let response = request.send().await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            response.bytes().await.ok()
        };
        let bytes = self.clock.timeout(SPAN, exchange).await.ok()??;
        serde_json::from_slice(&bytes).ok()
    }
}
