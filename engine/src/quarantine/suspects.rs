//! Decides from the targets that have ended under a request whether it ends them.
//!
//! A request under which a target ends is a suspect, and so are all others that this target was running. What tells them
//! apart is the next target: a harmless request completes there. So a request is quarantined once three targets have
//! ended under it that no worse suspect explains, and a completion at any VM acquits it.

use std::{cmp::Reverse, collections::HashSet, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::catalogue::{StartTime, TargetHash};

/// How many targets have to end under a request before it is quarantined: one or two that end by themselves are common.
pub const MAX_ENDED: usize = 3;
/// How long a request is suspected after the last target has ended under it.
pub const SUSPICION_TIME: Duration = Duration::from_mins(10);
/// The maximum number of suspects; many requests lose their target when a failure domain is lost.
const MAX_SUSPECTS: usize = 1024;
/// How long a VM passes on what it has learned: several sync exchanges, of which some may fail.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// The maximum number of reports in a message to a VM that this VM contacts for the first time.
const MAX_REPORTS: usize = 256;
/// The maximum number of reports in any other message: the manager sends several a second to each VM.
const MAX_NEWS: usize = 32;

/// One run of a target's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Run {
    /// The target.
    pub target: TargetHash,
    /// When the process started.
    pub started: StartTime,
}

/// A target that ended under a request, as VMs tell each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The run of the target that ended.
    pub run: Run,
    /// Whether the request has completed at another target since, so that something else has ended this one.
    pub acquitted: bool,
    /// How long ago the target ended.
    pub age: Duration,
}

/// A crash under one request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    acquitted: bool,
    /// When the target ended.
    ended: Duration,
    /// When this VM learned of it, or of the acquittal.
    learned: Duration,
}

/// The crashes under one request, by the run that ended.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: IndexMap<Run, Crash>,
    quarantined: bool,
}

impl Suspect {
    /// Returns until when the request is suspected.
    fn expires(&self) -> Duration {
        let times = self.crashes.values().map(|it| it.ended);
        times.max().unwrap_or_default() + SUSPICION_TIME
    }

    /// Returns when this VM last learned something about the request.
    fn learned(&self) -> Duration {
        let times = self.crashes.values().map(|it| it.learned);
        times.max().unwrap_or_default()
    }

    /// Returns the runs that count against the request.
    fn runs(&self) -> impl Iterator<Item = Run> {
        let counted = self.crashes.iter().filter(|(_, it)| !it.acquitted);
        counted.map(|(run, _)| *run)
    }
}

/// A request whose quarantine has begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: Fingerprint,
    /// Whether it is quarantined now.
    pub quarantined: bool,
    /// How many targets have ended under it.
    pub ended: usize,
}

/// The requests under which targets have ended, as known from all VMs.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::quarantine::{Fingerprint, Run, Suspects};
///
/// let mut suspects = Suspects::default();
/// let (now, request) = (Duration::from_secs(1), Fingerprint::default());
/// for target in 0..3 {
///     suspects.record_crash(now, request, Run { target, started: 1 });
/// }
/// assert!(suspects.remaining(now, request).is_some());
/// suspects.record_completion(now, request);
/// assert!(suspects.remaining(now, request).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    requests: IndexMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Records that a target has ended under a request; returns the verdicts that changed.
    ///
    /// # Example
    ///
    /// See [`Suspects`].
    pub fn record_crash(&mut self, now: Duration, request: Fingerprint, run: Run) -> Vec<Verdict> {
        let report = CrashReport {
            request,
            run,
            ..CrashReport::default()
        };
        self.merge(now, &[report])
    }

    /// Acquits a request that has completed at a target; returns the verdicts that changed.
    ///
    /// # Example
    ///
    /// See [`Suspects`].
    pub fn record_completion(&mut self, now: Duration, request: Fingerprint) -> Vec<Verdict> {
        let Some(suspect) = self.requests.get(&request) else {
            return Vec::new();
        };
        let reports = suspect.runs().map(|run| CrashReport {
            request,
            run,
            acquitted: true,
            ..CrashReport::default()
        });
        let reports: Vec<_> = reports.collect();
        self.merge(now, &reports)
    }

    /// Adds what another VM knows; returns the verdicts that changed.
    ///
    /// Reports may come in any order and more than once: an acquittal always stands.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::quarantine::{Fingerprint, Run, Suspects};
    ///
    /// let now = Duration::from_secs(1);
    /// let (mut ours, mut theirs) = (Suspects::default(), Suspects::default());
    /// theirs.record_crash(now, Fingerprint::default(), Run::default());
    /// ours.merge(now, &theirs.news(now));
    /// assert_eq!(ours.all(now), theirs.all(now));
    /// ```
    pub fn merge(&mut self, now: Duration, reports: &[CrashReport]) -> Vec<Verdict> {
        let mut changed = false;
        for report in reports {
            changed |= self.add(now, report);
        }
        if !changed {
            return Vec::new();
        }
        self.forget(now);
        self.judge()
    }

    /// Adds one report; returns whether it was new.
    fn add(&mut self, now: Duration, report: &CrashReport) -> bool {
        let suspect = self.requests.entry(report.request).or_default();
        let known = suspect.crashes.get(&report.run);
        if known.is_some_and(|it| it.acquitted || !report.acquitted) {
            return false;
        }
        let ended = now.saturating_sub(report.age);
        let crash = Crash {
            acquitted: report.acquitted,
            ended: known.map_or(ended, |it| it.ended),
            learned: now,
        };
        suspect.crashes.insert(report.run, crash);
        true
    }

    /// Forgets the requests that have caused no crash for long, and the oldest ones if there are too many.
    fn forget(&mut self, now: Duration) {
        self.requests.retain(|_, it| now < it.expires());
        while self.requests.len() > MAX_SUSPECTS {
            let harmless = self.requests.values().position(|it| !it.quarantined);
            self.requests.shift_remove_index(harmless.unwrap_or(0));
        }
    }

    /// Decides which requests are quarantined: the worst suspect first, and crashes under it count against no other.
    ///
    /// All VMs that know the same crashes come to the same result.
    fn judge(&mut self) -> Vec<Verdict> {
        let mut worst: Vec<(usize, Fingerprint)> = self
            .requests
            .iter()
            .map(|(request, it)| (it.runs().count(), *request))
            .collect();
        worst.sort_by(|a, b| b.cmp(a));
        let mut explained: HashSet<Run> = HashSet::new();
        let mut verdicts = Vec::new();
        for (ended, request) in worst {
            let suspect = &mut self.requests[&request];
            let open = suspect.runs().filter(|run| !explained.contains(run));
            let quarantined = open.count() >= MAX_ENDED;
            if quarantined {
                explained.extend(suspect.runs());
            }
            if suspect.quarantined != quarantined {
                suspect.quarantined = quarantined;
                verdicts.push(Verdict {
                    request,
                    quarantined,
                    ended,
                });
            }
        }
        verdicts
    }

    /// Returns for how much longer a request is quarantined; `None` if it isn't.
    ///
    /// # Example
    ///
    /// See [`Suspects`].
    pub fn remaining(&self, now: Duration, request: Fingerprint) -> Option<Duration> {
        let suspect = self.requests.get(&request).filter(|it| it.quarantined)?;
        let left = suspect.expires().saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether anything is known of a request.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::quarantine::{Fingerprint, Suspects};
    ///
    /// assert!(!Suspects::default().knows(Fingerprint::default()));
    /// ```
    pub fn knows(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns all that is known of requests of which this VM has recently learned something, for other VMs.
    ///
    /// # Example
    ///
    /// See [`Suspects::merge`].
    pub fn news(&self, now: Duration) -> Vec<CrashReport> {
        let recent = |suspect: &Suspect| now < suspect.learned() + NEWS_TIME;
        self.reports(now, recent, MAX_NEWS)
    }

    /// Returns all that is known, for a VM that this VM contacts for the first time.
    ///
    /// # Example
    ///
    /// See [`Suspects::merge`].
    pub fn all(&self, now: Duration) -> Vec<CrashReport> {
        self.reports(now, |_| true, MAX_REPORTS)
    }

    /// Returns up to `limit` reports on the wanted suspects, the worst ones first.
    fn reports<F>(&self, now: Duration, wanted: F, limit: usize) -> Vec<CrashReport>
    where
        F: Fn(&Suspect) -> bool,
    {
        let wanted = self.requests.iter().filter(|(_, it)| wanted(it));
        let mut wanted: Vec<_> = wanted.collect();
        wanted.sort_by_key(|(_, it)| Reverse((it.quarantined, it.crashes.len(), it.learned())));
        let reports = wanted.into_iter().flat_map(|(request, it)| {
            it.crashes.iter().map(|(run, crash)| CrashReport {
                request: *request,
                run: *run,
                acquitted: crash.acquitted,
                age: now.saturating_sub(crash.ended),
            })
        });
        reports.take(limit).collect()
    }

    /// Returns the quarantined requests with the crashes under them, for the store.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::quarantine::Suspects;
    ///
    /// assert!(Suspects::default().quarantined().is_empty());
    /// ```
    pub fn quarantined(&self) -> IndexMap<Fingerprint, Vec<Run>> {
        let quarantined = self.requests.iter().filter(|(_, it)| it.quarantined);
        quarantined
            .map(|(request, it)| (*request, it.runs().collect()))
            .collect()
    }
}
