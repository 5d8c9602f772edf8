//! Plans in the shape of a deployment, with each kind of trouble that it knows.

use std::time::Duration;

use bramleypier_platform_standin::{server, store};
use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{DeploymentFault, Fault, Plan, Shape, Size, Step, VmSet};
use crate::{
    deployment::{SERVICES, SPARE_VMS},
    proxy::{Cut, Mode, Spoiling},
};

/// When the first trouble begins.
const FIRST_TROUBLE_MS: u64 = 500;
/// How long before the end of a plan the last trouble begins.
const LAST_TROUBLE_MS: u64 = 6000;
/// How many kinds of trouble a plan has at most.
const MAX_TROUBLES: usize = 14;
/// How many it has at least.
const MIN_TROUBLES: usize = 7;
/// The time between two steps of a series.
const SERIES_GAP: Duration = Duration::from_millis(1300);

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    AddedVms,
    KillAfterChange,
    LostAnswers,
    AnswersLostByReset,
    LateGrants,
    Burst,
    Changes,
    LeaderCut,
    Kill,
    SpoiledAnswers,
    SecondAnswers,
    StrayBytes,
    GiveUp,
    KillMany,
    HotKey,
    Reload,
    SlowPaths,
    CutVm,
    Freeze,
    SlowVm,
    ForgottenHistory,
    StoreBusy,
    StoreLosesAnswers,
    StoreSlow,
    StoreTurnsAway,
    ReplacedTargets,
    MovedVm,
    AddressReuse,
    ResetConnections,
    Stops,
    MovingCallers,
    TargetCrash,
    TargetCut,
    FailingTargets,
    SlowTargets,
}

impl Trouble {
    const ALL: [Self; 35] = [
        Self::AddedVms,
        Self::KillAfterChange,
        Self::LostAnswers,
        Self::AnswersLostByReset,
        Self::LateGrants,
        Self::Burst,
        Self::Changes,
        Self::LeaderCut,
        Self::Kill,
        Self::SpoiledAnswers,
        Self::SecondAnswers,
        Self::StrayBytes,
        Self::GiveUp,
        Self::KillMany,
        Self::HotKey,
        Self::Reload,
        Self::SlowPaths,
        Self::CutVm,
        Self::Freeze,
        Self::SlowVm,
        Self::ForgottenHistory,
        Self::StoreBusy,
        Self::StoreLosesAnswers,
        Self::StoreSlow,
        Self::StoreTurnsAway,
        Self::ReplacedTargets,
        Self::MovedVm,
        Self::AddressReuse,
        Self::ResetConnections,
        Self::Stops,
        Self::MovingCallers,
        Self::TargetCrash,
        Self::TargetCut,
        Self::FailingTargets,
        Self::SlowTargets,
    ];
}

/// Draws the steps of troubles.
struct Draw {
    random: SmallRng,
    vms: usize,
    steps: Vec<Step>,
    at: Duration,
}

impl Draw {
    fn vm(&mut self) -> usize {
        self.random.random_range(0..self.vms)
    }

    fn target(&mut self) -> usize {
        let targets = SERVICES.iter().map(|it| it.targets).sum();
        self.random.random_range(0..targets)
    }

    fn service(&mut self) -> &'static str {
        SERVICES[self.random.random_range(0..SERVICES.len())].name
    }

    /// Returns a set with some VMs, but not all.
    fn some_vms(&mut self) -> VmSet {
        let all: VmSet = (1 << self.vms.min(31)) - 1;
        self.random.random_range(1..all)
    }

    fn pick<T>(&mut self, values: &[T]) -> T
    where
        T: Copy,
    {
        *values.choose(&mut self.random).unwrap_or(&values[0])
    }

    fn push<F>(&mut self, duration_ms: u64, fault: F)
    where
        F: Into<Fault>,
    {
        self.steps.push(Step {
            at: self.at,
            duration: Duration::from_millis(duration_ms),
            fault: fault.into(),
        });
    }

    /// Adds several steps, one after the other, each as `fault` draws it.
    fn series<F, T>(&mut self, count: usize, duration_ms: u64, mut fault: F)
    where
        F: FnMut(&mut Self) -> T,
        T: Into<Fault>,
    {
        for _ in 0..count {
            let next = fault(self);
            self.push(duration_ms, next);
            self.at += SERIES_GAP;
        }
    }

    /// Adds several steps at once, each as `fault` draws it.
    fn several<F, T>(&mut self, count: usize, duration_ms: u64, mut fault: F)
    where
        F: FnMut(&mut Self) -> T,
        T: Into<Fault>,
    {
        for _ in 0..count {
            let next = fault(self);
            self.push(duration_ms, next);
        }
    }

    /// Adds the steps of one trouble, which begins at `at`.
    fn add(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::AddedVms => {
                for spare in 0..SPARE_VMS {
                    let vm = self.vms + spare;
                    self.push(0, DeploymentFault::Add(vm));
                }
            }
            Trouble::KillAfterChange => {
                self.push(0, Fault::Configs(1));
                let vm = self.vm();
                self.push(3000, DeploymentFault::KillSet(1 << vm));
            }
            Trouble::LostAnswers => self.spoil(5500, Spoiling::Lost),
            Trouble::AnswersLostByReset => self.spoil(4000, Spoiling::LostByReset),
            Trouble::LateGrants => self.several(4, 5500, |draw| {
                Fault::Target(
                    draw.random.random_range(0..SERVICES[0].targets),
                    server::Fault::LateGrants,
                )
            }),
            Trouble::Burst => self.push(5500, DeploymentFault::Press),
            Trouble::Changes => self.series(3, 0, |_| Fault::Configs(1)),
            Trouble::Kill => self.several(2, 3500, |draw| Fault::Kill(draw.vm())),
            Trouble::SpoiledAnswers => self.spoil_by_one_of(&[Spoiling::Broken, Spoiling::Noise]),
            Trouble::SecondAnswers => self.spoil_by_one_of(&[Spoiling::Twice, Spoiling::Late]),
            Trouble::StrayBytes => self.spoil_by_one_of(&[
                Spoiling::Unnamed,
                Spoiling::Foreign,
                Spoiling::CutRefusal,
                Spoiling::CutMisdirection,
                Spoiling::CutAnswer,
            ]),
            Trouble::GiveUp => self.push(5500, DeploymentFault::GiveUp),
            Trouble::KillMany => {
                let vms = self.some_vms();
                self.push(2000, DeploymentFault::KillSet(vms));
            }
            Trouble::HotKey => self.push(5500, DeploymentFault::HotKey),
            Trouble::Reload => self.series(6, 0, |draw| DeploymentFault::Reload(draw.vm())),
            Trouble::SlowPaths => self.several(8, 5500, |draw| {
                Fault::TargetPath(draw.target(), Mode::Delay)
            }),
            Trouble::CutVm => {
                let vm = self.vm();
                let (mode, cut) =
                    self.pick(&[(Mode::Silent, Cut::Hang), (Mode::Reset, Cut::Reset)]);
                self.push(5500, Fault::StorePath(vm, mode));
                self.push(5500, Fault::Partition(1 << vm, cut));
            }
            Trouble::Freeze => self.series(2, 4000, |draw| Fault::Pause(draw.vm())),
            Trouble::SlowVm => self.several(2, 5500, |draw| DeploymentFault::Slow(draw.vm())),
            Trouble::ReplacedTargets => self.series(4, 0, |draw| {
                let target = draw.target();
                draw.pick(&[Fault::TargetLeaves(target), Fault::TargetEnds(target)])
            }),
            Trouble::MovedVm => {
                let vm = self.vm();
                self.push(2000, DeploymentFault::Move(vm));
            }
            Trouble::AddressReuse => {
                self.several(4, 2500, |draw| DeploymentFault::AddressReuse(draw.target()));
            }
            Trouble::ResetConnections => self.several(3, 0, |draw| {
                DeploymentFault::ResetConnections(draw.vm(), draw.pick(&[20, 50, 100]))
            }),
            Trouble::Stops => self.series(5, 0, |draw| Fault::Stop(draw.vm())),
            Trouble::MovingCallers => {
                let vms = self.some_vms();
                self.push(6500, Fault::Quiet(vms));
            }
            Trouble::TargetCrash => {
                self.several(4, 4500, |draw| Fault::TargetDown(draw.target()));
            }
            Trouble::TargetCut => {
                self.several(5, 9000, |draw| DeploymentFault::Unlisted(draw.target()));
                let vm = self.vm();
                self.push(9000, Fault::StorePath(vm, Mode::Silent));
            }
            Trouble::FailingTargets => self.several(3, 6500, |draw| {
                let fault = draw.pick(&[server::Fault::Refuse, server::Fault::Fail]);
                Fault::Target(draw.target(), fault)
            }),
            Trouble::SlowTargets => {
                self.several(5, 6500, |draw| DeploymentFault::SlowTarget(draw.target()));
            }
            Trouble::LeaderCut
            | Trouble::ForgottenHistory
            | Trouble::StoreBusy
            | Trouble::StoreLosesAnswers
            | Trouble::StoreSlow
            | Trouble::StoreTurnsAway => self.add_store_trouble(trouble),
        }
    }

    /// Adds the steps of one trouble of the store, or of the paths to it.
    fn add_store_trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::LeaderCut => self.several(2, 5500, |draw| {
                let mode = draw.pick(&[Mode::CutThere, Mode::CutBack, Mode::Silent]);
                Fault::StorePath(draw.vm(), mode)
            }),
            Trouble::ForgottenHistory => {
                self.push(0, Fault::Forget);
                let target = self.target();
                self.push(0, Fault::TargetLeaves(target));
            }
            Trouble::StoreBusy => {
                let fault = self.pick(&[store::Fault::Status(503), store::Fault::Silent]);
                self.push(4500, Fault::Store(fault));
                self.push(0, Fault::Lapse);
            }
            Trouble::StoreLosesAnswers => {
                self.push(4500, Fault::Store(store::Fault::LoseAnswer));
            }
            Trouble::StoreSlow => {
                for vm in 0..self.vms {
                    self.push(4500, Fault::StorePath(vm, Mode::Delay));
                }
            }
            Trouble::StoreTurnsAway => {
                let vms = self.some_vms();
                let mode = self.pick(&[Mode::Reset, Mode::Silent, Mode::CutBack]);
                self.push(9000, Fault::TurnedAway(vms, mode));
            }
            _ => {}
        }
    }

    /// Spoils some responses in one of these ways.
    fn spoil_by_one_of(&mut self, ways: &[Spoiling]) {
        let spoiling = self.pick(ways);
        self.spoil(5500, spoiling);
    }

    /// Spoils some responses of a service, mostly of the one whose requests may run once.
    fn spoil(&mut self, duration_ms: u64, spoiling: Spoiling) {
        let any = self.service();
        let service = self.pick(&["plain", any]);
        let percent = self.pick(&[3, 6, 30]);
        self.push(
            duration_ms,
            DeploymentFault::Spoil(service, spoiling, percent),
        );
    }
}

impl Plan {
    /// Generates a plan in the shape of a deployment: its services and callers, and several of its troubles.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Plan, Shape, Size};
    ///
    /// let plan = Plan::generate_like_deployment(1, Size { vms: 10, seconds: 32 });
    /// assert!(plan.shape == Shape::Deployment && plan.steps.len() > 7);
    /// ```
    pub fn generate_like_deployment(seed: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 39));
        let mut troubles = Trouble::ALL;
        troubles.shuffle(&mut random);
        let count = random.random_range(MIN_TROUBLES..=MAX_TROUBLES);
        let mut draw = Draw {
            random,
            vms: size.vms,
            steps: Vec::new(),
            at: Duration::ZERO,
        };
        let last = (size.seconds * 1000).saturating_sub(LAST_TROUBLE_MS);
        for trouble in &troubles[..count] {
            let begin = draw
                .random
                .random_range(FIRST_TROUBLE_MS..last.max(FIRST_TROUBLE_MS + 1));
            draw.at = Duration::from_millis(begin);
            draw.add(*trouble);
        }
        let mut steps = draw.steps;
        steps.sort_by_key(|step| step.at);
        Self {
            shape: Shape::Deployment,
            ..Self::of_steps(size, steps)
        }
    }
}
