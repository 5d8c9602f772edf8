//! Decides on the attempts of a request: which targets it is sent to, what each result means, and
//! when to stop.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use bramleypier_util::{body::Body, memory::Held};
use futures_util::future::{self, Either};
use hyper::{Response, body::Body as _};

use super::{
    attempt::{Attempt, AttemptResult, MIN_ATTEMPT_TIME, OutgoingRequest},
    context::{Context, RoutedRequest},
    failure::Failure,
    local_response::{LocalResponse, RETRY_AFTER, Trace},
    payload::{self, Payload},
    send_watch::Written,
    timeouts,
};
use crate::{
    catalogue::{Kind, TargetId},
    owner::record::Fence,
    placement::{
        dispatch::{Charge, DispatchRequest, MIN_RETRY_AFTER},
        task::{Permit, Refused},
    },
    quarantine::Fingerprint,
    target::{Notice, Refusal},
};

/// How many attempts of a request may end with nothing sent; after one more the request is refused.
const MAX_UNSENT: u32 = 4;
/// How many targets may respond that they don't own a request's key; after one more it is refused.
const MAX_NOT_OWNER: u32 = 3;

/// In which fraction of the goal a target in the own failure domain must be expected to respond to be preferred.
///
/// Work varies, so a response that is expected at the end of the goal misses it half of the time.
const LOCAL_GOAL_FRACTION: f64 = 0.5;

/// Whether a request's caller is still connected; clones share it.
#[derive(Clone, Debug)]
pub struct CallerPresence(Rc<Cell<bool>>);

impl Default for CallerPresence {
    fn default() -> Self {
        Self(Rc::new(Cell::new(true)))
    }
}

impl CallerPresence {
    /// Records that the caller has disconnected.
    pub(super) fn set_left(&self) {
        self.0.set(false);
    }

    /// Returns whether the caller is still connected.
    pub(super) fn is_there(&self) -> bool {
        self.0.get()
    }
}

/// Sends a request to targets until one response can be forwarded or no further attempt is allowed.
pub(super) async fn run(
    context: &Context,
    routed: &RoutedRequest,
    outgoing: OutgoingRequest,
    mut payload: Payload,
    presence: &CallerPresence,
) -> (Result<Response<Body>, LocalResponse>, Trace) {
    let mut trace = Trace {
        fingerprint: Some(outgoing.fingerprint),
        ..Trace::default()
    };
    if !context
        .sender
        .serving
        .has_time_for(context.clock.now(), routed.deadline)
    {
        count_refusal(context, routed, "stopping");
        let local = LocalResponse::not_run("the VM stops before its deadline", RETRY_AFTER);
        return (Err(local), trace);
    }
    let mut history = History::default();
    // Requests that are refused count too: a key's load is the rate of requests for it, even while
    // its owner can serve only a few of them.
    if let Some(key) = routed.info.key.filter(|_| routed.keyed) {
        context.tally.count(&routed.service, key);
    }
    let result = loop {
        let step = next_attempt(
            context,
            routed,
            &outgoing,
            &mut payload,
            &mut history,
            &mut trace,
            presence,
        );
        match step.await {
            Step::Again => {}
            Step::End(result) => break result,
        }
    };
    (result, trace)
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
struct History {
    /// Targets that the request reached.
    reached: Vec<String>,
    /// How many attempts may have reached a target.
    arrivals: u32,
    /// How many attempts sent nothing.
    unsent: u32,
    /// How many targets responded that they don't own the key.
    not_owner: u32,
    /// Owners that don't hold its key, each with its fence when the request was sent.
    misdirected: Vec<(TargetId, Fence)>,
    /// The time between two completions at the latest target while all its slots are in use.
    completion_interval: Duration,
    /// The local response if the request may have run.
    uncertain: Option<LocalResponse>,
    /// A target's 5xx response, which is forwarded if no attempt gets a better one.
    failed: Option<Response<Body>>,
}

/// What follows an attempt: another one, or the end of the request.
enum Step {
    Again,
    End(Result<Response<Body>, LocalResponse>),
}

impl History {
    /// Returns what the next attempt means for the retry budget.
    fn charge(&self) -> Charge {
        if self.arrivals > 0 {
            Charge::Retry
        } else if self.unsent > 0 {
            Charge::Nothing
        } else {
            Charge::Request
        }
    }

    /// Ends a request that gets no further attempt.
    fn give_up(&mut self, local: LocalResponse) -> Step {
        if let Some(response) = self.failed.take() {
            return Step::End(Ok(response));
        }
        // If the request may have run, the response must not say that it has not.
        Step::End(Err(self.uncertain.take().unwrap_or(local)))
    }
}

/// Makes the next attempt, if one is allowed.
async fn next_attempt(
    context: &Context,
    routed: &RoutedRequest,
    outgoing: &OutgoingRequest,
    payload: &mut Payload,
    history: &mut History,
    trace: &mut Trace,
    presence: &CallerPresence,
) -> Step {
    if let Some(step) = refuse_quarantined(context, routed, history, outgoing.fingerprint) {
        return step;
    }
    let charge = history.charge();
    let request = dispatch_request(context, routed, history, charge);
    let Some(acquired) = acquire(context, payload.held(), request).await else {
        count_refusal(context, routed, "memory");
        return history.give_up(payload::no_memory("its memory is needed"));
    };
    let permit = match acquired {
        Ok(permit) => {
            time_idle_wait(context, routed, permit.basis.idle_wait);
            permit
        }
        Err(refused) => {
            time_idle_wait(context, routed, refused.basis.idle_wait);
            count_refusal(context, routed, refused.reason.name());
            trace
                .notes
                .push(format!("{}: {}", refused.reason.name(), refused.basis));
            return history.give_up(LocalResponse::not_run(
                refused.reason.name(),
                refused.retry_after,
            ));
        }
    };
    // The verdict may have come while the request waited.
    if let Some(step) = refuse_quarantined(context, routed, history, outgoing.fingerprint) {
        return step;
    }
    let remaining = routed.deadline.saturating_sub(context.clock.now());
    if remaining < MIN_ATTEMPT_TIME {
        return history.give_up(LocalResponse::not_run(
            "its time ended while it waited",
            RETRY_AFTER,
        ));
    }
    if !presence.is_there() {
        return history.give_up(LocalResponse::not_run(
            "its caller left while it waited",
            RETRY_AFTER,
        ));
    }
    let Some(body) = payload.take() else {
        return history.give_up(LocalResponse::not_run(
            "its body has been sent once",
            RETRY_AFTER,
        ));
    };
    let target = permit.target.id.clone();
    let fence = permit.basis.fence;
    trace.targets.push(target.clone());
    let known = context.shared_fleet.confirmations();
    let known = known.age(permit.sent_at).map_or(0, |it| it.as_millis());
    trace
        .notes
        .push(format!("sent: {} known_ms={known}", permit.basis));
    history.completion_interval = permit.basis.completion_interval;
    let attempt = context
        .sender
        .send(outgoing, body, permit, remaining, presence)
        .await;
    record_attempt(context, routed, &attempt, trace);
    let result = attempt.result;
    if !matches!(result, AttemptResult::Unsent(_)) {
        history.arrivals += 1;
        if charge == Charge::Retry {
            context
                .report
                .count("repeats", &[("service", &routed.service)]);
        }
    }
    if matches!(result, AttemptResult::Refused(Refusal::NotOwner, _)) {
        let reason = misdirected_reason(context, routed, fence);
        context.report.count(
            "misdirected",
            &[("service", &routed.service), ("reason", reason)],
        );
        history.misdirected.push((target.clone(), fence));
    }
    if let AttemptResult::Answered(response) = &result
        && response.status().is_success()
        && let Some(bytes) = response.body().size_hint().exact()
    {
        context.response_sizes.record(&routed.route.name, bytes);
    }
    evaluate(routed, payload, history, trace, target, result)
}

/// Waits for a target, while `held` gives way to those who come later; `None` if its memory is needed.
async fn acquire(
    context: &Context,
    held: &Held,
    request: DispatchRequest,
) -> Option<Result<Permit, Refused>> {
    held.set_waiting(true);
    let acquiring = pin!(context.dispatcher.acquire(request));
    let acquired = match future::select(acquiring, pin!(held.until_asked())).await {
        Either::Left((acquired, _)) => Some(acquired),
        Either::Right(_) => None,
    };
    held.set_waiting(false);
    acquired
}

/// Returns the dispatcher's request for the next attempt.
fn dispatch_request(
    context: &Context,
    routed: &RoutedRequest,
    history: &History,
    charge: Charge,
) -> DispatchRequest {
    DispatchRequest {
        ticket: 0,
        service: routed.service.clone(),
        key: routed.info.key.filter(|_| routed.keyed),
        priority: routed.route.priority,
        received_at: routed.received_at,
        goal: routed.goal_deadline,
        deadline: routed.deadline,
        // Only the owner can serve a key, so a retry may go to the same target.
        tried: if routed.keyed {
            Vec::new()
        } else {
            history.reached.clone()
        },
        misdirected: history.misdirected.clone(),
        local_until: local_until(context, routed),
        late_until: late_until(routed),
        charge,
    }
}

/// Returns when a target in the own failure domain must be expected to respond to be preferred; `None` for a response
/// that isn't large.
fn local_until(context: &Context, routed: &RoutedRequest) -> Option<Duration> {
    if routed.route.kind == Kind::Download {
        return Some(routed.goal_deadline);
    }
    let time = routed.goal_deadline.saturating_sub(routed.received_at);
    let large = context.response_sizes.are_large(&routed.route.name);
    (large && late_until(routed).is_some())
        .then(|| routed.received_at + time.mul_f64(LOCAL_GOAL_FRACTION))
}

/// Returns until when the caller waits, if a late response of the route is worth a slot.
fn late_until(routed: &RoutedRequest) -> Option<Duration> {
    let RoutedRequest {
        info,
        route,
        received_at,
        goal_deadline,
        ..
    } = routed;
    let remaining = info.remaining.unwrap_or(route.timeout);
    let elapsed = (*received_at + route.goal).saturating_sub(*goal_deadline);
    timeouts::serves_late(route.goal, route.timeout.min(remaining + elapsed))
        .then(|| *received_at + remaining)
}

/// Ends a request that is quarantined: each target that runs it ends.
fn refuse_quarantined(
    context: &Context,
    routed: &RoutedRequest,
    history: &mut History,
    fingerprint: Fingerprint,
) -> Option<Step> {
    let remaining = context.sender.quarantine.remaining(fingerprint)?;
    count_refusal(context, routed, "quarantine");
    let local = LocalResponse::not_run("targets end when they run it", remaining);
    Some(history.give_up(local))
}

/// Counts a request that is refused without a target, and whether its service has cold targets, which
/// get fewer requests.
fn count_refusal(context: &Context, routed: &RoutedRequest, reason: &str) {
    let fleet = context.shared_fleet.get();
    let cold = fleet.has_cold_target(context.clock.now(), &routed.service);
    let cold = if cold { "yes" } else { "no" };
    let tags = [
        ("service", routed.service.as_str()),
        ("reason", reason),
        ("cold", cold),
    ];
    context.report.count("refused", &tags);
}

/// Records for how long a request was queued for targets with free slots, if it was.
fn time_idle_wait(context: &Context, routed: &RoutedRequest, wait: Duration) {
    if !wait.is_zero() {
        let tags = [("service", routed.service.as_str())];
        context.report.time("idle_wait", wait, &tags);
    }
}

/// Records what is known of an attempt besides its result.
fn record_attempt(context: &Context, routed: &RoutedRequest, attempt: &Attempt, trace: &mut Trace) {
    if let Some(written) = &attempt.written {
        record_write(context, routed, written);
        trace.notes.push(written.to_string());
    }
    if let Some(vm) = &attempt.relay {
        trace.notes.push(format!("via {vm}"));
    }
    // An answer needs no explanation.
    let unusable = !matches!(attempt.result, AttemptResult::Answered(_));
    if let Some(earlier) = attempt.earlier.filter(|_| unusable) {
        trace.notes.push(format!("responses={earlier}"));
    }
    if !attempt.notice.is_empty() {
        trace
            .notes
            .push(format!("the target says: {}", attempt.notice));
        count_notice(context, routed, attempt.notice);
    }
}

/// Records how long a request was held after its target had been chosen, and counts it if it was withdrawn then.
fn record_write(context: &Context, routed: &RoutedRequest, written: &Written) {
    let service = ("service", routed.service.as_str());
    context.report.time("held", written.held, &[service]);
    if let Err(reason) = written.result {
        let tags = [service, ("reason", reason.name())];
        context.report.count("withdrawn", &tags);
    }
}

/// Counts a response that says that its target leaves, or when requests may be sent to it again.
fn count_notice(context: &Context, routed: &RoutedRequest, notice: Notice) {
    let kind = if notice.leaving {
        "leaving"
    } else {
        "retry-after"
    };
    let tags = [("service", routed.service.as_str()), ("kind", kind)];
    context.report.count("notices", &tags);
}

/// Returns why a request reached a target that refused it as misdirected.
fn misdirected_reason(context: &Context, routed: &RoutedRequest, fence: Fence) -> &'static str {
    let Some(key) = routed.info.key.filter(|_| routed.keyed) else {
        return "another-target";
    };
    let fleet = context.shared_fleet.get();
    let record = fleet.records.get(&routed.service);
    let range = record.and_then(|it| it.record.find(key));
    if range.is_some_and(|range| range.fence == fence) {
        "owner-refuses"
    } else {
        "old-owner"
    }
}

/// Decides what the result of an attempt means for the request.
fn evaluate(
    routed: &RoutedRequest,
    payload: &Payload,
    history: &mut History,
    trace: &mut Trace,
    target: String,
    result: AttemptResult,
) -> Step {
    let may_retry = routed.route.kind.is_idempotent();
    let max_attempts = usize::try_from(routed.route.attempts).unwrap_or(usize::MAX);
    let step = match result {
        AttemptResult::Answered(response) => {
            history.reached.push(target);
            let failed = response.status().is_server_error();
            if !failed || !may_retry || history.reached.len() >= max_attempts {
                return Step::End(Ok(response));
            }
            trace
                .notes
                .push(format!("status {}", response.status().as_u16()));
            history.failed = Some(response);
            Step::Again
        }
        AttemptResult::Refused(Refusal::NotOwner, status) => {
            trace.notes.push(format!(
                "the target doesn't own the key, status {}",
                status.as_u16()
            ));
            history.not_owner += 1;
            if history.not_owner > MAX_NOT_OWNER {
                return history.give_up(LocalResponse::not_run("the key is moving", RETRY_AFTER));
            }
            return Step::Again;
        }
        AttemptResult::Refused(_, status) => {
            trace.notes.push(format!(
                "the target refused the request, status {}",
                status.as_u16()
            ));
            history.reached.push(target);
            Step::Again
        }
        AttemptResult::Unsent(error) => {
            trace.notes.push(error);
            history.unsent += 1;
            if history.unsent > MAX_UNSENT {
                return history.give_up(LocalResponse::not_run(
                    "no target could be reached",
                    RETRY_AFTER,
                ));
            }
            return Step::Again;
        }
        AttemptResult::Lost(cause) | AttemptResult::Broken(cause) => {
            trace.notes.push(cause.clone());
            history.reached.push(target);
            if payload.is_too_large() {
                return Step::End(Err(LocalResponse::new(Failure::TooLarge, cause)));
            }
            history.uncertain = Some(LocalResponse::new(Failure::Lost, cause));
            if !may_retry {
                return history.give_up(LocalResponse::new(Failure::Lost, "lost"));
            }
            Step::Again
        }
        AttemptResult::TimedOut => {
            history.uncertain = Some(LocalResponse::new(Failure::TimedOut, "no answer in time"));
            return history.give_up(LocalResponse::new(Failure::TimedOut, "no answer in time"));
        }
    };
    if history.reached.len() >= max_attempts || !payload.is_left() {
        let retry_after = history.completion_interval.max(MIN_RETRY_AFTER);
        return history.give_up(LocalResponse::not_run(
            "every allowed target refused it",
            retry_after,
        ));
    }
    step
}
