//! How a request at a target ended, as a dispatcher is told.

use std::time::Duration;

use crate::{
    owner::record::{Fence, RequestKey},
    target::LoadReport,
};

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// It was answered well, in this time.
    Answered(Duration),
    /// It was answered with the target's own failure.
    Failed,
    /// The target refused it and did not run it.
    Refused,
    /// The target doesn't own the request's key, or is another than was meant, and did not run it.
    Misdirected,
    /// The connection broke, or the answer could not be used.
    Lost,
    /// No connection came about.
    ConnectFailed,
    /// Nobody listens at its address.
    ConnectRefused,
    /// The caller left, or the time ran out, after it had been there so long.
    Abandoned(Duration),
}

/// The end of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// How it ended.
    pub kind: CompletionKind,
    /// When it was sent.
    pub sent: Duration,
    /// How many requests were probably there before it.
    pub depth: f64,
    /// The load that the target reported.
    pub load: Option<LoadReport>,
    /// The request's key and the fence of its owner, where its service has owners.
    pub ownership: Option<(RequestKey, Fence)>,
}
