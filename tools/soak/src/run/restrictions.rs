//! Failure domains that are evacuated and targets that are cold, and what reached them all the same.

use std::time::Duration;

use bramleypier_platform_standin::server::Server;
use indexmap::IndexMap;

use super::Run;
use crate::{
    check::{self, Account},
    fleet::EVACUATED,
    plan::COLD,
};

/// A time in which a target was to get few requests, or a whole failure domain nothing.
#[derive(Clone, Debug)]
pub(super) struct Spared {
    target: Option<Server>,
    from: Duration,
    to: Duration,
}

impl Run {
    /// Evacuates a failure domain for a while.
    pub(super) async fn evacuate(&self, span: Duration) {
        let key = format!("op/evacuate/{EVACUATED}");
        let from = self.clock.now();
        self.world.borrow().store.put(&key, b"{}");
        self.clock.sleep(span).await;
        self.world.borrow().store.remove(&key);
        let to = self.clock.now();
        self.spared.borrow_mut().push(Spared {
            target: None,
            from,
            to,
        });
    }

    /// Has a target say that it is cold.
    pub(super) async fn chill(&self, target: usize) {
        let from = self.clock.now();
        let server = {
            let world = self.world.borrow();
            let place = &world.places[target];
            world
                .store
                .put(&place.key(), &place.entry_cold("ready", COLD));
            place.server.clone()
        };
        self.clock.sleep(COLD).await;
        let to = self.clock.now();
        self.spared.borrow_mut().push(Spared {
            target: Some(server),
            from,
            to,
        });
    }

    /// Notes what began at targets that were to get nothing, or few requests.
    pub(super) fn note_spared(&self, account: &mut Account) {
        let senders: IndexMap<&str, usize> = account
            .requests
            .iter()
            .map(|seen| (seen.id.as_str(), seen.vm))
            .collect();
        for spared in self.spared.borrow().iter() {
            // Of VMs that something disturbed, nothing is asked.
            let counts = |(id, at): &(String, Duration)| {
                let vm = senders.get(id.as_str());
                let within = (spared.from + check::IN_FORCE..spared.to).contains(at);
                within && vm.is_some_and(|vm| self.is_calm(*vm, spared.from, *at))
            };
            let begun = |server: &Server| -> Vec<Duration> {
                let all = server.request_starts().into_iter().filter(counts);
                all.map(|(_, at)| at).collect()
            };
            if let Some(server) = &spared.target {
                let times = begun(server);
                account.cold.push((server.id.clone(), busiest(&times)));
                continue;
            }
            let world = self.world.borrow();
            let places = world.places.iter().filter(|it| it.zone == EVACUATED);
            let hit = places.filter(|it| !begun(&it.server).is_empty());
            account.evacuated.extend(hit.map(|it| it.server.id.clone()));
        }
    }
}

/// Returns the most that began within a second.
fn busiest(times: &[Duration]) -> usize {
    let second = |from: &Duration| *from..*from + Duration::from_secs(1);
    let within = |from| times.iter().filter(|at| second(from).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}
