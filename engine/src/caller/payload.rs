//! Reads a request's body: small bodies are kept whole, so that the request can be retried; larger
//! ones are streamed within the operator's limit.

use std::{cell::Cell, rc::Rc, slice};

use bramleypier_util::{body::Body, headers};
use hyper::{
    body::{Body as _, Bytes, Incoming, SizeHint},
    header,
};

use super::{
    attempt::OutgoingRequest,
    context::{Context, RoutedRequest},
    failure::Failure,
    local_response::LocalResponse,
};
use crate::{
    body::{self, ReadBody, Streamed},
    quarantine::Fingerprint,
};

/// The largest request body that is read whole; only such a request can be sent more than once.
const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;

/// A request's body, for one attempt or for several.
#[derive(Debug)]
pub(super) enum Payload {
    /// The whole body; it can be sent in each attempt.
    Whole(Bytes),
    /// A streamed body, which can be sent once. The flag says whether it has exceeded the limit.
    Streamed(Option<Body>, Rc<Cell<bool>>),
}

impl Payload {
    /// Returns the body for an attempt; `None` if a streamed body has been sent already.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed(body, _) => body.take(),
        }
    }

    /// Returns whether the body can be sent in another attempt.
    pub(super) fn is_left(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Streamed(Some(_), _))
    }

    /// Returns whether a streamed body was stopped because it exceeded the limit.
    pub(super) fn is_too_large(&self) -> bool {
        matches!(self, Self::Streamed(_, exceeded) if exceeded.get())
    }
}

/// Returns the fingerprint of a request, of whose body these chunks are known.
fn fingerprint(
    routed: &RoutedRequest,
    outgoing: &OutgoingRequest,
    chunks: &[Bytes],
) -> Fingerprint {
    let host = outgoing.headers.get(header::HOST);
    let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let body = chunks.iter().map(Bytes::as_ref);
    Fingerprint::new(&outgoing.method, host, &outgoing.uri, routed.info.key, body)
}

/// Reads the request's body, if it has one, up to [`MAX_BUFFERED_REQUEST_BYTES`], and prepares the request for sending.
pub(super) async fn read(
    context: &Context,
    routed: &RoutedRequest,
    (mut head, incoming): (http::request::Parts, Option<Incoming>),
    limit: u64,
) -> Result<(OutgoingRequest, Payload), LocalResponse> {
    let size = incoming
        .as_ref()
        .map_or_else(SizeHint::default, Incoming::size_hint);
    if size.lower() > limit {
        return Err(LocalResponse::new(
            Failure::TooLarge,
            format!("body={} limit={limit}", size.lower()),
        ));
    }
    headers::strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri = path
        .parse()
        .map_err(|_| LocalResponse::new(Failure::Malformed, "the path can't be read"))?;
    let mut outgoing = OutgoingRequest {
        id: routed.info.id.clone(),
        method: head.method,
        uri,
        headers: head.headers,
        fingerprint: Fingerprint::default(),
    };
    let remaining = routed.deadline.saturating_sub(context.clock.now());
    let buffered = MAX_BUFFERED_REQUEST_BYTES.min(usize::try_from(limit).unwrap_or(usize::MAX));
    let reading = async {
        match incoming {
            Some(incoming) => body::read_up_to(incoming, buffered).await,
            None => Ok(ReadBody::Whole(Bytes::new())),
        }
    };
    let result = context.clock.timeout(remaining, reading).await;
    let payload = match result {
        Ok(Ok(ReadBody::Whole(bytes))) => {
            outgoing.fingerprint = fingerprint(routed, &outgoing, slice::from_ref(&bytes));
            Payload::Whole(bytes)
        }
        Ok(Ok(ReadBody::Partial(chunks, rest))) => {
            outgoing.fingerprint = fingerprint(routed, &outgoing, &chunks);
            let read: usize = chunks.iter().map(Bytes::len).sum();
            if read as u64 > limit {
                return Err(LocalResponse::new(
                    Failure::TooLarge,
                    format!("body>{read} limit={limit}"),
                ));
            }
            let exceeded = Rc::new(Cell::new(false));
            let streamed = Streamed::new(chunks, rest).with_limit(limit, exceeded.clone());
            Payload::Streamed(Some(body::stream(streamed)), exceeded)
        }
        Ok(Err(error)) => {
            return Err(LocalResponse::new(
                Failure::Malformed,
                format!("the body broke off: {error}"),
            ));
        }
        Err(_) => {
            return Err(LocalResponse::new(
                Failure::TooSlow,
                "the body did not arrive in time",
            ));
        }
    };
    Ok((outgoing, payload))
}
