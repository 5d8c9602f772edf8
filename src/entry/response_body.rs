//! A target's answer on its way to the caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context as Wake, Poll},
    time::Duration,
};

use futures_util::future;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};

use super::{
    Context, Job,
    forward::CancelGuard,
    ticket::{self, Permit, Report},
};
use crate::{id::ServiceId, metrics, util::body::Cause, vm::recorder::Recorder};

/// Passes a body on frame by frame, holding the target's slot until it ends.
///
/// When the body is cut, the deadline passes, or the right to send lapses, it ends in an error, which makes hyper break the
/// caller's connection: an answer cut short never looks whole.
pub struct ResponseBody {
    body: Incoming,
    permit: Option<Permit>,
    cancel: CancelGuard,
    recorder: Recorder,
    service: ServiceId,
    timer: Pin<Box<dyn Future<Output = ()>>>,
}

impl ResponseBody {
    /// Takes over a body, with the slot that it holds and the duty to cancel it.
    pub fn new(
        context: &Context,
        job: &Job,
        body: Incoming,
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
                // Of a body of known length hyper doesn't ask for the end.
                if this.body.is_end_stream() {
                    this.cancel.disarm();
                    this.end(Report::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                this.end(Report::Lost);
                Poll::Ready(Some(Err(cause.into())))
            }
            Poll::Pending if this.timer.as_mut().poll(context).is_ready() => {
                this.end(Report::Lost);
                Poll::Ready(Some(Err("the deadline passed, or the lease".into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    // `is_end_stream` is left at its default, so that hyper asks for the end, and the slot is freed
    // then.

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
