//! Plays a VM to which others send sync requests, with responses that a test sets.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bramleypier_engine::{
    fleet::{LogPosition, Relay, Vm},
    peer::{Envelope, News, SyncResponse},
};
use bramleypier_platform_standin::store::Store;
use bramleypier_util::{
    body::{self, Body},
    clock::Clock,
    server::{self, Control},
    stamp::Stamp,
};
use compio::net::TcpListener;
use hyper::{Request, Response, body::Incoming};

/// The key of the manager's entry in the store.
pub const MANAGER_KEY: &str = "bramleypier/manager";
/// The start of the process of a manager that a test plays.
pub const MANAGER_START: &str = "vm-0/1";

/// What a played VM says; clones share it.
#[derive(Clone, Debug)]
pub struct PlayedVm {
    /// How long ago the store confirmed what it knows, if it is a manager that follows the store.
    pub confirmed_age: Rc<Cell<Option<Duration>>>,
    /// How late it wakes up.
    pub lag: Rc<Cell<Duration>>,
    /// After how long it responds.
    pub delay: Duration,
}

impl PlayedVm {
    /// Creates a manager that follows the store and responds after `delay`.
    pub fn manager(delay: Duration) -> Self {
        Self {
            confirmed_age: Rc::new(Cell::new(Some(Duration::ZERO))),
            lag: Rc::default(),
            delay,
        }
    }

    /// Creates a VM that doesn't follow the store and knows nothing.
    pub fn without_news() -> Self {
        Self {
            confirmed_age: Rc::default(),
            lag: Rc::default(),
            delay: Duration::ZERO,
        }
    }

    /// Serves sync requests, and returns the address.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let vm = self.clone();
        let handler = move |request: Request<Incoming>| {
            let vm = vm.clone();
            async move {
                // The content of the request doesn't matter.
                let _ = body::read(request.into_body(), 1 << 20).await;
                Clock::real().sleep(vm.delay).await;
                Response::new(Body::from(vm.response()))
            }
        };
        let serving = server::serve(listener, Control::default(), handler);
        compio::runtime::spawn(serving).detach();
        address
    }

    fn response(&self) -> Vec<u8> {
        let confirmed_age = self.confirmed_age.get();
        let position = LogPosition {
            start: MANAGER_START.to_owned(),
            count: 0,
        };
        let message = SyncResponse {
            healthy: confirmed_age.is_some(),
            in_flight_elsewhere: Vec::new(),
            quotas: Vec::new(),
            rates: Vec::new(),
            relay: Relay::Changes {
                changes: Vec::new(),
                followed: [].into(),
                position,
            },
            lag: self.lag.get(),
            stamp: Stamp::default(),
        };
        let news = News {
            era: 1,
            confirmed_age,
            ..News::default()
        };
        Envelope { message, news }.encode()
    }
}

/// Writes the entry of a manager that a test plays.
pub fn announce_manager(store: &Store, address: SocketAddr) {
    store.put(MANAGER_KEY, &entry("vm-0", address).encode());
}

/// Writes the entry of a VM that a test plays.
pub fn announce(store: &Store, name: &str, address: SocketAddr) {
    let key = format!("bramleypier/vms/{name}");
    store.put(&key, &entry(name, address).encode());
}

fn entry(name: &str, address: SocketAddr) -> Vm {
    Vm {
        name: name.to_owned(),
        start: format!("{name}/1"),
        address,
        domain: "z1".to_owned(),
        capacity_millicores: 1000,
    }
}
