//! The manager's calls to the store and to targets, and small sums over what it knows.

use std::{cmp::Reverse, time::Duration};

use bramleypier_util::{body, body::Body, client};
use hyper::Request;
use indexmap::IndexMap;

use super::{
    manager::Context,
    ownership::{CallOutcome, OwnershipCommand},
    service_times::ServiceTimes,
};
use crate::{
    catalogue::{self, Target, TargetHash, TargetId},
    fleet::{Fleet, Vm},
    store::{Commit, Error, Item, Lease, Put, Transaction},
    target::Rate,
};

/// How much later each next candidate bids, so that one bid usually does: a call takes some 5 ms.
const BID_STEP: Duration = Duration::from_millis(40);
/// The most by which a bid is put off.
const BID_LATEST: Duration = Duration::from_millis(600);
/// How long a target has to answer a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a target has to answer a release: it ends the work on those keys first.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after a target has closed a connection a refused one proves that its process ended.
///
/// The manager calls within 50 ms of the end; the rest allows for packets sent again.
const CLOSED_WITHIN: Duration = Duration::from_secs(1);
/// How late after its decision a grant may be begun: a process that was frozen in between has an older
/// lease than it knew. A VM that is slowed down eight times takes some 0.3 s to begin sixty calls.
const DECISION_VALID: Duration = Duration::from_millis(400);
/// The most bytes of an answer to a grant or release.
const ANSWER_BYTES: usize = 64 * 1024;
/// The targets of one service, also those that leave; those of an evacuated failure domain have to.
pub(super) fn targets(fleet: &Fleet, service: &str) -> Vec<Target> {
    let of_service = fleet.targets.values().filter(|it| it.service == service);
    let seen = of_service.map(|it| Target {
        leaving: it.leaving || fleet.is_evacuated(&it.domain),
        ..it.clone()
    });
    seen.collect()
}

/// Until when targets of a service bear few requests; none of a service whose cold targets have no bound.
pub(super) fn warming(fleet: &Fleet, service: &str) -> IndexMap<TargetId, Duration> {
    let config = fleet.config.as_ref();
    let known = config.and_then(|it| it.services.get(service));
    if known.is_none_or(|it| it.warmup.is_none()) {
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

/// How long this VM waits before it bids: the strongest processors go first, ties by a hash of the start.
///
/// The manager hears all others and renews all grants: one with too little processor loses its lease over it.
pub(super) fn rank(fleet: &Fleet, own: &Vm) -> Duration {
    let rank = |vm: &Vm| {
        let hash = xxhash_rust::xxh3::xxh3_64(vm.start.as_bytes());
        (Reverse(vm.capacity_millicores), hash)
    };
    let mine = rank(own);
    let before = fleet.vms.values().filter(|vm| rank(vm) < mine).count();
    let steps = u32::try_from(before).unwrap_or(u32::MAX);
    BID_STEP.saturating_mul(steps).min(BID_LATEST)
}

/// Takes a lease and writes the manager's entry under it, if there is none.
pub(super) async fn bid(context: &Context, span: Duration) -> Result<Option<Lease>, Error> {
    let lease = context.store.lease(span).await?;
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

/// Removes the manager's entry if it is that of an earlier process of this VM; returns whether it was.
///
/// That process has ended, or this one couldn't run in its place. Its lease would keep others from bidding for
/// seconds.
pub(super) async fn clear_earlier(context: &Context) -> Result<bool, Error> {
    let key = context.keys.manager();
    let item = context.store.get(&key).await?;
    let of_earlier = |item: &Item| {
        let manager = Vm::decode(&item.value);
        manager.is_some_and(|vm| vm.name == context.vm.name && vm.start != context.vm.start)
    };
    let Some(item) = item.filter(of_earlier) else {
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

/// Sends a grant or release and tells how it ended.
pub(super) async fn send(
    context: &Context,
    service: &str,
    order: &OwnershipCommand,
    grant: bool,
) -> CallOutcome {
    let age = context.clock.now().saturating_sub(order.decided_at);
    if grant && age > DECISION_VALID {
        context.report.line(&format!(
            "event=grant-dropped service={service} target={} from={} to={} fence={} age_ms={}",
            order.owner.id,
            order.from,
            order.to,
            order.fence,
            age.as_millis()
        ));
        return CallOutcome::Unsent;
    }
    let (call, timeout, name) = if grant {
        let call = context.targets.grant(order);
        (call, GRANT_TIMEOUT, "grant")
    } else {
        (context.targets.release(order), RELEASE_TIMEOUT, "release")
    };
    let mut request = Request::new(Body::from(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = http::Uri::from_static(call.path);
    *request.headers_mut() = call.headers;
    let started = context.clock.now();
    let result = context
        .client
        .send(order.owner.address, request, timeout)
        .await;
    let ending = match result {
        Ok(response) => {
            let (head, rest) = response.into_parts();
            let ending = context.targets.call_result(head.status, &head.headers);
            // Read to its end so that the connection can be used again.
            let _ = body::read(rest, ANSWER_BYTES).await;
            ending
        }
        Err(error) => {
            let closed = context.client.last_closed(order.owner.address);
            let ending = classify(&error, closed, context.clock.now());
            context.report.line(&format!(
                "event={name}-failed service={service} target={} from={} to={} fence={} ending={ending:?} {error}",
                order.owner.id, order.from, order.to, order.fence
            ));
            ending
        }
    };
    let took = context.clock.now().saturating_sub(started);
    context.report.time(name, took, &[("service", service)]);
    if !matches!(ending, CallOutcome::Done(_)) {
        context
            .report
            .count("grant.failed", &[("service", service)]);
    }
    ending
}

/// Tells what a failed call means for the grant that it may have carried.
///
/// A refusal alone may come from a path that is cut while the target works on. Only together with
/// the orderly end of a connection in use, which no path sends, does it prove that the process has
/// ended.
fn classify(error: &client::Error, closed: Option<Duration>, now: Duration) -> CallOutcome {
    let lately = closed.is_some_and(|at| now.saturating_sub(at) <= CLOSED_WITHIN);
    if error.is_refused() && lately {
        CallOutcome::Gone
    } else if error.unsent() {
        CallOutcome::Unsent
    } else {
        CallOutcome::Silent
    }
}

/// The rates to which targets ask to be held, of those that do.
pub(super) fn held(
    rates: &IndexMap<TargetHash, Rate>,
    targets: &[Target],
) -> IndexMap<TargetId, Rate> {
    let rate = |target: &Target| {
        let rate = rates.get(&catalogue::hash(&target.id))?;
        Some((target.id.clone(), *rate))
    };
    targets.iter().filter_map(rate).collect()
}

/// The time that one request takes, in seconds, at each target of which it is known.
pub(super) fn measured(times: &ServiceTimes, targets: &[Target]) -> IndexMap<TargetId, f64> {
    let time = |target: &Target| {
        let mean = times.mean(catalogue::hash(&target.id))?;
        Some((target.id.clone(), mean))
    };
    targets.iter().filter_map(time).collect()
}
