//! Answers to callers: our own, and targets' passed on.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use hyper::Response;

use crate::{
    request::{self, Outcome, Step, Verdict},
    target,
    util::body::Body,
};

/// Makes a short answer in plain text.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Makes the answer that a verdict gives.
pub fn verdict(verdict: &Verdict) -> Response<Body> {
    let mut response = Response::new(Body::from(verdict.body()));
    *response.status_mut() =
        StatusCode::from_u16(verdict.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    mark(headers, verdict.outcome(), verdict.step, &verdict.peer);
    if let Some(wait) = verdict.retry_after {
        set_retry_after(headers, wait);
    }
    response
}

/// Sets the headers that tell the outcome, and where it arose.
pub fn mark(headers: &mut HeaderMap, outcome: Outcome, step: Step, peer: &str) {
    set(headers, request::OUTCOME, outcome.as_str());
    set(headers, request::STEP, step.as_str());
    set(headers, request::PEER, peer);
}

/// Prepares the head of a target's answer for the caller.
pub fn pass_on(headers: &mut HeaderMap, peer: &str) {
    target::drop_hop_headers(headers);
    mark(headers, Outcome::Ran, Step::Answer, peer);
}

fn set_retry_after(headers: &mut HeaderMap, wait: Duration) {
    let ms = wait.as_micros().div_ceil(1_000);
    let seconds = ms.div_ceil(1_000);
    set(headers, "retry-after", &seconds.to_string());
    set(headers, request::RETRY_MS, &ms.to_string());
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // A target's or VM's name holds only visible ASCII; anything else is left out.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
