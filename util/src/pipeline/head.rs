//! Recognizes a whole request without a body at the start of held bytes; free of I/O.

use hyper::{
    HeaderMap, Method, Request, Uri, Version,
    header::{self, HeaderName, HeaderValue},
};

use crate::headers;

/// A whole request without a body.
#[derive(Debug)]
pub(super) struct FoundRequest {
    pub(super) request: Request<()>,
    /// The size of its head, in bytes.
    pub(super) length: usize,
    /// Whether nothing behind it may be read.
    pub(super) closes: bool,
}

/// What held bytes start with.
#[derive(Debug)]
pub(super) enum Found {
    /// A whole request without a body.
    Request(Box<FoundRequest>),
    /// The start of a head.
    Partial,
    /// Something that only hyper handles.
    Other,
}

/// Parses the first head of `bytes`, with hyper's limits for the number of headers and the size of the head.
pub(super) fn find(bytes: &[u8], max_headers: usize, max_bytes: usize) -> Found {
    let mut parsed_headers = vec![httparse::EMPTY_HEADER; max_headers];
    let mut parsed = httparse::Request::new(&mut parsed_headers);
    match parsed.parse(bytes) {
        // hyper refuses a head that fills its buffer.
        Ok(httparse::Status::Complete(length)) if length < max_bytes => {
            build(&parsed).map_or(Found::Other, |request| {
                let closes = headers::closes_connection(request.headers());
                Found::Request(Box::new(FoundRequest {
                    request,
                    length,
                    closes,
                }))
            })
        }
        Ok(httparse::Status::Partial) => Found::Partial,
        Ok(httparse::Status::Complete(_)) | Err(_) => Found::Other,
    }
}

/// Returns the request, or `None` if it may have a body or needs more of its connection than a response.
fn build(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    if parsed.version != Some(1) {
        return None;
    }
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let uri = parsed.path?.parse::<Uri>().ok()?;
    let mut map = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    if method == Method::CONNECT || has_body(&map) || needs_connection(&map) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = map;
    Some(request)
}

fn has_body(map: &HeaderMap) -> bool {
    let mut lengths = map.get_all(header::CONTENT_LENGTH).iter();
    lengths.any(|it| it != "0") || map.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a request asks for another protocol or an interim response.
fn needs_connection(map: &HeaderMap) -> bool {
    map.contains_key(header::UPGRADE) || map.contains_key(header::EXPECT)
}
