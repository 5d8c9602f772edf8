//! Hashes of item versions by kind and bucket, updated with each change.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::{Digest, Id, Kind};
use crate::id::Version;

/// Buckets per kind; only the versions in buckets that differ are compared.
pub(super) const BUCKETS: usize = 16;

/// Hashes of item versions; each is the exclusive or of the hashes of its versions.
#[derive(Debug, Default)]
pub(super) struct Buckets {
    kinds: IndexMap<Kind, Vec<u64>>,
    total: Digest,
}

impl Buckets {
    /// Adds a version, or removes it if it was added before.
    pub(super) fn toggle(&mut self, id: &Id, version: Version) {
        let hash = xxh3::xxh3_64_with_seed(id.name.as_bytes(), version);
        let hash = hash.rotate_left(id.kind as u32);
        let buckets = self
            .kinds
            .entry(id.kind)
            .or_insert_with(|| vec![0; BUCKETS]);
        buckets[bucket(id)] ^= hash;
        self.total ^= hash;
    }

    /// Returns the hash of all versions.
    pub(super) fn total(&self) -> Digest {
        self.total
    }

    /// Returns the hashes by kind and bucket.
    pub(super) fn hashes(&self) -> IndexMap<Kind, Vec<u64>> {
        self.kinds.clone()
    }

    /// Returns whether a peer's hashes differ in the bucket of an item.
    pub(super) fn differ(&self, peer: &IndexMap<Kind, Vec<u64>>, id: &Id) -> bool {
        let bucket_hash = |kinds: &IndexMap<Kind, Vec<u64>>| {
            kinds
                .get(&id.kind)
                .and_then(|buckets| buckets.get(bucket(id)))
                .copied()
                .unwrap_or(0)
        };
        bucket_hash(&self.kinds) != bucket_hash(peer)
    }
}

/// Returns the bucket of an item.
fn bucket(id: &Id) -> usize {
    let hash = xxh3::xxh3_64(id.name.as_bytes());
    usize::from(hash.to_le_bytes()[0]) % BUCKETS
}
