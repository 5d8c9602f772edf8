//! The audit after a run: what callers were told, against what targets ran.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::journal::Run;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// Nobody knows; also when no answer came.
    Unknown,
}

/// One sending of one request; the same id may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The caller's id: its idempotency key, or the tag of a look-up.
    pub id: String,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// When it was sent, on the machine's clock.
    pub sent_ms: u64,
    /// What the caller was told.
    #[serde(rename = "told")]
    pub reported: ReportedOutcome,
    /// Whether the answer, if one came, was whole and the caller's own.
    pub sound: bool,
}

/// What the audit found, by id of the request or by key; all empty when all is well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Findings {
    /// Non-idempotent requests that were started more than once.
    pub doubled: IndexSet<String>,
    /// Requests said to have run that no target started.
    pub lost: IndexSet<String>,
    /// Requests said not to have run that a target started.
    pub untrue: IndexSet<String>,
    /// Answers that were cut short or another's.
    pub unsound: IndexSet<String>,
    /// Keys for which work started under an older epoch after a newer one, or at two targets
    /// under one epoch.
    pub two_owners: IndexSet<String>,
}

impl Findings {
    /// Returns whether nothing was found.
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

/// Joins what callers were told with what targets ran.
///
/// # Example
///
/// ```
/// use bramleypier_standins::audit::{self, Call, ReportedOutcome};
///
/// let told_ran = Call {
///     id: "order-1".into(),
///     idempotent: false,
///     sent_ms: 0,
///     reported: ReportedOutcome::Ran,
///     sound: true,
/// };
/// assert!(audit::audit(&[told_ran], &[]).lost.contains("order-1"));
/// ```
pub fn audit(calls: &[Call], runs: &[Run]) -> Findings {
    let runs_by_id = by_id(runs);
    let mut sends: IndexMap<&str, Vec<&Call>> = IndexMap::new();
    for call in calls {
        sends.entry(&call.id).or_default().push(call);
    }
    let mut findings = Findings::default();
    for (id, sends) in &sends {
        let runs = runs_by_id.get(*id).map_or(&[][..], Vec::as_slice);
        let id = (*id).to_owned();
        if runs.len() > 1 && sends.iter().any(|call| !call.idempotent) {
            findings.doubled.insert(id.clone());
        }
        if runs.is_empty()
            && sends
                .iter()
                .any(|call| call.reported == ReportedOutcome::Ran)
        {
            findings.lost.insert(id.clone());
        }
        if sends.iter().any(|call| is_untrue(call, sends, runs)) {
            findings.untrue.insert(id.clone());
        }
        if sends.iter().any(|call| !call.sound) {
            findings.unsound.insert(id);
        }
    }
    findings.two_owners = two_owners(runs);
    findings
}

/// Returns whether a sending was told "not run" although a run can only be its own, or, for a
/// request that is not idempotent, came before it.
fn is_untrue(call: &Call, sends: &[&Call], runs: &[&Run]) -> bool {
    if call.reported != ReportedOutcome::NotRun {
        return false;
    }
    runs.iter().any(|run| {
        let excused = sends.iter().any(|other| {
            other.reported != ReportedOutcome::NotRun && other.sent_ms <= run.started_ms
        });
        let earlier = run.started_ms < call.sent_ms;
        if call.idempotent {
            return !earlier && !excused;
        }
        earlier || !excused
    })
}

fn by_id(runs: &[Run]) -> IndexMap<String, Vec<&Run>> {
    let mut map: IndexMap<String, Vec<&Run>> = IndexMap::new();
    for run in runs {
        map.entry(id(run)).or_default().push(run);
    }
    map
}

/// Returns the caller's id of a run: its idempotency key, or the tag in its path.
fn id(run: &Run) -> String {
    if !run.idempotency.is_empty() {
        return run.idempotency.clone();
    }
    let query = run.path.split_once('?').map_or("", |(_, query)| query);
    form_urlencoded::parse(query.as_bytes())
        .find(|(name, _)| name == "tag")
        .map_or_else(String::new, |(_, tag)| tag.into_owned())
}

/// Finds keys whose work started in an order that one owner at a time can't give.
fn two_owners(runs: &[Run]) -> IndexSet<String> {
    let mut by_key: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| run.epoch > 0) {
        by_key.entry(&run.key).or_default().push(run);
    }
    by_key.retain(|_, runs| {
        runs.sort_by_key(|run| (run.started_ms, run.epoch));
        !runs.is_sorted_by_key(|run| run.epoch) || !one_holder(runs)
    });
    by_key.into_keys().map(str::to_owned).collect()
}

/// Returns whether each epoch's runs are those of one start of one target.
fn one_holder(runs: &[&Run]) -> bool {
    let mut holders: IndexMap<u64, &str> = IndexMap::new();
    runs.iter()
        .all(|run| *holders.entry(run.epoch).or_insert(&run.boot) == run.boot)
}
