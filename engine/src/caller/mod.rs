//! Callers: what they ask, how a request goes through, and what they are answered.
//!
//! [`serve`] owns callers' connections; [`forward`] takes one request from its route to its answer;
//! `tries` decides which targets it goes to one after the other; [`attempt`] sends it to one;
//! [`early`] lets requests wait that come before the first configuration; [`words`] are the answers of our own.

pub mod attempt;
mod attempts;
mod body;
pub mod failure;
pub mod forward;
mod local_response;
mod payload;
pub mod serve;
pub mod startup;
pub mod timeouts;

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, Uri};

use crate::owner::record::RequestKey;

/// What a caller's request says beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The request's id; each try of a caller has another.
    pub id: String,
    /// How long the caller waits; none if it doesn't say.
    pub remaining: Option<Duration>,
    /// The key.
    pub key: Option<RequestKey>,
}

/// How callers are understood and answered; implemented once for each dialect.
pub trait CallerProtocol {
    /// Reads what a request says.
    fn read(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> RequestInfo;

    /// Returns the status of an answer of our own.
    fn status(&self, word: failure::Failure) -> StatusCode;

    /// Adds the headers of an answer of our own.
    fn add_headers(
        &self,
        word: failure::Failure,
        id: &str,
        retry: Option<Duration>,
        headers: &mut HeaderMap,
    );
}
