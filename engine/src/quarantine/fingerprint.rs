//! Identifies requests by what they ask for.

use std::fmt;

use hyper::{Method, Uri};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::owner::record::RequestKey;

/// The hash of what a request asks for: two requests with the same one differ in nothing that a target's work depends on.
///
/// The request's id and the time that is left aren't part of it, since a caller that repeats a request changes them.
///
/// # Example
///
/// ```
/// use bramleypier_engine::quarantine::Fingerprint;
/// use hyper::{Method, Uri};
///
/// let uri = Uri::from_static("/look/x");
/// let print = |body: &[u8]| Fingerprint::new(&Method::GET, "a.example", &uri, Some(7), [body]);
/// assert_eq!(print(b"1"), print(b"1"));
/// assert_ne!(print(b"1"), print(b"2"));
/// assert_eq!(print(b"1").to_string().len(), 16);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes a request with the parts of its body that are known when it is sent.
    ///
    /// # Example
    ///
    /// See [`Fingerprint`].
    pub fn new<'a, B>(
        method: &Method,
        host: &str,
        uri: &Uri,
        key: Option<RequestKey>,
        body: B,
    ) -> Self
    where
        B: IntoIterator<Item = &'a [u8]>,
    {
        let mut hash = Xxh3::new();
        let path = uri.path_and_query().map_or("/", |it| it.as_str());
        for part in [method.as_str(), host, path] {
            hash.update(part.as_bytes());
            // Without a separator two requests could move bytes between their parts.
            hash.update(b"\n");
        }
        hash.update(&key.map_or([0; 8], u64::to_be_bytes));
        for chunk in body {
            hash.update(chunk);
        }
        Self(hash.digest())
    }
}

impl Fingerprint {
    /// Parses the text that [`Fingerprint`] displays; `None` if it is another text.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::quarantine::Fingerprint;
    ///
    /// let print = Fingerprint::default();
    /// assert_eq!(Fingerprint::parse(&print.to_string()), Some(print));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
