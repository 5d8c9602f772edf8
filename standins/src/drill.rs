//! Drills: scenarios of crashes, freezes, network partitions and planned stops on a fleet of real
//! processes.
//!
//! A drill runs traffic meanwhile and reports how long each key was without service.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    audit::{self, Findings},
    caller::Callers,
    clock,
    document::Document,
    fleet::{self, Fleet},
    journal::Run,
    measure,
    platform::Faults,
    services::{self, Setup, Traffic},
};

mod scenario;

pub use scenario::{SCENARIOS, Scenario, Step};

/// The name of the service under test.
const SERVICE: &str = "drill";
/// The VMs with their failure domains. The targets of each domain have four VMs in other domains:
/// three to be their grantors, and one to replace a lost grantor.
const VMS: [(&str, &str); 6] = [
    ("vm-1", "uio-norte"),
    ("vm-2", "uio-centro"),
    ("vm-3", "uio-sur"),
    ("vm-4", "uio-norte"),
    ("vm-5", "uio-centro"),
    ("vm-6", "uio-sur"),
];
/// The prefix of the groups' records in the platform's key-value store.
const RECORD_PREFIX: &str = "bramleypier/groups/";
/// The targets with their failure domains.
const TARGETS: [(&str, &str); 6] = [
    ("drill-1", "uio-norte"),
    ("drill-2", "uio-centro"),
    ("drill-3", "uio-sur"),
    ("drill-4", "uio-norte"),
    ("drill-5", "uio-centro"),
    ("drill-6", "uio-sur"),
];
/// The target that faults are applied to.
const TARGET: &str = "drill-1";
/// The failure domain of [`TARGET`].
const DOMAIN: &str = "uio-norte";
/// The lag of the platform's list, long enough that recovery can't depend on the list.
const LIST_LAG_MS: u64 = 10_000;
/// The time limit until all keys are served.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long traffic runs before the first step.
const WARM_UP: Duration = Duration::from_secs(1);
/// The key whose requests crash any target that runs them.
const CRASH_KEY: &str = "crash";
/// The number of attempts at such a request, and the pause between them.
const CRASH_ATTEMPTS: usize = 12;
const CRASH_PAUSE: Duration = Duration::from_millis(250);
/// A key that is not served within this time before the end counts as not recovered.
const FINAL_WINDOW: Duration = Duration::from_secs(1);
/// The interval of the load balancer's health checks.
const HEALTH_PERIOD: Duration = Duration::from_millis(50);

/// The options of a drill.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the VMs; by default the one next to the running executable.
    pub program: Option<std::path::PathBuf>,
    /// Whether targets check grants.
    pub checks_grants: bool,
    /// The number of keys to look up.
    pub keys: usize,
    /// The interval at which each key is looked up, and at which orders are sent.
    pub period: Duration,
    /// Sections to append to the VMs' settings.
    pub settings: String,
}

/// The result of one run of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The longest time without service of each key that lost its target.
    pub lost_gaps: Vec<Duration>,
    /// The longest time without service of each other key.
    pub other_gaps: Vec<Duration>,
    /// The number of keys that were not served in the last second.
    pub unserved: usize,
    /// The time from the first step to the last start of work at a lost target.
    pub last_work: Duration,
    /// The mean number of moves per key.
    pub churn: f64,
    /// The number of targets that were not running at the end.
    pub dead_targets: usize,
    /// Calls to the platform per second; a watch counts as one call however long it waits.
    pub platform_rate: f64,
    /// The reasons why look-ups were not served, with counts.
    pub reasons: Vec<(String, usize)>,
    /// The findings of the audit.
    pub findings: Findings,
    /// The numbers of audited calls and runs.
    pub audited: (usize, usize),
}

type Counts = IndexMap<String, u64>;
type BoxError = Box<dyn std::error::Error>;

struct Drill {
    fleet: Fleet,
    callers: Callers,
    document: Document,
    grantors: Vec<String>,
    frozen: Option<String>,
}

/// Runs a scenario once on a new fleet.
///
/// # Errors
///
/// Fails if the fleet can't be started or a step can't be applied. Misbehaviour of the system under
/// test is not an error but part of the [`Outcome`].
pub async fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, BoxError> {
    let mut drill = Drill::start(options, scenario.needs_forwarders()).await?;
    let keys = services::keys(SERVICE, options.keys);
    services::wait_ready(&drill.callers, SERVICE, &keys, READY_TIMEOUT).await?;
    drill.grantors = drill.read_grantors().await?;
    drill.set_faults(false).await?;
    let traffic = Traffic::default();
    services::look_up_keys(&traffic, &drill.callers, SERVICE, &keys, options.period);
    let orders = drill.callers.with_deadline(Duration::from_secs(5));
    services::order_keys(&traffic, &orders, SERVICE, &keys, options.period);
    compio::time::sleep(WARM_UP).await;
    let before = drill.fleet.call_counts().await?;
    let start = clock::now();
    for step in scenario.steps {
        drill.apply(*step).await?;
    }
    let end = clock::now();
    let platform_rate = calls_per_second(
        &before,
        &drill.fleet.call_counts().await?,
        end.saturating_sub(start),
    );
    traffic.stop().await;
    let mut outcome = drill.outcome(scenario, start, end)?;
    outcome.platform_rate = platform_rate;
    Ok(outcome)
}

impl Drill {
    async fn start(options: &Options, proxied: bool) -> Result<Self, BoxError> {
        let mut fleet = Fleet::start(options.program.clone()).await?;
        fleet.add_settings(&options.settings);
        let path = fleet.dir().join("drill-template.ini");
        std::fs::write(&path, document_text(options.checks_grants))?;
        let setup = Setup {
            work_ms: 2,
            proxied,
        };
        let mut document = services::start(&mut fleet, &path, &setup).await?;
        for (name, domain) in VMS {
            fleet.add_vm(name, domain, proxied).await?;
        }
        services::put(&fleet, VMS[0].0, &mut document).await?;
        let callers = Callers::new(fleet.caller_addresses(), measure::SERVED_WITHIN);
        Ok(Self {
            fleet,
            callers,
            document,
            grantors: Vec::new(),
            frozen: None,
        })
    }

    /// Reads the names of the VMs that grant to [`TARGET`] from its group's record.
    async fn read_grantors(&self) -> Result<Vec<String>, BoxError> {
        let platform = self.fleet.platform_address();
        let client = self.fleet.client();
        let list = format!("/v1/list?prefix={RECORD_PREFIX}{SERVICE}");
        let list: serde_json::Value = client.get_json(&platform, &list).await?;
        let key = list["keys"][0]["key"]
            .as_str()
            .ok_or("the service has no record in the store")?;
        let record = client.get(&platform, &format!("/v1/kv/{key}")).await?;
        let record: serde_json::Value = rmp_serde::from_slice(&record.body)?;
        let grantors = record["trios"][DOMAIN].as_array();
        let ids = grantors.into_iter().flatten();
        // A VM's id is its name and, after a `#`, its incarnation.
        let names = ids.filter_map(|grantor| grantor["vm"].as_str()?.split('#').next());
        Ok(names.map(str::to_owned).collect())
    }

    fn grantor(&self, index: usize) -> Result<String, BoxError> {
        let name = self.grantors.get(index);
        Ok(name.cloned().ok_or("the target has too few grantors")?)
    }

    async fn set_faults(&self, down: bool) -> Result<(), fleet::Error> {
        let faults = Faults {
            down,
            list_lag_ms: LIST_LAG_MS,
            ..Faults::default()
        };
        self.fleet.platform_faults(&faults).await
    }

    async fn apply(&mut self, step: Step) -> Result<(), BoxError> {
        match step {
            Step::Wait(ms) => compio::time::sleep(Duration::from_millis(ms)).await,
            Step::KillTarget => self.kill(TARGET).await?,
            Step::KillGrantor => self.kill(&self.grantor(0)?).await?,
            Step::KillSecondGrantor => self.kill(&self.grantor(1)?).await?,
            Step::KillDomain => {
                for (name, domain) in VMS.iter().chain(&TARGETS) {
                    if *domain == DOMAIN {
                        self.kill(name).await?;
                    }
                }
            }
            Step::FreezeTarget => self.freeze(TARGET)?,
            Step::FreezeGrantor => self.freeze(&self.grantor(0)?)?,
            Step::Resume => {
                if let Some(name) = self.frozen.take() {
                    self.fleet.resume(&name)?;
                }
            }
            Step::PlatformDown => self.set_faults(true).await?,
            Step::PlatformUp => self.set_faults(false).await?,
            Step::BlockTarget {
                requests,
                responses,
            } => self.block_target(requests, responses)?,
            Step::IsolateGrantor => {
                let name = self.grantor(0)?;
                self.exclude_entry(&name);
                self.fleet.isolate(&name, true);
            }
            Step::Unblock => {
                self.block_target(false, false)?;
                self.fleet.isolate(&self.grantor(0)?, false);
            }
            Step::DrainTarget => {
                let faults = crate::fault::Faults {
                    drain: true,
                    ..crate::fault::Faults::default()
                };
                self.fleet.target_faults(TARGET, &faults).await?;
            }
            Step::LeaveTarget => {
                self.document.set_target(TARGET, "state", "leaving");
                services::put(&self.fleet, VMS[0].0, &mut self.document).await?;
            }
            Step::StopGrantor => self.stop(&self.grantor(0)?).await?,
            Step::Crash => self.crash().await?,
        }
        Ok(())
    }

    async fn kill(&mut self, name: &str) -> Result<(), fleet::Error> {
        // The delay of a real load balancer isn't part of the measurement, so callers avoid a dead VM
        // at once.
        self.exclude_entry(name);
        self.fleet.kill(name)?;
        self.fleet.deregister(name).await
    }

    fn freeze(&mut self, name: &str) -> Result<(), fleet::Error> {
        self.exclude_entry(name);
        self.frozen = Some(name.to_owned());
        self.fleet.freeze(name)
    }

    fn block_target(&self, requests: bool, responses: bool) -> Result<(), fleet::Error> {
        self.fleet.forwarder(TARGET)?.update_rules(|rules| {
            rules.block_in = requests;
            rules.block_out = responses;
        });
        Ok(())
    }

    /// Stops a VM gracefully; callers use it until a simulated health check fails.
    async fn stop(&mut self, name: &str) -> Result<(), BoxError> {
        let Some(vm) = self.fleet.vms.get(name) else {
            return Ok(());
        };
        let (client, caller) = (self.fleet.client().clone(), vm.caller_address.clone());
        let entries: Vec<String> = self.entries_except(name);
        let callers = self.callers.clone();
        let balancer = compio::runtime::spawn(async move {
            while let Ok(reply) = client.get(&caller, "/healthz").await {
                if reply.status != 200 {
                    break;
                }
                compio::time::sleep(HEALTH_PERIOD).await;
            }
            callers.set_entries(entries);
        });
        let status = self.fleet.stop(name).await?;
        drop(balancer.await);
        if !status.success() {
            return Err(format!("{name} exited with {status}").into());
        }
        Ok(())
    }

    /// Sends a request that crashes its target, and retries it through other VMs.
    async fn crash(&mut self) -> Result<(), BoxError> {
        let faults = crate::fault::Faults {
            kill_key: Some(CRASH_KEY.to_owned()),
            ..crate::fault::Faults::default()
        };
        for (name, _) in TARGETS {
            self.fleet.target_faults(name, &faults).await?;
        }
        for _ in 0..CRASH_ATTEMPTS {
            let attempt = self.callers.look_up_as(SERVICE, CRASH_KEY, CRASH_KEY);
            attempt.await;
            compio::time::sleep(CRASH_PAUSE).await;
        }
        Ok(())
    }

    fn entries_except(&self, name: &str) -> Vec<String> {
        let vms = self.fleet.vms.iter();
        vms.filter(|(other, _)| *other != name && self.fleet.is_running(other))
            .map(|(_, vm)| vm.caller_address.clone())
            .collect()
    }

    fn exclude_entry(&self, name: &str) {
        self.callers.set_entries(self.entries_except(name));
    }

    fn outcome(
        &mut self,
        scenario: &Scenario,
        start: Duration,
        end: Duration,
    ) -> Result<Outcome, BoxError> {
        let runs = self.fleet.runs_of_targets()?;
        let samples = self.callers.samples();
        let dead = self.fleet.dead_targets();
        let lost_targets: IndexSet<String> = TARGETS
            .iter()
            .filter(|(name, domain)| *name == TARGET || scenario.whole_domain && *domain == DOMAIN)
            .map(|(name, _)| (*name).to_owned())
            .chain(dead.iter().cloned())
            .collect();
        let lost_keys = measure::keys_served_by(&samples, &lost_targets, start);
        let reasons = measure::reasons(&samples);
        let mut measured = samples;
        measured.retain(|sample| sample.sent + WARM_UP > start && sample.key != CRASH_KEY);
        let gaps = measure::gaps(&measured, end);
        let unserved = measure::unserved(&measured, end.saturating_sub(FINAL_WINDOW)).len();
        let (lost, others) = gaps
            .into_iter()
            .partition::<Vec<_>, _>(|(key, _)| lost_keys.contains(key));
        let calls = self.callers.calls();
        Ok(Outcome {
            lost_gaps: lost.into_iter().map(|(_, gap)| gap).collect(),
            other_gaps: others.into_iter().map(|(_, gap)| gap).collect(),
            unserved,
            last_work: last_work(&runs, &lost_targets, start),
            churn: measure::churn(&runs),
            dead_targets: dead.len(),
            platform_rate: 0.0,
            reasons,
            findings: audit::audit(&calls, &runs),
            audited: (calls.len(), runs.len()),
        })
    }
}

/// Returns the calls to the platform per second between two reads of its counts.
#[allow(clippy::cast_precision_loss, reason = "counts of calls are small")]
fn calls_per_second(before: &Counts, after: &Counts, span: Duration) -> f64 {
    let sum = |counts: &Counts| counts.values().sum::<u64>();
    (sum(after) - sum(before)) as f64 / span.as_secs_f64()
}

fn last_work(runs: &[Run], lost_targets: &IndexSet<String>, start: Duration) -> Duration {
    let lost = runs.iter().filter(|run| lost_targets.contains(&run.target));
    let latest = lost.map(|run| run.started_ms).max().unwrap_or(0);
    Duration::from_millis(latest).saturating_sub(start)
}

/// Returns the service document with placeholder addresses.
fn document_text(checks_grants: bool) -> String {
    let fencing = if checks_grants {
        "checked"
    } else {
        "unchecked"
    };
    let mut text = format!(
        "[service]\nname = {SERVICE}\nownership = exclusive\ngroups = 1\nranges = 4\n\
         unavailable_weight = 1\nchurn_weight = 1\nbody_limit = 1048576\n\n\
         [class orders]\nmethods = POST\nidempotent = false\nshare = 40\n\
         deadline_ms = 10000\nqueue_ms = 500\n\n\
         [class lookups]\nmethods = GET, HEAD\nidempotent = true\nshare = 60\n\
         deadline_ms = 2000\nqueue_ms = 300\n"
    );
    for (name, domain) in TARGETS {
        let lines = [
            format!("\n[target {name}]"),
            "address = 127.0.0.1:1".to_owned(),
            format!("domain = {domain}"),
            format!("fencing = {fencing}"),
            "slots = 2".to_owned(),
            "connections = 120\n".to_owned(),
        ];
        text += &lines.join("\n");
    }
    text
}
