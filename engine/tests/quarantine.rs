//! Which requests are quarantined, by the crashes that VMs tell each other of.

use std::time::Duration;

use bramleypier_engine::{
    catalogue::TargetHash,
    peer::News,
    quarantine::{CrashReport, Fingerprint, MAX_ENDED, Run, SUSPICION_TIME, Suspects},
};
use hyper::{Method, Uri};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const NOW: Duration = Duration::from_secs(100);
/// How long after the third crash a request that ends targets may still be sent.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How often it may be sent after that.
const MAX_SENT_LATER: usize = 3;

fn request(number: usize) -> Fingerprint {
    let uri: Uri = format!("/look/{number}").parse().unwrap();
    Fingerprint::new(&Method::GET, "a.example", &uri, None, [])
}

fn run(target: TargetHash) -> Run {
    Run { target, started: 1 }
}

fn crash(suspects: &mut Suspects, number: usize, targets: &[TargetHash]) {
    for target in targets {
        suspects.record_crash(NOW, request(number), run(*target));
    }
}

fn is_quarantined(suspects: &Suspects, number: usize) -> bool {
    suspects.remaining(NOW, request(number)).is_some()
}

#[test]
fn a_request_is_quarantined_once_three_targets_have_ended_under_it() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 0, &[1, 2, 2, 1]);
    assert!(!is_quarantined(&suspects, 0));
    crash(&mut suspects, 0, &[3]);
    assert!(is_quarantined(&suspects, 0));
    assert_eq!(
        suspects.remaining(NOW, request(0)),
        Some(SUSPICION_TIME),
        "callers are told when it ends"
    );
}

#[test]
fn a_target_that_ends_twice_counts_twice() {
    let mut suspects = Suspects::default();
    for started in 1..=3 {
        suspects.record_crash(NOW, request(0), Run { target: 1, started });
    }
    assert!(is_quarantined(&suspects, 0));
}

/// Guards against harmless requests that share their owner with one that ends it, time and again.
#[test]
fn a_harmless_request_beside_one_that_ends_targets_is_let_through_after_one_more_crash() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        crash(&mut suspects, 0, &[target]);
        crash(&mut suspects, 1, &[target]);
    }
    let refused = [0, 1].map(|it| is_quarantined(&suspects, it));
    assert_eq!(refused.iter().filter(|it| **it).count(), 1, "{refused:?}");
    crash(&mut suspects, 0, &[4]);
    assert_eq!(
        [0, 1].map(|it| is_quarantined(&suspects, it)),
        [true, false]
    );
}

#[test]
fn two_requests_that_end_different_targets_are_both_quarantined() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 0, &[1, 2, 3, 4]);
    crash(&mut suspects, 1, &[4, 5, 6, 7]);
    assert!(is_quarantined(&suspects, 0) && is_quarantined(&suspects, 1));
}

/// Guards against a popular request that is refused because three of its targets were lost at the same moment.
#[test]
fn a_request_that_completes_anywhere_is_acquitted_everywhere() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    crash(&mut here, 0, &[1, 2, 3]);
    there.merge(NOW, &here.news(NOW));
    assert!(is_quarantined(&there, 0));
    there.record_completion(NOW, request(0));
    here.merge(NOW, &there.news(NOW));
    assert!(!is_quarantined(&here, 0) && !is_quarantined(&there, 0));
    // The same crashes, told once more by a VM that doesn't know yet, change nothing.
    crash(&mut here, 0, &[1, 2, 3]);
    assert!(!is_quarantined(&here, 0));
}

/// Guards against rumours: VMs that learn of a crash late would pass it on for as long again.
#[test]
fn a_suspicion_ends_with_the_age_of_the_crashes() {
    let (mut old, mut young) = (Suspects::default(), Suspects::default());
    crash(&mut old, 0, &[1, 2, 3]);
    let later = NOW + SUSPICION_TIME / 2;
    young.merge(later, &old.all(later));
    assert_eq!(young.remaining(later, request(0)), Some(SUSPICION_TIME / 2));
    assert!(young.remaining(NOW + SUSPICION_TIME, request(0)).is_none());
}

#[test]
fn what_was_learned_long_ago_is_no_news() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 0, &[1, 2, 3]);
    assert_eq!(suspects.news(NOW).len(), MAX_ENDED);
    assert!(suspects.news(NOW + Duration::from_mins(1)).is_empty());
    assert_eq!(suspects.all(NOW + Duration::from_mins(1)).len(), MAX_ENDED);
}

/// Guards against messages that grow with the requests that a lost failure domain takes along.
#[test]
fn messages_are_bounded_and_name_the_worst_suspect() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 0, &[1, 2, 3]);
    for number in 1..3000 {
        crash(&mut suspects, number, &[4]);
    }
    let news = suspects.news(NOW);
    assert!(news.len() <= 32, "{} reports", news.len());
    let worst = news.iter().filter(|it| it.request == request(0));
    assert_eq!(worst.count(), MAX_ENDED);
    assert!(is_quarantined(&suspects, 0));
}

#[test]
fn news_of_builds_that_know_no_crashes_are_read() {
    let news: News = rmp_serde::from_slice(&[0x80]).unwrap();
    assert_eq!(news, News::default());
}

proptest! {
    /// All VMs that know the same crashes refuse the same requests, in whichever order they have learned of them.
    #[test]
    fn verdicts_do_not_depend_on_the_order_of_reports(
        reports in prop::collection::vec((0..6_usize, 0..8_u32, prop::bool::weighted(0.1)), 0..40),
        seed in any::<u64>(),
    ) {
        let report = |(number, target, acquitted): &(usize, TargetHash, bool)| CrashReport {
            request: request(*number),
            run: run(*target),
            acquitted: *acquitted,
            age: Duration::ZERO,
        };
        let reports: Vec<CrashReport> = reports.iter().map(report).collect();
        let mut shuffled = reports.clone();
        let mut random = StdRng::seed_from_u64(seed);
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, random.random_range(0..=index));
        }
        let (mut ours, mut theirs) = (Suspects::default(), Suspects::default());
        ours.merge(NOW, &reports);
        for report in &shuffled {
            theirs.merge(NOW, &[*report]);
        }
        for number in 0..6 {
            prop_assert_eq!(is_quarantined(&ours, number), is_quarantined(&theirs, number));
        }
    }
}

/// VMs that exchange what they know with a manager, and a caller that repeats a request at any of them.
struct Simulation {
    random: StdRng,
    vms: Vec<Suspects>,
    manager: usize,
    /// The time between two exchanges of a VM with the manager.
    interval: Duration,
    next_target: TargetHash,
    /// When the request that ends targets was sent.
    sent: Vec<Duration>,
    /// How often a harmless request was refused.
    refused: usize,
}

impl Simulation {
    const TICK: Duration = Duration::from_millis(50);

    fn new(seed: u64, vms: usize, interval: Duration) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            vms: vec![Suspects::default(); vms],
            manager: 0,
            interval,
            next_target: 0,
            sent: Vec::new(),
            refused: 0,
        }
    }

    /// Sends the request at a VM; a harmless one that the same target runs is lost with it.
    fn send(&mut self, now: Duration) {
        let vm = self.random.random_range(0..self.vms.len());
        if self.vms[vm].remaining(now, request(0)).is_some() {
            return;
        }
        self.sent.push(now);
        self.next_target += 1;
        self.vms[vm].record_crash(now, request(0), run(self.next_target));
        let beside = self.random.random_range(1..4);
        let other = self.random.random_range(0..self.vms.len());
        self.vms[other].record_crash(now, request(beside), run(self.next_target));
    }

    /// Sends a harmless request at a VM, which completes unless it is refused.
    fn send_harmless(&mut self, now: Duration) {
        let vm = self.random.random_range(0..self.vms.len());
        let harmless = request(self.random.random_range(1..4));
        if self.vms[vm].remaining(now, harmless).is_some() {
            self.refused += 1;
        } else {
            self.vms[vm].record_completion(now, harmless);
        }
    }

    /// Lets the VMs whose turn it is exchange what they know with the manager, unless that fails.
    fn exchange(&mut self, now: Duration, tick: u32) {
        let ticks = (self.interval.as_millis() / Self::TICK.as_millis()).max(1);
        for vm in 0..self.vms.len() {
            let due = (vm as u128 + u128::from(tick)).is_multiple_of(ticks);
            if vm == self.manager || !due || self.random.random_bool(0.2) {
                continue;
            }
            let reports = self.vms[vm].news(now);
            self.vms[self.manager].merge(now, &reports);
            let reports = self.vms[self.manager].news(now);
            self.vms[vm].merge(now, &reports);
        }
    }

    /// Ends the manager; another VM takes its place, and all others tell it everything.
    fn replace_manager(&mut self, now: Duration) {
        self.vms[self.manager] = Suspects::default();
        self.manager = (self.manager + 1) % self.vms.len();
        for vm in 0..self.vms.len() {
            let reports = self.vms[vm].all(now);
            self.vms[self.manager].merge(now, &reports);
        }
    }

    /// Returns how often the request was sent later than allowed.
    fn sent_later(&self) -> usize {
        let Some(third) = self.sent.get(MAX_ENDED - 1) else {
            return 0;
        };
        let settled = *third + SETTLING_TIME;
        self.sent.iter().filter(|at| **at > settled).count()
    }
}

/// Guards against a request that ends targets through hundreds of VMs, each of which sees it once.
#[test]
fn hundreds_of_vms_stop_a_request_that_each_of_them_sees_once() {
    for (seed, vms, millis) in [
        (1, 12, 50),
        (2, 68, 100),
        (3, 195, 150),
        (4, 300, 250),
        (5, 300, 1000),
    ] {
        let mut simulation = Simulation::new(seed, vms, Duration::from_millis(millis));
        for tick in 0..600 {
            let now = NOW + Simulation::TICK * tick;
            if tick % 2 == 0 {
                simulation.send(now);
            }
            simulation.send_harmless(now);
            simulation.exchange(now, tick);
            if tick % 150 == 149 {
                simulation.replace_manager(now);
            }
        }
        let later = simulation.sent_later();
        assert!(later <= MAX_SENT_LATER, "seed {seed}: {later} sent later");
        assert!(simulation.sent.len() >= MAX_ENDED);
        assert_eq!(
            simulation.refused, 0,
            "seed {seed}: harmless requests were refused"
        );
    }
}
