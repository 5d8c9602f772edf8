//! Serde support for 64-bit numbers as decimal strings.
//!
//! Points of the hash space are written this way in JSON.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serializes a number as a decimal string.
///
/// # Errors
///
/// Fails if the serializer fails.
pub fn serialize<S>(value: &u64, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(value)
}

/// Deserializes a number from a decimal string.
///
/// # Errors
///
/// Fails if the text is not a 64-bit unsigned number.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
