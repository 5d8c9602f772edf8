//! How a request to a target ended, as reported to the dispatcher.

use std::time::Duration;

use crate::{
    owner::record::{Fence, RequestKey},
    target::LoadReport,
};

/// The way in which a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// The target responded successfully, after this time.
    Answered(Duration),
    /// The target responded with a server error.
    Failed,
    /// The target refused the request and didn't run it.
    Refused,
    /// The target doesn't own the request's key, or isn't the intended target, and didn't run the request.
    Misdirected,
    /// The connection broke, or the response couldn't be used.
    Lost,
    /// No connection could be established.
    ConnectFailed,
    /// Nothing was sent, for reasons that say nothing about the target.
    Withdrawn,
    /// The connection was refused: nothing listens at the address.
    ConnectRefused,
    /// The caller left, or the deadline passed, after the request had been at the target for this time.
    Abandoned(Duration),
}

/// The end of one request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// How the request ended.
    pub kind: CompletionKind,
    /// When the request was sent.
    pub sent_at: Duration,
    /// The estimated number of requests at the target when this one was sent.
    pub depth: f64,
    /// The load that the target reported with its response.
    pub load: Option<LoadReport>,
    /// The request's key and the fence of its owner, if the service has owners.
    pub ownership: Option<(RequestKey, Fence)>,
}
