//! Tests that three VMs agree with the store about evacuations while changes are lost, delayed, duplicated or relayed.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Catalogue as _,
    fleet::{Fleet, LogPosition},
    store::{Change, Item, Listing, Revision},
};
use indexmap::IndexMap;
use proptest::prelude::*;

use crate::fleet_fixture::{TextCatalogue, put, removed, store_keys};

const NOW: Duration = Duration::from_secs(50);

/// An event among three VMs that follow the same store.
#[derive(Clone, Debug)]
enum Step {
    /// The operator evacuates a domain.
    Evacuate(usize),
    /// The operator takes a domain back into service.
    TakeBack(usize),
    /// A VM receives changes from its watch, all but the newest few, and some of them twice.
    Watch(usize, usize),
    /// A VM relays what it knows to another VM.
    Relay(usize, usize),
    /// A VM restarts with a listing that is some revisions old.
    Restart(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2_usize).prop_map(Step::Evacuate),
        (0..2_usize).prop_map(Step::TakeBack),
        (0..3_usize, 0..6_usize).prop_map(|(vm, missing)| Step::Watch(vm, missing)),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Relay(from, to)),
        (0..3_usize, 0..4_usize).prop_map(|(vm, age)| Step::Restart(vm, age)),
    ]
}

/// The history of the store, and VMs with the revision up to which each has followed it.
struct Simulation {
    history: Vec<Change>,
    vms: Vec<(Fleet, Revision)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            history: Vec::new(),
            vms: vec![(Fleet::default(), 0); 3],
        };
        simulation.write("config", Some("1"));
        simulation.write("targets/a", Some("d0 0"));
        simulation.write("targets/b", Some("d1 0"));
        simulation
    }

    fn revision(&self) -> Revision {
        self.history.len() as Revision
    }

    fn write(&mut self, key: &str, value: Option<&str>) {
        let revision = self.revision() + 1;
        self.history.push(match value {
            Some(value) => put(key, value, revision),
            None => removed(key, revision),
        });
    }

    /// The domains that are evacuated at a revision.
    fn evacuated(&self, up_to: Revision) -> Vec<String> {
        let mut all = Vec::new();
        for change in self.history.iter().take(usize::try_from(up_to).unwrap()) {
            let Some(domain) = TextCatalogue.evacuated_domain(change.key()) else {
                continue;
            };
            all.retain(|it| *it != domain);
            if matches!(change, Change::Put(_)) {
                all.push(domain);
            }
        }
        all.sort();
        all
    }

    fn items(&self, up_to: Revision) -> Vec<Item> {
        let mut items: IndexMap<String, Item> = IndexMap::new();
        for change in self.history.iter().take(usize::try_from(up_to).unwrap()) {
            match change {
                Change::Put(item) => items.insert(item.key.clone(), item.clone()),
                Change::Removed { key, .. } => items.shift_remove(key),
            };
        }
        items.into_values().collect()
    }

    fn watch(&mut self, vm: usize, up_to: Revision) {
        let received = self.vms[vm].1;
        // The last change that the VM has received is delivered again.
        let from = usize::try_from(received.saturating_sub(1)).unwrap();
        let changes = self.history[from..usize::try_from(up_to).unwrap().max(from)].to_vec();
        let (fleet, followed) = &mut self.vms[vm];
        for change in &changes {
            fleet.on_change(NOW, change, &store_keys(), &TextCatalogue);
        }
        *followed = up_to.max(*followed);
        fleet.on_followed("", *followed);
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Evacuate(domain) => self.write(&format!("evacuated/d{domain}"), Some("{}")),
            Step::TakeBack(domain) => self.write(&format!("evacuated/d{domain}"), None),
            Step::Watch(vm, missing) => {
                let up_to = self.revision().saturating_sub(*missing as Revision);
                self.watch(*vm, up_to);
            }
            Step::Relay(from, to) => {
                let sender = self.vms[*from].clone();
                let (fleet, followed) = &mut self.vms[*to];
                let relay = sender
                    .0
                    .relay("sender", &LogPosition::default(), fleet.followed());
                fleet.on_relay(NOW, &relay, true, &store_keys(), &TextCatalogue);
                *followed = sender.1.max(*followed);
            }
            Step::Restart(vm, age) => {
                let revision = self.revision().saturating_sub(*age as Revision);
                let listing = Listing {
                    items: self.items(revision),
                    revision,
                    ..Listing::default()
                };
                let mut fleet = Fleet::default();
                fleet.on_listing(NOW, "", &listing, &store_keys(), &TextCatalogue);
                fleet.on_followed("", revision);
                self.vms[*vm] = (fleet, revision);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever changes are lost, late, duplicated or relayed: a VM's view equals the store at the revision that it
    /// has followed, and offers no target of a domain that was evacuated then.
    #[test]
    fn a_view_of_evacuations_matches_the_store_at_the_followed_revision(steps in prop::collection::vec(step(), 1..40)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run_step(step);
            for (fleet, followed) in &simulation.vms {
                let mut evacuated: Vec<String> = fleet.evacuated.keys().cloned().collect();
                evacuated.sort();
                prop_assert_eq!(&evacuated, &simulation.evacuated(*followed), "at {}", followed);
                for target in fleet.view().targets.values().flatten() {
                    prop_assert!(!evacuated.contains(&target.domain));
                }
            }
        }
    }
}
