//! The manager's calls to the store and to targets, and what it derives from its view of the fleet.

use std::{cmp::Reverse, rc::Rc, slice, time::Duration};

use bramleypier_util::{
    body::{self, Body},
    client::{self, Exchange, SendGuard},
    clock::Clock,
};
use hyper::{Request, http::response};
use indexmap::IndexMap;

use super::{
    manager::Context,
    ownership::{CallOutcome, OwnershipCommand},
};
use crate::{
    catalogue::{self, Target, TargetHash, TargetId},
    fleet::{Fleet, Vm},
    store::{Commit, Error, Item, Lease, Put, Transaction},
};

/// How much later each next VM bids, so that one bid is usually enough: a call takes some 5 ms.
const BID_STEP: Duration = Duration::from_millis(40);
/// The longest delay of a bid.
const MAX_BID_DELAY: Duration = Duration::from_millis(600);
/// How much later other VMs bid than the one that was the manager when the store came back older.
const EARLIER_MANAGER_ADVANTAGE: Duration = Duration::from_millis(300);
/// How much later a VM bids that reaches no target.
const UNREACHABLE_BID_DELAY: Duration = Duration::from_millis(800);
/// The timeout of a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of a release: the target finishes the requests for those keys first.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its decision a grant may be written: if the process was frozen in between, its lease may
/// have expired. A VM that is slowed down eight times takes some 0.3 s to begin sixty calls.
const MAX_DECISION_AGE: Duration = Duration::from_millis(400);
/// The maximum size of a response to a grant or release.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Returns the targets of one service; those in an evacuated failure domain, or that say themselves that they leave,
/// count as draining.
pub(super) fn targets_of(fleet: &Fleet, service: &str) -> Vec<Target> {
    let of_service = fleet.targets.values().filter(|it| it.service == service);
    let targets = of_service.map(|it| Target {
        leaving: fleet.is_leaving(it) || fleet.is_evacuated(&it.domain),
        ..it.clone()
    });
    targets.collect()
}

/// Returns the targets of a service that are cold, that is in warm-up, and until when; none if the service has no
/// warm-up limit.
pub(super) fn warming_targets(fleet: &Fleet, service: &str) -> IndexMap<TargetId, Duration> {
    let config = fleet.config.as_ref();
    let configured = config.and_then(|it| it.services.get(service));
    if configured.is_none_or(|it| it.warmup.is_none()) {
        return IndexMap::new();
    }
    let of_service = |id: &TargetId| {
        fleet
            .targets
            .get(id)
            .is_some_and(|it| it.service == service)
    };
    let cold = fleet.cold.iter().filter(|(id, _)| of_service(id));
    cold.map(|(id, until)| (id.clone(), *until)).collect()
}

/// Returns how long this VM waits before it bids: VMs bid in the order of their capacity, the highest first, then by a
/// hash of the process start.
///
/// The manager responds to all other VMs and renews all grants; with too little capacity it fails to renew its lease.
/// When the store has just come back older, the VM that was the manager goes first: nobody else knows all grants.
pub(super) fn bid_delay(fleet: &Fleet, own: &Vm, was_manager: bool, now: Duration) -> Duration {
    if was_manager {
        return Duration::ZERO;
    }
    let advantage = if fleet.operator_grace().is_some_and(|end| now < end) {
        EARLIER_MANAGER_ADVANTAGE
    } else {
        Duration::ZERO
    };
    let priority = |vm: &Vm| {
        let hash = xxhash_rust::xxh3::xxh3_64(vm.start.as_bytes());
        (Reverse(vm.capacity_millicores), hash)
    };
    let mine = priority(own);
    let before = fleet.vms.values().filter(|vm| priority(vm) < mine).count();
    let steps = u32::try_from(before).unwrap_or(u32::MAX);
    advantage + BID_STEP.saturating_mul(steps).min(MAX_BID_DELAY)
}

/// Takes a lease and writes the manager's entry under it; returns `None` if there is an entry already.
///
/// A VM that reaches no target leaves it to others, but not for long: perhaps none does.
pub(super) async fn bid(context: &Context, duration: Duration) -> Result<Option<Lease>, Error> {
    if !context.reach.reaches_targets().await {
        context.clock.sleep(UNREACHABLE_BID_DELAY).await;
    }
    let lease = context.store.lease(duration).await?;
    let key = context.keys.manager();
    let transaction = Transaction {
        expected: [(key.clone(), 0)].into_iter().collect(),
        puts: vec![Put {
            key,
            value: context.vm.encode(),
            lease: Some(lease.id),
        }],
        removes: Vec::new(),
    };
    match context.store.commit(transaction).await? {
        Commit::Done(_) => Ok(Some(lease)),
        Commit::Conflict(_) => Ok(None),
    }
}

/// Removes the manager's entry if an earlier process of this VM wrote it; returns whether that was so.
///
/// That process has ended, or this one couldn't run in its place. Its lease would keep all VMs from bidding
/// for seconds.
pub(super) async fn remove_stale_entry(context: &Context) -> Result<bool, Error> {
    let key = context.keys.manager();
    let item = context.store.get(&key).await?;
    let is_stale = |item: &Item| {
        let manager = Vm::decode(&item.value);
        manager.is_some_and(|vm| vm.name == context.vm.name && vm.start != context.vm.start)
    };
    let Some(item) = item.filter(is_stale) else {
        return Ok(false);
    };
    let transaction = Transaction {
        expected: [(key.clone(), item.revision)].into_iter().collect(),
        puts: Vec::new(),
        removes: vec![key],
    };
    let commit = context.store.commit(transaction).await?;
    Ok(matches!(commit, Commit::Done(_)))
}

/// The kinds of calls to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Grants a range.
    Grant,
    /// Releases a range that the target is known to own.
    Release,
    /// Releases a range that the target isn't known to own.
    Fence,
}

/// Withdraws a grant that is not written soon after its decision.
struct GrantGuard {
    decided_at: Duration,
    clock: Clock,
}

impl SendGuard for GrantGuard {
    fn may_write(&self) -> bool {
        self.clock.now().saturating_sub(self.decided_at) <= MAX_DECISION_AGE
    }
}

/// Returns what withdraws a call that is held until it must not have an effect any more; only grants are.
fn guard(
    context: &Context,
    command: &OwnershipCommand,
    kind: CallKind,
) -> Option<Rc<dyn SendGuard>> {
    let guard = GrantGuard {
        decided_at: command.decided_at,
        clock: context.clock.clone(),
    };
    (kind == CallKind::Grant).then(|| Rc::new(guard) as Rc<dyn SendGuard>)
}

/// Sends a call to a target and returns its outcome.
///
/// Targets don't name calls in their responses, so a late copy of one may be taken for the response to the next call on its
/// connection. Grants to one target may follow each other: what a copy says of one holds for the others, or is put right by
/// the next renewal. A release or a fence must not be taken for done while the target works on its keys, so it gets a connection
/// on which there was no response.
pub(super) async fn send_command(
    context: &Context,
    service: &str,
    command: &OwnershipCommand,
    kind: CallKind,
) -> CallOutcome {
    let age = context.clock.now().saturating_sub(command.decided_at);
    if kind == CallKind::Grant && age > MAX_DECISION_AGE {
        context.report.line(&format!(
            "event=grant-dropped service={service} target={} from={} to={} fence={} age_ms={}",
            command.owner.id,
            command.from,
            command.to,
            command.fence,
            age.as_millis()
        ));
        return CallOutcome::Unsent;
    }
    let (call, timeout, name) = match kind {
        CallKind::Grant => (context.targets.grant(command), GRANT_TIMEOUT, "grant"),
        CallKind::Release => (context.targets.release(command), RELEASE_TIMEOUT, "release"),
        // The target is sent it again while it finishes requests for keys that the record doesn't give it.
        CallKind::Fence => (context.targets.release(command), GRANT_TIMEOUT, "fence"),
    };
    let mut request = Request::new(Body::from(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = http::Uri::from_static(call.path);
    *request.headers_mut() = call.headers;
    let log_failure = |outcome: CallOutcome, cause: &str| {
        context.report.line(&format!(
            "event={name}-failed service={service} target={} from={} to={} fence={} ending={outcome:?} {cause}",
            command.owner.id, command.from, command.to, command.fence
        ));
        outcome
    };
    let started = context.clock.now();
    let exchange = Exchange {
        guard: guard(context, command, kind),
        series: (kind == CallKind::Grant).then(|| command.owner.id.clone()),
    };
    let sent = context
        .client
        .send_with(command.owner.address, request, timeout, exchange);
    let outcome = match sent.await {
        Ok(response) => {
            let (head, response_body) = response.into_parts();
            // The outcome is in the head, but a response that breaks off may not be the target's.
            let elapsed = context.clock.now().saturating_sub(started);
            let reading = body::read(response_body, MAX_RESPONSE_BYTES);
            let left = timeout.saturating_sub(elapsed);
            match context.clock.timeout(left, reading).await {
                Ok(Ok(_)) => {
                    record_leaving(context, &command.owner.id, &head);
                    context.targets.call_result(head.status, &head.headers)
                }
                Ok(Err(cause)) => log_failure(CallOutcome::Silent, &cause.to_string()),
                Err(_) => log_failure(CallOutcome::Silent, "the response didn't end in time"),
            }
        }
        Err(error) => log_failure(classify(&error), &error.to_string()),
    };
    let took = context.clock.now().saturating_sub(started);
    context.report.time(name, took, &[("service", service)]);
    if !matches!(outcome, CallOutcome::Done(_)) {
        context
            .report
            .count("grant.failed", &[("service", service)]);
    }
    outcome
}

/// Records that a target says that it leaves, if the response to a call says so.
fn record_leaving(context: &Context, target: &TargetId, head: &response::Parts) {
    let reply = context.targets.read(head.status, &head.headers);
    if reply.notice.leaving {
        let ids = slice::from_ref(target);
        let now = context.clock.now();
        let lines = context.shared_fleet.record_leaving(now, ids, "grant");
        context.report.lines(&lines);
    }
}

/// Returns what a failed call says about the grant that it may have delivered.
///
/// Nothing that a connection does proves that the target's process has ended. A network path resets connections and refuses
/// new ones; a target closes idle connections, or those on which it breaks off a response; and one that is about to leave
/// closes its connections and refuses new ones while it works on.
fn classify(error: &client::Error) -> CallOutcome {
    if error.unsent() {
        CallOutcome::Unsent
    } else {
        CallOutcome::Silent
    }
}

/// Returns the values that are known for targets of a list, by their ids.
pub(super) fn of_targets<V>(
    values: &IndexMap<TargetHash, V>,
    targets: &[Target],
) -> IndexMap<TargetId, V>
where
    V: Copy,
{
    let value = |target: &Target| {
        let value = values.get(&catalogue::hash(&target.id))?;
        Some((target.id.clone(), *value))
    };
    targets.iter().filter_map(value).collect()
}
