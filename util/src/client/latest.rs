//! Which requests may follow a response on its connection, if the peer may send it once more.

use hyper::header::HeaderValue;

/// The name of requests that are answered alike.
pub type Series = String;

/// The latest response of a connection, by the request that it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Latest {
    /// There was none, or the peer's responses come only once.
    Nothing,
    /// It names the request with this id.
    Named(HeaderValue),
    /// It names none, and answers a request of this series.
    Unnamed(Option<Series>),
}

impl Latest {
    /// Returns whether a copy of the response could be taken for the response to the request with this id or of this series,
    /// and do harm.
    pub(super) fn resembles(&self, id: Option<&HeaderValue>, series: Option<&Series>) -> bool {
        match self {
            Self::Nothing => false,
            Self::Named(named) => id == Some(named),
            Self::Unnamed(answered) => answered.is_none() || answered.as_ref() != series,
        }
    }
}
