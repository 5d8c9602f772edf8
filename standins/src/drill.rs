//! Losses, freezes and cuts on a fleet of real processes, and what each cost its keys.

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

/// The service that is drilled.
const SERVICE: &str = "drill";
/// The VMs with their failure domains; enough of them that each domain's targets have three
/// grantors elsewhere, and that one more can take a lost one's place.
const VMS: [(&str, &str); 6] = [
    ("vm-1", "uio-norte"),
    ("vm-2", "uio-centro"),
    ("vm-3", "uio-sur"),
    ("vm-4", "uio-norte"),
    ("vm-5", "uio-centro"),
    ("vm-6", "uio-sur"),
];
/// Where the groups' records are kept in the platform's service.
const RECORDS: &str = "bramleypier/groups/";
/// The targets with their failure domains.
const TARGETS: [(&str, &str); 6] = [
    ("drill-1", "uio-norte"),
    ("drill-2", "uio-centro"),
    ("drill-3", "uio-sur"),
    ("drill-4", "uio-norte"),
    ("drill-5", "uio-centro"),
    ("drill-6", "uio-sur"),
];
/// The target that is lost.
const TARGET: &str = "drill-1";
/// The domain that is lost.
const DOMAIN: &str = "uio-norte";
/// How far the platform's list lags, so that nothing can lean on it.
const LIST_LAG_MS: u64 = 10_000;
/// The longest that the service may take until all keys are served.
const READY: Duration = Duration::from_secs(20);
/// How long traffic runs before anything breaks.
const WARM_UP: Duration = Duration::from_secs(1);
/// The key whose requests crash each target that runs them.
const CRASH_KEY: &str = "crash";
/// How often such a request is sent, and with which pauses.
const CRASH_SENDS: usize = 12;
const CRASH_PAUSE: Duration = Duration::from_millis(250);
/// A key that was not served for this long at the end counts as not served again.
const LAST_LOOK: Duration = Duration::from_secs(1);
/// How often the balancer asks for a VM's health.
const HEALTH_PERIOD: Duration = Duration::from_millis(50);

/// How a drill is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the VMs; found beside the running one unless given.
    pub program: Option<std::path::PathBuf>,
    /// Whether targets check grants.
    pub checks_grants: bool,
    /// How many keys are looked up.
    pub keys: usize,
    /// How often each key is looked up, and an order sent.
    pub period: Duration,
    /// Sections added to the VMs' settings.
    pub settings: String,
}

/// What one run of a scenario cost.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The longest time without service of each key of what was lost.
    pub lost: Vec<Duration>,
    /// The same for all other keys.
    pub others: Vec<Duration>,
    /// How many keys were not served in the last second.
    pub unserved: usize,
    /// From the first step until the last start of work at what was lost.
    pub last_work: Duration,
    /// Moves for each key.
    pub churn: f64,
    /// Targets that no longer ran at the end.
    pub dead: usize,
    /// Calls to the platform a second, a waiting watch counted as one.
    pub platform_rate: f64,
    /// Why look-ups were not served, with counts.
    pub reasons: Vec<(String, usize)>,
    /// What the audit found.
    pub findings: Findings,
    /// Calls and runs that were audited.
    pub audited: (usize, usize),
}

type Counts = IndexMap<String, u64>;
type Fault = Box<dyn std::error::Error>;

struct Drill {
    fleet: Fleet,
    callers: Callers,
    document: Document,
    grantors: Vec<String>,
    frozen: Option<String>,
}

/// Runs a scenario once on a fleet of its own.
///
/// # Errors
///
/// Fails when the fleet can't be brought up or a step can't be taken; bad outcomes of the system
/// are no errors but part of the [`Outcome`].
pub async fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, Fault> {
    let mut drill = Drill::start(options, scenario.needs_forwarders()).await?;
    let keys = services::keys(SERVICE, options.keys);
    services::wait_ready(&drill.callers, SERVICE, &keys, READY).await?;
    drill.grantors = drill.read_grantors().await?;
    drill.set_faults(false).await?;
    let traffic = Traffic::default();
    services::look_up_keys(&traffic, &drill.callers, SERVICE, &keys, options.period);
    let orders = drill.callers.with_deadline(Duration::from_secs(5));
    services::order_keys(&traffic, &orders, SERVICE, &keys, options.period);
    compio::time::sleep(WARM_UP).await;
    let before = drill.fleet.call_counts().await?;
    let begin = clock::now();
    for step in scenario.steps {
        drill.take(*step).await?;
    }
    let end = clock::now();
    let platform_rate = rate(
        &before,
        &drill.fleet.call_counts().await?,
        end.saturating_sub(begin),
    );
    traffic.stop().await;
    let mut outcome = drill.outcome(scenario, begin, end)?;
    outcome.platform_rate = platform_rate;
    Ok(outcome)
}

impl Drill {
    async fn start(options: &Options, forwarded: bool) -> Result<Self, Fault> {
        let mut fleet = Fleet::start(options.program.clone()).await?;
        fleet.add_settings(&options.settings);
        let path = fleet.dir().join("drill-template.ini");
        std::fs::write(&path, text(options.checks_grants))?;
        let setup = Setup {
            work_ms: 2,
            forwarded,
        };
        let mut document = services::start(&mut fleet, &path, &setup).await?;
        for (name, domain) in VMS {
            fleet.add_vm(name, domain, forwarded).await?;
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

    /// Reads which VMs grant to the target that is to be lost.
    async fn read_grantors(&self) -> Result<Vec<String>, Fault> {
        let platform = self.fleet.platform_address();
        let client = self.fleet.client();
        let list = format!("/v1/list?prefix={RECORDS}{SERVICE}");
        let list: serde_json::Value = client.get_json(&platform, &list).await?;
        let key = list["keys"][0]["key"].as_str().ok_or("no record")?;
        let record = client.get(&platform, &format!("/v1/kv/{key}")).await?;
        let record: serde_json::Value = rmp_serde::from_slice(&record.body)?;
        let trio = record["trios"][DOMAIN].as_array();
        let ids = trio.into_iter().flatten();
        // A VM's id is its name and a mark of its start.
        let names = ids.filter_map(|grantor| grantor["vm"].as_str()?.split('#').next());
        Ok(names.map(str::to_owned).collect())
    }

    fn grantor(&self, index: usize) -> Result<String, Fault> {
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

    async fn take(&mut self, step: Step) -> Result<(), Fault> {
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
            Step::BlockTarget { requests, answers } => self.cut(requests, answers)?,
            Step::IsolateGrantor => {
                let name = self.grantor(0)?;
                self.leave_out(&name);
                self.fleet.isolate(&name, true);
            }
            Step::Unblock => {
                self.cut(false, false)?;
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
        // The balancer's own lag is not the system's, so callers leave a dead VM at once.
        self.leave_out(name);
        self.fleet.kill(name)?;
        self.fleet.deregister(name).await
    }

    fn freeze(&mut self, name: &str) -> Result<(), fleet::Error> {
        self.leave_out(name);
        self.frozen = Some(name.to_owned());
        self.fleet.freeze(name)
    }

    fn cut(&self, requests: bool, answers: bool) -> Result<(), fleet::Error> {
        self.fleet.forwarder(TARGET)?.update_rules(|rules| {
            rules.block_in = requests;
            rules.block_out = answers;
        });
        Ok(())
    }

    /// Stops a VM while a balancer that asks for its health still sends callers to it.
    async fn stop(&mut self, name: &str) -> Result<(), Fault> {
        let Some(vm) = self.fleet.vms.get(name) else {
            return Ok(());
        };
        let (client, caller) = (self.fleet.client().clone(), vm.caller_address.clone());
        let entries: Vec<String> = self.entries_without(name);
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
            return Err(format!("{name} stopped with {status}").into());
        }
        Ok(())
    }

    /// Sends a request that crashes its target, and sends it again through other VMs.
    async fn crash(&mut self) -> Result<(), Fault> {
        let faults = crate::fault::Faults {
            kill_key: Some(CRASH_KEY.to_owned()),
            ..crate::fault::Faults::default()
        };
        for (name, _) in TARGETS {
            self.fleet.target_faults(name, &faults).await?;
        }
        for _ in 0..CRASH_SENDS {
            let same = self.callers.look_up_as(SERVICE, CRASH_KEY, CRASH_KEY);
            same.await;
            compio::time::sleep(CRASH_PAUSE).await;
        }
        Ok(())
    }

    fn entries_without(&self, name: &str) -> Vec<String> {
        let vms = self.fleet.vms.iter();
        vms.filter(|(other, _)| *other != name && self.fleet.is_running(other))
            .map(|(_, vm)| vm.caller_address.clone())
            .collect()
    }

    fn leave_out(&self, name: &str) {
        self.callers.set_entries(self.entries_without(name));
    }

    fn outcome(
        &mut self,
        scenario: &Scenario,
        begin: Duration,
        end: Duration,
    ) -> Result<Outcome, Fault> {
        let runs = self.fleet.runs_of_targets()?;
        let samples = self.callers.samples();
        let dead = self.fleet.dead_targets();
        let hit: IndexSet<String> = TARGETS
            .iter()
            .filter(|(name, domain)| *name == TARGET || scenario.whole_domain && *domain == DOMAIN)
            .map(|(name, _)| (*name).to_owned())
            .chain(dead.iter().cloned())
            .collect();
        let lost_keys = measure::keys_served_by(&samples, &hit, begin);
        let reasons = measure::reasons(&samples);
        let mut after = samples;
        after.retain(|sample| sample.sent + WARM_UP > begin && sample.key != CRASH_KEY);
        let gaps = measure::gaps(&after, end);
        let unserved = measure::unserved(&after, end.saturating_sub(LAST_LOOK)).len();
        let (lost, others) = gaps
            .into_iter()
            .partition::<Vec<_>, _>(|(key, _)| lost_keys.contains(key));
        let calls = self.callers.calls();
        Ok(Outcome {
            lost: lost.into_iter().map(|(_, gap)| gap).collect(),
            others: others.into_iter().map(|(_, gap)| gap).collect(),
            unserved,
            last_work: last_work(&runs, &hit, begin),
            churn: measure::churn(&runs),
            dead: dead.len(),
            platform_rate: 0.0,
            reasons,
            findings: audit::audit(&calls, &runs),
            audited: (calls.len(), runs.len()),
        })
    }
}

/// Returns the platform's calls a second between two readings of its counts.
#[allow(clippy::cast_precision_loss, reason = "counts of calls are small")]
fn rate(before: &Counts, after: &Counts, span: Duration) -> f64 {
    let sum = |counts: &Counts| counts.values().sum::<u64>();
    (sum(after) - sum(before)) as f64 / span.as_secs_f64()
}

fn last_work(runs: &[Run], hit: &IndexSet<String>, begin: Duration) -> Duration {
    let own = runs.iter().filter(|run| hit.contains(&run.target));
    let last = own.map(|run| run.started_ms).max().unwrap_or(0);
    Duration::from_millis(last).saturating_sub(begin)
}

/// Returns the document of the service, with addresses to be filled in.
fn text(checks: bool) -> String {
    let fencing = if checks { "checked" } else { "unchecked" };
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
