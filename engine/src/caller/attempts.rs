//! A request's tries: which come, what each means, and when it is given up.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::body::Body;
use hyper::Response;

use super::{
    attempt::{LEAST_TIME, Tried, Work},
    failure::Failure,
    forward::{Context, Job},
    local_response::{COME_BACK, Own, Trace},
    payload::Payload,
};
use crate::{
    catalogue::{Kind, TargetId},
    owner::record::Fence,
    placement::dispatch::{DispatchRequest, MIN_RETRY_AFTER, RefusalReason},
    target::Refusal,
};

/// How often a try may end without anything sent until the request is refused.
const UNSENT_MOST: u32 = 4;
/// How often a target may say that it doesn't own a key until the request is refused.
const UNOWNED_MOST: u32 = 3;

/// Whether a request's caller is still there.
#[derive(Clone, Debug)]
pub(super) struct Here(Rc<Cell<bool>>);

impl Default for Here {
    fn default() -> Self {
        Self(Rc::new(Cell::new(true)))
    }
}

impl Here {
    /// Takes note that the caller has left.
    pub(super) fn leave(&self) {
        self.0.set(false);
    }
}

/// Tries targets until one answers or the request is given up.
pub(super) async fn run(
    context: &Context,
    job: &Job,
    work: Work,
    mut payload: Payload,
    here: &Here,
) -> (Result<Response<Body>, Own>, Trace) {
    let mut trace = Trace::default();
    let mut history = History::default();
    // What is refused here counts too: a key is as busy as its callers ask for it, also while its
    // owner can answer few of them.
    if let Some(point) = job.asked.key.filter(|_| job.keyed) {
        context.tally.count(&job.service, point);
    }
    let result = loop {
        let step = next(
            context,
            job,
            &work,
            &mut payload,
            &mut history,
            &mut trace,
            here,
        );
        match step.await {
            Step::Again => {}
            Step::End(result) => break result,
        }
    };
    (result, trace)
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
struct History {
    /// Targets that it reached.
    reached: Vec<String>,
    /// How often it arrived at a target.
    arrivals: u32,
    unsent: u32,
    unowned: u32,
    /// Owners that don't hold its key, with the fences at which they were asked.
    misdirected: Vec<(TargetId, Fence)>,
    /// How often the target asked last ends a request.
    turn: Duration,
    /// It may have run.
    doubt: Option<Own>,
    /// A target's failure that can be passed on if nothing better comes.
    failure: Option<Response<Body>>,
}

enum Step {
    Again,
    End(Result<Response<Body>, Own>),
}

impl History {
    /// Ends a request that can't be sent any more.
    fn give_up(&mut self, own: Own) -> Step {
        if let Some(response) = self.failure.take() {
            return Step::End(Ok(response));
        }
        // Once it may have run, no refusal can say otherwise.
        Step::End(Err(self.doubt.take().unwrap_or(own)))
    }
}

async fn next(
    context: &Context,
    job: &Job,
    work: &Work,
    payload: &mut Payload,
    history: &mut History,
    trace: &mut Trace,
    here: &Here,
) -> Step {
    let repeat = history.arrivals > 0;
    let ask = DispatchRequest {
        ticket: 0,
        service: job.service.clone(),
        point: job.asked.key.filter(|_| job.keyed),
        priority: job.route.priority,
        received_at: job.came,
        goal: job.goal,
        deadline: job.until,
        // Only the owner can serve a key, also a second time.
        tried: if job.keyed {
            Vec::new()
        } else {
            history.reached.clone()
        },
        misdirected: history.misdirected.clone(),
        large: job.route.kind == Kind::Download,
        is_retry: repeat,
    };
    let permit = match context.dispatcher.acquire(ask).await {
        Ok(permit) => permit,
        Err(refused) => {
            count_refusal(context, job, refused.reason);
            trace
                .notes
                .push(format!("{}: {}", refused.reason.name(), refused.basis));
            return history.give_up(Own::not_run(refused.reason.name(), refused.retry_after));
        }
    };
    let left = job.until.saturating_sub(context.clock.now());
    if left < LEAST_TIME {
        return history.give_up(Own::not_run("its time ended while it waited", COME_BACK));
    }
    if !here.0.get() {
        return history.give_up(Own::not_run("its caller left while it waited", COME_BACK));
    }
    let Some(body) = payload.take() else {
        return history.give_up(Own::not_run("its body has been sent once", COME_BACK));
    };
    let target = permit.target.id.clone();
    let fence = permit.basis.fence;
    trace.targets.push(target.clone());
    trace.notes.push(format!("sent: {}", permit.basis));
    history.turn = permit.basis.completion_interval;
    let tried = context.sender.send(work, body, permit, left).await;
    if !matches!(tried, Tried::Unsent(_)) {
        history.arrivals += 1;
        if repeat {
            context
                .report
                .count("repeats", &[("service", &job.service)]);
        }
    }
    if matches!(tried, Tried::Refused(Refusal::NotOwner, _)) {
        let reason = misdirected(context, job, fence);
        context.report.count(
            "misdirected",
            &[("service", &job.service), ("reason", reason)],
        );
        history.misdirected.push((target.clone(), fence));
    }
    judge(job, payload, history, trace, target, tried)
}

/// Counts a request that no target may get, and whether cold targets of its service were spared meanwhile.
fn count_refusal(context: &Context, job: &Job, why: RefusalReason) {
    let fleet = context.shared_fleet.get();
    let cold = fleet.has_cold_target(context.clock.now(), &job.service);
    let cold = if cold { "yes" } else { "no" };
    let tags = [
        ("service", job.service.as_str()),
        ("reason", why.name()),
        ("cold", cold),
    ];
    context.report.count("refused", &tags);
}

/// Tells why a request reached a target that refused it as not the one.
fn misdirected(context: &Context, job: &Job, fence: Fence) -> &'static str {
    let Some(point) = job.asked.key.filter(|_| job.keyed) else {
        return "another-target";
    };
    let fleet = context.shared_fleet.get();
    let record = fleet.records.get(&job.service);
    let part = record.and_then(|it| it.record.find(point));
    if part.is_some_and(|part| part.fence == fence) {
        "owner-refuses"
    } else {
        "old-owner"
    }
}

/// Decides what a try's end means for the request.
fn judge(
    job: &Job,
    payload: &Payload,
    history: &mut History,
    trace: &mut Trace,
    target: String,
    tried: Tried,
) -> Step {
    let may_repeat = job.route.kind.is_idempotent();
    let attempts = usize::try_from(job.route.attempts).unwrap_or(usize::MAX);
    let step = match tried {
        Tried::Answered(response) => {
            history.reached.push(target);
            let failed = response.status().is_server_error();
            if !failed || !may_repeat || history.reached.len() >= attempts {
                return Step::End(Ok(response));
            }
            trace
                .notes
                .push(format!("status {}", response.status().as_u16()));
            history.failure = Some(response);
            Step::Again
        }
        Tried::Refused(Refusal::NotOwner, status) => {
            trace
                .notes
                .push(format!("not its owner, status {}", status.as_u16()));
            history.unowned += 1;
            if history.unowned > UNOWNED_MOST {
                return history.give_up(Own::not_run("the key is moving", COME_BACK));
            }
            return Step::Again;
        }
        Tried::Refused(_, status) => {
            trace
                .notes
                .push(format!("refused with {}", status.as_u16()));
            history.reached.push(target);
            Step::Again
        }
        Tried::Unsent(error) => {
            trace.notes.push(error.to_string());
            history.unsent += 1;
            if history.unsent > UNSENT_MOST {
                return history.give_up(Own::not_run("no target could be reached", COME_BACK));
            }
            return Step::Again;
        }
        Tried::Lost(cause) => {
            trace.notes.push(cause.clone());
            history.reached.push(target);
            if payload.is_too_large() {
                return Step::End(Err(Own::new(Failure::TooLarge, cause)));
            }
            history.doubt = Some(Own::new(Failure::Lost, cause));
            if !may_repeat {
                return history.give_up(Own::new(Failure::Lost, "lost"));
            }
            Step::Again
        }
        Tried::TimedOut => {
            history.doubt = Some(Own::new(Failure::TimedOut, "no answer in time"));
            return history.give_up(Own::new(Failure::TimedOut, "no answer in time"));
        }
    };
    if history.reached.len() >= attempts || !payload.is_left() {
        let retry = history.turn.max(MIN_RETRY_AFTER);
        return history.give_up(Own::not_run("every allowed target refused it", retry));
    }
    step
}
