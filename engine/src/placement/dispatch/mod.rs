//! Decides for each request whether to send it, and where, to queue it, or to refuse it.
//!
//! It handles these load patterns:
//!
//! - *More requests arrive than targets can process*: a request that probably gets no response in time is refused at
//!   once, with the time until a slot is likely to be free, so that the others are served.
//! - *A target's queue is almost full*: the target may close connections instead of refusing requests, and the outcome
//!   of a request on a closed connection is unknown. Requests are queued here instead, by priority and age.
//! - *Keys are moving to another owner*: requests for them wait briefly for the new owner.
//! - *A target refuses requests and says when it takes some again*: it gets none from this VM before, whether others can
//!   serve its requests or not.
//! - *A process had no processor time for seconds, and the requests that arrived meanwhile are read before the news*: they
//!   wait until this VM knows again which targets leave.
//! - *A target that fails fast looks idle*: successful responses count, not speed. A target that fails often only gets
//!   single requests until it recovers.

mod admission;
mod choose;
mod held;
mod knowledge;
mod late;
mod queues;
mod rate_limits;
mod view;

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::SmallRng};

pub use self::choose::MIN_RETRY_AFTER;
use self::{
    admission::{Decision, QueueKey, QueueState, QuotaKind},
    knowledge::Knowledge,
};
pub use super::message::{
    Basis, Charge, Completion, CompletionKind, DispatchRequest, Effect, Event, FleetView,
    LeavingOwner, RefusalReason, Snapshot, SyncUpdate, Ticket,
};
use super::{
    budget::{Balance, RetryAllowance, RetryBudget},
    hold_offs::HoldOffs,
    owner_gaps::OwnerGaps,
    rates::Rates,
    refused_keys::RefusedKeys,
    target_state::TargetState,
    vm_count::VmCount,
    warmup::BurstAllowance,
};
use crate::{
    catalogue::{self, DomainId, ServiceId, TargetId, VmId},
    fleet::Confirmations,
};

/// How long a caller is asked to wait when no owner or target is reachable, or the queue is full.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The maximum number of requests that are queued on one VM.
const MAX_QUEUED: usize = 512;

/// A request in this VM's queue.
#[derive(Debug)]
struct Queued {
    request: DispatchRequest,
    /// Whether it has been charged to the retry budget.
    charged: bool,
    /// The queue it is in, if it waits for free capacity at a target.
    queue: Option<QueueKey>,
    /// Whether too many others are sent first for it to meet its goal.
    demoted: bool,
    /// For how long it has been queued for targets with free slots.
    idle_wait: Duration,
}

impl Queued {
    /// Returns the rank in the queue: priority, then age.
    fn rank(&self) -> (u32, Duration) {
        (self.request.priority, self.request.received_at)
    }
}

/// Decides where the requests of one VM go.
#[derive(Debug)]
pub struct Dispatcher {
    vm: VmId,
    domain: DomainId,
    burst_allowance: BurstAllowance,
    retry_allowance: RetryAllowance,
    /// When the process started, which is the time of its first event.
    started_at: Option<Duration>,
    view: Rc<FleetView>,
    /// Whether this VM's knowledge of targets is recent enough.
    knowledge: Knowledge,
    target_states: IndexMap<TargetId, TargetState>,
    budgets: IndexMap<ServiceId, RetryBudget>,
    /// The number of VMs that share the retry budgets.
    vm_count: VmCount,
    queue: Vec<Queued>,
    /// Up to when the times that requests were queued for targets with free slots are counted.
    idle_counted_at: Duration,
    /// The median service time of each service's targets, in seconds, where any was measured.
    median_times: IndexMap<ServiceId, f64>,
    /// When the medians are recomputed.
    medians_due: Duration,
    /// Keys that their owners have refused.
    refused_keys: RefusedKeys,
    /// Keys that have no usable owner.
    owner_gaps: OwnerGaps,
    /// The rate limits that targets ask for.
    rates: Rates,
    /// The targets that want no requests from this VM for a while.
    hold_offs: HoldOffs,
    /// Log lines that haven't been taken yet.
    log_lines: Vec<String>,
    /// Cold targets to which this VM is one of the few senders, as indexes into the view's targets.
    warmup_targets: IndexMap<ServiceId, Vec<usize>>,
    random: SmallRng,
}

impl Dispatcher {
    /// Creates the dispatcher of a VM in a failure domain; it knows no targets yet.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{
    ///     budget::RetryAllowance,
    ///     dispatch::{Dispatcher, Event},
    /// };
    ///
    /// let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let mut dispatcher = Dispatcher::new("domain-1", allowance, 1);
    /// assert!(dispatcher.handle(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn new(domain: &str, retry_allowance: RetryAllowance, seed: u64) -> Self {
        Self {
            vm: VmId::new(),
            domain: domain.to_owned(),
            burst_allowance: BurstAllowance::default(),
            retry_allowance,
            started_at: None,
            view: Rc::default(),
            knowledge: Knowledge::default(),
            target_states: IndexMap::new(),
            budgets: IndexMap::new(),
            vm_count: VmCount::default(),
            queue: Vec::new(),
            idle_counted_at: Duration::ZERO,
            median_times: IndexMap::new(),
            medians_due: Duration::ZERO,
            refused_keys: RefusedKeys::default(),
            owner_gaps: OwnerGaps::default(),
            rates: Rates::default(),
            hold_offs: HoldOffs::default(),
            log_lines: Vec::new(),
            warmup_targets: IndexMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the VM's name, and how far requests to cold targets may exceed their rate.
    ///
    /// Without these, nothing is sent to cold targets whose rate is limited.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{budget::RetryAllowance, dispatch::Dispatcher, warmup::BurstAllowance};
    ///
    /// let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let burst = BurstAllowance { factor: 1.5, slack: 8.0 };
    /// let dispatcher = Dispatcher::new("domain-1", allowance, 1).with_vm("vm-1", burst);
    /// assert_eq!(dispatcher.queue_len(), 0);
    /// ```
    #[must_use]
    pub fn with_vm(mut self, vm: &str, burst_allowance: BurstAllowance) -> Self {
        vm.clone_into(&mut self.vm);
        self.burst_allowance = burst_allowance;
        self
    }

    /// Sets who tells how old this VM's knowledge of targets is; it counts as recent otherwise.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{fleet::Confirmations, placement::{budget::RetryAllowance, dispatch::Dispatcher}};
    ///
    /// let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let confirmations = Confirmations::default();
    /// let dispatcher = Dispatcher::new("domain-1", allowance, 1).with_confirmations(confirmations);
    /// assert_eq!(dispatcher.queue_len(), 0);
    /// ```
    #[must_use]
    pub fn with_confirmations(mut self, confirmations: Confirmations) -> Self {
        self.knowledge = Knowledge::new(confirmations);
        self
    }

    /// Handles an event and returns the decisions that it leads to.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.started_at.get_or_insert(now);
        self.record_idle_waits(now);
        self.refresh_medians(now);
        self.log_lines.extend(self.knowledge.update(now));
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
            Event::HoldOff(target, time) => self.record_hold_off(now, &target, time),
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
                self.vm_count
                    .record_exchange(now, &sync.exchanging, sync.vms_sharing);
                self.merge_rates(now, &sync.rates);
                self.mark_demoted(&sync);
                self.process_queue(now, &mut effects);
            }
            Event::PathsChanged => {
                for state in self.target_states.values_mut() {
                    state.end_backoff();
                }
                self.process_queue(now, &mut effects);
            }
            Event::Tick => self.process_queue(now, &mut effects),
        }
        effects
    }

    /// Returns how many requests are queued.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns this VM's in-flight and queued requests by target, and the service times measured since the last call.
    ///
    /// # Example
    ///
    /// See [`Dispatcher::new`].
    pub fn take_snapshot(&mut self, now: Duration) -> Snapshot {
        let expired = self.rates.expire(now);
        self.apply_rate_changes(&expired, "age");
        let mut snapshot = Snapshot {
            queues: self.queues(now),
            rates: self.rates.reports(now),
            hold_offs: self.hold_offs.reports(now),
            vms_known: self.vm_count.known(now),
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

    /// Records whether a key's owner holds it, unless a newer owner is known than the one that got the request.
    fn record_ownership(&mut self, now: Duration, target: &str, completion: &Completion) {
        let Some((key, fence)) = completion.ownership else {
            return;
        };
        let Some(service) = self.target_states.get(target).map(|it| &it.target.service) else {
            return;
        };
        let range = self.view.records.get(service).and_then(|it| it.find(key));
        let Some(range) = range.filter(|range| range.fence == fence) else {
            return;
        };
        match completion.kind {
            CompletionKind::Misdirected => {
                self.refused_keys.record_refusal(now, service, range, key);
            }
            CompletionKind::Answered(_) | CompletionKind::Failed | CompletionKind::Refused => {
                self.refused_keys.record_accepted(service, range, key);
                self.owner_gaps.record_accepted(service, range);
            }
            // These say nothing about the key.
            CompletionKind::Lost
            | CompletionKind::ConnectFailed
            | CompletionKind::ConnectRefused
            | CompletionKind::Withdrawn
            | CompletionKind::Abandoned(_) => {}
        }
    }

    /// Decides for a new request, and queues it if need be.
    fn submit(&mut self, now: Duration, request: DispatchRequest, effects: &mut Vec<Effect>) {
        if request.charge == Charge::Request {
            let retry_allowance = self.retry_allowance;
            self.budget(now, &request.service)
                .count(now, retry_allowance);
        }
        let mut queued = Queued {
            request,
            charged: false,
            queue: None,
            demoted: false,
            idle_wait: Duration::ZERO,
        };
        if !self.decide(now, &mut queued, true, effects) {
            self.enqueue(queued, effects);
        }
    }

    /// Inserts a request into the queue by priority and age, or refuses it if the queue is full.
    fn enqueue(&mut self, queued: Queued, effects: &mut Vec<Effect>) {
        if self.queue.len() >= MAX_QUEUED {
            effects.push(Effect::Refuse {
                ticket: queued.request.ticket,
                reason: RefusalReason::Full,
                retry_after: DEFAULT_RETRY_AFTER,
                basis: Basis::default(),
            });
            return;
        }
        let rank = queued.rank();
        let position = self.queue.partition_point(|it| it.rank() <= rank);
        self.queue.insert(position, queued);
    }

    /// Decides again for all queued requests, by priority and age; late ones come after all others.
    fn process_queue(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let queue = std::mem::take(&mut self.queue);
        let (late, first): (Vec<_>, Vec<_>) =
            queue.into_iter().partition(|it| self.is_late(now, it));
        let has_late = !late.is_empty();
        for mut it in first.into_iter().chain(late) {
            if !self.decide(now, &mut it, false, effects) {
                self.queue.push(it);
            }
        }
        if has_late {
            self.queue.sort_by_key(Queued::rank);
        }
    }

    /// Returns whether a queued request is served late: it can't meet its goal any more.
    fn is_late(&self, now: Duration, it: &Queued) -> bool {
        let time = self.typical_time(&it.request).unwrap_or_default();
        it.request.late_until.is_some() && now + Duration::from_secs_f64(time) > it.request.goal
    }

    /// Decides for one request; returns whether it has been sent or refused.
    fn decide(
        &mut self,
        now: Duration,
        it: &mut Queued,
        is_new: bool,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let ticket = it.request.ticket;
        let queue_state = if is_new {
            QueueState::New
        } else if it.demoted {
            QueueState::Demoted
        } else {
            QueueState::Waiting
        };
        match self.choose(now, &it.request, queue_state) {
            Decision::Queue(queue) => {
                // A late request stays behind the others: at the edge of its goal it would take the place of one that
                // surely meets its own.
                it.demoted |= it.request.late_until.is_some()
                    && queue.as_ref().is_some_and(|key| !key.within_goal);
                it.queue = queue;
                false
            }
            Decision::Refuse(reason, time, mut basis) => {
                basis.idle_wait = it.idle_wait;
                // The time that a target itself asks for stays as it is.
                let retry_after = if reason == RefusalReason::HoldOff {
                    time
                } else {
                    self.retry_after(now, &it.request, time)
                };
                effects.push(Effect::Refuse {
                    ticket,
                    reason,
                    retry_after,
                    basis,
                });
                true
            }
            Decision::Send(mut basis, quota) => {
                basis.idle_wait = it.idle_wait;
                if it.request.charge == Charge::Retry && !it.charged {
                    let budget = self.charge_retry(now, &it.request.service);
                    basis.budget = Some(budget);
                    if !budget.allows_retry() {
                        // The caller's own retry is a new request and isn't charged to the budget, so it only has to
                        // wait for a free slot.
                        let time = basis.completion_interval.max(MIN_RETRY_AFTER);
                        let retry_after = self.retry_after(now, &it.request, time);
                        effects.push(Effect::Refuse {
                            ticket,
                            reason: RefusalReason::Budget,
                            retry_after,
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
                if basis.expected > it.request.deadline.saturating_sub(now) {
                    state.record_probe(now);
                }
                let record = self.view.records.get(&it.request.service);
                if let Some((record, key)) = record.zip(basis.key)
                    && let Some(range) = record.find(key)
                {
                    self.refused_keys
                        .record_sent(now, &it.request.service, range, key);
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

    /// Charges a retry to the budget of a service, if this VM's part of it allows that.
    fn charge_retry(&mut self, now: Duration, service: &str) -> Balance {
        let retry_allowance = self.retry_allowance;
        let vms = self.vm_count.sharing(now, retry_allowance.window);
        self.budget(now, service).spend(now, retry_allowance, vms)
    }

    /// Returns the retry budget of a service.
    fn budget(&mut self, now: Duration, service: &str) -> &mut RetryBudget {
        let started_at = self.started_at.unwrap_or(now);
        let budget = self.budgets.entry(service.to_owned());
        budget.or_insert_with(|| RetryBudget::new(started_at))
    }
}
