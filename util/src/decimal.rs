//! 64-bit numbers as decimal strings in JSON, for serde's `with`.
//!
//! JSON parsers may read numbers as floating point, which keeps only 53 bits.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serializes a number as a decimal string.
///
/// # Errors
///
/// The serializer's errors.
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

/// Deserializes a number from a decimal string.
///
/// # Errors
///
/// The deserializer's errors, or the text is not a 64-bit number.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
