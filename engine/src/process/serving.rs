//! Serves everyone who connects to a process: callers, the load balancer, other VMs and operators.

use bramleypier_util::{
    body::Body,
    server::{self, Control, ServerLimits},
};
use hyper::Response;

use super::{Process, listeners::Listeners, spawn};
use crate::{
    caller::{
        attempt::Sender, context, response_sizes::ResponseSizes, serve, startup::StartupWait,
        timeouts::RouteTimeouts,
    },
    capacity::SOCKET_BYTES,
    peer::sync,
    placement::task,
    reach::relay::Relay,
};

impl Process {
    /// Serves callers, readiness checks, other VMs and operators.
    pub(super) fn serve(
        &self,
        listeners: Listeners,
        callers: &Control,
        dispatcher: &task::Handle,
        sync_context: &sync::Context,
    ) {
        let context = context::Context {
            shared_fleet: self.shared_fleet.clone(),
            callers: self.adapter.callers.clone(),
            dispatcher: dispatcher.clone(),
            sender: Sender {
                client: self.target_client.clone(),
                relays: self.relay_client.clone(),
                reach: self.reach.clone(),
                targets: self.adapter.targets.clone(),
                shared_fleet: self.shared_fleet.clone(),
                serving: self.serving.clone(),
                memory: self.memory.clone(),
                quarantine: self.quarantine.clone(),
                clock: self.clock.clone(),
                report: self.report.clone(),
            },
            startup: StartupWait::new(&self.clock),
            timeouts: RouteTimeouts::default(),
            response_sizes: ResponseSizes::default(),
            memory: self.memory.clone(),
            tally: self.tally.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        };
        let serving = self.serving.clone();
        spawn(serve::callers(
            listeners.callers,
            callers.clone(),
            context,
            serving.clone(),
            self.settings.open_requests,
            ServerLimits {
                connections: self.settings.capacity.connections(),
                memory: self.memory.clone(),
                socket_bytes: Some(SOCKET_BYTES),
            },
        ));
        // These listeners stay open until the process ends: a draining VM still answers readiness checks.
        let unstopped = Control::default();
        spawn(serve::readiness(
            listeners.readiness,
            unstopped.clone(),
            serving,
        ));
        let (report, sync_context) = (self.report.clone(), sync_context.clone());
        let relay = Relay {
            reach: self.reach.clone(),
            client: self.target_client.clone(),
            shared_fleet: self.shared_fleet.clone(),
            serving: self.serving.clone(),
            memory: self.memory.clone(),
            in_flight: self.relayed.clone(),
            report: self.report.clone(),
        };
        let peers = move |request| {
            let (relay, sync_context) = (relay.clone(), sync_context.clone());
            async move {
                if Relay::handles(&request) {
                    relay.handle(request).await
                } else {
                    sync::handle_request(sync_context, request).await
                }
            }
        };
        spawn(server::serve(listeners.peers, unstopped.clone(), peers));
        let metrics = move |_| {
            let text = report.text();
            async move { Response::new(Body::from(text)) }
        };
        spawn(server::serve(listeners.metrics, unstopped, metrics));
    }
}
