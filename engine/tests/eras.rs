//! Tests that VMs agree with a store that comes back older, whichever way they learn of it.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Catalogue as _,
    fleet::{Fleet, LogPosition, REMOVAL_GRACE, Relay},
    owner::record::Record,
    store::{Change, Era, Item, Listing, Revision},
};
use indexmap::IndexMap;
use proptest::prelude::*;

use crate::fleet_fixture::{TextCatalogue, put, removed, store_keys};

const NOW: Duration = Duration::from_secs(50);
const VMS: usize = 3;

fn item(key: &str, value: &[u8], revision: Revision) -> Item {
    Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision,
    }
}

fn list(fleet: &mut Fleet, now: Duration, era: Era, items: Vec<Item>, revision: Revision) {
    let listing = Listing {
        items,
        revision,
        era,
    };
    fleet.on_listing(now, "", &listing, &store_keys(), &TextCatalogue);
    fleet.on_followed("", revision);
}

fn version(fleet: &Fleet) -> u64 {
    fleet.config.as_ref().map_or(0, |config| config.version)
}

/// Guards against a configuration that never comes into force because its revision was given out before.
#[test]
fn a_configuration_of_a_new_era_replaces_one_of_a_higher_revision() {
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut fleet, NOW, 2, vec![item("config", b"8", 40)], 41);
    assert_eq!(version(&fleet), 8);
    fleet.on_change(NOW, &put("config", b"9", 42), &store_keys(), &TextCatalogue);
    assert_eq!((version(&fleet), fleet.followed()[""]), (9, 41));
}

#[test]
fn a_configuration_never_goes_back_with_the_store() {
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut fleet, NOW, 2, vec![item("config", b"5", 40)], 41);
    assert_eq!(version(&fleet), 7);
    list(&mut fleet, NOW, 1, vec![item("config", b"8", 99)], 99);
    assert_eq!(
        version(&fleet),
        7,
        "a late listing of the earlier era counts for nothing"
    );
}

/// Guards against requests that follow a record which has lost the last moves.
#[test]
fn a_record_of_owners_never_goes_back_with_the_store() {
    let mut old = Record::unowned(99);
    old.term = 1;
    let mut new = old.clone();
    new.next_fence();
    let key = store_keys().record("s");
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item(&key, &new.encode(), 90)], 95);
    list(&mut fleet, NOW, 2, vec![item(&key, &old.encode(), 40)], 41);
    assert_eq!(*fleet.records["s"].record, new);
}

/// Guards against targets that count as gone, and domains that count as taken back, while both are written again.
#[test]
fn what_targets_and_operators_write_again_is_not_gone_meanwhile() {
    let mut fleet = Fleet::default();
    let before = vec![
        item("targets/a", b"d 0", 90),
        item("targets/b", b"d 0", 91),
        item("evacuated/d2", b"{}", 92),
        item("evacuated/d3", b"{}", 93),
    ];
    list(&mut fleet, NOW, 1, before, 95);
    list(&mut fleet, NOW, 2, Vec::new(), 41);
    assert_eq!(fleet.targets.len(), 2);
    assert!(fleet.is_evacuated("d2") && fleet.is_evacuated("d3"));
    for change in [put("targets/a", b"d 0", 42), put("evacuated/d2", b"{}", 43)] {
        fleet.on_change(NOW, &change, &store_keys(), &TextCatalogue);
    }
    fleet.expire(NOW + REMOVAL_GRACE);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["a"]);
    assert!(fleet.is_evacuated("d2") && !fleet.is_evacuated("d3"));
}

/// Guards against messages of a VM that doesn't know yet that the store has come back older.
#[test]
fn a_relay_of_an_earlier_era_counts_for_nothing() {
    let (mut old, mut new) = (Fleet::default(), Fleet::default());
    list(
        &mut old,
        NOW,
        1,
        vec![item("config", b"7", 90), item("targets/a", b"d 0", 91)],
        95,
    );
    list(&mut new, NOW, 2, vec![item("config", b"8", 40)], 41);
    let relay = old.relay_to(new.era(), "old", &LogPosition::default(), new.followed());
    let result = new.on_relay_of(NOW, old.era(), &relay, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    let whole = old.relay_to(0, "old", &LogPosition::default(), new.followed());
    assert!(matches!(whole, Relay::Whole { .. }));
    let result = new.on_relay_of(NOW, old.era(), &whole, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    assert_eq!((version(&new), new.targets.len()), (8, 0));
}

#[test]
fn a_vm_enters_a_later_era_by_a_whole_relay_only() {
    let (mut old, mut new) = (Fleet::default(), Fleet::default());
    list(&mut old, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut new, NOW, 2, vec![item("config", b"8", 40)], 41);
    let part = new.relay("new", &LogPosition::default(), new.followed());
    assert!(matches!(part, Relay::Changes { .. }));
    let result = old.on_relay_of(NOW, new.era(), &part, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    let whole = new.relay_to(old.era(), "new", &LogPosition::default(), old.followed());
    old.on_relay_of(NOW, new.era(), &whole, true, &store_keys(), &TextCatalogue);
    assert_eq!((version(&old), old.era()), (8, 2));
}

/// An event between the store and the VMs.
#[derive(Clone, Debug)]
enum Step {
    /// The operator accepts the next configuration.
    Config,
    /// A target writes its entry, or removes it.
    Target(usize, bool),
    /// The store comes back without its latest changes.
    ComeBack(usize),
    /// A VM lists the store.
    List(usize),
    /// A VM continues its watch; in another era that fails, and it lists.
    Watch(usize),
    /// A VM relays what the other one lacks.
    Relay(usize, usize),
    /// A VM starts anew.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Config),
        (0..3_usize, any::<bool>()).prop_map(|(target, on)| Step::Target(target, on)),
        (1..6_usize).prop_map(Step::ComeBack),
        (0..VMS).prop_map(Step::List),
        (0..VMS).prop_map(Step::Watch),
        (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Relay(from, to)),
        (0..VMS).prop_map(Step::Restart),
    ]
}

#[derive(Default)]
struct Vm {
    fleet: Fleet,
    start: usize,
    /// How far it has read the logs of the others.
    positions: IndexMap<usize, LogPosition>,
}

/// The store's history of this era, what operator and targets have written last, and the VMs.
struct Simulation {
    era: Era,
    history: Vec<Change>,
    version: u64,
    targets: [bool; 3],
    vms: Vec<Vm>,
    now: Duration,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            era: 1,
            history: Vec::new(),
            version: 0,
            targets: [false; 3],
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            now: NOW,
        };
        simulation.write_config();
        simulation
    }

    fn revision(&self) -> Revision {
        self.history.len() as Revision
    }

    fn write_config(&mut self) {
        self.version += 1;
        let change = put("config", self.version.to_string(), self.revision() + 1);
        self.history.push(change);
    }

    fn write_target(&mut self, target: usize, on: bool) {
        self.targets[target] = on;
        let (key, revision) = (format!("targets/{target}"), self.revision() + 1);
        self.history.push(if on {
            put(&key, "d 0", revision)
        } else {
            removed(&key, revision)
        });
    }

    fn items(&self) -> Vec<Item> {
        let mut items: IndexMap<String, Item> = IndexMap::new();
        for change in &self.history {
            match change {
                Change::Put(item) => items.insert(item.key.clone(), item.clone()),
                Change::Removed { key, .. } => items.shift_remove(key),
            };
        }
        items.into_values().collect()
    }

    /// Loses the latest changes; the operator and the targets write again what is missing.
    fn come_back(&mut self, lost: usize) {
        self.era += 1;
        self.history
            .truncate(self.history.len().saturating_sub(lost));
        let stored = self.items();
        let value = self.version.to_string();
        if !stored
            .iter()
            .any(|it| it.key == "config" && it.value == value.as_bytes())
        {
            let change = put(TextCatalogue.config_key(), value, self.revision() + 1);
            self.history.push(change);
        }
        for target in 0..self.targets.len() {
            let is_stored = stored
                .iter()
                .any(|it| it.key == format!("targets/{target}"));
            if is_stored != self.targets[target] {
                self.write_target(target, self.targets[target]);
            }
        }
    }

    fn list(&mut self, vm: usize) {
        let (items, revision) = (self.items(), self.revision());
        list(&mut self.vms[vm].fleet, self.now, self.era, items, revision);
        self.vms[vm].positions.clear();
    }

    fn watch(&mut self, vm: usize) {
        let fleet = &self.vms[vm].fleet;
        let Some(after) = fleet
            .followed()
            .get("")
            .copied()
            .filter(|_| fleet.era() == self.era)
        else {
            return self.list(vm);
        };
        let changes = self.history[usize::try_from(after).unwrap()..].to_vec();
        let (now, revision) = (self.now, self.revision());
        let fleet = &mut self.vms[vm].fleet;
        for change in &changes {
            fleet.on_change(now, change, &store_keys(), &TextCatalogue);
        }
        fleet.on_followed("", revision);
        self.vms[vm].positions.clear();
    }

    fn relay(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        let receiver = &self.vms[to];
        let position = receiver.positions.get(&from).cloned().unwrap_or_default();
        let sender = &self.vms[from];
        let start = format!("{from}/{}", sender.start);
        let relay = sender.fleet.relay_to(
            receiver.fleet.era(),
            &start,
            &position,
            receiver.fleet.followed(),
        );
        let (era, now) = (sender.fleet.era(), self.now);
        let receiver = &mut self.vms[to];
        let applied =
            receiver
                .fleet
                .on_relay_of(now, era, &relay, true, &store_keys(), &TextCatalogue);
        if applied.is_some() && relay.position() != &position {
            receiver.positions.clear();
            if receiver.fleet.is_covered_by(&relay) {
                receiver.positions.insert(from, relay.position().clone());
            }
        }
    }

    fn relay_to_all(&mut self, from: usize) {
        for to in 0..VMS {
            self.relay(from, to);
        }
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Config => self.write_config(),
            Step::Target(target, on) => self.write_target(*target, *on),
            Step::ComeBack(lost) => self.come_back(*lost),
            Step::List(vm) => self.list(*vm),
            Step::Watch(vm) => self.watch(*vm),
            Step::Relay(from, to) => self.relay(*from, *to),
            Step::Restart(vm) => {
                let start = self.vms[*vm].start + 1;
                self.vms[*vm] = Vm {
                    start,
                    ..Vm::default()
                };
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    /// However often the store comes back older: no VM goes back, and all agree with the store once one of them follows it
    /// and the others hear that one.
    #[test]
    fn vms_agree_with_a_store_that_comes_back_older(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            let before: Vec<u64> = simulation.vms.iter().map(|vm| version(&vm.fleet)).collect();
            simulation.run_step(step);
            let restarted = if let Step::Restart(vm) = step { Some(*vm) } else { None };
            for (vm, before) in before.into_iter().enumerate() {
                let after = version(&simulation.vms[vm].fleet);
                prop_assert!(after >= before || restarted == Some(vm), "{after} after {before}");
            }
        }
        simulation.watch(0);
        simulation.relay_to_all(0);
        // What is missing in a new era counts as gone after a moment, and the others hear of that too.
        simulation.now += REMOVAL_GRACE;
        for vm in &mut simulation.vms {
            vm.fleet.expire(simulation.now);
        }
        simulation.relay_to_all(0);
        let stored: Vec<bool> = simulation.targets.to_vec();
        for vm in &simulation.vms {
            prop_assert_eq!(version(&vm.fleet), simulation.version);
            let known: Vec<bool> = (0..3).map(|it| vm.fleet.targets.contains_key(&it.to_string())).collect();
            prop_assert_eq!(&known, &stored);
        }
    }
}
