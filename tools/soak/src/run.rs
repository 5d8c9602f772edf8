//! Executes a plan and collects the observations.
//!
//! A run starts the cluster and waits until everything is served. It then executes the steps of the plan while callers
//! send requests, and measures how long recovery takes after the last step.

mod budget;
mod faults;
mod notices;
mod partitions;
mod restrictions;
mod troubles;
mod watch;

use std::{
    cell::{Cell, RefCell},
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use bramleypier_platform_standin::store;
use bramleypier_util::clock::Clock;
use futures_util::future;
use indexmap::IndexMap;

use self::{
    notices::{PathDisturbance, Statement},
    partitions::PartitionTime,
    restrictions::Restriction,
};
use crate::{
    callers::{Callers, RequestKind},
    check::Observations,
    deployment,
    fleet::{Cluster, Error, KEYS},
    plan::{Plan, Shape},
};

/// The interval at which owners of keys, processes and logs are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which waiting for recovery ends.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// The time after the last request for late grants to be applied and for requests to end at the targets.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// A time during which a VM, or the store if `vm` is `None`, was disturbed.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    vm: Option<usize>,
    from: Duration,
    to: Duration,
}

/// The state that the tasks of a run share.
#[derive(Clone)]
struct Run {
    cluster: Rc<RefCell<Cluster>>,
    observations: Rc<RefCell<Observations>>,
    disturbances: Rc<RefCell<Vec<Disturbance>>>,
    restrictions: Rc<RefCell<Vec<Restriction>>>,
    statements: Rc<RefCell<Vec<Statement>>>,
    path_disturbances: Rc<RefCell<Vec<PathDisturbance>>>,
    partitions: Rc<RefCell<Vec<PartitionTime>>>,
    /// When each version of the configuration was accepted.
    accepted_at: Rc<RefCell<IndexMap<u32, Duration>>>,
    finished: Rc<Cell<bool>>,
    shape: Shape,
    callers: Callers,
    clock: Clock,
}

/// Executes a plan, and writes the logs to `folder` if there is one.
///
/// VMs run the builds at `binaries` in turn; see [`Cluster::new`].
///
/// # Errors
///
/// [`Error`] when the run could not be set up.
pub async fn execute(
    binaries: &[PathBuf],
    plan: &Plan,
    seed: u64,
    folder: Option<&Path>,
) -> Result<Observations, Error> {
    let cluster = Cluster::new(binaries, plan).await?;
    let run = Run {
        cluster: Rc::new(RefCell::new(cluster)),
        observations: Rc::default(),
        disturbances: Rc::default(),
        restrictions: Rc::default(),
        statements: Rc::default(),
        path_disturbances: Rc::default(),
        partitions: Rc::default(),
        accepted_at: Rc::default(),
        finished: Rc::default(),
        shape: plan.shape,
        callers: Callers::new(plan.shape),
        clock: Clock::real(),
    };
    run.write_configuration();
    for vm in 0..plan.size.vms {
        run.cluster.borrow_mut().start(vm)?;
    }
    let started = run.clock.now();
    run.until_served().await;
    for vm in 0..plan.size.vms {
        run.note_disturbance(Some(vm), started, run.clock.now());
    }
    let watcher = run.clone();
    compio::runtime::spawn(async move { watcher.watch().await }).detach();
    for vm in 0..plan.size.vms {
        run.start_callers(plan, vm, seed);
    }
    for vm in plan.size.vms..plan.size.vms + plan.spare_vms() {
        run.start_callers(plan, vm, seed);
    }
    let steps = plan.steps.iter().map(|step| run.clone().run_step(*step));
    let steps: Vec<_> = steps.map(compio::runtime::spawn).collect();
    for step in steps {
        // A step that failed to start a process has printed so; the checks report the consequences.
        let _ = step.await;
    }
    let recovery_time = run.until_served().await;
    run.callers.stop();
    run.clock.sleep(SETTLE_TIME).await;
    run.finished.set(true);
    if let Some(folder) = folder {
        // The observations are complete without the logs, so a failure to write them is ignored.
        let _ = run.write_logs(folder);
    }
    Ok(run.complete_observations(plan, recovery_time))
}

impl Run {
    /// Starts the callers of one VM, which need not run yet.
    fn start_callers(&self, plan: &Plan, vm: usize, seed: u64) {
        let address = self.cluster.borrow().vms[vm].listen.callers;
        if plan.shape == Shape::Deployment {
            self.callers.start_deployment(vm, address, seed);
            return;
        }
        self.callers.start(vm, address, seed, plan.pause);
        if plan.pipelines {
            self.callers.start_pipelining(vm, address, seed, plan.pause);
        }
    }

    /// Writes the next version of the configuration.
    fn write_configuration(&self) {
        let version = u32::try_from(self.accepted_at.borrow().len() + 1).unwrap_or(u32::MAX);
        let config = match self.shape {
            Shape::Small => store::config(version, "/key/"),
            Shape::Deployment => deployment::config(version),
        };
        self.cluster.borrow().store.put("op/config", &config);
        self.accepted_at
            .borrow_mut()
            .insert(version, self.clock.now());
    }

    /// Waits until every VM serves each kind of request; returns how long that took, or `None` after a timeout.
    async fn until_served(&self) -> Option<Duration> {
        let started = self.clock.now();
        while self.clock.now() < started + RECOVERY_TIMEOUT {
            if self.is_served().await {
                return Some(self.clock.now().saturating_sub(started));
            }
            self.clock.sleep(5 * POLL_INTERVAL).await;
        }
        None
    }

    /// Sends each kind of request once to every VM, to all VMs concurrently; returns whether all were served.
    async fn is_served(&self) -> bool {
        let addresses: Vec<_> = {
            let cluster = self.cluster.borrow();
            let started = cluster.vms.iter().filter(|vm| vm.has_started());
            started.map(|vm| (vm.number, vm.listen.callers)).collect()
        };
        let requests = addresses.into_iter();
        let requests = requests.map(|(vm, address)| self.is_served_by(vm, address));
        future::join_all(requests)
            .await
            .into_iter()
            .all(|served| served)
    }

    async fn is_served_by(&self, vm: usize, address: SocketAddr) -> bool {
        let keys = KEYS.map(RequestKind::Key);
        let kinds = keys
            .into_iter()
            // The owner of one key can't serve all VMs of a deployment within its goal.
            .filter(|_| self.shape == Shape::Small)
            .chain([RequestKind::Lookup, RequestKind::Order]);
        for kind in kinds {
            if !self.callers.send(vm, address, kind).await {
                return false;
            }
        }
        true
    }

    /// Completes the observations after the end of the run.
    fn complete_observations(&self, plan: &Plan, recovery_time: Option<Duration>) -> Observations {
        let mut observations = self.observations.take();
        observations.planned_only = plan.is_planned();
        observations.recovery_time = recovery_time;
        observations.newest_version =
            u32::try_from(self.accepted_at.borrow().len()).unwrap_or(u32::MAX);
        observations.requests = self.callers.take();
        self.note_restriction_violations(&mut observations);
        self.note_notices(&mut observations);
        self.note_partitions(&mut observations);
        self.note_budget(plan, &mut observations);
        for id in self.cluster.borrow().executions() {
            *observations.executions.entry(id).or_default() += 1;
        }
        for (_, server) in self.cluster.borrow().servers() {
            for id in server.failed() {
                *observations.failures.entry(id).or_default() += 1;
            }
        }
        observations
    }

    /// Writes the log of each VM to a file of its own, and what reached the targets to another.
    fn write_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("targets.log"), self.target_log())?;
        fs::write(folder.join("orders.log"), self.order_log())?;
        for vm in &self.cluster.borrow().vms {
            let mut logs = vm.logs.clone();
            if let Some(program) = &vm.program {
                logs.extend(program.lines.lock().map(|it| it.clone()));
            }
            let lines: Vec<String> = logs.into_iter().flatten().collect();
            fs::write(
                folder.join(format!("vm-{}.log", vm.number)),
                lines.join("\n"),
            )?;
        }
        Ok(())
    }
}
