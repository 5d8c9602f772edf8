//! What callers send, and what they are told.

use std::time::Duration;

use bramleypier::{
    order::{
        Answer, MAX_AHEAD, Order,
        starter::{self, Decision, End},
    },
    request::Attempt,
};

use super::{Asked, OPEN_ORDERS, RETENTION, Stage, Told, World};

impl World {
    pub(super) fn fresh(&self, dated: bool, ahead: u64) -> (Order, Told) {
        let order = Order {
            id: format!("dispatch/{}", self.orders.len()),
            created_at: dated.then_some(self.wall + Duration::from_secs(ahead).min(MAX_AHEAD)),
            fingerprint: 0,
        };
        let until = if dated {
            Duration::MAX
        } else {
            self.wall + RETENTION
        };
        (
            order,
            Told {
                until,
                ..Told::default()
            },
        )
    }

    pub(super) fn submit(&mut self, a: usize, b: usize) -> Result<(), String> {
        if self.orders.is_empty() || b.is_multiple_of(4) {
            let ahead = u64::try_from(b / 4 % 16).unwrap_or(0);
            self.orders.push(self.fresh(!b.is_multiple_of(32), ahead));
        }
        let recent = self.orders.len().min(OPEN_ORDERS);
        let mut order = self.orders.len() - 1 - b / 7 % recent;
        if self.orders[order].1.until < self.wall {
            // An undated id is remembered for its retention only.
            self.orders.push(self.fresh(true, 0));
            order = self.orders.len() - 1;
        }
        let fingerprint = if b.is_multiple_of(11) { 2 } else { 1 };
        self.ask(a, order, fingerprint)
    }

    pub(super) fn ask(&mut self, vm: usize, order: usize, fingerprint: u128) -> Result<(), String> {
        let name = self.name(vm);
        if self.vms[&name].paused {
            return Ok(());
        }
        self.tokens += 1;
        let token = self.tokens;
        let asked = Asked {
            order,
            fingerprint,
            stage: Stage::Asking,
        };
        self.asked.insert((name.clone(), token), asked);
        let (known, told) = &mut self.orders[order];
        told.fingerprints.insert(fingerprint);
        let event = starter::Event::Begin {
            token,
            order: Order {
                fingerprint,
                ..known.clone()
            },
            deadline: self.now + Duration::from_secs(4),
            wall: self.wall,
        };
        self.start_event(&name, event)
    }

    /// Runs, refuses or loses an order that may run.
    pub(super) fn progress(&mut self, a: usize, b: usize) -> Result<(), String> {
        let may = self.asked.iter().filter(|(key, it)| {
            it.stage == Stage::MayRun && self.vms.get(&key.0).is_some_and(|vm| !vm.paused)
        });
        let keys: Vec<_> = may.map(|(key, _)| key.clone()).collect();
        let Some(key) = keys.get(a % keys.len().max(1)) else {
            return Ok(());
        };
        let asked = self.asked.remove(key).unwrap();
        let id = asked.order;
        let told = &mut self.orders[id].1;
        let end = if b % 4 == 3 {
            if told.sent.is_some() {
                return Err(format!("order {id} was told not-run and ran"));
            }
            self.counts.not_run += 1;
            End::NotRun(Attempt::new().admit().proof())
        } else {
            if told.sent.is_some() {
                return Err(format!("order {id} was sent twice"));
            }
            told.sent = Some(asked.fingerprint);
            self.counts.sent += 1;
            match b % 4 {
                2 => End::Unknown,
                _ => End::Ran(Answer::new(200, "", &asked.fingerprint.to_be_bytes(), 64)),
            }
        };
        let event = starter::Event::Ended { token: key.1, end };
        self.start_event(&key.0, event)
    }

    pub(super) fn decided(
        &mut self,
        key: &(String, u64),
        decision: Decision,
    ) -> Result<(), String> {
        let Some(asked) = self.asked.get_mut(key) else {
            return Err(format!("{key:?} was decided twice"));
        };
        let (id, fingerprint) = (asked.order, asked.fingerprint);
        self.last = Some(decision.clone());
        let told = &self.orders[id].1;
        match decision {
            Decision::Run => {
                asked.stage = Stage::MayRun;
                let mut others = self.asked.iter().filter(|(other, it)| {
                    *other != key && it.order == id && it.stage == Stage::MayRun
                });
                if others.next().is_some() || told.sent.is_some() {
                    return Err(format!("order {id} may run twice"));
                }
                return Ok(());
            }
            Decision::Ran(answer) => {
                self.counts.recorded += 1;
                let body = answer.body.as_deref() == Some(fingerprint.to_be_bytes().as_slice());
                if told.sent != Some(fingerprint) || !body {
                    return Err(format!("order {id} got an answer that is not its own"));
                }
            }
            Decision::Mismatch => {
                self.counts.mismatch += 1;
                if told.fingerprints.len() < 2 {
                    return Err(format!("order {id} was always the same"));
                }
            }
            Decision::Unknown(_) => self.counts.unknown += 1,
        }
        self.asked.remove(key);
        Ok(())
    }
}
