//! The task that asks other VMs what is new while this VM's knowledge of the store grows old.
//!
//! Load pattern: the store has turned away this VM and perhaps its manager, or the manager is so busy that it responds once
//! in a second. Any other VM may know more, and many may not; so several are asked at a time, beside the exchange with
//! the manager and beside this VM's own calls to the store.

use std::{cell::Cell, collections::HashMap, net::SocketAddr, time::Duration};

use futures_util::{FutureExt, future};

use super::{Envelope, SyncRequest, sync::Context, sync_task};
use crate::{
    fleet::{Fleet, LogPosition, Vm},
    store::Era,
};

/// How often the task looks whether it has to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum time between the beginnings of two inquiries: all VMs may have no news, for as long as the store is away.
const INQUIRY_INTERVAL: Duration = Duration::from_millis(400);
/// How many VMs are asked at a time.
const ASKED_VMS: usize = 3;
/// How many of them must have answered before their having no news counts: an answer may also be stuck on this VM's link.
const NEEDED_ANSWERS: usize = 2;
/// How long too few must have answered for this VM to take itself to be one of the last.
const ALONE_TIME: Duration = Duration::from_secs(3);

/// Asks other VMs for news until the process ends, whenever this VM has to.
pub async fn run(context: Context) {
    let mut rotation = Rotation::from_random();
    let started = context.clock.now();
    let mut answered_at = started;
    loop {
        context.clock.sleep(CHECK_INTERVAL).await;
        let began = context.clock.now();
        if !is_due(&context, started, began) {
            answered_at = began;
            continue;
        }
        let is_answered = inquire(&context, &mut rotation).await;
        let ended = context.clock.now();
        if is_answered {
            answered_at = ended;
        } else if ended >= answered_at + ALONE_TIME {
            let confirmations = context.shared_fleet.confirmations();
            confirmations.end_inquiry(began, ended);
        }
        let rest = INQUIRY_INTERVAL.saturating_sub(ended.saturating_sub(began));
        context.clock.sleep(rest).await;
    }
}

/// Returns whether this VM has to ask others.
///
/// A VM that nobody has told anything goes by its own listing at first.
fn is_due(context: &Context, started: Duration, now: Duration) -> bool {
    let confirmations = context.shared_fleet.confirmations();
    let has_started = now > started + confirmations.limits().max_age();
    let knows_nothing = has_started && confirmations.latest().is_none();
    let is_alone = !context.manager_health.is_healthy() && !context.store_health.is_healthy();
    is_alone || knows_nothing || confirmations.must_ask(now)
}

/// The VMs to ask next, and how far the change log of each has been read.
#[derive(Debug)]
struct Rotation {
    next: usize,
    /// The VM whose answer was the latest one by which this VM knew more.
    best: Option<SocketAddr>,
    positions: HashMap<SocketAddr, LogPosition>,
}

impl Rotation {
    /// Starts anywhere: the store may turn away many VMs at once, and they would all ask the same VMs in turn.
    fn from_random() -> Self {
        Self {
            next: usize::from(rand::random::<u16>()),
            best: None,
            positions: HashMap::new(),
        }
    }

    /// Returns the VMs to ask: the one that knew more the last time, and the next ones in turn.
    fn take(&mut self, known: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut asked: Vec<_> = self.best.into_iter().collect();
        asked.retain(|it| known.contains(it));
        for _ in 0..known.len().min(ASKED_VMS) {
            if asked.len() == ASKED_VMS {
                break;
            }
            self.next = (self.next + 1) % known.len();
            let next = known[self.next];
            if !asked.contains(&next) {
                asked.push(next);
            }
        }
        asked
    }
}

/// Asks some other VMs, all at the same time; returns whether enough of them answered.
///
/// The inquiry ends with the answers that it needs, though those that are under way are waited for.
async fn inquire(context: &Context, rotation: &mut Rotation) -> bool {
    let began = context.clock.now();
    let asked = rotation.take(&other_vms(context));
    let needed = asked.len().min(NEEDED_ANSWERS);
    let answered = Cell::new(0);
    let end_if_answered = || {
        if answered.get() == needed {
            let confirmations = context.shared_fleet.confirmations();
            confirmations.end_inquiry(began, context.clock.now());
        }
    };
    end_if_answered();
    let questions = asked.iter().map(|address| {
        let position = rotation.positions.get(address).cloned();
        let question = ask(context, *address, position.unwrap_or_default());
        question.inspect(|answer| {
            if answer.is_some() {
                answered.set(answered.get() + 1);
                end_if_answered();
            }
        })
    });
    let answers = future::join_all(questions).await;
    for (address, answer) in asked.into_iter().zip(answers) {
        let Some(answer) = answer else {
            continue;
        };
        if answer.has_news {
            rotation.best = Some(address);
        }
        if answer.has_changes {
            // The logs of the others don't tell of the removal of what was learned here.
            rotation.positions.clear();
            context.shared_fleet.update(Fleet::on_other_source);
        }
        rotation.positions.insert(address, answer.position);
    }
    answered.get() >= needed
}

/// Returns the addresses of the other VMs, as far as this one knows them.
fn other_vms(context: &Context) -> Vec<SocketAddr> {
    let fleet = context.shared_fleet.get();
    let known = fleet.vms.values().map(|vm| vm.address);
    let mut addresses: Vec<_> = known.chain(context.seeds.iter().copied()).collect();
    addresses.retain(|address| *address != context.vm.address);
    addresses
}

/// What another VM has told.
struct Answer {
    /// How far its change log has been read.
    position: LogPosition,
    /// Whether it relayed anything.
    has_changes: bool,
    /// Whether this VM's knowledge is younger by it.
    has_news: bool,
}

/// Gets the state of one other VM.
async fn ask(context: &Context, address: SocketAddr, before: LogPosition) -> Option<Answer> {
    let vm = Vm {
        name: address.to_string(),
        address,
        ..context.vm.clone()
    };
    let fleet = context.shared_fleet.get();
    let message = SyncRequest {
        start: context.vm.start.clone(),
        position: before.clone(),
        followed: fleet.followed().clone(),
        stamp: context.report.stamp(),
        ..SyncRequest::default()
    };
    drop(fleet);
    // Only the relay is used: quotas and counts from a VM that isn't the manager are meaningless.
    let news = context.news(true, Vec::new());
    let sent = context.clock.now();
    let mut position = before.clone();
    let request = Envelope { message, news };
    let response = sync_task::exchange(context, &vm, &request, &mut position).await?;
    let has_news = response
        .news
        .known_age
        .filter(|_| context.is_of_era(response.news.era))
        .is_some_and(|age| context.record_answer(sent.saturating_sub(age), &vm));
    Some(Answer {
        has_changes: position != before,
        position,
        has_news,
    })
}

impl Context {
    /// Returns whether what was told in this era of the store completes this VM's view.
    fn is_of_era(&self, era: Era) -> bool {
        era == self.shared_fleet.get().era() && era >= self.store.era()
    }

    /// Records that another VM has told everything that it knew at `at`; returns whether that makes this VM's knowledge
    /// younger.
    fn record_answer(&self, at: Duration, vm: &Vm) -> bool {
        let confirmations = self.shared_fleet.confirmations();
        let before = confirmations.latest().map(|it| it.at);
        confirmations.add_by_vm(at, &vm.name);
        confirmations.latest().map(|it| it.at) > before
    }
}
