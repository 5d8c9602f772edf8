//! Targets as the engine calls them: work, grants and releases.

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode};

use crate::{
    catalogue::TargetId,
    owner::{
        ownership::{CallOutcome, OwnershipCommand},
        record::RequestKey,
    },
};

/// How loaded a target says it is; it may lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How many requests a second a target takes from all VMs together while it is in need of relief.
pub type Rate = f64;

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is full, or the request's time was over.
    Busy,
    /// It doesn't hold the request's key, or isn't the target that was meant.
    NotOwner,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The target states that it did not run the request.
    pub refusal: Option<Refusal>,
    /// The answer bears the target's signature.
    pub signed: bool,
    /// The request id that the answer belongs to.
    pub request_id: Option<String>,
    /// The load that the target reports.
    pub load: Option<LoadReport>,
    /// The rate to which the target asks to be held; none if it takes whatever comes.
    pub rate: Option<Rate>,
}

/// A call to a target in the dialect's own form.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'static str,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// How targets are spoken to; implemented once for each dialect.
pub trait TargetProtocol {
    /// Returns the last key; the first is 0.
    fn last_point(&self) -> RequestKey;

    /// Sets the headers of a request that is sent to a target with the time that is left.
    fn set_headers(&self, headers: &mut HeaderMap, target: &TargetId, left: Duration);

    /// Reads the head of an answer.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Builds a grant.
    fn grant(&self, order: &OwnershipCommand) -> Call;

    /// Builds a release.
    fn release(&self, order: &OwnershipCommand) -> Call;

    /// Reads the answer of a grant or release.
    fn call_result(&self, status: StatusCode, headers: &HeaderMap) -> CallOutcome;
}
