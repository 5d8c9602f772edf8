//! The rules of the platform's key-value store without I/O: compare-and-swap, leases and revisions.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

/// A value with its version and the lease that it is attached to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of the write.
    pub version: u64,
    /// The lease whose end deletes the key.
    pub lease: Option<String>,
}

/// A key in the response to a list or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Listed {
    /// The key.
    pub key: String,
    /// The version; 0 if the key is deleted.
    pub version: u64,
}

/// The response to a list or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Page {
    /// The store revision.
    pub revision: u64,
    /// The keys.
    pub keys: Vec<Listed>,
}

/// Why a write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key has this version instead of the expected one.
    Version(u64),
    /// The lease doesn't exist or has expired.
    Lease,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// The key-value store.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_standins::store::Store;
///
/// let mut store = Store::default();
/// let version = store.put(Duration::ZERO, "a", b"1".to_vec(), 0, None).unwrap();
/// assert_eq!(store.get(Duration::ZERO, "a").unwrap().version, version);
/// ```
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    items: IndexMap<String, Item>,
    changes: IndexMap<String, u64>,
    leases: IndexMap<String, Lease>,
    next_lease: u64,
}

impl Store {
    /// Returns a value.
    pub fn get(&mut self, now: Duration, key: &str) -> Option<&Item> {
        self.expire(now);
        self.items.get(key)
    }

    /// Writes a value if the key's version is `expected`; 0 means that the key must not exist.
    ///
    /// # Errors
    ///
    /// Fails on another version, or if the lease is not live; nothing changes then.
    pub fn put(
        &mut self,
        now: Duration,
        key: &str,
        value: Vec<u8>,
        expected: u64,
        lease: Option<&str>,
    ) -> Result<u64, Refusal> {
        self.expire(now);
        self.check_version(key, expected)?;
        if lease.is_some_and(|id| !self.leases.contains_key(id)) {
            return Err(Refusal::Lease);
        }
        let version = self.record_change(key);
        let lease = lease.map(str::to_owned);
        let item = Item {
            value,
            version,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        Ok(version)
    }

    /// Deletes a key if its version is `expected`.
    ///
    /// # Errors
    ///
    /// Fails on another version; nothing changes then.
    pub fn delete(&mut self, now: Duration, key: &str, expected: u64) -> Result<(), Refusal> {
        self.expire(now);
        self.check_version(key, expected)?;
        if self.items.shift_remove(key).is_some() {
            self.record_change(key);
        }
        Ok(())
    }

    /// Lists the keys that start with a prefix.
    pub fn list(&mut self, now: Duration, prefix: &str) -> Page {
        self.expire(now);
        let items = self.items.iter();
        let keys = items
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| Listed {
                key: key.clone(),
                version: item.version,
            })
            .collect();
        Page {
            revision: self.revision,
            keys,
        }
    }

    /// Lists the keys with a prefix that changed after a revision, including deleted ones.
    pub fn changed(&mut self, now: Duration, prefix: &str, since: u64) -> Page {
        self.expire(now);
        let changes = self.changes.iter();
        let keys = changes
            .filter(|(key, at)| key.starts_with(prefix) && **at > since)
            .map(|(key, _)| Listed {
                key: key.clone(),
                version: self.items.get(key).map_or(0, |item| item.version),
            })
            .collect();
        Page {
            revision: self.revision,
            keys,
        }
    }

    /// Creates a lease and returns its id.
    pub fn lease(&mut self, now: Duration, ttl: Duration) -> String {
        self.next_lease += 1;
        let id = format!("lease-{}", self.next_lease);
        let expires_at = now + ttl;
        self.leases.insert(id.clone(), Lease { ttl, expires_at });
        id
    }

    /// Renews a lease and returns whether it was still live.
    pub fn renew(&mut self, now: Duration, id: &str) -> bool {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, now: Duration, id: &str) {
        self.expire(now);
        self.end_lease(id);
    }

    /// Ends all expired leases and deletes their keys.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.end_lease(&id);
        }
    }

    fn end_lease(&mut self, id: &str) {
        if self.leases.shift_remove(id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.items.shift_remove(&key);
            self.record_change(&key);
        }
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), Refusal> {
        let version = self.items.get(key).map_or(0, |item| item.version);
        if version == expected {
            return Ok(());
        }
        Err(Refusal::Version(version))
    }

    fn record_change(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.changes.insert(key.to_owned(), self.revision);
        self.revision
    }
}
