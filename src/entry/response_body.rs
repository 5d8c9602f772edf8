//! Streaming of a target's response body to the caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context as Wake, Poll},
    time::Duration,
};

use futures_util::future;
use hyper::body::{Body, Bytes, Frame, SizeHint};

use super::{
    Context, Job,
    forward::CancelGuard,
    ticket::{self, Permit, Report},
};
use crate::{
    id::ServiceId,
    metrics,
    util::{body::Cause, client},
    vm::recorder::Recorder,
};

/// Streams a body frame by frame, and holds the target's slot until the body ends.
///
/// If the body is truncated, the deadline passes, or the lease to send expires, it ends in an error.
/// hyper then closes the caller's connection, so that a truncated response never looks complete.
pub struct ResponseBody {
    body: client::ResponseBody,
    permit: Option<Permit>,
    cancel: CancelGuard,
    recorder: Recorder,
    service: ServiceId,
    timer: Pin<Box<dyn Future<Output = ()>>>,
}

impl ResponseBody {
    /// Takes over a body, its permit, and the guard that cancels the attempt.
    pub fn new(
        context: &Context,
        job: &Job,
        body: client::ResponseBody,
        permit: Permit,
        cancel: CancelGuard,
    ) -> Self {
        let now = context.clock.now();
        let left = job.deadline.remaining(now).unwrap_or(Duration::ZERO);
        let clock = context.clock.clone();
        let timeout = Box::pin(async move { clock.sleep(left).await });
        let expired = ticket::lease_expired(
            context.clone(),
            job.call.service.clone(),
            job.call.point,
            permit.lease.clone(),
        );
        let end = future::select(timeout, Box::pin(expired));
        Self {
            body,
            permit: Some(permit),
            cancel,
            recorder: context.recorder.clone(),
            service: job.call.service.clone(),
            timer: Box::pin(async move {
                end.await;
            }),
        }
    }

    fn end(&mut self, report: Report) {
        if let Some(permit) = self.permit.take() {
            if matches!(report, Report::Lost) {
                let service = Some(self.service.as_str());
                self.recorder.count(&metrics::REQUESTS_CUT, service);
            }
            permit.finish(report);
        }
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseBody")
            .field("permit", &self.permit)
            .finish_non_exhaustive()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Wake<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_frame(context) {
            Poll::Ready(None) => {
                this.cancel.disarm();
                this.end(Report::Ended);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                // hyper doesn't poll a body of known length for its end.
                if this.body.is_end_stream() {
                    this.cancel.disarm();
                    this.end(Report::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                this.end(Report::Lost);
                Poll::Ready(Some(Err(cause)))
            }
            Poll::Pending if this.timer.as_mut().poll(context).is_ready() => {
                this.end(Report::Lost);
                Poll::Ready(Some(Err("the deadline passed, or the lease".into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    // `is_end_stream` keeps its default, so that hyper polls for the end, which frees the slot.

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
