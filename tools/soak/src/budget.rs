//! Checks what VMs send to targets beyond the first attempt of each request, without any I/O.
//!
//! All counts are of what callers sent and of what reached the targets:
//!
//! - *Retries*: in any window a service gets at most the allowed number of arrivals beyond the first of each request,
//!   summed over all VMs; arrivals that a target refuses count. [`peak`] returns the window that is nearest to it.
//! - *Attempts*: at most [`SPREAD_MAX`] requests run on more targets than their route allows.
//! - *Time*: a target isn't given more time than the caller has left; see [`count_overtime`].

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

/// How many requests may run on more targets than their route allows.
pub const SPREAD_MAX: usize = 3;
/// How much longer than its caller a target may be told to work on a request.
pub const OVERTIME_MAX: Duration = Duration::from_millis(500);
/// How many attempts may give a target too much time, whatever their share.
pub const OVERTIME_COUNT_MAX: usize = 20;

/// The retries that all VMs together may send to a service within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed in addition to those.
    pub slack: u32,
    /// The length of the window.
    pub window: Duration,
}

/// The window in which a service got the most retries, as a share of those allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peak {
    /// When it starts.
    pub from: Duration,
    /// The arrivals in it beyond the first of each request.
    pub retries: usize,
    /// The requests that count for it.
    pub requests: usize,
    /// How many retries are allowed for these.
    pub allowed: f64,
}

impl Peak {
    /// Returns the share of the allowed retries that was used.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_soak::budget::Peak;
    ///
    /// let peak = Peak { from: Duration::ZERO, retries: 6, requests: 60, allowed: 12.0 };
    /// assert!((peak.share() - 0.5).abs() < 1e-9);
    /// ```
    #[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    pub fn share(&self) -> f64 {
        self.retries as f64 / self.allowed.max(1.0)
    }
}

/// A request that has reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The id of the request.
    pub id: String,
    /// The target.
    pub target: String,
    /// When it arrived.
    pub at: Duration,
    /// How much time the target was given; `None` if it wasn't said.
    pub remaining: Option<Duration>,
    /// Whether the target ran it.
    pub ran: bool,
}

/// What callers sent to a service, and what reached its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    /// When callers sent requests, by their ids, in order.
    pub requests: IndexMap<String, Duration>,
    /// The arrivals at the targets, in order.
    pub arrivals: Vec<Arrival>,
    /// Targets that ended during the run.
    pub ended: IndexSet<String>,
}

impl Traffic {
    /// Returns when requests arrived that had arrived before, in order.
    fn retries(&self) -> Vec<Duration> {
        let mut known = IndexSet::new();
        let repeated = self.arrivals.iter().filter(|it| !known.insert(&it.id));
        repeated.map(|it| it.at).collect()
    }

    /// Returns the arrivals of each request.
    fn by_request(&self) -> IndexMap<&str, Vec<&Arrival>> {
        let mut found: IndexMap<&str, Vec<&Arrival>> = IndexMap::new();
        for arrival in &self.arrivals {
            found.entry(&arrival.id).or_default().push(arrival);
        }
        found
    }
}

/// Returns the window of a service that is nearest to its allowance or furthest beyond it, if there were any retries.
///
/// The requests are those in the window, in the one before it or in the one half a window before it, whichever has most.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_soak::budget::{self, Allowance, Traffic};
///
/// let allowance = Allowance { ratio: 0.2, slack: 60, window: Duration::from_secs(10) };
/// assert_eq!(budget::peak(&Traffic::default(), allowance), None);
/// ```
pub fn peak(traffic: &Traffic, allowance: Allowance) -> Option<Peak> {
    let retries = traffic.retries();
    let requests: Vec<Duration> = traffic.requests.values().copied().collect();
    let windows = retries
        .iter()
        .map(|from| measure(*from, &retries, &requests, allowance));
    windows.max_by(|one, other| one.share().total_cmp(&other.share()))
}

/// Measures the window that starts at a time.
#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn measure(
    from: Duration,
    retries: &[Duration],
    requests: &[Duration],
    allowance: Allowance,
) -> Peak {
    let window = allowance.window;
    let shifts = [Duration::ZERO, window / 2, window];
    let counts = shifts.map(|shift| {
        let start = from.saturating_sub(shift);
        count_within(requests, start, (from + window).saturating_sub(shift))
    });
    let requests = counts.into_iter().max().unwrap_or(0);
    Peak {
        from,
        retries: count_within(retries, from, from + window),
        requests,
        allowed: (requests as f64).mul_add(allowance.ratio, f64::from(allowance.slack)),
    }
}

/// Returns how many of the ordered times lie in a span; its end is exclusive.
fn count_within(times: &[Duration], from: Duration, to: Duration) -> usize {
    let before = |end| times.partition_point(|it| *it < end);
    before(to) - before(from)
}

/// Returns the requests that ran on more than `attempts` targets; targets that ended don't count.
pub fn spread(traffic: &Traffic, attempts: usize) -> Vec<String> {
    let is_counted = |it: &&&Arrival| it.ran && !traffic.ended.contains(&it.target);
    let by_request = traffic.by_request();
    let spread = by_request.iter().filter(|(_, arrivals)| {
        let targets: IndexSet<&str> = arrivals
            .iter()
            .filter(is_counted)
            .map(|it| it.target.as_str())
            .collect();
        targets.len() > attempts
    });
    spread.map(|(id, _)| (*id).to_owned()).collect()
}

/// How many attempts gave a target more time than was left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overtime {
    /// Attempts with too much time, or that didn't say how much.
    pub count: usize,
    /// Attempts that were sent long after the first one of their request.
    pub late: usize,
}

impl Overtime {
    /// Returns whether these are too many.
    pub fn is_too_much(&self) -> bool {
        self.count > OVERTIME_COUNT_MAX && 5 * self.count > self.count + self.late
    }
}

/// Counts the attempts that give a target more time than its caller has left.
///
/// `patience` is how long callers wait; `is_counted` tells whether the VM of a request was undisturbed between its
/// sending and the arrival.
pub fn count_overtime<F>(traffic: &Traffic, patience: Duration, is_counted: F) -> Overtime
where
    F: Fn(&str, Duration, Duration) -> bool,
{
    let mut overtime = Overtime::default();
    for (id, arrivals) in traffic.by_request() {
        let Some(sent) = traffic.requests.get(id).copied() else {
            continue;
        };
        let first = arrivals[0];
        for arrival in arrivals.iter().filter(|it| is_counted(id, sent, it.at)) {
            let remaining = arrival.remaining.unwrap_or(Duration::MAX);
            let is_late = arrival.at > first.at + OVERTIME_MAX;
            let end = arrival.at.saturating_add(remaining);
            let first_end = first
                .at
                .saturating_add(first.remaining.unwrap_or(Duration::MAX));
            let last_end = first_end.max(sent + patience);
            let outlasts = is_late && end > last_end.saturating_add(OVERTIME_MAX);
            overtime.count += usize::from(remaining > patience + OVERTIME_MAX || outlasts);
            overtime.late += usize::from(is_late);
        }
    }
    overtime
}
