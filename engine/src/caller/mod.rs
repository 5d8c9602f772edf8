//! Serves callers, the clients of the router.
//!
//! [`serve`] owns callers' connections; [`forward`] takes one request from its route to its
//! response, and [`context`] is what all steps on that way share. `attempts` decides which targets it is sent to, one after the other, and [`attempt`]
//! sends it to one of them; [`send_watch`] checks the choice of the target at that moment. [`startup`] holds requests until the first configuration is known, and
//! [`failure`] lists the failures that this router reports in responses of its own.

pub mod attempt;
mod attempts;
pub mod context;
pub mod failure;
pub mod forward;
mod local_response;
mod news;
mod payload;
pub mod response_sizes;
pub mod send_watch;
pub mod serve;
pub mod startup;
pub mod timeouts;

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, Uri};

use crate::owner::record::RequestKey;

/// Fields of a caller's request that the caller protocol defines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's id; each attempt of a caller has a different one.
    pub id: String,
    /// How much longer the caller waits; `None` if it doesn't state that.
    pub remaining: Option<Duration>,
    /// The key that decides which target owns the request.
    pub key: Option<RequestKey>,
}

/// The protocol between callers and this router; an adapter implements it for one platform.
pub trait CallerProtocol {
    /// Reads the fields that the protocol defines.
    fn read(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> RequestInfo;

    /// Returns the status of a local response.
    fn status(&self, failure: failure::Failure) -> StatusCode;

    /// Adds the headers of a local response.
    fn add_headers(
        &self,
        failure: failure::Failure,
        id: &str,
        retry_after: Option<Duration>,
        headers: &mut HeaderMap,
    );
}
