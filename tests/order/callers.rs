//! The callers of the model: which orders they send, and the checks of the decisions that they get.

use std::time::Duration;

use bramleypier::{
    order::{
        Answer, MAX_AHEAD, Order,
        starter::{self, Decision, End},
    },
    request::Attempt,
};

use super::{History, PendingOrder, RECENT_ORDERS, RETENTION, Stage, World};

impl World {
    /// Returns a new order, with an id that is undated or dated up to `ahead` seconds in the future.
    pub(super) fn new_order(&self, dated: bool, ahead: u64) -> (Order, History) {
        let order = Order {
            id: format!("dispatch/{}", self.orders.len()),
            created_at: dated.then_some(self.wall + Duration::from_secs(ahead).min(MAX_AHEAD)),
            fingerprint: 0,
        };
        let resend_until = if dated {
            Duration::MAX
        } else {
            self.wall + RETENTION
        };
        (
            order,
            History {
                resend_until,
                ..History::default()
            },
        )
    }

    /// Sends a new order, or one of the most recent ones again.
    pub(super) fn submit(&mut self, a: usize, b: usize) -> Result<(), String> {
        if self.orders.is_empty() || b.is_multiple_of(4) {
            let ahead = u64::try_from(b / 4 % 16).unwrap_or(0);
            self.orders
                .push(self.new_order(!b.is_multiple_of(32), ahead));
        }
        let recent = self.orders.len().min(RECENT_ORDERS);
        let mut order = self.orders.len() - 1 - b / 7 % recent;
        if self.orders[order].1.resend_until < self.wall {
            // An undated id is kept for its retention only.
            self.orders.push(self.new_order(true, 0));
            order = self.orders.len() - 1;
        }
        let fingerprint = if b.is_multiple_of(11) { 2 } else { 1 };
        self.send_order(a, order, fingerprint)
    }

    pub(super) fn send_order(
        &mut self,
        vm: usize,
        order: usize,
        fingerprint: u128,
    ) -> Result<(), String> {
        let name = self.name(vm);
        if self.vms[&name].paused {
            return Ok(());
        }
        self.tokens += 1;
        let token = self.tokens;
        let pending = PendingOrder {
            order,
            fingerprint,
            stage: Stage::Asking,
        };
        self.pending.insert((name.clone(), token), pending);
        let (known, history) = &mut self.orders[order];
        history.fingerprints.insert(fingerprint);
        let event = starter::Event::Begin {
            token,
            order: Order {
                fingerprint,
                ..known.clone()
            },
            deadline: self.now + Duration::from_secs(4),
            wall: self.wall,
        };
        self.starter_event(&name, event)
    }

    /// Ends an order that may run: it ran, it was refused, or its outcome is unknown.
    pub(super) fn end_run(&mut self, a: usize, b: usize) -> Result<(), String> {
        let may = self.pending.iter().filter(|(key, it)| {
            it.stage == Stage::MayRun && self.vms.get(&key.0).is_some_and(|vm| !vm.paused)
        });
        let keys: Vec<_> = may.map(|(key, _)| key.clone()).collect();
        let Some(key) = keys.get(a % keys.len().max(1)) else {
            return Ok(());
        };
        let pending = self.pending.remove(key).unwrap();
        let id = pending.order;
        let history = &mut self.orders[id].1;
        let end = if b % 4 == 3 {
            if history.sent.is_some() {
                return Err(format!("order {id} was reported as not run but ran"));
            }
            self.counts.not_run += 1;
            End::NotRun(Attempt::new().admit().proof())
        } else {
            if history.sent.is_some() {
                return Err(format!("order {id} was sent twice"));
            }
            history.sent = Some(pending.fingerprint);
            self.counts.sent += 1;
            match b % 4 {
                2 => End::Unknown,
                _ => End::Ran(Answer::new(200, "", &pending.fingerprint.to_be_bytes(), 64)),
            }
        };
        let event = starter::Event::Ended { token: key.1, end };
        self.starter_event(&key.0, event)
    }

    /// Checks a decision against the order's history.
    pub(super) fn check_decision(
        &mut self,
        key: &(String, u64),
        decision: Decision,
    ) -> Result<(), String> {
        let Some(pending) = self.pending.get_mut(key) else {
            return Err(format!("{key:?} was decided twice"));
        };
        let (id, fingerprint) = (pending.order, pending.fingerprint);
        self.last_decision = Some(decision.clone());
        let history = &self.orders[id].1;
        match decision {
            Decision::Run => {
                pending.stage = Stage::MayRun;
                let mut others = self.pending.iter().filter(|(other, it)| {
                    *other != key && it.order == id && it.stage == Stage::MayRun
                });
                if others.next().is_some() || history.sent.is_some() {
                    return Err(format!("order {id} may run twice"));
                }
                return Ok(());
            }
            Decision::Ran(answer) => {
                self.counts.recorded += 1;
                let body = answer.body.as_deref() == Some(fingerprint.to_be_bytes().as_slice());
                if history.sent != Some(fingerprint) || !body {
                    return Err(format!("order {id} got the answer of another request"));
                }
            }
            Decision::Mismatch => {
                self.counts.mismatch += 1;
                if history.fingerprints.len() < 2 {
                    return Err(format!(
                        "order {id} got a mismatch but was always the same request"
                    ));
                }
            }
            Decision::Unknown(_) => self.counts.unknown += 1,
        }
        self.pending.remove(key);
        Ok(())
    }
}
