//! What must hold at every moment, whatever fails.

use std::collections::HashMap;

use bramleypier::{group::Record, handover::Handover, range::Range};

/// How many points are looked at.
const POINTS: u64 = 24;

/// The points that are looked at.
pub fn points() -> impl Iterator<Item = u64> {
    let part = u64::MAX / POINTS;
    (0..POINTS).map(move |index| index * part + part / 3)
}

/// Remembers who owned each point at each epoch, and the first fault.
#[derive(Debug, Default)]
pub struct Watchdog {
    owners: HashMap<(u64, u64), String>,
    facts: HashMap<(Range, u64), Handover>,
    served: HashMap<u64, u64>,
    recorded: HashMap<u64, u64>,
    fault: Option<String>,
    pub seen: u64,
}

impl Watchdog {
    pub fn fail(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    pub fn verdict(&self) -> Result<(), String> {
        self.fault.clone().map_or(Ok(()), Err)
    }

    /// A handover is unique, and agrees with every other account of its epoch.
    pub fn on_fact(&mut self, fact: &Handover) {
        let known = self
            .facts
            .entry((fact.range, fact.epoch))
            .or_insert_with(|| fact.clone());
        if known != fact {
            let text = format!("two handovers: {known:?} and {fact:?}");
            self.fail(text);
        }
        for point in points().filter(|point| fact.range.contains(*point)) {
            self.own(point, fact.epoch, &fact.chain[0].target);
        }
    }

    /// Epochs in the record never go back, and each has one owner.
    pub fn on_record(&mut self, record: &Record) {
        for point in points() {
            let entry = record
                .ranges
                .iter()
                .find(|entry| entry.range.contains(point));
            let Some(entry) = entry else {
                self.fail(format!("no range at {point}"));
                return;
            };
            let before = self.recorded.insert(point, entry.epoch);
            if before.is_some_and(|before| before > entry.epoch) {
                self.fail(format!("the record went back at {point}: {entry:?}"));
            }
            self.own(point, entry.epoch, &entry.chain[0]);
        }
    }

    /// At most one owner of each point, by the holders' and senders' own views.
    pub fn on_owners(&mut self, owners: &[(u64, u64, String, bool)]) {
        let mut now: HashMap<u64, (u64, &String)> = HashMap::new();
        for (point, epoch, target, leased) in owners {
            self.seen += 1;
            let other = now.insert(*point, (*epoch, target));
            if let Some((before, other)) = other.filter(|(_, other)| *other != target) {
                self.fail(format!(
                    "two owners of {point}: {other} at {before}, {target} at {epoch}"
                ));
            }
            self.own(*point, *epoch, target.trim_end_matches(" (replaced)"));
            let served = self.served.entry(*point).or_default();
            if *served > *epoch && !leased {
                let text = format!("epoch went back at {point}: {served} to {epoch} at {target}");
                self.fail(text);
                return;
            }
            *served = (*served).max(*epoch);
        }
    }

    /// The epoch that the record or a handover last gave each point.
    pub fn newest(&self, point: u64) -> u64 {
        let told = self
            .facts
            .values()
            .filter(|fact| fact.range.contains(point));
        let told = told.map(|fact| fact.epoch).max().unwrap_or(0);
        told.max(self.recorded.get(&point).copied().unwrap_or(0))
    }

    fn own(&mut self, point: u64, epoch: u64, target: &str) {
        let known = self
            .owners
            .entry((point, epoch))
            .or_insert_with(|| target.to_owned());
        if known != target {
            let text = format!("epoch {epoch} of {point} has two owners: {known} and {target}");
            self.fail(text);
        }
    }
}
