//! Chooses an address for each request, as the load balancer in front of the entry VMs does.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use compio::runtime;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{config::Policy, pool::Pool};

/// Path at which an entry VM reports whether it accepts requests.
const HEALTH_PATH: &str = "/healthz";
/// Timeout of one health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    policy: Policy,
    /// All addresses, each with its number of requests in flight.
    addresses: IndexMap<SocketAddr, usize>,
    healthy: Vec<SocketAddr>,
    position: usize,
    rng: StdRng,
}

/// Load balancer over a fixed list of addresses; clones share their state.
#[derive(Clone, Debug)]
pub struct Balancer {
    state: Rc<RefCell<State>>,
}

impl Balancer {
    /// Creates a balancer that considers all addresses healthy.
    pub fn new(addresses: &[SocketAddr], policy: Policy, seed: u64) -> Self {
        let in_flight = addresses.iter().map(|address| (*address, 0));
        let state = State {
            policy,
            addresses: in_flight.collect(),
            healthy: addresses.to_vec(),
            position: usize::try_from(seed).unwrap_or(0),
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Chooses an address, other than `previous` if possible, and counts a request in flight there.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::{balancer::Balancer, config::Policy};
    ///
    /// let addresses = ["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    /// let balancer = Balancer::new(&addresses, Policy::RoundRobin, 0);
    /// let first = balancer.choose(None);
    /// assert_ne!(balancer.choose(first), first);
    /// ```
    pub fn choose(&self, previous: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut state = self.state.borrow_mut();
        let mut address = state.choose()?;
        if Some(address) == previous {
            address = state.next_round_robin()?;
        }
        if Some(address) == previous {
            address = state.next_round_robin()?;
        }
        *state.addresses.get_mut(&address)? += 1;
        Some(address)
    }

    /// Removes one request in flight from an address.
    pub fn release(&self, address: SocketAddr) {
        if let Some(count) = self.state.borrow_mut().addresses.get_mut(&address) {
            *count = count.saturating_sub(1);
        }
    }

    /// Starts a background health check of each address every `interval`.
    pub fn start_health_checks(&self, interval: Duration) {
        let addresses: Vec<SocketAddr> = self.state.borrow().addresses.keys().copied().collect();
        for address in addresses {
            let state = Rc::clone(&self.state);
            runtime::spawn(async move {
                loop {
                    compio::time::sleep(interval).await;
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
        match self.policy {
            Policy::RoundRobin => self.next_round_robin(),
            Policy::Random => self.random_address(),
            Policy::TwoChoices => {
                let pair = [self.random_address()?, self.random_address()?];
                pair.into_iter()
                    .min_by_key(|address| self.in_flight(*address))
            }
            Policy::LeastInFlight => {
                // A random starting point spreads requests over addresses with equal counts.
                let count = self.candidates().len();
                let start = self.rng.random_range(0..count.max(1));
                let candidates = self.candidates();
                let rotated = candidates.iter().cycle().skip(start).take(count);
                rotated
                    .copied()
                    .min_by_key(|address| self.in_flight(*address))
            }
        }
    }

    fn next_round_robin(&mut self) -> Option<SocketAddr> {
        self.position = self.position.wrapping_add(1);
        let candidates = self.candidates();
        candidates
            .get(self.position % candidates.len().max(1))
            .copied()
    }

    fn random_address(&mut self) -> Option<SocketAddr> {
        let count = self.candidates().len();
        let index = self.rng.random_range(0..count.max(1));
        self.candidates().get(index).copied()
    }

    fn in_flight(&self, address: SocketAddr) -> usize {
        self.addresses.get(&address).copied().unwrap_or(0)
    }

    fn candidates(&self) -> &[SocketAddr] {
        &self.healthy
    }

    /// Adds or removes an address; the last one always stays, so that requests still have a destination.
    fn set_healthy(&mut self, address: SocketAddr, healthy: bool) {
        let is_listed = self.healthy.contains(&address);
        if healthy && !is_listed {
            self.healthy.push(address);
        }
        if !healthy && is_listed && self.healthy.len() > 1 {
            self.healthy.retain(|other| *other != address);
        }
    }
}

async fn is_healthy(address: SocketAddr) -> bool {
    let check = async {
        let pool = Pool::new(1);
        let mut connection = pool.acquire(address).await.ok()?;
        let request = Request::get(HEALTH_PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .body(Full::default())
            .ok()?;
        let response = connection.sender()?.send_request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status.is_success())
    };
    let result = compio::time::timeout(HEALTH_TIMEOUT, check).await;
    matches!(result, Ok(Some(true)))
}
