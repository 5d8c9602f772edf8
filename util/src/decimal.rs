//! Numbers of 64 bits as decimal strings, since JSON readers may keep only 53 bits.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Writes the number as a decimal string.
///
/// # Errors
///
/// The serializer's own.
#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde's `with` passes a reference"
)]
pub fn serialize<S>(number: &u64, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.collect_str(number)
}

/// Reads the number from a decimal string.
///
/// # Errors
///
/// The deserializer's own, or that the text is no number of 64 bits.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
