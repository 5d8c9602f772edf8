//! A request's body: read whole where it is small, streamed within the operator's limit otherwise.

use std::{cell::Cell, rc::Rc};

use bramleypier_util::{body::Body, headers};
use hyper::{
    body::{Body as _, Bytes, Incoming},
    header,
};

use super::{
    attempt::Work,
    body::{self, Streamed, Taken},
    failure::Failure,
    forward::{Context, Job},
    local_response::Own,
};

/// The largest request body that is read whole, in bytes; only such a one can be sent twice.
const WHOLE_REQUEST: usize = 256 * 1024;

/// A request's body, for one try or for all.
#[derive(Debug)]
pub(super) enum Payload {
    /// Read whole.
    Whole(Bytes),
    /// Streams; there is one try only. The flag tells whether it has passed the limit.
    Once(Option<Body>, Rc<Cell<bool>>),
}

impl Payload {
    /// Takes a copy for a try; none if it is spent.
    pub(super) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Once(body, _) => body.take(),
        }
    }

    /// Returns whether another try is possible.
    pub(super) fn is_left(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Once(Some(_), _))
    }

    /// Returns whether it was cut off because it was longer than allowed.
    pub(super) fn is_too_large(&self) -> bool {
        matches!(self, Self::Once(_, over) if over.get())
    }
}

/// Reads the request's body, or as much of it as may be kept.
pub(super) async fn read(
    context: &Context,
    job: &Job,
    (mut head, incoming): (http::request::Parts, Incoming),
    limit: u64,
) -> Result<(Work, Payload), Own> {
    let size = incoming.size_hint();
    if size.lower() > limit {
        return Err(Own::new(
            Failure::TooLarge,
            format!("body={} limit={limit}", size.lower()),
        ));
    }
    headers::strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri = path
        .parse()
        .map_err(|_| Own::new(Failure::Malformed, "the path can't be read"))?;
    let work = Work {
        id: job.asked.id.clone(),
        method: head.method,
        uri,
        headers: head.headers,
    };
    let left = job.until.saturating_sub(context.clock.now());
    let whole = WHOLE_REQUEST.min(usize::try_from(limit).unwrap_or(usize::MAX));
    let taken = context
        .clock
        .timeout(left, body::take(incoming, whole))
        .await;
    let payload = match taken {
        Ok(Ok(Taken::Whole(bytes))) => Payload::Whole(bytes),
        Ok(Ok(Taken::Begun(pieces, rest))) => {
            let read: usize = pieces.iter().map(Bytes::len).sum();
            if read as u64 > limit {
                return Err(Own::new(
                    Failure::TooLarge,
                    format!("body>{read} limit={limit}"),
                ));
            }
            let over = Rc::new(Cell::new(false));
            let streamed = Streamed::new(pieces, rest).within(limit, over.clone());
            Payload::Once(Some(body::stream(streamed)), over)
        }
        Ok(Err(error)) => {
            return Err(Own::new(
                Failure::Malformed,
                format!("the body broke off: {error}"),
            ));
        }
        Err(_) => {
            return Err(Own::new(
                Failure::TooSlow,
                "the body did not arrive in time",
            ));
        }
    };
    Ok((work, payload))
}
