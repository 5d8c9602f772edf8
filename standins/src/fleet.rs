//! A fleet of real processes on loopback: the platform, targets, and VMs of bramleypier.
//!
//! It starts, freezes, kills and restarts them, and registers them with the platform.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitStatus,
    time::Duration,
};

use indexmap::IndexMap;
use quick_error::quick_error;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::{
    child::{self, Process},
    client::{self, Client},
    forwarder::Forwarder,
    journal::{self, Run},
    socket_owners::SocketOwners,
};

mod control;

/// The list lag in the VMs' settings: a VM is listed only after it has printed its first line.
const LIST_LAG_MS: u64 = 3_000;
/// The time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

quick_error! {
    /// Why an operation on the fleet failed.
    #[derive(Debug)]
    pub enum Error {
        /// A process or one of its files could not be handled.
        Process(step: &'static str, peer: String, cause: io::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// A call got no complete response.
        Call(cause: client::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A call got an unexpected status.
        UnexpectedStatus(peer: String, status: u16) {
            display("peer={peer} status={status}")
        }
        /// There is no process, or no forwarder, of this name.
        Unknown(name: String) {
            display("no process {name:?}")
        }
    }
}

/// A VM of bramleypier.
#[derive(Debug)]
pub struct Vm {
    process: Option<Process>,
    settings: PathBuf,
    domain: String,
    forwarder: Option<Forwarder>,
    /// The address for callers.
    pub caller_address: String,
    /// The address on which it listens for peers and operators, behind any forwarder.
    pub peer_address: String,
}

/// A target of the fleet.
#[derive(Debug)]
pub struct Target {
    process: Option<Process>,
    arguments: Vec<String>,
    log: PathBuf,
    domain: String,
    forwarder: Option<Forwarder>,
    /// The address for VMs, which may be a forwarder's; unchanged by a restart.
    pub address: String,
    /// The address on which it listens.
    pub listen_address: String,
}

/// A fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    dir: TempDir,
    program: PathBuf,
    platform: Process,
    owners: SocketOwners,
    extra_settings: String,
    client: Client,
    /// The targets, by name.
    pub targets: IndexMap<String, Target>,
    /// The VMs, by name.
    pub vms: IndexMap<String, Vm>,
}

impl Fleet {
    /// Starts a fleet that has only the platform.
    ///
    /// `program` is the program of the VMs; by default the one next to the running executable.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing or can't be started.
    pub async fn start(program: Option<PathBuf>) -> Result<Self, Error> {
        let dir = tempfile::tempdir().map_err(|cause| failed("directory", "fleet", cause))?;
        let program = match program {
            Some(program) => program,
            None => find_program("bramleypier")?,
        };
        let errors = dir.path().join("platform.err");
        let platform = Process::start(
            &find_program("standin-platform")?,
            ["--listen=127.0.0.1:0"],
            &errors,
        )
        .await
        .map_err(|cause| failed("start", "platform", cause))?;
        Ok(Self {
            dir,
            program,
            platform,
            owners: SocketOwners::default(),
            extra_settings: String::new(),
            client: Client::default(),
            targets: IndexMap::new(),
            vms: IndexMap::new(),
        })
    }

    /// Appends sections to the settings of VMs that are started later.
    pub fn add_settings(&mut self, sections: &str) {
        self.extra_settings.push_str(sections);
    }

    /// Returns the directory of settings and logs, which is deleted when the fleet is dropped.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the HTTP client of the fleet.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the platform's address.
    pub fn platform_address(&self) -> String {
        self.platform.value("listening").unwrap_or("").to_owned()
    }

    /// Starts a target and adds it to the platform's list; `proxied` puts a forwarder in front of it.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn add_target(
        &mut self,
        name: &str,
        domain: &str,
        proxied: bool,
        arguments: &[&str],
    ) -> Result<String, Error> {
        let log = self.dir().join(format!("{name}.log"));
        let mut all_arguments = vec![format!("--name={name}"), format!("--log={}", log.display())];
        all_arguments.extend(arguments.iter().map(ToString::to_string));
        let mut target = Target {
            process: None,
            arguments: all_arguments,
            log,
            domain: domain.to_owned(),
            forwarder: self.start_forwarder(name, proxied)?,
            address: String::new(),
            listen_address: "127.0.0.1:0".to_owned(),
        };
        self.start_target(name, &mut target).await?;
        target.address = match &target.forwarder {
            Some(forwarder) => forwarder.address.to_string(),
            None => target.listen_address.clone(),
        };
        let address = target.address.clone();
        self.targets.insert(name.to_owned(), target);
        self.register(name, &address, domain, "target", "live")
            .await?;
        Ok(address)
    }

    async fn start_target(&self, name: &str, target: &mut Target) -> Result<(), Error> {
        let errors = self.dir().join(format!("{name}.err"));
        let mut arguments = target.arguments.clone();
        arguments.push(format!("--listen={}", target.listen_address));
        let process = Process::start(&find_program("standin-target")?, arguments, &errors)
            .await
            .map_err(|cause| failed("start", name, cause))?;
        process
            .value("listening")
            .unwrap_or("")
            .clone_into(&mut target.listen_address);
        if let Some(forwarder) = &target.forwarder {
            forwarder.set_server(&target.listen_address);
        }
        target.process = Some(process);
        Ok(())
    }

    /// Starts a VM and adds it to the platform's list; `proxied` puts a forwarder in front of its
    /// peer port.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn add_vm(&mut self, name: &str, domain: &str, proxied: bool) -> Result<(), Error> {
        let mut vm = Vm {
            process: None,
            settings: self.dir().join(format!("{name}.ini")),
            domain: domain.to_owned(),
            forwarder: self.start_forwarder(name, proxied)?,
            caller_address: "127.0.0.1:0".to_owned(),
            peer_address: "127.0.0.1:0".to_owned(),
        };
        self.start_vm(name, &mut vm).await?;
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    async fn start_vm(&self, name: &str, vm: &mut Vm) -> Result<(), Error> {
        self.write_settings(name, vm)?;
        let errors = self.dir().join(format!("{name}.err"));
        let arguments = [
            "run".to_owned(),
            "--settings".to_owned(),
            vm.settings.display().to_string(),
        ];
        let process = Process::start(&self.program, arguments, &errors)
            .await
            .map_err(|cause| failed("start", name, cause))?;
        process
            .value("caller")
            .unwrap_or("")
            .clone_into(&mut vm.caller_address);
        process
            .value("peer")
            .unwrap_or("")
            .clone_into(&mut vm.peer_address);
        let mut listed_address = vm.peer_address.clone();
        if let Some(forwarder) = &vm.forwarder {
            forwarder.set_server(&vm.peer_address);
            listed_address = forwarder.address.to_string();
        }
        let id = process.id();
        self.owners.insert(name, id);
        vm.process = Some(process);
        self.register(name, &listed_address, &vm.domain, "entry", "live")
            .await?;
        // Operator commands read the same file and need the actual ports.
        self.write_settings(name, vm)
    }

    fn write_settings(&self, name: &str, vm: &Vm) -> Result<(), Error> {
        let advertise = match &vm.forwarder {
            Some(forwarder) => format!("advertise = {}\n", forwarder.address),
            None => String::new(),
        };
        let text = format!(
            "[vm]\nname = {name}\ndomain = {}\n\n\
             [listen]\ncallers = {}\npeers = {}\n{advertise}\n\
             [platform]\naddress = {}\nlist_lag_ms = {LIST_LAG_MS}\n\n\
             [peers]\nseeds = {}\n\n\
             [log]\nlevel = info\nfile = {}\n\n{}",
            vm.domain,
            vm.caller_address,
            vm.peer_address,
            self.platform_address(),
            self.seeds(name),
            self.dir().join(format!("{name}.log")).display(),
            self.extra_settings,
        );
        fs::write(&vm.settings, text).map_err(|cause| failed("settings", name, cause))
    }

    fn seeds(&self, name: &str) -> String {
        let others = self.vms.iter().filter(|(other, _)| *other != name);
        let addresses = others.map(|(_, vm)| match &vm.forwarder {
            Some(forwarder) => forwarder.address.to_string(),
            None => vm.peer_address.clone(),
        });
        addresses.take(3).collect::<Vec<_>>().join(",")
    }

    fn start_forwarder(&self, name: &str, proxied: bool) -> Result<Option<Forwarder>, Error> {
        if !proxied {
            return Ok(None);
        }
        let forwarder = Forwarder::start(self.owners.clone());
        forwarder
            .map(Some)
            .map_err(|cause| failed("forwarder", name, cause))
    }

    /// Returns the forwarder in front of a VM or target.
    ///
    /// # Errors
    ///
    /// Fails if it was started without one.
    pub fn forwarder(&self, name: &str) -> Result<&Forwarder, Error> {
        let vm = self.vms.get(name).and_then(|vm| vm.forwarder.as_ref());
        let target = self.targets.get(name);
        vm.or_else(|| target?.forwarder.as_ref())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Blocks or unblocks the traffic of a VM with all VMs and targets that have a forwarder.
    pub fn isolate(&self, name: &str, blocked: bool) {
        let vms = self.vms.iter().map(|(vm, entry)| (vm, &entry.forwarder));
        let targets = self.targets.iter();
        let targets = targets.map(|(target, entry)| (target, &entry.forwarder));
        for (other, forwarder) in vms.chain(targets) {
            let Some(forwarder) = forwarder else { continue };
            forwarder.update_rules(|rules| {
                if other == name {
                    rules.block_in = blocked;
                    rules.block_out = blocked;
                } else if blocked {
                    rules.clients.insert(name.to_owned());
                } else {
                    rules.clients.swap_remove(name);
                }
            });
        }
    }

    fn process(&self, name: &str) -> Result<&Process, Error> {
        let vm = self.vms.get(name).and_then(|vm| vm.process.as_ref());
        let target = self.targets.get(name);
        vm.or_else(|| target?.process.as_ref())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    fn take_process(&mut self, name: &str) -> Result<Process, Error> {
        self.owners.remove(name);
        let vm = self.vms.get_mut(name).and_then(|vm| vm.process.take());
        let target = self.targets.get_mut(name);
        vm.or_else(|| target?.process.take())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Returns whether a VM or target was started and not killed or stopped by the fleet since.
    ///
    /// One that is frozen, or that exited by itself, still counts as running.
    pub fn is_running(&self, name: &str) -> bool {
        self.process(name).is_ok()
    }

    /// Returns the process id of a VM or target.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn process_id(&self, name: &str) -> Result<u32, Error> {
        Ok(self.process(name)?.id())
    }

    /// Kills a VM or target. It stays on the platform's list until [`deregister`](Self::deregister).
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.take_process(name)?.kill();
        Ok(())
    }

    /// Returns the targets that are not running, whether they were killed or exited by themselves.
    pub fn dead_targets(&mut self) -> Vec<String> {
        let targets = self.targets.iter_mut();
        let dead = targets.filter_map(|(name, target)| {
            let alive = target.process.as_mut().is_some_and(Process::is_alive);
            (!alive).then(|| name.clone())
        });
        dead.collect()
    }

    /// Freezes a VM or target with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn freeze(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a frozen VM or target.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run.
    pub fn resume(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::CONT)
    }

    fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        let process = self.process(name)?;
        let result = process.signal(signal);
        result.map_err(|cause| failed("signal", name, cause))
    }

    /// Stops a VM or target gracefully with `SIGTERM` and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't run, or doesn't exit before the timeout.
    pub async fn stop(&mut self, name: &str) -> Result<ExitStatus, Error> {
        self.signal(name, Signal::TERM)?;
        let mut process = self.take_process(name)?;
        let status = process.wait(STOP_TIMEOUT).await;
        status.map_err(|cause| failed("stop", name, cause))
    }

    /// Restarts a VM or target at the same address and with the same settings.
    ///
    /// # Errors
    ///
    /// Fails if there is none of this name, or it can't be started.
    pub async fn restart(&mut self, name: &str) -> Result<(), Error> {
        if self.is_running(name) {
            self.kill(name)?;
        }
        if let Some(mut target) = self.targets.swap_remove(name) {
            let result = self.start_target(name, &mut target).await;
            let (address, domain) = (target.address.clone(), target.domain.clone());
            self.targets.insert(name.to_owned(), target);
            result?;
            return self
                .register(name, &address, &domain, "target", "live")
                .await;
        }
        let vm = self.vms.swap_remove(name);
        let mut vm = vm.ok_or_else(|| Error::Unknown(name.to_owned()))?;
        let result = self.start_vm(name, &mut vm).await;
        self.vms.insert(name.to_owned(), vm);
        result
    }

    /// Returns the runs of all targets from their log files, including targets that are not running.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn runs_of_targets(&self) -> Result<Vec<Run>, Error> {
        let mut runs = Vec::new();
        for (name, target) in &self.targets {
            let read = journal::read(&target.log);
            runs.extend(read.map_err(|cause| failed("log", name, cause))?);
        }
        Ok(runs)
    }

    /// Returns the path of a VM's settings.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM.
    pub fn settings_path(&self, name: &str) -> Result<&Path, Error> {
        let vm = self.vms.get(name);
        vm.map(|vm| vm.settings.as_path())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Returns the addresses for callers of the running VMs.
    pub fn caller_addresses(&self) -> Vec<String> {
        let running = self.vms.values().filter(|vm| vm.process.is_some());
        running.map(|vm| vm.caller_address.clone()).collect()
    }

    pub(crate) fn target(&self, name: &str) -> Result<&Target, Error> {
        let target = self.targets.get(name);
        target.ok_or_else(|| Error::Unknown(name.to_owned()))
    }
}

fn find_program(name: &str) -> Result<PathBuf, Error> {
    child::program(name).map_err(|cause| failed("find", name, cause))
}

fn failed(step: &'static str, peer: &str, cause: io::Error) -> Error {
    Error::Process(step, peer.to_owned(), cause)
}
