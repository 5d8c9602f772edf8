//! What operators ask of the VMs on the users' platform.

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
    body::{self, Body},
    client::Client,
    clock::Clock,
    stamp::Stamp,
};
use compio::runtime::Runtime;
use hyper::Request;
use indexmap::IndexMap;
use serde::{Serialize, de::DeserializeOwned};

/// How long a VM may take to answer.
const SPAN: Duration = Duration::from_secs(3);
/// The largest answer: 1,500 events of at most some 2 KB.
const BYTES: usize = 8 << 20;
/// How many connections to one VM an operator's command needs.
const CONNECTIONS: usize = 1;

/// Checks a settings file, or the template of one.
pub fn check(path: &Path) -> Output {
    match settings::check(path) {
        Ok(_) => Output::plain(Exit::Done, format!("{}: sound", path.display())),
        Err(fault) => Output::plain(Exit::Usage, fault.to_string()),
    }
}

/// Asks all VMs how they stand.
pub fn status(path: &Path, json: bool) -> Output {
    with_fleet(path, async |fleet| {
        let answers = Answers {
            unreached: fleet.unreached,
            answers: fleet.statuses.into_values().collect(),
        };
        answers.shown(json, |all| all.answers.iter().map(status_line).collect())
    })
}

/// Asks all VMs what they did, and shows it in the order of cause and effect.
pub fn timeline(path: &Path, command: &Timeline) -> Output {
    let since = match command.since.as_deref().map(cli::since).transpose() {
        Ok(since) => since.unwrap_or_default(),
        Err(error) => return Output::plain(error.exit(), error.to_string()),
    };
    with_fleet(path, async |mut fleet| {
        let mut answers = Answers::default();
        let question = format!("{}?{since}", admin::TIMELINE_PATH);
        for (address, status) in std::mem::take(&mut fleet.statuses) {
            match fleet.ask::<VmEvents>(address, &question).await {
                Some(part) => answers.answers.push(part),
                None => answers.unreached.push(status.vm),
            }
        }
        answers.unreached.extend(fleet.unreached);
        answers.shown(command.json, |all| account(&all.answers, command))
    })
}

/// What the VMs answered.
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
    fn shown<F>(&self, json: bool, text: F) -> Output
    where
        F: FnOnce(&Self) -> String,
    {
        let whole = self.unreached.is_empty() && !self.answers.is_empty();
        let exit = if whole { Exit::Done } else { Exit::Unreached };
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

/// The VMs that could be found, beginning with those that the settings name.
struct Fleet {
    client: Client,
    statuses: IndexMap<SocketAddr, Status>,
    unreached: Vec<String>,
}

impl Fleet {
    /// Asks the VMs that the settings name, then those that they know.
    async fn find(settings: &Settings) -> Self {
        let mut fleet = Self {
            client: Client::new(Clock::real(), CONNECTIONS),
            statuses: IndexMap::new(),
            unreached: Vec::new(),
        };
        let named = std::iter::once(settings.peers).chain(settings.seeds.iter().copied());
        let mut open: IndexMap<SocketAddr, String> = named
            .map(|address| (address, address.to_string()))
            .collect();
        let mut next = 0;
        while let Some((address, name)) = open.get_index(next) {
            let (address, name) = (*address, name.clone());
            next += 1;
            match fleet.ask::<Status>(address, admin::STATUS_PATH).await {
                Some(status) => {
                    for Vm { name, address, .. } in &status.vms {
                        open.entry(*address).or_insert_with(|| name.clone());
                    }
                    fleet.statuses.insert(address, status);
                }
                None => fleet.unreached.push(name),
            }
        }
        fleet
    }

    /// Asks one VM; an answer that can't be read is as good as none.
    async fn ask<T>(&self, address: SocketAddr, question: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = question.parse().ok()?;
        let response = self.client.send(address, request, SPAN).await.ok()?;
        let bytes = body::read(response.into_body(), BYTES).await.ok()?;
        rmp_serde::from_slice(&bytes).ok()
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
    for (domain, known) in &status.evacuated {
        let _ = write!(line, " evacuated={domain},for_ms:{known}");
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

/// Merges what several VMs kept, as text.
fn account(parts: &[VmEvents], command: &Timeline) -> String {
    let words = filter(command);
    let mut lines: Vec<(Stamp, &str, &str)> = Vec::new();
    for part in parts {
        let chosen = part
            .events
            .iter()
            .filter(|event| words.iter().all(|word| event.text.contains(word.as_str())));
        lines.extend(chosen.map(|event| (event.stamp, part.vm.as_str(), event.text.as_str())));
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
            "{}: {} earlier events are not kept",
            part.vm, part.dropped
        );
    }
    text
}

/// The words that an event must have.
fn filter(command: &Timeline) -> Vec<String> {
    let words = [
        ("service=", &command.service),
        ("key=", &command.key),
        ("id=", &command.request),
        ("", &command.target),
    ];
    let given = words
        .into_iter()
        .filter_map(|(name, value)| value.as_ref().map(|value| format!("{name}{value}")));
    given.collect()
}
