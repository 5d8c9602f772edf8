//! Decides for each request: send it now and where, let it wait, or refuse it.
//!
//! Load patterns that it answers:
//!
//! - *More arrives than targets can do*: a request that probably can't be answered in time is
//!   refused at once, with the time in which a place is likely free, so that the rest is served.
//! - *A target's queue is almost full*: it may break connections off instead of refusing, and an
//!   order broken off has an unknown outcome. Requests wait here instead, by rank.
//! - *Keys on their way to another owner*: their requests wait for the new owner, briefly.
//! - *A target that fails fast looks idle*: answers count, not promptness; one that fails often gets
//!   single requests until it does well.

mod admission;
mod choose;
mod queues;
mod rate_limits;

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::SmallRng};

use self::admission::{Choice, Line, Right, Standing};
pub use self::choose::MIN_RETRY_AFTER;
pub use super::message::{
    Basis, Completion, CompletionKind, DispatchRequest, Effect, Event, FleetView, RefusalReason,
    Snapshot, SyncUpdate, Ticket,
};
use super::{
    budget::{Allowance, Balance, RetryBudget},
    rates::Rates,
    refused_keys::Unowned,
    target_state::Member,
    vm_count::Sharers,
    warmup::{BurstAllowance, Limit, SenderPlan},
};
use crate::{
    catalogue::{self, DomainId, ServiceId, Target, TargetId},
    fleet::VmId,
};

/// The time to come back when a key has no owner.
const COME_BACK_UNOWNED: Duration = Duration::from_millis(400);
/// How many requests may wait on one VM.
const WAITING_MOST: usize = 512;

#[derive(Debug)]
struct Waiting {
    ask: DispatchRequest,
    counted: bool,
    /// Where it waits, if for room at a target.
    line: Option<Line>,
    /// Whether too many go before it there for an answer within its goal.
    beyond: bool,
}

/// One VM's decisions on where requests go.
#[derive(Debug)]
pub struct Dispatcher {
    vm: VmId,
    domain: DomainId,
    tolerance: BurstAllowance,
    allowance: Allowance,
    /// When the process started, as its first event tells.
    since: Option<Duration>,
    view: Rc<FleetView>,
    members: IndexMap<TargetId, Member>,
    budgets: IndexMap<ServiceId, RetryBudget>,
    /// How many VMs share those.
    sharers: Sharers,
    waiting: Vec<Waiting>,
    /// The median service time of each service's targets, in seconds, as far as any was measured.
    usual: IndexMap<ServiceId, f64>,
    /// When those are taken anew.
    usual_due: Duration,
    /// Keys whose owners have refused them.
    unowned: Unowned,
    /// The rates to which targets ask to be held.
    rates: Rates,
    /// What is believed anew, for the log.
    notes: Vec<String>,
    /// Cold targets to which this VM, one of few, may send at a pace: their places in the view.
    paced: IndexMap<ServiceId, Vec<usize>>,
    random: SmallRng,
}

impl Dispatcher {
    /// Creates the dispatcher of a VM in a failure domain; it knows no target yet.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{
    ///     budget::Allowance,
    ///     dispatch::{Dispatcher, Event},
    /// };
    ///
    /// let allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let mut dispatcher = Dispatcher::new("domain-1", allowance, 1);
    /// assert!(dispatcher.handle(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn new(domain: &str, allowance: Allowance, seed: u64) -> Self {
        Self {
            vm: VmId::new(),
            domain: domain.to_owned(),
            tolerance: BurstAllowance::default(),
            allowance,
            since: None,
            view: Rc::default(),
            members: IndexMap::new(),
            budgets: IndexMap::new(),
            sharers: Sharers::over(allowance.window),
            waiting: Vec::new(),
            usual: IndexMap::new(),
            usual_due: Duration::ZERO,
            unowned: Unowned::default(),
            rates: Rates::default(),
            notes: Vec::new(),
            paced: IndexMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Tells the dispatcher which VM's it is, and what the platform bears of requests to cold targets.
    ///
    /// Without that it sends nothing to cold targets whose rate is bounded.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{budget::Allowance, dispatch::Dispatcher, warmup::BurstAllowance};
    ///
    /// let allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let tolerance = BurstAllowance { over: 1.5, slack: 8.0 };
    /// let dispatcher = Dispatcher::new("domain-1", allowance, 1).with_vm("vm-1", tolerance);
    /// assert_eq!(dispatcher.queue_len(), 0);
    /// ```
    #[must_use]
    pub fn with_vm(mut self, vm: &str, tolerance: BurstAllowance) -> Self {
        vm.clone_into(&mut self.vm);
        self.tolerance = tolerance;
        self
    }

    /// Takes an event and returns what is decided by it.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.since.get_or_insert(now);
        self.refresh_usual(now);
        match event {
            Event::Request(ask) => self.ask(now, ask, &mut effects),
            Event::Completed {
                target,
                completion: end,
            } => {
                self.note_owner(now, &target, &end);
                if let Some(member) = self.members.get_mut(&target) {
                    member.ended(now, end);
                }
                self.serve(now, &mut effects);
            }
            Event::Rate(target, rate) => self.hear_rate(now, &target, rate),
            Event::Cancelled(ticket) => self.waiting.retain(|it| it.ask.ticket != ticket),
            Event::View(view) => {
                self.look(now, view);
                self.serve(now, &mut effects);
            }
            Event::Sync(word) => {
                for member in self.members.values_mut() {
                    let hash = catalogue::hash(&member.target.id);
                    let others = word.others.get(&hash).copied().unwrap_or(0);
                    let share = word.quotas.get(&hash).cloned();
                    member.tell(now, others, share, word.sync_interval);
                }
                self.merge_rates(now, &word.rates);
                self.note_beyond(&word);
                self.serve(now, &mut effects);
            }
            Event::Tick => self.serve(now, &mut effects),
        }
        effects
    }

    /// Returns how many requests wait.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns this VM's requests at each target, what waits for one, and the service times measured
    /// since the last call.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn take_snapshot(&mut self, now: Duration) -> Snapshot {
        let ended = self.rates.expire(now);
        self.note_rates(&ended, "age");
        let mut state = Snapshot {
            queues: self.queues(now),
            rates: self.rates.reports(now),
            ..Snapshot::default()
        };
        for member in self.members.values_mut() {
            let hash = catalogue::hash(&member.target.id);
            if member.own > 0 {
                state.in_flight.push((hash, member.own));
            }
            let (sum, count) = member.take_samples();
            if count > 0 {
                state.service_times.push((hash, sum, count));
            }
        }
        state
    }

    /// Takes note whether a key's owner holds it, unless newer news are known than it was asked by.
    fn note_owner(&mut self, now: Duration, target: &str, end: &Completion) {
        let Some((point, fence)) = end.ownership else {
            return;
        };
        let Some(service) = self.members.get(target).map(|it| &it.target.service) else {
            return;
        };
        let part = self.view.records.get(service).and_then(|it| it.find(point));
        let Some(part) = part.filter(|part| part.fence == fence) else {
            return;
        };
        match end.kind {
            CompletionKind::Misdirected => self.unowned.refused(now, service, part, point),
            CompletionKind::Answered(_) | CompletionKind::Failed | CompletionKind::Refused => {
                self.unowned.taken(service, part, point);
            }
            // These show nothing of the key.
            CompletionKind::Lost
            | CompletionKind::ConnectFailed
            | CompletionKind::ConnectRefused
            | CompletionKind::Abandoned(_) => {}
        }
    }

    fn look(&mut self, now: Duration, view: Rc<FleetView>) {
        let mut members = IndexMap::new();
        self.paced.clear();
        for (service, targets) in &view.targets {
            for (place, target) in targets.iter().enumerate() {
                let limit = self.cold_limit(&view, target);
                if matches!(limit, Limit::Paced(_)) {
                    self.paced.entry(service.clone()).or_default().push(place);
                }
                let known = self.members.swap_remove(&target.id);
                let mut member = match known {
                    Some(mut member) if member.target.same_incarnation(target) => {
                        member.announce(target);
                        member
                    }
                    _ => Member::new(target.clone(), now),
                };
                let until = view.cold.get(&target.id).copied().unwrap_or_default();
                member.cool(until, limit);
                let rate = self.rates.rate(catalogue::hash(&target.id));
                member.hold_to(rate, self.rate_limit(&view, &target.id, rate));
                members.insert(target.id.clone(), member);
            }
        }
        self.members = members;
        self.sharers.list(now, view.vms.len());
        self.view = view;
        let records = &self.view.records;
        let find = |service: &str, point| records.get(service)?.find(point);
        self.unowned.keep(find);
    }

    /// What this VM may send to a target, as far as that is cold.
    fn cold_limit(&self, view: &FleetView, target: &Target) -> Limit {
        let Some(warmup) = view.warmups.get(&target.service) else {
            return Limit::Open;
        };
        if !view.cold.contains_key(&target.id) {
            return Limit::Open;
        }
        let pace = SenderPlan::of(*warmup, self.tolerance);
        let own = pace.filter(|pace| pace.is_sender(&self.vm, &view.vms, &target.id));
        own.map_or(Limit::Shut, |pace| Limit::Paced(pace.interval))
    }

    fn ask(&mut self, now: Duration, ask: DispatchRequest, out: &mut Vec<Effect>) {
        if !ask.is_retry {
            let allowance = self.allowance;
            self.budget(now, &ask.service).count(now, allowance);
        }
        let mut waiting = Waiting {
            ask,
            counted: false,
            line: None,
            beyond: false,
        };
        if !self.decide(now, &mut waiting, true, out) {
            self.hold(waiting, out);
        }
    }

    fn hold(&mut self, waiting: Waiting, out: &mut Vec<Effect>) {
        if self.waiting.len() >= WAITING_MOST {
            out.push(Effect::Refuse {
                ticket: waiting.ask.ticket,
                reason: RefusalReason::Full,
                retry_after: COME_BACK_UNOWNED,
                basis: Basis::default(),
            });
            return;
        }
        let rank = |it: &Waiting| (it.ask.priority, it.ask.received_at);
        let place = self
            .waiting
            .partition_point(|it| rank(it) <= rank(&waiting));
        self.waiting.insert(place, waiting);
    }

    /// Decides again for all that wait, by rank.
    fn serve(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiting);
        for mut it in waiting {
            if !self.decide(now, &mut it, false, out) {
                self.waiting.push(it);
            }
        }
    }

    /// Decides for one request; returns whether that is its end here.
    fn decide(
        &mut self,
        now: Duration,
        it: &mut Waiting,
        first: bool,
        out: &mut Vec<Effect>,
    ) -> bool {
        let ticket = it.ask.ticket;
        let standing = if first {
            Standing::New
        } else if it.beyond {
            Standing::Beyond
        } else {
            Standing::Waiting
        };
        match self.choose(now, &it.ask, standing) {
            Choice::Wait(line) => {
                it.line = line;
                false
            }
            Choice::Refuse(why, retry, basis) => {
                out.push(Effect::Refuse {
                    ticket,
                    reason: why,
                    retry_after: retry,
                    basis,
                });
                true
            }
            Choice::Send(mut basis, right) => {
                if it.ask.is_retry && !it.counted {
                    let budget = self.spend(now, &it.ask.service);
                    basis.budget = Some(budget);
                    if !budget.allows_retry() {
                        // The caller's own next try draws on no budget: all that it need wait for
                        // is a place.
                        out.push(Effect::Refuse {
                            ticket,
                            reason: RefusalReason::Budget,
                            retry_after: basis.completion_interval.max(MIN_RETRY_AFTER),
                            basis,
                        });
                        return true;
                    }
                    it.counted = true;
                }
                let Some(member) = self.members.get_mut(&basis.target) else {
                    return false;
                };
                member.sent(now);
                let record = self.view.records.get(&it.ask.service);
                if let Some((record, point)) = record.zip(basis.point)
                    && let Some(part) = record.find(point)
                {
                    self.unowned.sent(now, &it.ask.service, part, point);
                }
                if let Some(right) = right {
                    member.use_share(right == Right::Fresh);
                }
                out.push(Effect::Send {
                    ticket,
                    target: member.target.clone(),
                    basis,
                });
                true
            }
        }
    }

    /// Spends a repeat at a service, if this VM's part of its budget allows.
    fn spend(&mut self, now: Duration, service: &str) -> Balance {
        let vms = self.sharers.most(now);
        let allowance = self.allowance;
        self.budget(now, service).spend(now, allowance, vms)
    }

    fn budget(&mut self, now: Duration, service: &str) -> &mut RetryBudget {
        let since = self.since.unwrap_or(now);
        let budget = self.budgets.entry(service.to_owned());
        budget.or_insert_with(|| RetryBudget::new(since))
    }
}
