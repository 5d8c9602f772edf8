//! Responses to callers: local ones, and the heads of targets' responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use hyper::Response;

use crate::{
    request::{self, Outcome, Step, Verdict},
    target,
    util::body::Body,
};

/// Returns a local response in plain text.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}

/// Returns the local response for a verdict.
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

/// Sets the headers for the outcome, and for the step and peer at which it arose.
pub fn mark(headers: &mut HeaderMap, outcome: Outcome, step: Step, peer: &str) {
    set(headers, request::OUTCOME, outcome.as_str());
    set(headers, request::STEP, step.as_str());
    set(headers, request::PEER, peer);
}

/// Prepares the headers of a target's response for the caller.
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
    // Names of targets and VMs are visible ASCII; a header with any other value is left out.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
