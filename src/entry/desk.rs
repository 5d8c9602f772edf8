//! The desk for orders: asks whether an order may run, and keeps its outcome.

use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::{Response, body::Bytes};

use super::{Context, Job, forward, payload::Payload};
use crate::{
    id::Version,
    request::{Attempt, Received, Verdict},
    util::body::Body,
    vm::{Parts, news::Fleet},
};

/// A message to the desk.
#[derive(Debug)]
pub enum Message {
    /// The fleet has changed.
    Fleet(Fleet),
    /// This VM stops: it hands its duties over.
    Leave,
    /// The views of orders have changed.
    Views(Version, Bytes),
}

/// The task's state.
#[derive(Debug, Default)]
pub struct Desk {}

impl Desk {
    /// Creates the task's state.
    pub fn new(_parts: Parts) -> Self {
        Self {}
    }

    /// Serves messages until nobody can send any more.
    pub async fn run(self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while messages.next().await.is_some() {}
    }
}

/// Runs an order unless it ran before.
///
/// # Errors
///
/// The final word, when no target answered.
pub async fn run(
    context: &Context,
    attempt: Attempt<Received>,
    job: Job,
    bytes: Bytes,
) -> Result<Response<Body>, Verdict> {
    let answered = forward::run(context, attempt.admit(), &job, Payload::Kept(bytes)).await?;
    Ok(answered.response)
}
