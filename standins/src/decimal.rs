//! 64-bit numbers as decimal strings in JSON, as points of the hash space travel.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Writes a number as a decimal string.
///
/// # Errors
///
/// Fails when the serializer does.
pub fn serialize<S>(value: &u64, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(value)
}

/// Reads a number from a decimal string.
///
/// # Errors
///
/// Fails when the text is no number.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
