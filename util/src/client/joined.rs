//! Recognizes heads of responses that begin with the bytes of another message; free of I/O.

use hyper::{Response, ext::ReasonPhrase};

/// The start of each message's first line, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// The length of a first line up to the status: the version, a space and three digits.
const STATUS_END: usize = VERSION.len() + 5;

/// Returns whether a response's head begins with the bytes of another message that broke off.
///
/// The first line of the peer's own response then stands within the reason or within the value of a header. Anywhere else the
/// head can't be parsed.
pub(super) fn is_joined<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(AsRef::as_ref);
    let mut texts = reason.map(ReasonPhrase::as_bytes).into_iter().chain(values);
    texts.any(has_first_line)
}

/// Returns whether a text contains the version and the status of a response.
fn has_first_line(text: &[u8]) -> bool {
    text.windows(STATUS_END).any(is_first_line)
}

/// Returns whether a text is the beginning of a response, as far as it goes.
pub(super) fn begins_message(text: &[u8]) -> bool {
    let version = &VERSION[..VERSION.len().min(text.len())];
    if text.len() >= STATUS_END {
        return is_first_line(&text[..STATUS_END]);
    }
    text.starts_with(version)
}

fn is_first_line(text: &[u8]) -> bool {
    let Some([minor, b' ', status @ ..]) = text.strip_prefix(VERSION) else {
        return false;
    };
    minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
}
