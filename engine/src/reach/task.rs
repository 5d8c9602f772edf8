//! The task that finds out whether this VM is cut off from targets, and which other VMs reach them.

use std::time::Duration;

use bramleypier_util::client::Client;
use futures_util::future;

use super::{
    Reach, relay,
    state::{self, Step},
};
use crate::{
    catalogue::TargetId,
    fleet::Vm,
    placement::{dispatch, task},
};

/// The time between two looks at what new connections have shown.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The dependencies of the task.
#[derive(Clone, Debug)]
pub struct Context {
    /// This VM.
    pub vm: Vm,
    /// The state.
    pub reach: Reach,
    /// Connections to other VMs.
    pub peers: Client,
    /// Connections to targets, for requests.
    pub targets: Client,
    /// The dispatcher, which is told of changes.
    pub dispatcher: task::Handle,
}

/// Runs until the process ends.
pub async fn run(context: Context) {
    let mut was_cut_off = false;
    loop {
        context.reach.context.clock.sleep(LOOK_INTERVAL).await;
        match context.reach.next_step() {
            Step::Wait => {}
            Step::Check => context.check().await,
            Step::Probe => {
                context
                    .reach
                    .probe_any(&context.reach.random_targets())
                    .await;
            }
            Step::FindRelays => {
                // It is looked for again as long as too few are known.
                let _ = context.find_relays(&context.reach.random_targets()).await;
            }
        }
        let is_cut_off = context.reach.is_cut_off();
        if is_cut_off != was_cut_off {
            was_cut_off = is_cut_off;
            context.dispatcher.send(dispatch::Event::PathsChanged);
        }
    }
}

impl Context {
    /// Checks whether others reach targets that this VM doesn't reach; targets that nobody reaches may have ended.
    async fn check(&self) {
        let targets = self.reach.random_targets();
        if self.reach.probe_any(&targets).await {
            return;
        }
        if !self.find_relays(&targets).await {
            return;
        }
        let now = self.reach.context.clock.now();
        if self.reach.state.borrow_mut().on_reached_elsewhere(now) {
            // Connections that no request uses may hang.
            self.targets.close_idle();
            let relays = self.reach.relays.borrow();
            let names: Vec<&str> = relays.iter().map(|vm| vm.name.as_str()).collect();
            self.reach.context.report.line(&format!(
                "event=targets-unreachable probed={} relays={}",
                targets.join(","),
                names.join(",")
            ));
        }
    }

    /// Asks other VMs whether they reach any of some targets, until one does; returns whether one does.
    async fn find_relays(&self, targets: &[TargetId]) -> bool {
        let others: Vec<Vm> = {
            let fleet = self.reach.context.shared_fleet.get();
            let others = fleet.vms.values().filter(|vm| vm.start != self.vm.start);
            others.cloned().collect()
        };
        for asked in state::search_rounds(others, &mut rand::rng()) {
            let answers = asked.iter().map(|vm| relay::ask(&self.peers, vm, targets));
            let answers = future::join_all(answers).await;
            let found = asked.iter().zip(answers).filter(|(_, reaches)| *reaches);
            let found: Vec<Vm> = found.map(|(vm, _)| vm.clone()).collect();
            if !found.is_empty() {
                self.reach.add_relays(found);
                return true;
            }
        }
        false
    }
}
