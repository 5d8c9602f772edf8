//! The store, the targets and the VMs of one run, and the paths between them.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use bramleypier_platform_standin::{
    server::Server,
    store::Store,
    vm::{ListenAddresses, Program},
};
use quick_error::quick_error;
use serde_json::{Value, json};

use crate::{
    plan::{Plan, TARGETS},
    proxy::Proxy,
};

/// The keys that callers ask for.
pub const KEYS: [u64; 4] = [777, 20_000, 45_000, 60_000];
/// The failure domain of the VMs and of most targets.
const USUAL: &str = "z1";
/// The failure domain that is evacuated.
pub const EVACUATED: &str = "z2";
/// How long a request runs.
const WORK: Duration = Duration::from_millis(15);

quick_error! {
    /// Why a run could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// A path between two ends.
        Path(cause: io::Error) {
            display("step=proxy peer=loopback cause={cause}")
            source(cause)
        }
        /// A VM's process.
        Start(vm: usize, cause: io::Error) {
            display("step=start peer=vm-{vm} cause={cause}")
            source(cause)
        }
    }
}

/// One VM, whichever start of its process runs.
#[derive(Debug)]
pub struct Vm {
    /// Its number.
    pub number: usize,
    /// The path to the store.
    pub store: Proxy,
    /// Where it listens.
    pub listens: ListenAddresses,
    /// The process, unless it is being stopped or started.
    pub program: Option<Program>,
    /// Logs of earlier starts.
    pub logs: Vec<Vec<String>>,
}

impl Vm {
    /// Returns how many of its processes have ended.
    pub fn starts(&self) -> usize {
        self.logs.len()
    }

    /// Takes note of a process that has ended.
    pub fn ended(&mut self, program: &Program) {
        let lines = program.lines.lock();
        self.logs
            .push(lines.map(|it| it.clone()).unwrap_or_default());
    }

    /// Returns the most memory that its process took, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(program) = &self.program else {
            return 0;
        };
        let path = format!("/proc/{}/status", program.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = line.and_then(|it| it.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

/// One place of a target: who is there now, and the path to it.
#[derive(Debug)]
pub struct Place {
    /// Its service.
    pub service: &'static str,
    /// The target.
    pub server: Server,
    /// The path to it.
    pub path: Proxy,
    /// Its failure domain.
    pub zone: &'static str,
}

impl Place {
    /// Starts a target of this number.
    ///
    /// # Errors
    ///
    /// [`Error`] when the path to it can't be had.
    pub async fn start(
        service: &'static str,
        zone: &'static str,
        number: usize,
    ) -> Result<Self, Error> {
        let id = format!("i-{service}-{number}");
        let server = Server::start(&id, service == "keyed", WORK).await;
        let path = Proxy::start(server.address).map_err(Error::Path)?;
        Ok(Self {
            service,
            server,
            path,
            zone,
        })
    }

    /// Returns the target's entry, at the address of the path to it.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        self.entry_cold(state, Duration::ZERO)
    }

    /// Returns the same entry, of a target that is cold for a while.
    pub fn entry_cold(&self, state: &str, cold: Duration) -> Vec<u8> {
        let entry = self.server.entry_in(self.zone, self.service, state, cold);
        // The stand-in writes objects.
        let mut entry: Value = serde_json::from_slice(&entry).unwrap_or_default();
        entry["address"] = json!(self.path.address.to_string());
        entry.to_string().into_bytes()
    }

    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.server.id)
    }
}

/// Everything that runs.
#[derive(Debug)]
pub struct World {
    /// The store.
    pub store: Store,
    /// Where it answers.
    pub address: SocketAddr,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The targets; the first half has owners for its keys.
    pub places: Vec<Place>,
    /// Targets that have ended.
    pub gone: Vec<Server>,
    binary: PathBuf,
    born: usize,
}

impl World {
    /// Sets up a store, targets and paths; no VM runs yet.
    ///
    /// # Errors
    ///
    /// [`Error`] when a path can't be had.
    pub async fn new(binary: &Path, plan: &Plan) -> Result<Self, Error> {
        let (store, address) = Store::start().await;
        let mut world = Self {
            store,
            address,
            vms: Vec::new(),
            places: Vec::new(),
            gone: Vec::new(),
            binary: binary.to_owned(),
            born: 0,
        };
        for number in 0..2 * TARGETS {
            let service = if number < TARGETS { "keyed" } else { "plain" };
            let last = number % TARGETS == TARGETS - 1;
            let zone = if plan.evacuates && last {
                EVACUATED
            } else {
                USUAL
            };
            let place = Place::start(service, zone, world.next_target()).await?;
            world.store.put(&place.key(), &place.entry("ready"));
            world.places.push(place);
        }
        for number in 0..plan.size.vms {
            world.vms.push(Vm {
                number,
                store: Proxy::start(address).map_err(Error::Path)?,
                listens: ListenAddresses::on_free_ports(),
                program: None,
                logs: Vec::new(),
            });
        }
        Ok(world)
    }

    /// Returns a number that no target has had.
    pub fn next_target(&mut self) -> usize {
        self.born += 1;
        self.born
    }

    /// Starts a VM's process.
    ///
    /// # Errors
    ///
    /// [`Error`] when it can't be started.
    pub fn start(&mut self, number: usize) -> Result<(), Error> {
        let others = self.vms.iter().filter(|vm| vm.number != number);
        let seeds: Vec<String> = others
            .take(3)
            .map(|vm| vm.listens.peers.to_string())
            .collect();
        let vm = &mut self.vms[number];
        let program = Program::start(
            &self.binary,
            &format!("vm-{number}"),
            vm.store.address,
            &seeds.join(","),
            vm.listens,
        );
        vm.program = Some(program.map_err(|cause| Error::Start(number, cause))?);
        Ok(())
    }

    /// Returns how many targets hold a key now.
    pub fn holders(&self, key: u64) -> usize {
        let servers = self.places.iter().map(|place| &place.server);
        servers.filter(|server| server.holds(key)).count()
    }

    /// Returns the ids of all requests that ran, as often as they did.
    pub fn ran(&self) -> Vec<String> {
        let servers = self.places.iter().map(|place| &place.server);
        servers.chain(&self.gone).flat_map(Server::ran).collect()
    }
}
