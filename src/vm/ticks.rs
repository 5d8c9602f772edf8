//! Wakes a task periodically.

use std::time::Duration;

use futures_channel::mpsc;

use crate::clock::Clock;

/// Sends a message to a task immediately and then every `period`, until the task has ended.
pub fn start<M, F>(clock: &Clock, task: &mpsc::UnboundedSender<M>, period: Duration, tick: F)
where
    M: 'static,
    F: Fn() -> M + 'static,
{
    let clock = clock.clone();
    let task = task.clone();
    compio::runtime::spawn(async move {
        while task.unbounded_send(tick()).is_ok() {
            clock.sleep(period).await;
        }
    })
    .detach();
}
