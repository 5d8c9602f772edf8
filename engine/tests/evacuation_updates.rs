//! News of evacuations among three VMs, lost, late, doubled and told by others.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Catalogue as _,
    fleet::{Fleet, LogPosition},
    store::{Change, Item, Listing, Revision},
};
use indexmap::IndexMap;
use proptest::prelude::*;

use crate::fleet_fixture::{Plain, keys, put, removed};

const NOW: Duration = Duration::from_secs(50);

/// One thing that happens among three VMs that follow one store.
#[derive(Clone, Debug)]
enum Step {
    /// The operator evacuates a domain, or takes it back.
    Evacuate(usize),
    TakeBack(usize),
    /// A VM hears what changed, up to all of it; some of it twice.
    Watch(usize, usize),
    /// A VM hears what another one knows.
    Relay(usize, usize),
    /// A VM starts again with a listing as of some time ago.
    Restart(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2_usize).prop_map(Step::Evacuate),
        (0..2_usize).prop_map(Step::TakeBack),
        (0..3_usize, 0..6_usize).prop_map(|(vm, lacks)| Step::Watch(vm, lacks)),
        (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Relay(from, to)),
        (0..3_usize, 0..4_usize).prop_map(|(vm, ago)| Step::Restart(vm, ago)),
    ]
}

/// The store's history, and VMs with the revision up to which each has heard of it.
struct World {
    history: Vec<Change>,
    vms: Vec<(Fleet, Revision)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            history: Vec::new(),
            vms: vec![(Fleet::default(), 0); 3],
        };
        world.write("config", Some("1"));
        world.write("targets/a", Some("d0 0"));
        world.write("targets/b", Some("d1 0"));
        world
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

    /// The domains that are evacuated as of a revision.
    fn evacuated(&self, upto: Revision) -> Vec<String> {
        let mut all = Vec::new();
        for change in self.history.iter().take(usize::try_from(upto).unwrap()) {
            let Some(domain) = Plain.evacuated_domain(change.key()) else {
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

    fn items(&self, upto: Revision) -> Vec<Item> {
        let mut items: IndexMap<String, Item> = IndexMap::new();
        for change in self.history.iter().take(usize::try_from(upto).unwrap()) {
            match change {
                Change::Put(item) => items.insert(item.key.clone(), item.clone()),
                Change::Removed { key, .. } => items.shift_remove(key),
            };
        }
        items.into_values().collect()
    }

    fn watch(&mut self, vm: usize, upto: Revision) {
        let heard = self.vms[vm].1;
        // The last that was heard comes again.
        let from = usize::try_from(heard.saturating_sub(1)).unwrap();
        let changes = self.history[from..usize::try_from(upto).unwrap().max(from)].to_vec();
        let (fleet, known) = &mut self.vms[vm];
        for change in &changes {
            fleet.on_change(NOW, change, &keys(), &Plain);
        }
        *known = upto.max(*known);
        fleet.on_followed("", *known);
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Evacuate(domain) => self.write(&format!("evacuated/d{domain}"), Some("{}")),
            Step::TakeBack(domain) => self.write(&format!("evacuated/d{domain}"), None),
            Step::Watch(vm, lacks) => {
                let upto = self.revision().saturating_sub(*lacks as Revision);
                self.watch(*vm, upto);
            }
            Step::Relay(from, to) => {
                let teller = self.vms[*from].clone();
                let (fleet, known) = &mut self.vms[*to];
                let relay = teller
                    .0
                    .relay("teller", &LogPosition::default(), fleet.followed());
                fleet.on_relay(NOW, &relay, true, &keys(), &Plain);
                *known = teller.1.max(*known);
            }
            Step::Restart(vm, ago) => {
                let revision = self.revision().saturating_sub(*ago as Revision);
                let listing = Listing {
                    items: self.items(revision),
                    revision,
                };
                let mut fleet = Fleet::default();
                fleet.on_listing(NOW, "", &listing, &keys(), &Plain);
                fleet.on_followed("", revision);
                self.vms[*vm] = (fleet, revision);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is lost, late, doubled or told by others: a VM believes what stood in the store at the
    /// revision that it has followed, and shows no target of a domain that was evacuated then.
    #[test]
    fn evacuations_are_known_as_of_what_was_followed(steps in prop::collection::vec(step(), 1..40)) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
            for (fleet, known) in &world.vms {
                let mut believed: Vec<String> = fleet.evacuated.keys().cloned().collect();
                believed.sort();
                prop_assert_eq!(&believed, &world.evacuated(*known), "at {}", known);
                for target in fleet.view().targets.values().flatten() {
                    prop_assert!(!believed.contains(&target.domain));
                }
            }
        }
    }
}
