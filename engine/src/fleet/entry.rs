//! The engine's own items in the store: their keys, and the entry of a VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::VmId;
use crate::catalogue::DomainId;

/// Where the engine keeps its own items in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreKeys {
    /// What all keys begin with.
    pub prefix: String,
}

impl StoreKeys {
    /// Returns the key of the manager's entry.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::StoreKeys;
    ///
    /// assert_eq!(StoreKeys { prefix: "b/".into() }.manager(), "b/manager");
    /// ```
    pub fn manager(&self) -> String {
        format!("{}manager", self.prefix)
    }

    /// Returns the key of a service's record.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::StoreKeys;
    ///
    /// assert_eq!(StoreKeys { prefix: "b/".into() }.record("s"), "b/owners/s");
    /// ```
    pub fn record(&self, service: &str) -> String {
        format!("{}owners/{service}", self.prefix)
    }

    /// Returns the key of a VM's entry.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::StoreKeys;
    ///
    /// assert_eq!(StoreKeys { prefix: "b/".into() }.vm("a"), "b/vms/a");
    /// ```
    pub fn vm(&self, vm: &str) -> String {
        format!("{}vms/{vm}", self.prefix)
    }
}

/// A start of a VM's process, as it announces itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// The VM's name.
    pub name: VmId,
    /// The start of its process; another start has another.
    pub start: String,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// What it can do as the manager, in thousandths of a core.
    #[serde(rename = "power")]
    pub capacity_millicores: u32,
}

impl Vm {
    /// Encodes the entry for the store.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Vm;
    ///
    /// let vm = Vm {
    ///     name: "a".into(),
    ///     start: "1".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     domain: "d".into(),
    ///     capacity_millicores: 200,
    /// };
    /// assert_eq!(Vm::decode(&vm.encode()), Some(vm));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Text and numbers always encode.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a stored entry; `None` if the bytes are none.
    ///
    /// # Example
    ///
    /// See [`Vm::encode`].
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
