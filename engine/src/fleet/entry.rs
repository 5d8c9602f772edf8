//! The engine's own items in the store: their keys, and the entry by which a VM announces itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::VmId;
use crate::{catalogue::DomainId, quarantine::Fingerprint};

/// Builds the keys of the engine's own items in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreKeys {
    /// The prefix of all these keys.
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

    /// Returns the key of a service's owners record.
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

    /// Returns the key of the verdict on a request that ends targets.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::{fleet::StoreKeys, quarantine::Fingerprint};
    ///
    /// let key = StoreKeys { prefix: "b/".into() }.quarantine(Fingerprint::default());
    /// assert_eq!(key, "b/quarantine/0000000000000000");
    /// ```
    pub fn quarantine(&self, request: Fingerprint) -> String {
        format!("{}{request}", self.quarantine_prefix())
    }

    /// Returns the prefix of the keys of all such verdicts.
    pub(super) fn quarantine_prefix(&self) -> String {
        format!("{}quarantine/", self.prefix)
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

/// A running process of a VM, as it announces itself to other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// The VM's name.
    pub name: VmId,
    /// Identifies this start of its process; each start has another value.
    pub start: String,
    /// The address at which other VMs reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its capacity as the manager, in thousandths of a core.
    #[serde(rename = "power")]
    pub capacity_millicores: u32,
}

impl Vm {
    /// Returns the value that identifies a start of a VM's process.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Vm;
    ///
    /// assert_eq!(Vm::start_id("vm-1", 255), "vm-1/00000000000000ff");
    /// ```
    pub fn start_id(name: &str, random: u64) -> String {
        format!("{name}/{random:016x}")
    }

    /// Returns the name of the VM whose process a value identifies.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Vm;
    ///
    /// assert_eq!(Vm::name_of_start(&Vm::start_id("vm-1", 7)), "vm-1");
    /// ```
    pub fn name_of_start(start: &str) -> &str {
        start.rsplit_once('/').map_or(start, |(name, _)| name)
    }

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
        // Strings and numbers always encode.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a stored entry; `None` if the bytes are not a valid entry.
    ///
    /// # Example
    ///
    /// See [`Vm::encode`].
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
