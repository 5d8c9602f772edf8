//! Hop-by-hop headers: those that apply to one connection and must not be forwarded.

use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

/// The headers that are always hop-by-hop.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// How much an entry of a map takes besides its name and value, in bytes.
const ENTRY_BYTES: usize = 128;

/// Returns how much memory headers take, in bytes, roughly.
///
/// # Example
///
/// ```
/// use bramleypier_util::headers;
/// use hyper::{HeaderMap, header::{self, HeaderValue}};
///
/// let mut map = HeaderMap::new();
/// assert_eq!(headers::size(&map), 0);
/// map.insert(header::HOST, HeaderValue::from_static("a.example"));
/// assert!(headers::size(&map) > 100);
/// ```
pub fn size(map: &HeaderMap) -> usize {
    let entries = map.iter();
    entries
        .map(|(name, value)| ENTRY_BYTES + name.as_str().len() + value.len())
        .sum()
}

/// Removes hop-by-hop headers, including those that the message's `connection` header names.
///
/// The length of a message whose body comes in chunks is removed as well: the chunks tell it, whatever the header says.
///
/// # Example
///
/// ```
/// use bramleypier_util::headers;
/// use hyper::{HeaderMap, header::{self, HeaderValue}};
///
/// let mut map = HeaderMap::new();
/// map.insert(header::CONNECTION, HeaderValue::from_static("close, x-hop"));
/// map.insert("x-hop", HeaderValue::from_static("1"));
/// map.insert("x-end", HeaderValue::from_static("1"));
/// headers::strip(&mut map);
/// assert_eq!(map.len(), 1);
/// ```
pub fn strip(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    if map.contains_key(header::TRANSFER_ENCODING) {
        map.remove(header::CONTENT_LENGTH);
    }
    for name in named.iter().chain(&HOP_BY_HOP) {
        map.remove(name);
    }
}

/// Returns whether a message announces that its connection closes after it.
///
/// # Example
///
/// ```
/// use bramleypier_util::headers;
/// use hyper::{HeaderMap, header::{self, HeaderValue}};
///
/// let mut map = HeaderMap::new();
/// map.insert(header::CONNECTION, HeaderValue::from_static("Close"));
/// assert!(headers::closes_connection(&map));
/// ```
pub fn closes_connection(map: &HeaderMap) -> bool {
    let mut values = map.get_all(header::CONNECTION).iter();
    values.any(|value| {
        value
            .to_str()
            .is_ok_and(|it| it.to_ascii_lowercase().contains("close"))
    })
}
