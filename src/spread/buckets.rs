//! Hashes of versions, by kind and bucket, kept up to date at each change.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::{Digest, Id, Kind};
use crate::id::Version;

/// Buckets of a kind; a difference is searched in one of them alone.
pub(super) const BUCKETS: usize = 16;

/// The hashes; each is the exclusive or of its versions' hashes.
#[derive(Debug, Default)]
pub(super) struct Buckets {
    kinds: IndexMap<Kind, Vec<u64>>,
    whole: Digest,
}

impl Buckets {
    /// Adds a version, or takes it away if it was added before.
    pub(super) fn toggle(&mut self, id: &Id, version: Version) {
        let hash = xxh3::xxh3_64_with_seed(id.name.as_bytes(), version);
        let hash = hash.rotate_left(id.kind as u32);
        let buckets = self
            .kinds
            .entry(id.kind)
            .or_insert_with(|| vec![0; BUCKETS]);
        buckets[bucket(id)] ^= hash;
        self.whole ^= hash;
    }

    /// Returns the hash of all versions.
    pub(super) fn whole(&self) -> Digest {
        self.whole
    }

    /// Returns the hashes by kind and bucket.
    pub(super) fn hashes(&self) -> IndexMap<Kind, Vec<u64>> {
        self.kinds.clone()
    }

    /// Returns whether another's hashes differ in the bucket of an item.
    pub(super) fn differ(&self, others: &IndexMap<Kind, Vec<u64>>, id: &Id) -> bool {
        let at = |kinds: &IndexMap<Kind, Vec<u64>>| {
            kinds
                .get(&id.kind)
                .and_then(|buckets| buckets.get(bucket(id)))
                .copied()
                .unwrap_or(0)
        };
        at(&self.kinds) != at(others)
    }
}

/// Returns the bucket of an item.
fn bucket(id: &Id) -> usize {
    let hash = xxh3::xxh3_64(id.name.as_bytes());
    usize::from(hash.to_le_bytes()[0]) % BUCKETS
}
