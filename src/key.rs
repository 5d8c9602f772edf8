//! The hash of keys: which point of the hash space a key has, and the weights of rendezvous hashing.

use xxhash_rust::xxh3;

/// A point of the hash space.
pub type Point = u64;

/// Returns the point of a key: XXH3-64 of its bytes with seed 0.
///
/// The hash is part of the contract with targets, so it must never change.
///
/// # Example
///
/// ```
/// use bramleypier::key;
///
/// assert_eq!(key::point("letter-1"), key::point("letter-1"));
/// assert_ne!(key::point("letter-1"), key::point("letter-2"));
/// ```
pub fn point(key: &str) -> Point {
    xxh3::xxh3_64(key.as_bytes())
}

/// Returns the weight of a candidate for a subject in rendezvous hashing; the candidate with the highest is chosen.
///
/// # Example
///
/// ```
/// use bramleypier::key;
///
/// assert_eq!(key::weight("range-1", "vm-a"), key::weight("range-1", "vm-a"));
/// ```
pub fn weight(subject: &str, candidate: &str) -> u64 {
    let text = format!("{subject}\n{candidate}");
    xxh3::xxh3_64(text.as_bytes())
}
