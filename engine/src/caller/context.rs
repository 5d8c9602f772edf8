//! What the steps of handling a request share: its route and deadlines, and the state and clients that they use.

use std::{rc::Rc, time::Duration};

use bramleypier_util::{clock::Clock, memory::Memory};

use super::{
    CallerProtocol, RequestInfo, attempt::Sender, response_sizes::ResponseSizes,
    startup::StartupWait, timeouts::RouteTimeouts,
};
use crate::{
    catalogue::Route, fleet::SharedFleet, owner::tally::Tally, placement::task, report::Report,
};

/// The state and clients that request handling uses.
#[derive(Clone)]
pub struct Context {
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// The protocol that callers use.
    pub callers: Rc<dyn CallerProtocol>,
    /// Decides which targets requests go to.
    pub dispatcher: task::Handle,
    /// Sends requests to targets.
    pub sender: Sender,
    /// Holds requests that arrive before the first configuration.
    pub startup: StartupWait,
    /// The longest remaining time that callers have stated, by route.
    pub timeouts: RouteTimeouts,
    /// The mean sizes of responses, by route.
    pub response_sizes: ResponseSizes,
    /// The memory for what is held for callers.
    pub memory: Memory,
    /// Counts requests by key.
    pub tally: Tally,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// A request whose route and service are known.
#[derive(Clone, Debug)]
pub(super) struct RoutedRequest {
    pub(super) info: RequestInfo,
    pub(super) route: Route,
    pub(super) service: String,
    /// Whether only the owner of the key can serve it.
    pub(super) keyed: bool,
    /// The configuration's version.
    pub(super) version: u64,
    /// When the request was received.
    pub(super) received_at: Duration,
    /// When its route's goal ends.
    pub(super) goal_deadline: Duration,
    /// When its caller stops waiting, or the route's timeout ends.
    pub(super) deadline: Duration,
}
