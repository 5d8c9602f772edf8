//! One try of a request at one target.

use std::{rc::Rc, time::Duration};

use bramleypier_util::{
    body::Body,
    client::{self, Client},
    clock::Clock,
    headers,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};

use super::body;
use crate::{
    placement::{dispatch::CompletionKind, task::Permit},
    target::{Refusal, TargetProtocol},
};

/// The largest answer that is read whole before its head goes on, in bytes.
///
/// Up to here an answer that was cut can be asked for again. The largest file of the known
/// deployments is 0.54 MB.
const WHOLE_ANSWER: usize = 1 << 20;
/// The least time that is worth a try.
pub const LEAST_TIME: Duration = Duration::from_millis(5);

/// What is sent, whichever target it goes to.
#[derive(Clone, Debug)]
pub struct Work {
    /// The request's id.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are passed on.
    pub headers: HeaderMap,
}

/// How a try ended.
#[derive(Debug)]
pub enum Tried {
    /// The target answered; the answer may be passed on.
    Answered(Response<Body>),
    /// The target states that it did not run the request.
    Refused(Refusal, StatusCode),
    /// Nothing was sent.
    Unsent(client::Error),
    /// It may have run, and there is no answer that can be used.
    Lost(String),
    /// The time ended first; it may have run.
    TimedOut,
}

/// What a try needs.
#[derive(Clone)]
pub struct Sender {
    /// Connections to targets.
    pub client: Client,
    /// How targets are spoken to.
    pub targets: Rc<dyn TargetProtocol>,
    /// The clock.
    pub clock: Clock,
}

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sender").finish_non_exhaustive()
    }
}

impl Sender {
    /// Makes one try; `left` is how long the caller goes on waiting.
    pub async fn send(&self, work: &Work, body: Body, permit: Permit, left: Duration) -> Tried {
        let mut request = Request::new(body);
        *request.method_mut() = work.method.clone();
        *request.uri_mut() = work.uri.clone();
        *request.headers_mut() = work.headers.clone();
        self.targets
            .set_headers(request.headers_mut(), &permit.target.id, left);
        let started = self.clock.now();
        let address = permit.target.address;
        match self.client.send(address, request, left).await {
            Ok(response) => self.read(work, response, permit, started, left).await,
            Err(error) => {
                let ended = if error.is_refused() {
                    CompletionKind::ConnectRefused
                } else {
                    CompletionKind::ConnectFailed
                };
                if error.unsent() {
                    permit.finish(ended, None);
                    return Tried::Unsent(error);
                }
                if let client::Error::Timeout(..) = error {
                    drop(permit);
                    return Tried::TimedOut;
                }
                permit.finish(CompletionKind::Lost, None);
                Tried::Lost(error.to_string())
            }
        }
    }

    /// Reads an answer, and tells what it is worth.
    async fn read(
        &self,
        work: &Work,
        response: Response<Incoming>,
        permit: Permit,
        started: Duration,
        left: Duration,
    ) -> Tried {
        let (mut head, rest) = response.into_parts();
        let reply = self.targets.read(head.status, &head.headers);
        let foreign = reply.request_id.as_ref().is_some_and(|id| *id != work.id);
        if foreign || reply.refusal.is_none() && !reply.signed {
            // Dropping the body closes the connection, so that nothing of it is used again.
            drop(rest);
            permit.finish(CompletionKind::Lost, None);
            let what = if foreign {
                "another request's answer"
            } else {
                "an unsigned answer"
            };
            return Tried::Lost(format!("status={} cause={what}", head.status.as_u16()));
        }
        if reply.refusal != Some(Refusal::NotOwner) {
            permit.report_rate(reply.rate);
        }
        let passed = self.clock.now().saturating_sub(started);
        let reading = body::take(rest, WHOLE_ANSWER);
        let span = left.saturating_sub(passed);
        let taken = match self.clock.timeout(span, reading).await {
            Ok(Ok(taken)) => taken,
            Ok(Err(error)) => {
                permit.finish(CompletionKind::Lost, reply.load);
                return Tried::Lost(format!("cause=the answer was cut: {error}"));
            }
            Err(_) => {
                drop(permit);
                return Tried::TimedOut;
            }
        };
        if let Some(refusal) = reply.refusal {
            let ended = match refusal {
                Refusal::Busy => CompletionKind::Refused,
                Refusal::NotOwner => CompletionKind::Misdirected,
            };
            permit.finish(ended, reply.load);
            return Tried::Refused(refusal, head.status);
        }
        headers::strip(&mut head.headers);
        let took = self.clock.now().saturating_sub(started);
        let ended = if head.status.is_server_error() {
            CompletionKind::Failed
        } else {
            CompletionKind::Answered(took)
        };
        let whole = match taken {
            body::Taken::Whole(bytes) => {
                permit.finish(ended, reply.load);
                Body::from(bytes)
            }
            body::Taken::Begun(pieces, rest) => {
                let body = body::Streamed::new(pieces, rest);
                body::stream(body.holding(permit, took))
            }
        };
        Tried::Answered(Response::from_parts(head, whole))
    }
}
