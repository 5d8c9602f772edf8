//! The operators' commands `check`, `status` and `timeline` for VMs on the users' platform.
//!
//! `status` and `timeline` ask the VMs directly, so they also work while the store is unavailable.

use std::{fmt::Write as _, net::SocketAddr, path::Path, time::Duration};

use bramleypier::{
    cli::{self, Exit, Output, Timeline},
    timeline::render,
};
use bramleypier_engine::{
    fleet::Vm,
    peer::admin::{self, Status},
    report::VmEvents,
    settings::Settings,
};
use bramleypier_platform::settings;
use bramleypier_util::{
    body::Body,
    client::{Client, ResponseLimits},
    clock::Clock,
    stamp::Stamp,
};
use compio::runtime::Runtime;
use hyper::Request;
use indexmap::IndexMap;
use serde::{Serialize, de::DeserializeOwned};

/// How long a VM may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The limits of a response; the largest has 1,500 events of up to about 2 KB.
const RESPONSE_LIMITS: ResponseLimits = ResponseLimits {
    head: RESPONSE_TIMEOUT,
    whole: RESPONSE_TIMEOUT,
    bytes: 8 << 20,
};
/// The number of connections to one VM: a command sends its requests one after the other.
const CONNECTIONS_PER_VM: usize = 1;

/// Checks a settings file or a template of one.
pub fn check(path: &Path) -> Output {
    match settings::check(path) {
        Ok(_) => Output::plain(Exit::Done, format!("{}: sound", path.display())),
        Err(fault) => Output::plain(Exit::Usage, fault.to_string()),
    }
}

/// Returns the status of all VMs, as text or JSON.
pub fn status(path: &Path, json: bool) -> Output {
    with_fleet(path, async |fleet| {
        let answers = Answers {
            unreached: fleet.unreached,
            answers: fleet.statuses.into_values().collect(),
        };
        answers.output(json, |all| all.answers.iter().map(status_line).collect())
    })
}

/// Returns the events of all VMs as text or JSON; the text has each cause before its effects.
pub fn timeline(path: &Path, command: &Timeline) -> Output {
    let since = match command.since.as_deref().map(cli::since).transpose() {
        Ok(since) => since.unwrap_or_default(),
        Err(error) => return Output::plain(error.exit(), error.to_string()),
    };
    with_fleet(path, async |mut fleet| {
        let mut answers = Answers::default();
        let uri = format!("{}?{since}", admin::TIMELINE_PATH);
        for (address, status) in std::mem::take(&mut fleet.statuses) {
            match fleet.fetch::<VmEvents>(address, &uri).await {
                Some(part) => answers.answers.push(part),
                None => answers.unreached.push(status.vm),
            }
        }
        answers.unreached.extend(fleet.unreached);
        answers.output(command.json, |all| merge_events(&all.answers, command))
    })
}

/// The responses of the VMs, and the names of those that did not respond.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Answers<T> {
    answers: Vec<T>,
    unreached: Vec<String>,
}

impl<T> Default for Answers<T> {
    fn default() -> Self {
        Self {
            answers: Vec::new(),
            unreached: Vec::new(),
        }
    }
}

impl<T> Answers<T>
where
    T: Serialize,
{
    fn output<F>(&self, json: bool, text: F) -> Output
    where
        F: FnOnce(&Self) -> String,
    {
        let complete = self.unreached.is_empty() && !self.answers.is_empty();
        let exit = if complete {
            Exit::Done
        } else {
            Exit::Unreached
        };
        if json {
            return match serde_json::to_string_pretty(self) {
                Ok(text) => Output::plain(exit, text),
                Err(cause) => Output::plain(Exit::Failed, format!("step=json cause={cause}")),
            };
        }
        let mut page = text(self);
        for vm in &self.unreached {
            // Writing to a string can't fail.
            let _ = writeln!(page, "not reached: {vm}");
        }
        if self.answers.is_empty() {
            page.push_str("no VM answered\n");
        }
        Output::plain(exit, page)
    }
}

/// The VMs found, starting from the addresses in the settings.
struct Fleet {
    client: Client,
    statuses: IndexMap<SocketAddr, Status>,
    unreached: Vec<String>,
}

impl Fleet {
    /// Requests the status of the VMs in the settings, and of every VM that they list.
    async fn find(settings: &Settings) -> Self {
        let mut fleet = Self {
            client: Client::new(Clock::real(), CONNECTIONS_PER_VM),
            statuses: IndexMap::new(),
            unreached: Vec::new(),
        };
        let seeds = std::iter::once(settings.peers).chain(settings.seeds.iter().copied());
        let mut found: IndexMap<SocketAddr, String> = seeds
            .map(|address| (address, address.to_string()))
            .collect();
        let mut next = 0;
        while let Some((address, name)) = found.get_index(next) {
            let (address, name) = (*address, name.clone());
            next += 1;
            match fleet.fetch::<Status>(address, admin::STATUS_PATH).await {
                Some(status) => {
                    for Vm { name, address, .. } in &status.vms {
                        found.entry(*address).or_insert_with(|| name.clone());
                    }
                    fleet.statuses.insert(address, status);
                }
                None => fleet.unreached.push(name),
            }
        }
        fleet
    }

    /// Sends a request to one VM; a response that can't be decoded counts as none.
    async fn fetch<T>(&self, address: SocketAddr, uri: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri.parse().ok()?;
        let fetched = self.client.fetch(address, request, RESPONSE_LIMITS).await;
        rmp_serde::from_slice(fetched.ok()?.body()).ok()
    }
}

fn with_fleet<F>(path: &Path, work: F) -> Output
where
    F: AsyncFnOnce(Fleet) -> Output,
{
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(fault) => return Output::plain(Exit::Usage, fault.to_string()),
    };
    match Runtime::new() {
        Ok(runtime) => runtime.block_on(async { work(Fleet::find(&settings).await).await }),
        Err(cause) => Output::plain(Exit::Failed, format!("step=start cause={cause}")),
    }
}

fn status_line(status: &Status) -> String {
    let Status {
        vm,
        domain,
        ready,
        store,
        is_manager,
        version,
        targets,
        leaving,
        ..
    } = status;
    let store = if *store { "answers" } else { "silent" };
    let manager = status.manager.as_deref().unwrap_or("none");
    let mut line = format!(
        "{vm} domain={domain} ready={ready} store={store} manager={manager} leading={is_manager} \
         version={version} targets={targets} leaving={leaving}"
    );
    for (domain, for_ms) in &status.evacuated {
        let _ = write!(line, " evacuated={domain},for_ms:{for_ms}");
    }
    if !status.cold.is_empty() {
        let _ = write!(line, " cold={}", status.cold.len());
    }
    for (service, owned) in &status.services {
        let (term, ranges) = (owned.term, owned.ranges);
        // Writing to a string can't fail.
        let _ = write!(
            line,
            " {service}=term:{term},ranges:{ranges},owned:{}",
            owned.owned
        );
    }
    line.push('\n');
    line
}

/// Merges the events of several VMs into text, ordered by time stamp.
fn merge_events(parts: &[VmEvents], command: &Timeline) -> String {
    let required = required_texts(command);
    let mut lines: Vec<(Stamp, &str, &str)> = Vec::new();
    for part in parts {
        let matching = part
            .events
            .iter()
            .filter(|event| required.iter().all(|it| event.text.contains(it.as_str())));
        lines.extend(matching.map(|event| (event.stamp, part.vm.as_str(), event.text.as_str())));
    }
    lines.sort_unstable();
    let mut text = String::new();
    for (stamp, vm, event) in lines {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{} {vm} {event}", render::stamp(stamp));
    }
    for part in parts.iter().filter(|part| part.dropped > 0) {
        let _ = writeln!(
            text,
            "{}: {} earlier events were discarded",
            part.vm, part.dropped
        );
    }
    text
}

/// Returns the texts that an event must contain to be printed.
fn required_texts(command: &Timeline) -> Vec<String> {
    let filters = [
        ("service=", &command.service),
        ("key=", &command.key),
        ("id=", &command.request),
        ("", &command.target),
    ];
    let given = filters
        .into_iter()
        .filter_map(|(name, value)| value.as_ref().map(|value| format!("{name}{value}")));
    given.collect()
}
