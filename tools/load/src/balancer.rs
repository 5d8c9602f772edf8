//! Chooses an address for each request, as the balancer before the entry VMs does.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use compio::runtime;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{config::Spread, pool::Pool};

/// Where an entry VM tells whether it takes work.
const HEALTH_PATH: &str = "/healthz";
/// How long it may take over that.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    spread: Spread,
    /// All addresses, with the number of requests in flight.
    addresses: IndexMap<SocketAddr, usize>,
    healthy: Vec<SocketAddr>,
    turn: usize,
    random: StdRng,
}

/// Chooses addresses; clones share their state.
#[derive(Clone, Debug)]
pub struct Balancer {
    state: Rc<RefCell<State>>,
}

impl Balancer {
    /// Creates a balancer that takes all addresses for healthy.
    pub fn new(addresses: &[SocketAddr], spread: Spread, seed: u64) -> Self {
        let counts = addresses.iter().map(|address| (*address, 0));
        let state = State {
            spread,
            addresses: counts.collect(),
            healthy: addresses.to_vec(),
            turn: usize::try_from(seed).unwrap_or(0),
            random: StdRng::seed_from_u64(seed),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Chooses an address and counts a request in flight there; another than `last` if possible.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::{balancer::Balancer, config::Spread};
    ///
    /// let addresses = ["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    /// let balancer = Balancer::new(&addresses, Spread::Round, 0);
    /// let first = balancer.choose(None);
    /// assert_ne!(balancer.choose(first), first);
    /// ```
    pub fn choose(&self, last: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        let mut address = state.choose()?;
        if Some(address) == last {
            address = state.round()?;
        }
        if Some(address) == last {
            address = state.round()?;
        }
        *state.addresses.get_mut(&address)? += 1;
        Some(address)
    }

    /// Counts the end of a request at an address.
    pub fn ended(&self, address: SocketAddr) {
        if let Some(count) = self.state.borrow_mut().addresses.get_mut(&address) {
            *count = count.saturating_sub(1);
        }
    }

    /// Starts to check the health of all addresses every `period`.
    pub fn watch(&self, period: Duration) {
        let addresses: Vec<SocketAddr> = self.state.borrow().addresses.keys().copied().collect();
        for address in addresses {
            let state = Rc::clone(&self.state);
            runtime::spawn(async move {
                loop {
                    compio::time::sleep(period).await;
                    let healthy = is_healthy(address).await;
                    state.borrow_mut().set_healthy(address, healthy);
                }
            })
            .detach();
        }
    }
}

impl State {
    fn choose(&mut self) -> Option<SocketAddr> {
        match self.spread {
            Spread::Round => self.round(),
            Spread::Random => self.random(),
            Spread::Two => {
                let pair = [self.random()?, self.random()?];
                pair.into_iter().min_by_key(|address| self.load(*address))
            }
            Spread::Least => {
                // Start anywhere, so that equals share.
                let count = self.candidates().len();
                let start = self.random.random_range(0..count.max(1));
                let candidates = self.candidates();
                let rotated = candidates.iter().cycle().skip(start).take(count);
                rotated.copied().min_by_key(|address| self.load(*address))
            }
        }
    }

    fn round(&mut self) -> Option<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        let candidates = self.candidates();
        candidates.get(self.turn % candidates.len().max(1)).copied()
    }

    fn random(&mut self) -> Option<SocketAddr> {
        let count = self.candidates().len();
        let index = self.random.random_range(0..count.max(1));
        self.candidates().get(index).copied()
    }

    fn load(&self, address: SocketAddr) -> usize {
        self.addresses.get(&address).copied().unwrap_or(0)
    }

    fn candidates(&self) -> &[SocketAddr] {
        &self.healthy
    }

    /// Takes an address in or out; the last one stays, as nothing better is left.
    fn set_healthy(&mut self, address: SocketAddr, healthy: bool) {
        let known = self.healthy.contains(&address);
        if healthy && !known {
            self.healthy.push(address);
        }
        if !healthy && known && self.healthy.len() > 1 {
            self.healthy.retain(|other| *other != address);
        }
    }
}

async fn is_healthy(address: SocketAddr) -> bool {
    let check = async {
        let pool = Pool::new(1);
        let mut lent = pool.take(address).await.ok()?;
        let request = Request::get(HEALTH_PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .body(Full::default())
            .ok()?;
        let response = lent.sender()?.send_request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status.is_success())
    };
    let result = compio::time::timeout(HEALTH_TIMEOUT, check).await;
    matches!(result, Ok(Some(true)))
}
