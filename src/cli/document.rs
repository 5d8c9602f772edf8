//! The `document put`, `get`, `log` and `status` commands.

use std::{env, fmt::Write as _, path::Path, time::Duration};

use hyper::body::Bytes;
use indexmap::IndexMap;
use serde::Serialize;
use uuid::Uuid;

use crate::{
    admin::{self, Status},
    cli::{Error, Exit, Output, check, fleet::Fleet, parser::Document},
    document::{
        put::{Conflict, Event, Operation, Outcome, Step},
        stored::{self, Stamp, Stored},
    },
    id::{ServiceId, Version, VmId},
    platform,
    timeline::{render, stamp},
};

/// The delay before a put retries a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs a `document` command.
pub(super) async fn run(command: Document) -> Result<Output, Error> {
    match command {
        Document::Check { files } => check::run(None, &files),
        Document::Put {
            settings,
            base,
            by,
            json,
            file,
        } => {
            let fleet = Fleet::open(&settings)?;
            put(&fleet, &file, base, by, json).await
        }
        Document::Get {
            settings,
            json,
            service,
        } => {
            let fleet = Fleet::open(&settings)?;
            get(&fleet, &service, json).await
        }
        Document::Log {
            settings,
            json,
            service,
        } => {
            let fleet = Fleet::open(&settings)?;
            log(&fleet, &service, json).await
        }
        Document::Status { settings, json } => {
            let fleet = Fleet::open(&settings)?;
            status(&fleet, json).await
        }
    }
}

/// The printed outcome of a put.
#[derive(Debug, Default, Serialize)]
struct Report {
    outcome: &'static str,
    version: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<Conflict>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
}

async fn put(
    fleet: &Fleet,
    file: &Path,
    base: Option<Version>,
    by: Option<String>,
    json: bool,
) -> Result<Output, Error> {
    let text = check::read(file)?;
    let base = base
        .or_else(|| stored::read_version(&text))
        .unwrap_or_default();
    let writer = Uuid::now_v7().to_string();
    let at = u64::try_from(stamp::wall().as_millis()).unwrap_or(u64::MAX);
    let stamp = Stamp::new(&writer, base, at, &by.unwrap_or_else(default_operator));
    let name = file.display().to_string();
    let (operation, step) = Operation::start(&name, &text, stamp).map_err(Error::Refused)?;
    let (outcome, cause) = run_steps(fleet, operation, step).await;
    report(outcome, cause, json)
}

fn default_operator() -> String {
    let user = env::var("USER").or_else(|_| env::var("LOGNAME"));
    user.unwrap_or_else(|_| "unknown".to_owned())
}

/// Makes the calls of a put until it ends. Returns the outcome and the cause of the last failed call.
async fn run_steps(
    fleet: &Fleet,
    mut operation: Operation,
    mut step: Step,
) -> (Outcome, Option<String>) {
    let mut cause = None;
    loop {
        let event = match step {
            Step::Done(outcome) => return (outcome, cause),
            Step::Read => read(fleet, &operation.key(), &mut cause).await,
            Step::Write(base, value) => {
                write(fleet, &operation.key(), base, value, &mut cause).await
            }
        };
        if matches!(
            event,
            Event::ReadFailed | Event::WriteFailed | Event::WriteUncertain
        ) {
            fleet.clock.sleep(RETRY_DELAY).await;
        }
        step = operation.handle(event);
    }
}

async fn read(fleet: &Fleet, key: &str, cause: &mut Option<String>) -> Event {
    match fleet.platform.get(key).await {
        Ok(value) => Event::Read(value.map(|(version, bytes)| (version, lossy(&bytes)))),
        Err(error) => {
            *cause = Some(error.to_string());
            Event::ReadFailed
        }
    }
}

async fn write(
    fleet: &Fleet,
    key: &str,
    base: Version,
    value: String,
    cause: &mut Option<String>,
) -> Event {
    match fleet.platform.put(key, base, Bytes::from(value)).await {
        Ok(put) => Event::Written(put),
        Err(error) => {
            *cause = Some(error.to_string());
            match error {
                platform::Error::Failed(..) => Event::WriteFailed,
                platform::Error::OutcomeUnknown(..) => Event::WriteUncertain,
            }
        }
    }
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn report(outcome: Outcome, cause: Option<String>, json: bool) -> Result<Output, Error> {
    let report_of = |outcome, version| Report {
        outcome,
        version,
        ..Report::default()
    };
    let (exit, report) = match outcome {
        Outcome::Accepted(version) => (Exit::Done, report_of("accepted", version)),
        Outcome::Unchanged(version) => (Exit::Done, report_of("unchanged", version)),
        Outcome::Refused(fault) => return Err(Error::Refused(fault)),
        Outcome::Conflict(conflict) => {
            let version = conflict.version;
            let conflict = Some(conflict);
            (
                Exit::Conflict,
                Report {
                    conflict,
                    ..report_of("conflict", version)
                },
            )
        }
        Outcome::Unreached => (
            Exit::Unreached,
            Report {
                cause,
                ..report_of("unreached", 0)
            },
        ),
        Outcome::Unknown => (
            Exit::Unknown,
            Report {
                cause,
                ..report_of("unknown", 0)
            },
        ),
    };
    Output::json_or_text(exit, json, &report, report_text)
}

fn report_text(report: &Report) -> String {
    let version = report.version;
    let cause = report.cause.as_deref().unwrap_or_default();
    match (report.outcome, &report.conflict) {
        ("conflict", Some(conflict)) => conflict_text(conflict),
        ("unreached", _) => format!("nothing was changed: {cause}"),
        ("unknown", _) => format!("may or may not be accepted, see `document log`: {cause}"),
        (outcome, _) => format!("{outcome} version={version}"),
    }
}

fn conflict_text(conflict: &Conflict) -> String {
    let Conflict {
        base,
        version,
        operator,
        at_ms,
        difference,
    } = conflict;
    let at = render::utc(stamp::first(Duration::from_millis(*at_ms)));
    let by = if operator.is_empty() {
        "unknown"
    } else {
        operator
    };
    format!(
        "conflict: nothing was changed; based on version {base}, but version {version} stands, \
         put by {by} at {at}\n{difference}"
    )
}

/// The printed current version of a document.
#[derive(Debug, Serialize)]
struct CurrentDocument {
    version: Version,
    text: String,
}

async fn current_document(fleet: &Fleet, service: &ServiceId) -> Result<(Version, Stored), Error> {
    let value = fleet.platform.get(&stored::key(service)).await;
    let (version, bytes) = value
        .map_err(Error::Platform)?
        .ok_or_else(|| Error::Absent(service.clone()))?;
    Ok((version, Stored::parse(&lossy(&bytes))))
}

async fn get(fleet: &Fleet, service: &ServiceId, json: bool) -> Result<Output, Error> {
    let (version, stored) = current_document(fleet, service).await?;
    let current = CurrentDocument {
        version,
        text: stored.text,
    };
    Output::json_or_text(Exit::Done, json, &current, |current| {
        stored::with_version(&current.text, current.version)
    })
}

/// One printed put of the log.
#[derive(Debug, Serialize)]
struct LogEntry {
    version: Version,
    base: Version,
    at: String,
    operator: String,
}

async fn log(fleet: &Fleet, service: &ServiceId, json: bool) -> Result<Output, Error> {
    let (version, stored) = current_document(fleet, service).await?;
    let log = stored.log(version);
    let entries: Vec<LogEntry> = log.into_iter().map(log_entry).collect();
    Output::json_or_text(Exit::Done, json, &entries, |entries| {
        let mut text = String::new();
        for LogEntry {
            version,
            base,
            at,
            operator,
        } in entries
        {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "version={version} base={base} at={at} by={operator}");
        }
        text
    })
}

fn log_entry((version, stamp): (Version, &Stamp)) -> LogEntry {
    LogEntry {
        version,
        base: stamp.base,
        at: render::utc(stamp::first(Duration::from_millis(stamp.at_ms))),
        operator: stamp.operator.clone(),
    }
}

/// The printed versions of documents that are in force on each VM.
#[derive(Debug, Serialize)]
struct Rollout {
    /// The version of each document in the platform's service; empty if the service can't be reached.
    accepted: IndexMap<ServiceId, Version>,
    /// The versions in force on each VM.
    vms: IndexMap<VmId, IndexMap<ServiceId, Version>>,
    /// The VMs on which an older version of some document is in force.
    lagging: IndexMap<VmId, Vec<ServiceId>>,
    unreached: Vec<VmId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
}

async fn status(fleet: &Fleet, json: bool) -> Result<Output, Error> {
    let listed = fleet.platform.list(platform::DOCUMENTS).await;
    let cause = listed.as_ref().err().map(ToString::to_string);
    let keys = listed.map(|listing| listing.keys).unwrap_or_default();
    let mut newest: IndexMap<ServiceId, Version> = keys
        .iter()
        .filter_map(|found| {
            Some((
                found.key.strip_prefix(platform::DOCUMENTS)?.to_owned(),
                found.version,
            ))
        })
        .collect();
    let accepted = newest.clone();
    let answers = fleet.ask::<Status>(admin::STATUS_PATH, None).await;
    let vms: IndexMap<_, _> = answers
        .answers
        .into_iter()
        .map(|vm| (vm.vm, vm.documents))
        .collect();
    for (service, version) in vms.values().flatten() {
        let newest = newest.entry(service.clone()).or_default();
        *newest = (*newest).max(*version);
    }
    let rollout = Rollout {
        lagging: lagging(&newest, &vms),
        accepted,
        vms,
        unreached: answers.unreached,
        cause,
    };
    let complete = rollout.unreached.is_empty() && rollout.cause.is_none();
    let exit = match (complete, rollout.lagging.is_empty()) {
        (false, _) => Exit::Unreached,
        (true, true) => Exit::Done,
        (true, false) => Exit::Failed,
    };
    Output::json_or_text(exit, json, &rollout, rollout_text)
}

fn lagging(
    newest: &IndexMap<ServiceId, Version>,
    vms: &IndexMap<VmId, IndexMap<ServiceId, Version>>,
) -> IndexMap<VmId, Vec<ServiceId>> {
    let mut lagging: IndexMap<VmId, Vec<ServiceId>> = IndexMap::new();
    for (vm, documents) in vms {
        for (service, version) in newest {
            if documents.get(service).is_none_or(|held| held < version) {
                lagging.entry(vm.clone()).or_default().push(service.clone());
            }
        }
    }
    lagging
}

/// Formats the rollout as text; writing to a string cannot fail.
fn rollout_text(rollout: &Rollout) -> String {
    let mut text = String::new();
    for (service, version) in &rollout.accepted {
        let is_lagging = |vm: &&VmId| {
            rollout
                .lagging
                .get(*vm)
                .is_some_and(|names| names.contains(service))
        };
        let behind: Vec<&str> = rollout
            .vms
            .keys()
            .filter(is_lagging)
            .map(String::as_str)
            .collect();
        let (all, up_to_date) = (rollout.vms.len(), rollout.vms.len() - behind.len());
        let _ = write!(
            text,
            "service={service} version={version} vms={up_to_date}/{all}"
        );
        let _ = match behind.as_slice() {
            [] => writeln!(text),
            names => writeln!(text, " lagging={}", names.join(",")),
        };
    }
    for vm in &rollout.unreached {
        let _ = writeln!(text, "not reached: {vm}");
    }
    if let Some(cause) = &rollout.cause {
        let _ = writeln!(text, "accepted versions are not known: {cause}");
    }
    text
}
