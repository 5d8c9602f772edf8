//! Queries of operators' commands to all VMs of the fleet.

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

/// The timeout of a call to one VM.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of VMs that are called at a time.
const MAX_CONCURRENT_CALLS: usize = 64;
/// The caller name under which the platform's service counts operators' calls.
const CALLER_NAME: &str = "operator";

/// A client of the platform's service and of all VMs.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    client: cyper::Client,
    settings: Settings,
    /// The client of the platform's service.
    pub platform: Platform,
    /// The clock for timeouts and retry delays.
    pub clock: Clock,
}

/// The VMs' answers to one query.
#[derive(Clone, Debug)]
pub(super) struct Answers<T> {
    /// The answers.
    pub answers: Vec<T>,
    /// The VMs that did not answer, as `name` or `IP:port`.
    pub unreached: Vec<VmId>,
}

impl Fleet {
    /// Creates a client from a settings file, which has the addresses of the platform's service and of the first VMs.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let settings = settings::load(path).map_err(Error::Settings)?;
        let clock = Clock::real();
        Ok(Self {
            client: cyper::Client::new().map_err(Error::Client)?,
            platform: Platform::new(clock.clone(), settings.platform, CALLER_NAME.to_owned()),
            settings,
            clock,
        })
    }

    /// Sends a query to every VM in the platform's list and in the settings, and parses the JSON answers.
    pub async fn ask<T>(&self, path: &str, query: Option<Bytes>) -> Answers<T>
    where
        T: DeserializeOwned,
    {
        let calls = self.vms().await.into_iter().map(|(address, name)| {
            let query = query.clone();
            async move { self.call(address, path, query).await.ok_or(name) }
        });
        let mut results: Vec<Result<T, VmId>> = stream::iter(calls)
            .buffered(MAX_CONCURRENT_CALLS)
            .collect()
            .await;
        let unreached = results.extract_if(.., |result| result.is_err());
        let unreached = unreached.filter_map(Result::err).collect();
        Answers {
            answers: results.into_iter().flatten().collect(),
            unreached,
        }
    }

    /// Returns the VMs' addresses and names. If the platform's service fails, only those in the settings are known.
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

    /// Calls one VM. Returns `None` if it doesn't answer in time or the answer is invalid.
    async fn call<T>(&self, to: SocketAddr, path: &str, query: Option<Bytes>) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let method = match query {
            Some(_) => http::Method::POST,
            None => http::Method::GET,
        };
        let url = format!("http://{to}{path}");
        let request = self.client.request(method, url).ok()?;
        let request = request.body(query.unwrap_or_default());
        let exchange = async {
            let response = request.send().await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            response.bytes().await.ok()
        };
        let bytes = self.clock.timeout(CALL_TIMEOUT, exchange).await.ok()??;
        serde_json::from_slice(&bytes).ok()
    }
}
