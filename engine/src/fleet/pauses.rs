//! When this process had no processor time, since its VM was suspended or too busy.
//!
//! What arrives in a pause is read after it, and looks new then.

use std::{collections::VecDeque, time::Duration};

/// How often a process records that it has processor time.
pub const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum time between two turns that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// By how much of itself the lateness of turns falls with each turn that is not as late.
const LATENESS_DECAY: f64 = 0.9;
/// How long pauses are kept: longer than any watch takes.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// A time without processor time.
#[derive(Clone, Copy, Debug)]
struct Pause {
    start: Duration,
    end: Duration,
}

/// The recent pauses of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    last_turn: Option<Duration>,
    recent: VecDeque<Pause>,
    /// How late turns have come lately.
    lateness: Duration,
}

impl Pauses {
    /// Records that this process has processor time; returns how long it had none, if that was a pause.
    pub(super) fn record_turn(&mut self, now: Duration) -> Option<Duration> {
        let pause = self.since_last_turn(now);
        self.recent.extend(pause);
        self.lateness = self.lateness(now).mul_f64(LATENESS_DECAY);
        self.last_turn = Some(now);
        let is_old = |it: &Pause| it.end + KEPT_TIME < now;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        pause.map(|it| it.end.saturating_sub(it.start))
    }

    /// Returns how late this process does what is due: how late the worst of its latest turns were, or the next one is.
    ///
    /// A pause says nothing of what comes after it.
    pub(super) fn lateness(&self, now: Duration) -> Duration {
        let since = self.last_turn.map(|it| now.saturating_sub(it));
        let overdue = since.map(|it| it.saturating_sub(TURN_INTERVAL));
        overdue
            .unwrap_or_default()
            .max(self.lateness)
            .min(MIN_PAUSE)
    }

    /// Returns when the first pause after `asked` began, or `asked` if that was later; `None` if there was none until `now`.
    pub(super) fn first_since(&self, asked: Duration, now: Duration) -> Option<Duration> {
        let current = self.since_last_turn(now);
        let mut pauses = self.recent.iter().copied().chain(current);
        let first = pauses.find(|it| it.end > asked)?;
        Some(first.start.max(asked))
    }

    /// Returns the pause that lasts from the last turn to `now`, if it is one.
    fn since_last_turn(&self, now: Duration) -> Option<Pause> {
        let start = self.last_turn?;
        let pause = Pause { start, end: now };
        (now.saturating_sub(start) >= MIN_PAUSE).then_some(pause)
    }
}
