//! What a call's answer, or its lack, says of ranges and lives.

use std::{net::SocketAddr, time::Duration};

use super::{AGAIN, CallOutcome, Effect, ServiceOwnership};
use crate::owner::{range_state::Phase, record::RequestKey};

/// How many grants in a row may go unanswered until only releases are tried.
///
/// With three in ten unanswered, six in a row are one in 1,400.
const SILENCES: u32 = 6;

/// How long a life that lost its ranges by silence or death gets no others.
///
/// A target that is dark stays announced for a while, and each range given to it waits for nothing;
/// one that starts again is another life and counts at once.
const SHUN: Duration = Duration::from_secs(10);

impl ServiceOwnership {
    pub(super) fn granted(
        &mut self,
        now: Duration,
        from: RequestKey,
        ending: &CallOutcome,
        out: &mut Vec<Effect>,
    ) {
        let (usual, renew) = (self.timing.grant_duration, self.timing.renew_interval);
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.busy = false;
        live.due = now + AGAIN;
        if *ending != CallOutcome::Unsent {
            live.unsent = 0;
        }
        match ending {
            CallOutcome::Done(_) => {
                live.confirmed = true;
                live.extend(now);
                live.silences = 0;
                live.handover = None;
                // One that was silent has got a shorter hold.
                let shorter = usual.saturating_sub(live.grant_duration);
                live.due = now + renew.saturating_sub(shorter);
            }
            CallOutcome::Fenced => {
                self.stopped = true;
                out.push(Effect::Deposed);
            }
            CallOutcome::Gone => self.bury_all(now, from, out),
            CallOutcome::Unsent => live.unsent += 1,
            CallOutcome::Silent => {
                live.extend(now);
                live.silences += 1;
                live.unsent = 0;
                if live.silences >= SILENCES && live.phase == Phase::Held {
                    live.phase = Phase::Releasing(None);
                    out.push(Effect::Log(format!("event=grant-silent from={from}")));
                }
            }
        }
    }

    pub(super) fn released(
        &mut self,
        now: Duration,
        from: RequestKey,
        ending: CallOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.busy = false;
        live.due = now + AGAIN;
        match ending {
            CallOutcome::Done(handover) => {
                let to = match &live.phase {
                    Phase::Releasing(to) => to.clone(),
                    Phase::Held | Phase::Free(_) => None,
                };
                live.phase = Phase::Free(to);
                live.handover = handover;
                live.until = None;
                live.silences = 0;
                live.unsent = 0;
            }
            CallOutcome::Gone => self.bury_all(now, from, out),
            // A release extends no hold; the hold runs out meanwhile.
            CallOutcome::Fenced => {}
            CallOutcome::Unsent => live.unsent += 1,
            CallOutcome::Silent => live.silences += 1,
        }
    }

    /// Makes grants to the owners at an address due at once: their answers tell whether they live.
    ///
    /// Keys of a target that has ended are without an owner for some 0.1 s instead of up to a whole
    /// time between renewals.
    pub(super) fn hurry(&mut self, now: Duration, address: SocketAddr) {
        for part in &self.record.ranges {
            let owned = part.owner.as_ref().is_some_and(|it| it.address == address);
            if let Some(live) = self.live.get_mut(&part.from).filter(|_| owned) {
                live.due = live.due.min(now);
            }
        }
    }

    /// The owner of a range has ended, and with it the hold of each range that it owned.
    fn bury_all(&mut self, now: Duration, from: RequestKey, out: &mut Vec<Effect>) {
        let owner = self.record.find(from).and_then(|part| part.owner.clone());
        let its = self.record.ranges.iter().filter(|part| part.owner == owner);
        // What a call is under way for is settled by that call's end.
        let idle = its.filter(|part| {
            let live = self.live.get(&part.from);
            live.is_some_and(|live| !live.busy && !matches!(live.phase, Phase::Free(_)))
        });
        let lost: Vec<RequestKey> = idle.map(|part| part.from).collect();
        for from in lost {
            self.bury(now, from, out);
        }
    }

    /// A range's owner has ended. Its next life could be granted the range by an earlier manager.
    fn bury(&mut self, now: Duration, from: RequestKey, out: &mut Vec<Effect>) {
        if self.earlier.is_over(now) {
            return self.lose(now, from, "its life ended", out);
        }
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.confirmed = false;
        live.inherited = true;
        live.until = Some(now);
        if live.phase == Phase::Held {
            live.phase = Phase::Releasing(None);
            out.push(Effect::Log(format!(
                "event=range-waits from={from} cause=\"an earlier manager may still grant\""
            )));
        }
    }

    /// Frees a range whose owner can't hold it any more.
    pub(super) fn lose(
        &mut self,
        now: Duration,
        from: RequestKey,
        why: &str,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        let to = match &live.phase {
            Phase::Releasing(to) => to.clone(),
            Phase::Held | Phase::Free(_) => None,
        };
        live.phase = Phase::Free(to);
        live.until = None;
        live.handover = None;
        let owner = self.record.find(from).and_then(|part| part.owner.clone());
        if let Some(owner) = owner {
            out.push(Effect::Log(format!(
                "event=range-lost from={from} owner={} cause=\"{why}\"",
                owner.id
            )));
            self.shunned.insert(owner, now + SHUN);
        }
    }
}
