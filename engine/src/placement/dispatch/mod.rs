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

use self::admission::{Decision, QueueKey, QueueState, QuotaKind};
pub use self::choose::MIN_RETRY_AFTER;
pub use super::message::{
    Basis, Completion, CompletionKind, DispatchRequest, Effect, Event, FleetView, RefusalReason,
    Snapshot, SyncUpdate, Ticket,
};
use super::{
    budget::{Allowance, Balance, RetryBudget},
    rates::Rates,
    refused_keys::RefusedKeys,
    target_state::TargetState,
    vm_count::PeakVmCount,
    warmup::{BurstAllowance, SendLimit, SenderPlan},
};
use crate::{
    catalogue::{self, DomainId, ServiceId, Target, TargetId},
    fleet::VmId,
};

/// The time to come back when a key has no owner.
const RETRY_AFTER_NO_OWNER: Duration = Duration::from_millis(400);
/// How many requests may wait on one VM.
const MAX_QUEUED: usize = 512;

#[derive(Debug)]
struct Queued {
    request: DispatchRequest,
    charged: bool,
    /// Where it waits, if for room at a target.
    queue: Option<QueueKey>,
    /// Whether too many go before it there for an answer within its goal.
    demoted: bool,
}

/// One VM's decisions on where requests go.
#[derive(Debug)]
pub struct Dispatcher {
    vm: VmId,
    domain: DomainId,
    burst_allowance: BurstAllowance,
    allowance: Allowance,
    /// When the process started, as its first event tells.
    started_at: Option<Duration>,
    view: Rc<FleetView>,
    target_states: IndexMap<TargetId, TargetState>,
    budgets: IndexMap<ServiceId, RetryBudget>,
    /// How many VMs share those.
    vm_count: PeakVmCount,
    queue: Vec<Queued>,
    /// The median service time of each service's targets, in seconds, as far as any was measured.
    median_times: IndexMap<ServiceId, f64>,
    /// When those are saturated anew.
    medians_due: Duration,
    /// Keys whose owners have refused them.
    refused_keys: RefusedKeys,
    /// The rates to which targets request to be held.
    rates: Rates,
    /// What is believed anew, for the log.
    log_lines: Vec<String>,
    /// Cold targets to which this VM, one of few, may send at a pace: their places in the view.
    paced_targets: IndexMap<ServiceId, Vec<usize>>,
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
            burst_allowance: BurstAllowance::default(),
            allowance,
            started_at: None,
            view: Rc::default(),
            target_states: IndexMap::new(),
            budgets: IndexMap::new(),
            vm_count: PeakVmCount::new(allowance.window),
            queue: Vec::new(),
            median_times: IndexMap::new(),
            medians_due: Duration::ZERO,
            refused_keys: RefusedKeys::default(),
            rates: Rates::default(),
            log_lines: Vec::new(),
            paced_targets: IndexMap::new(),
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
    /// let burst_allowance = BurstAllowance { over: 1.5, slack: 8.0 };
    /// let dispatcher = Dispatcher::new("domain-1", allowance, 1).with_vm("vm-1", burst_allowance);
    /// assert_eq!(dispatcher.queue_len(), 0);
    /// ```
    #[must_use]
    pub fn with_vm(mut self, vm: &str, burst_allowance: BurstAllowance) -> Self {
        vm.clone_into(&mut self.vm);
        self.burst_allowance = burst_allowance;
        self
    }

    /// Takes an event and returns what is decided by it.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.started_at.get_or_insert(now);
        self.refresh_medians(now);
        match event {
            Event::Request(request) => self.submit(now, request, &mut effects),
            Event::Completed { target, completion } => {
                self.record_ownership(now, &target, &completion);
                if let Some(state) = self.target_states.get_mut(&target) {
                    state.record_completion(now, completion);
                }
                self.process_queue(now, &mut effects);
            }
            Event::Rate(target, rate) => self.record_rate(now, &target, rate),
            Event::Cancelled(ticket) => self.queue.retain(|it| it.request.ticket != ticket),
            Event::View(view) => {
                self.apply_view(now, view);
                self.process_queue(now, &mut effects);
            }
            Event::Sync(sync) => {
                for state in self.target_states.values_mut() {
                    let hash = catalogue::hash(&state.target.id);
                    let others = sync.others.get(&hash).copied().unwrap_or(0);
                    let quota = sync.quotas.get(&hash).cloned();
                    state.apply_sync(now, others, quota, sync.sync_interval);
                }
                self.merge_rates(now, &sync.rates);
                self.mark_demoted(&sync);
                self.process_queue(now, &mut effects);
            }
            Event::Tick => self.process_queue(now, &mut effects),
        }
        effects
    }

    /// Returns how many requests wait.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns this VM's requests at each target, what waits for one, and the service times measured
    /// since the last call.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn take_snapshot(&mut self, now: Duration) -> Snapshot {
        let ended = self.rates.expire(now);
        self.apply_rate_changes(&ended, "age");
        let mut snapshot = Snapshot {
            queues: self.queues(now),
            rates: self.rates.reports(now),
            ..Snapshot::default()
        };
        for state in self.target_states.values_mut() {
            let hash = catalogue::hash(&state.target.id);
            if state.own_in_flight > 0 {
                snapshot.in_flight.push((hash, state.own_in_flight));
            }
            let (sum, count) = state.take_samples();
            if count > 0 {
                snapshot.service_times.push((hash, sum, count));
            }
        }
        snapshot
    }

    /// Takes line whether a key's owner holds it, unless newer reports are known than it was asked by.
    fn record_ownership(&mut self, now: Duration, target: &str, completion: &Completion) {
        let Some((point, fence)) = completion.ownership else {
            return;
        };
        let Some(service) = self.target_states.get(target).map(|it| &it.target.service) else {
            return;
        };
        let range = self.view.records.get(service).and_then(|it| it.find(point));
        let Some(range) = range.filter(|range| range.fence == fence) else {
            return;
        };
        match completion.kind {
            CompletionKind::Misdirected => {
                self.refused_keys.record_refusal(now, service, range, point)
            }
            CompletionKind::Answered(_) | CompletionKind::Failed | CompletionKind::Refused => {
                self.refused_keys.record_accepted(service, range, point);
            }
            // These show nothing of the key.
            CompletionKind::Lost
            | CompletionKind::ConnectFailed
            | CompletionKind::ConnectRefused
            | CompletionKind::Abandoned(_) => {}
        }
    }

    fn apply_view(&mut self, now: Duration, view: Rc<FleetView>) {
        let mut target_states = IndexMap::new();
        self.paced_targets.clear();
        for (service, targets) in &view.targets {
            for (index, target) in targets.iter().enumerate() {
                let limit = self.warmup_limit(&view, target);
                if matches!(limit, SendLimit::Interval(_)) {
                    self.paced_targets
                        .entry(service.clone())
                        .or_default()
                        .push(index);
                }
                let known = self.target_states.swap_remove(&target.id);
                let mut state = match known {
                    Some(mut state) if state.target.same_incarnation(target) => {
                        state.update(target);
                        state
                    }
                    _ => TargetState::new(target.clone(), now),
                };
                let until = view.cold.get(&target.id).copied().unwrap_or_default();
                state.set_warmup(until, limit);
                let rate = self.rates.rate(catalogue::hash(&target.id));
                state.set_rate(rate, self.rate_limit(&view, &target.id, rate));
                target_states.insert(target.id.clone(), state);
            }
        }
        self.target_states = target_states;
        self.vm_count.record(now, view.vms.len());
        self.view = view;
        let records = &self.view.records;
        let find = |service: &str, point| records.get(service)?.find(point);
        self.refused_keys.retain(find);
    }

    /// What this VM may send to a target, as far as that is cold.
    fn warmup_limit(&self, view: &FleetView, target: &Target) -> SendLimit {
        let Some(warmup) = view.warmups.get(&target.service) else {
            return SendLimit::Unlimited;
        };
        if !view.cold.contains_key(&target.id) {
            return SendLimit::Unlimited;
        }
        let plan = SenderPlan::of(*warmup, self.burst_allowance);
        let own = plan.filter(|plan| plan.is_sender(&self.vm, &view.vms, &target.id));
        own.map_or(SendLimit::Blocked, |plan| {
            SendLimit::Interval(plan.interval)
        })
    }

    fn submit(&mut self, now: Duration, request: DispatchRequest, effects: &mut Vec<Effect>) {
        if !request.is_retry {
            let allowance = self.allowance;
            self.budget(now, &request.service).count(now, allowance);
        }
        let mut queued = Queued {
            request,
            charged: false,
            queue: None,
            demoted: false,
        };
        if !self.decide(now, &mut queued, true, effects) {
            self.enqueue(queued, effects);
        }
    }

    fn enqueue(&mut self, queued: Queued, effects: &mut Vec<Effect>) {
        if self.queue.len() >= MAX_QUEUED {
            effects.push(Effect::Refuse {
                ticket: queued.request.ticket,
                reason: RefusalReason::Full,
                retry_after: RETRY_AFTER_NO_OWNER,
                basis: Basis::default(),
            });
            return;
        }
        let rank = |it: &Queued| (it.request.priority, it.request.received_at);
        let position = self.queue.partition_point(|it| rank(it) <= rank(&queued));
        self.queue.insert(position, queued);
    }

    /// Decides again for all that wait, by rank.
    fn process_queue(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.queue);
        for mut it in waiting {
            if !self.decide(now, &mut it, false, effects) {
                self.queue.push(it);
            }
        }
    }

    /// Decides for one request; returns whether that is its completion here.
    fn decide(
        &mut self,
        now: Duration,
        it: &mut Queued,
        first: bool,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let ticket = it.request.ticket;
        let queue_state = if first {
            QueueState::New
        } else if it.demoted {
            QueueState::Demoted
        } else {
            QueueState::Waiting
        };
        match self.choose(now, &it.request, queue_state) {
            Decision::Queue(queue) => {
                it.queue = queue;
                false
            }
            Decision::Refuse(reason, retry_after, basis) => {
                effects.push(Effect::Refuse {
                    ticket,
                    reason,
                    retry_after,
                    basis,
                });
                true
            }
            Decision::Send(mut basis, quota) => {
                if it.request.is_retry && !it.charged {
                    let budget = self.charge_retry(now, &it.request.service);
                    basis.budget = Some(budget);
                    if !budget.allows_retry() {
                        // The caller's own next try draws on no budget: all that it need wait for
                        // is a place.
                        effects.push(Effect::Refuse {
                            ticket,
                            reason: RefusalReason::Budget,
                            retry_after: basis.completion_interval.max(MIN_RETRY_AFTER),
                            basis,
                        });
                        return true;
                    }
                    it.charged = true;
                }
                let Some(state) = self.target_states.get_mut(&basis.target) else {
                    return false;
                };
                state.record_sent(now);
                let record = self.view.records.get(&it.request.service);
                if let Some((record, point)) = record.zip(basis.point)
                    && let Some(range) = record.find(point)
                {
                    self.refused_keys
                        .record_sent(now, &it.request.service, range, point);
                }
                if let Some(kind) = quota {
                    state.consume_quota(kind == QuotaKind::WithinGoal);
                }
                effects.push(Effect::Send {
                    ticket,
                    target: state.target.clone(),
                    basis,
                });
                true
            }
        }
    }

    /// Spends a repeat at a service, if this VM's range of its budget allows.
    fn charge_retry(&mut self, now: Duration, service: &str) -> Balance {
        let vms = self.vm_count.peak(now);
        let allowance = self.allowance;
        self.budget(now, service).spend(now, allowance, vms)
    }

    fn budget(&mut self, now: Duration, service: &str) -> &mut RetryBudget {
        let started_at = self.started_at.unwrap_or(now);
        let budget = self.budgets.entry(service.to_owned());
        budget.or_insert_with(|| RetryBudget::new(started_at))
    }
}
