//! The callers of deployments, and what changes how they behave.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Callers, RESPONSE_TIMEOUT, RequestKind};
use crate::fleet::KEYS;

/// The callers of a VM in a deployment: their kinds of requests, and the pause after each one, in milliseconds.
const DEPLOYMENT_CALLERS: [(RequestKind, u64); 9] = [
    (RequestKind::Order, 800),
    (RequestKind::Order, 800),
    (RequestKind::Order, 800),
    (RequestKind::Key(0), 300),
    (RequestKind::Key(0), 300),
    (RequestKind::Key(0), 300),
    (RequestKind::File, 900),
    (RequestKind::Lookup, 900),
    (RequestKind::Lookup, 900),
];
/// How many callers are added at each VM while callers press, and the pause after each of their requests.
const PRESSING_CALLERS: u64 = 2;
const PRESSING_PAUSE: Duration = Duration::from_millis(20);
/// The last key; the first is 0.
const LAST_KEY: u64 = 65_535;
/// How often a caller asks for the hot key while there is one, of ten times.
const HOT_IN_TEN: u32 = 4;
/// How often a caller leaves early while callers do so, of ten times, and after how long.
const LEAVERS_IN_TEN: u32 = 2;
const LEAVER_PATIENCE: Duration = Duration::from_millis(300);

/// One caller of a VM.
#[derive(Clone, Copy, Debug)]
struct Caller {
    vm: usize,
    address: SocketAddr,
    kind: RequestKind,
    /// The pause after each request.
    pause: Duration,
    /// When it ends, if before the run does.
    until: Option<Duration>,
}

impl Callers {
    /// Starts the callers of one VM of a deployment.
    pub fn start_deployment(&self, vm: usize, address: SocketAddr, seed: u64) {
        for (number, (kind, pause)) in DEPLOYMENT_CALLERS.into_iter().enumerate() {
            let random = SmallRng::seed_from_u64(seed ^ ((vm as u64) << 8) ^ number as u64);
            let caller = Caller {
                vm,
                address,
                kind,
                pause: Duration::from_millis(pause),
                until: None,
            };
            compio::runtime::spawn(self.clone().run(caller, random)).detach();
        }
    }

    /// Adds callers to a VM that send orders until `until`, with hardly a pause.
    pub fn press(&self, vm: usize, address: SocketAddr, until: Duration) {
        for number in 0..PRESSING_CALLERS {
            let caller = Caller {
                vm,
                address,
                kind: RequestKind::Order,
                pause: PRESSING_PAUSE,
                until: Some(until),
            };
            let random = SmallRng::seed_from_u64(number);
            compio::runtime::spawn(self.clone().run(caller, random)).detach();
        }
    }

    /// Sends requests of one kind, one after the other.
    async fn run(self, caller: Caller, mut random: SmallRng) {
        let is_over = |now| caller.until.is_some_and(|end| now >= end);
        while !self.stopped.get() && !is_over(self.clock.now()) {
            let kind = match caller.kind {
                RequestKind::Key(_) => RequestKind::Key(self.draw_key(&mut random)),
                kind => kind,
            };
            if self.quiet.get() & (1 << caller.vm) == 0 {
                self.send(caller.vm, caller.address, kind).await;
            }
            self.clock.sleep(caller.pause).await;
        }
    }

    fn draw_key(&self, random: &mut SmallRng) -> u64 {
        if self.hot.get() && random.random_range(0..10) < HOT_IN_TEN {
            KEYS[0]
        } else {
            random.random_range(0..=LAST_KEY)
        }
    }

    /// Sets whether a part of the callers leaves early from now on.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.set(leaving);
    }

    /// Sets whether callers ask for one key most of the time from now on.
    pub fn set_hot(&self, hot: bool) {
        self.hot.set(hot);
    }

    /// Records that a VM has other addresses from now on.
    pub fn set_address(&self, vm: usize, address: SocketAddr) {
        self.moved.borrow_mut().insert(vm, address);
    }

    /// Resets all connections that no request uses.
    pub fn reset_connections(&self) {
        self.client.close_idle();
    }

    /// Returns how long the caller of the next request waits for a response.
    pub(super) fn patience(&self) -> Duration {
        if self.leaving.get() && rand::rng().random_range(0..10) < LEAVERS_IN_TEN {
            LEAVER_PATIENCE
        } else {
            RESPONSE_TIMEOUT
        }
    }
}
