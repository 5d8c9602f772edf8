//! Reads a request's body: small bodies are kept whole, so that the request can be retried; larger
//! ones are streamed within the operator's limit.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use bramleypier_util::{body::Body, headers, memory::Held, server::RequestRead};
use futures_util::future::{self, Either};
use hyper::{
    body::{Body as _, Bytes, Incoming, SizeHint},
    header,
};

use super::{
    attempt::OutgoingRequest,
    context::{Context, RoutedRequest},
    failure::Failure,
    local_response::{LocalResponse, RETRY_AFTER},
};
use crate::{
    body::{self, ReadBody, Streamed},
    quarantine::Fingerprint,
};

/// The largest request body that is read whole; only such a request can be sent more than once.
const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;

/// A request's body, for one attempt or for several, and what is held for it.
#[derive(Debug)]
pub(super) struct Payload {
    content: Content,
    /// What is held for the whole request.
    held: Held,
}

#[derive(Debug)]
enum Content {
    /// The whole body; it can be sent in each attempt.
    Whole(Bytes),
    /// A streamed body, which can be sent once. The flag says whether it has exceeded the limit.
    Streamed(Option<Body>, Rc<Cell<bool>>),
}

impl Payload {
    /// Returns the body for an attempt; `None` if a streamed body has been sent already.
    pub(super) fn take(&mut self) -> Option<Body> {
        match &mut self.content {
            Content::Whole(bytes) => Some(Body::from(bytes.clone())),
            Content::Streamed(body, _) => body.take(),
        }
    }

    /// Returns whether the body can be sent in another attempt.
    pub(super) fn is_left(&self) -> bool {
        matches!(
            self.content,
            Content::Whole(_) | Content::Streamed(Some(_), _)
        )
    }

    /// Returns whether a streamed body was stopped because it exceeded the limit.
    pub(super) fn is_too_large(&self) -> bool {
        matches!(&self.content, Content::Streamed(_, exceeded) if exceeded.get())
    }

    /// Returns what is held for the request.
    pub(super) fn held(&self) -> &Held {
        &self.held
    }
}

/// Returns the fingerprint of a request, of whose body these bytes are known.
fn fingerprint(routed: &RoutedRequest, outgoing: &OutgoingRequest, bytes: &Bytes) -> Fingerprint {
    let host = outgoing.headers.get(header::HOST);
    let host = host.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let body = std::iter::once(bytes.as_ref());
    Fingerprint::new(&outgoing.method, host, &outgoing.uri, routed.info.key, body)
}

/// Reads the request's body, if it has one, up to [`MAX_BUFFERED_REQUEST_BYTES`], and prepares the request for sending.
///
/// `holder` holds the head. A body that can't be held besides, or that holds back others and is the oldest, is refused.
pub(super) async fn read(
    context: &Context,
    routed: &RoutedRequest,
    (mut head, incoming): (http::request::Parts, Option<Incoming>),
    limit: u64,
    holder: Held,
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
    let read_mark = head.extensions.get::<RequestRead>().cloned();
    let mut outgoing = OutgoingRequest {
        id: routed.info.id.clone(),
        method: head.method,
        uri,
        headers: head.headers,
        fingerprint: Fingerprint::default(),
    };
    let remaining = routed.deadline.saturating_sub(context.clock.now());
    let buffered = MAX_BUFFERED_REQUEST_BYTES.min(usize::try_from(limit).unwrap_or(usize::MAX));
    let reading = read_body(incoming, buffered, &holder);
    let kept = match in_time(context, remaining, reading).await? {
        ReadBody::Whole(bytes) => {
            outgoing.fingerprint = fingerprint(routed, &outgoing, &bytes);
            Content::Whole(bytes)
        }
        ReadBody::Partial(bytes, rest) => {
            outgoing.fingerprint = fingerprint(routed, &outgoing, &bytes);
            if bytes.len() as u64 > limit {
                return Err(LocalResponse::new(
                    Failure::TooLarge,
                    format!("body>{} limit={limit}", bytes.len()),
                ));
            }
            let exceeded = Rc::new(Cell::new(false));
            let streamed = Streamed::new(bytes, rest).with_limit(limit, exceeded.clone());
            Content::Streamed(Some(body::stream(streamed)), exceeded)
        }
        ReadBody::NoMemory(..) => return Err(no_memory("no memory for its body")),
    };
    // From here on it waits for targets, not for its caller.
    if let Some(mark) = read_mark {
        mark.set();
    }
    Ok((
        outgoing,
        Payload {
            content: kept,
            held: holder,
        },
    ))
}

/// Waits for a body that is being read, unless its time or that of the process ends before it has arrived.
async fn in_time<F>(
    context: &Context,
    remaining: Duration,
    reading: F,
) -> Result<ReadBody<Incoming>, LocalResponse>
where
    F: Future<Output = Result<ReadBody<Incoming>, LocalResponse>>,
{
    let stopped = pin!(context.sender.serving.until_attempts_end(&context.clock));
    let reading = pin!(reading);
    let reading = future::select(reading, stopped);
    match context.clock.timeout(remaining, reading).await {
        Ok(Either::Left((read, _))) => read,
        Ok(Either::Right(_)) => Err(refuse("the VM stops before its body has arrived")),
        Err(_) => Err(LocalResponse::new(
            Failure::TooSlow,
            "the body did not arrive in time",
        )),
    }
}

/// Reads a body, if there is one, unless its memory is needed for others meanwhile.
async fn read_body(
    incoming: Option<Incoming>,
    limit: usize,
    held: &Held,
) -> Result<ReadBody<Incoming>, LocalResponse> {
    let Some(incoming) = incoming else {
        return Ok(ReadBody::Whole(Bytes::new()));
    };
    held.set_waiting(true);
    let reading = pin!(body::read_up_to(incoming, limit, held));
    match future::select(reading, pin!(held.until_asked())).await {
        Either::Left((read, _)) => read.map_err(|cause| {
            LocalResponse::new(Failure::Malformed, format!("the body broke off: {cause}"))
        }),
        Either::Right(_) => Err(no_memory("its memory is needed")),
    }
}

/// Refuses a request that can't be held in memory.
pub(super) fn no_memory(cause: &str) -> LocalResponse {
    refuse(cause)
}

/// Refuses a request and closes its connection, since the rest of the request stays unread.
fn refuse(cause: &str) -> LocalResponse {
    LocalResponse {
        closes: true,
        ..LocalResponse::not_run(cause, RETRY_AFTER)
    }
}
