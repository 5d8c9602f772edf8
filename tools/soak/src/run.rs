//! Plays a plan and gathers what was seen.

mod faults;
mod restrictions;
mod watch;

use std::{
    cell::{Cell, RefCell},
    fs, io,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::Duration,
};

use bramleypier_platform_standin::store;
use bramleypier_util::clock::Clock;
use futures_util::future;
use indexmap::IndexMap;

use self::restrictions::Spared;
use crate::{
    callers::{Callers, Kind},
    check::Account,
    fleet::{Error, KEYS, World},
    plan::Plan,
};

/// How often holders, processes and logs are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How long after the last fault recovery is waited for.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a grant may be carried out late, and a request go on.
const SETTLED: Duration = Duration::from_secs(4);

/// A time in which something was disturbed; `vm` is none for the store.
#[derive(Clone, Copy, Debug)]
struct Disturbed {
    vm: Option<usize>,
    from: Duration,
    to: Duration,
}

/// What the tasks of a run share.
#[derive(Clone)]
struct Run {
    world: Rc<RefCell<World>>,
    account: Rc<RefCell<Account>>,
    disturbed: Rc<RefCell<Vec<Disturbed>>>,
    spared: Rc<RefCell<Vec<Spared>>>,
    /// When each version of the configuration was accepted.
    accepted: Rc<RefCell<IndexMap<u32, Duration>>>,
    over: Rc<Cell<bool>>,
    callers: Callers,
    clock: Clock,
}

/// Plays a plan with the program at a path; logs go to `folder` if there is one.
///
/// # Errors
///
/// [`Error`] when the run could not be set up.
pub async fn play(
    binary: &Path,
    plan: &Plan,
    seed: u64,
    folder: Option<&Path>,
) -> Result<Account, Error> {
    let world = World::new(binary, plan).await?;
    let run = Run {
        world: Rc::new(RefCell::new(world)),
        account: Rc::default(),
        disturbed: Rc::default(),
        spared: Rc::default(),
        accepted: Rc::default(),
        over: Rc::default(),
        callers: Callers::default(),
        clock: Clock::real(),
    };
    run.configure();
    for vm in 0..plan.size.vms {
        run.world.borrow_mut().start(vm)?;
    }
    let begun = run.clock.now();
    run.until_served().await;
    for vm in 0..plan.size.vms {
        run.disturb(Some(vm), begun, run.clock.now());
    }
    let watching = run.clone();
    compio::runtime::spawn(async move { watching.watch().await }).detach();
    for vm in 0..plan.size.vms {
        let address = run.world.borrow().vms[vm].listens.callers;
        run.callers.start(vm, address, seed);
    }
    let steps = plan.steps.iter().map(|step| run.clone().take(*step));
    let steps: Vec<_> = steps.map(compio::runtime::spawn).collect();
    for step in steps {
        // A step that failed to start something has said so; the checks tell what came of it.
        let _ = step.await;
    }
    let recovered = run.until_served().await;
    run.callers.stop();
    run.clock.sleep(SETTLED).await;
    run.over.set(true);
    if let Some(folder) = folder {
        // Logs are a help; the account stands without them.
        let _ = run.keep_logs(folder);
    }
    Ok(run.settle(plan, recovered))
}

impl Run {
    /// Writes the next version of the configuration.
    fn configure(&self) {
        let version = u32::try_from(self.accepted.borrow().len() + 1).unwrap_or(u32::MAX);
        let config = store::config(version, "/key/");
        self.world.borrow().store.put("op/config", &config);
        self.accepted.borrow_mut().insert(version, self.clock.now());
    }

    /// Waits until every VM serves each kind of request; returns how long that took, if it came about.
    async fn until_served(&self) -> Option<Duration> {
        let begun = self.clock.now();
        while self.clock.now() < begun + PATIENCE {
            if self.is_served().await {
                return Some(self.clock.now().saturating_sub(begun));
            }
            self.clock.sleep(5 * LOOK).await;
        }
        None
    }

    /// Asks every VM for each kind of request once, all VMs at once; returns whether all was answered.
    async fn is_served(&self) -> bool {
        let listens: Vec<_> = {
            let world = self.world.borrow();
            world.vms.iter().map(|vm| vm.listens.callers).collect()
        };
        let asked = listens.into_iter().enumerate();
        let asked = asked.map(|(vm, address)| self.is_served_by(vm, address));
        future::join_all(asked)
            .await
            .into_iter()
            .all(|served| served)
    }

    async fn is_served_by(&self, vm: usize, address: SocketAddr) -> bool {
        let keys = KEYS.map(Kind::Key);
        for kind in keys.into_iter().chain([Kind::Look, Kind::Order]) {
            if !self.callers.ask(vm, address, kind).await {
                return false;
            }
        }
        true
    }

    fn settle(&self, plan: &Plan, recovered: Option<Duration>) -> Account {
        let mut account = self.account.take();
        account.planned = plan.is_planned();
        account.recovered = recovered;
        account.newest = u32::try_from(self.accepted.borrow().len()).unwrap_or(u32::MAX);
        account.requests = self.callers.take();
        self.note_spared(&mut account);
        for id in self.world.borrow().ran() {
            *account.ran.entry(id).or_default() += 1;
        }
        account
    }

    fn keep_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        for vm in &self.world.borrow().vms {
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
