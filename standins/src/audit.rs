//! Audit of a finished run: compares what callers were told with what targets logged.
//!
//! It reports requests that ran twice or were lost, false "not run" answers, damaged responses and
//! keys that two targets served at once.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::journal::Run;

/// The outcome of a request as the response reports it to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// It is not known whether the request ran; also when no response arrived.
    Unknown,
}

/// One attempt at a request; further attempts carry the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The caller's request id: the idempotency key, or the tag of a look-up.
    pub id: String,
    /// Whether the request is idempotent, so that running it twice does no harm.
    pub idempotent: bool,
    /// Send time in milliseconds since the machine's boot.
    pub sent_ms: u64,
    /// The outcome that the caller was told.
    #[serde(rename = "told")]
    pub reported: ReportedOutcome,
    /// False if a response arrived that was truncated or belonged to another request.
    pub sound: bool,
}

/// Findings of the audit: request ids, and keys in `two_owners`; all empty for a correct run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Findings {
    /// Non-idempotent requests that targets started more than once.
    pub doubled: IndexSet<String>,
    /// Requests reported as run that no target started.
    pub lost: IndexSet<String>,
    /// Requests reported as not run that a target did start.
    pub untrue: IndexSet<String>,
    /// Requests with a response that was truncated or belonged to another request.
    pub unsound: IndexSet<String>,
    /// Keys whose work started under an older epoch after a newer one, or at two targets under the
    /// same epoch.
    pub two_owners: IndexSet<String>,
}

impl Findings {
    /// Returns whether the audit found nothing.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::audit::Findings;
    ///
    /// assert!(Findings::default().is_clean());
    /// ```
    pub fn is_clean(&self) -> bool {
        let findings = [
            &self.doubled,
            &self.lost,
            &self.untrue,
            &self.unsound,
            &self.two_owners,
        ];
        findings.iter().all(|list| list.is_empty())
    }
}

/// Compares the attempts that callers made with the runs that targets logged.
///
/// # Example
///
/// ```
/// use bramleypier_standins::audit::{self, Call, ReportedOutcome};
///
/// let call = Call {
///     id: "order-1".into(),
///     idempotent: false,
///     sent_ms: 0,
///     reported: ReportedOutcome::Ran,
///     sound: true,
/// };
/// assert!(audit::audit(&[call], &[]).lost.contains("order-1"));
/// ```
pub fn audit(calls: &[Call], runs: &[Run]) -> Findings {
    let runs_by_id = group_by_id(runs);
    let mut attempts_by_id: IndexMap<&str, Vec<&Call>> = IndexMap::new();
    for call in calls {
        attempts_by_id.entry(&call.id).or_default().push(call);
    }
    let mut findings = Findings::default();
    for (id, attempts) in &attempts_by_id {
        let runs = runs_by_id.get(*id).map_or(&[][..], Vec::as_slice);
        let id = (*id).to_owned();
        if runs.len() > 1 && attempts.iter().any(|call| !call.idempotent) {
            findings.doubled.insert(id.clone());
        }
        if runs.is_empty()
            && attempts
                .iter()
                .any(|call| call.reported == ReportedOutcome::Ran)
        {
            findings.lost.insert(id.clone());
        }
        if attempts
            .iter()
            .any(|call| is_false_not_run(call, attempts, runs))
        {
            findings.untrue.insert(id.clone());
        }
        if attempts.iter().any(|call| !call.sound) {
            findings.unsound.insert(id);
        }
    }
    findings.two_owners = keys_with_two_owners(runs);
    findings
}

/// Returns whether an attempt was falsely reported as not run.
///
/// A run proves this if no attempt with another outcome was sent before it, since only an attempt
/// reported as not run can have caused it then. For an idempotent request, the run must also have
/// started after this attempt was sent; for any other, a run that started earlier is proof as well.
fn is_false_not_run(call: &Call, attempts: &[&Call], runs: &[&Run]) -> bool {
    if call.reported != ReportedOutcome::NotRun {
        return false;
    }
    runs.iter().any(|run| {
        let explained = attempts.iter().any(|other| {
            other.reported != ReportedOutcome::NotRun && other.sent_ms <= run.started_ms
        });
        let ran_before = run.started_ms < call.sent_ms;
        if call.idempotent {
            return !ran_before && !explained;
        }
        ran_before || !explained
    })
}

fn group_by_id(runs: &[Run]) -> IndexMap<String, Vec<&Run>> {
    let mut groups: IndexMap<String, Vec<&Run>> = IndexMap::new();
    for run in runs {
        groups.entry(request_id(run)).or_default().push(run);
    }
    groups
}

/// Returns the caller's request id of a run: the idempotency key, or the tag in the path.
fn request_id(run: &Run) -> String {
    if !run.idempotency.is_empty() {
        return run.idempotency.clone();
    }
    let query = run.path.split_once('?').map_or("", |(_, query)| query);
    form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "tag")
        .map_or_else(String::new, |(_, tag)| tag.into_owned())
}

/// Returns the keys whose runs started in an order that is impossible with one owner at a time.
fn keys_with_two_owners(runs: &[Run]) -> IndexSet<String> {
    let mut by_key: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| run.epoch > 0) {
        by_key.entry(&run.key).or_default().push(run);
    }
    by_key.retain(|_, runs| {
        runs.sort_by_key(|run| (run.started_ms, run.epoch));
        !runs.is_sorted_by_key(|run| run.epoch) || !one_owner_per_epoch(runs)
    });
    by_key.into_keys().map(str::to_owned).collect()
}

/// Returns whether all runs of each epoch belong to a single incarnation of a single target.
fn one_owner_per_epoch(runs: &[&Run]) -> bool {
    let mut owners: IndexMap<u64, &str> = IndexMap::new();
    runs.iter()
        .all(|run| *owners.entry(run.epoch).or_insert(&run.boot) == run.boot)
}
