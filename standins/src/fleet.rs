//! A fleet of real processes on loopback: platform, targets, and VMs of bramleypier.

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

/// How far the stand-in's list of VMs may lag: a VM is put on it only after its first line.
const LIST_LAG_MS: u64 = 3_000;
/// How long a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

quick_error! {
    /// Why a step with the fleet failed.
    #[derive(Debug)]
    pub enum Error {
        /// A process could not be started or handled.
        Process(step: &'static str, peer: String, cause: io::Error) {
            display("step={step} peer={peer} cause={cause}")
            source(cause)
        }
        /// A call got no answer.
        Call(cause: client::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A call got another answer than agreed.
        Answer(peer: String, status: u16) {
            display("peer={peer} status={status}")
        }
        /// There is no process of this name.
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
    /// Where callers reach it.
    pub caller_address: String,
    /// Where it listens for peers and operators itself.
    pub peer_address: String,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    process: Option<Process>,
    arguments: Vec<String>,
    log: PathBuf,
    domain: String,
    forwarder: Option<Forwarder>,
    /// Where VMs reach it; the same after a restart.
    pub address: String,
    /// Where it listens itself.
    pub listen_address: String,
}

/// A fleet; dropping it ends all of its processes.
#[derive(Debug)]
pub struct Fleet {
    dir: TempDir,
    program: PathBuf,
    platform: Process,
    owners: SocketOwners,
    extra: String,
    client: Client,
    /// The targets, by name.
    pub targets: IndexMap<String, Target>,
    /// The VMs, by name.
    pub vms: IndexMap<String, Vm>,
}

impl Fleet {
    /// Starts the platform alone.
    ///
    /// The program of the VMs is found beside the running one unless it is given.
    ///
    /// # Errors
    ///
    /// Fails when a program is missing or can't be started.
    pub async fn start(program: Option<PathBuf>) -> Result<Self, Error> {
        let dir = tempfile::tempdir().map_err(|cause| failed("directory", "fleet", cause))?;
        let program = match program {
            Some(program) => program,
            None => find("bramleypier")?,
        };
        let errors = dir.path().join("platform.err");
        let platform = Process::start(
            &find("standin-platform")?,
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
            extra: String::new(),
            client: Client::default(),
            targets: IndexMap::new(),
            vms: IndexMap::new(),
        })
    }

    /// Adds sections to the settings of the VMs that are started from now on.
    pub fn add_settings(&mut self, sections: &str) {
        self.extra.push_str(sections);
    }

    /// Returns the directory that holds settings and logs until the fleet is dropped.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the client that the fleet calls with.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the platform's address.
    pub fn platform_address(&self) -> String {
        self.platform.value("listening").unwrap_or("").to_owned()
    }

    /// Starts a target and puts it on the platform's list; `fronted` places a forwarder before it.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub async fn add_target(
        &mut self,
        name: &str,
        domain: &str,
        forwarded: bool,
        arguments: &[&str],
    ) -> Result<String, Error> {
        let log = self.dir().join(format!("{name}.log"));
        let mut all = vec![format!("--name={name}"), format!("--log={}", log.display())];
        all.extend(arguments.iter().map(ToString::to_string));
        let mut target = Target {
            process: None,
            arguments: all,
            log,
            domain: domain.to_owned(),
            forwarder: self.start_forwarder(name, forwarded)?,
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
        let process = Process::start(&find("standin-target")?, arguments, &errors)
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

    /// Starts a VM and puts it on the platform's list; `fronted` places a forwarder before the
    /// port at which its peers reach it.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
    pub async fn add_vm(&mut self, name: &str, domain: &str, forwarded: bool) -> Result<(), Error> {
        let mut vm = Vm {
            process: None,
            settings: self.dir().join(format!("{name}.ini")),
            domain: domain.to_owned(),
            forwarder: self.start_forwarder(name, forwarded)?,
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
        let mut listed = vm.peer_address.clone();
        if let Some(forwarder) = &vm.forwarder {
            forwarder.set_server(&vm.peer_address);
            listed = forwarder.address.to_string();
        }
        let id = process.id();
        self.owners.insert(name, id);
        vm.process = Some(process);
        self.register(name, &listed, &vm.domain, "entry", "live")
            .await?;
        // The operator's commands read the same file: from now on it names the ports.
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
            self.extra,
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

    fn start_forwarder(&self, name: &str, forwarded: bool) -> Result<Option<Forwarder>, Error> {
        if !forwarded {
            return Ok(None);
        }
        let forwarder = Forwarder::start(self.owners.clone());
        forwarder
            .map(Some)
            .map_err(|cause| failed("forwarder", name, cause))
    }

    /// Returns the forwarder before a VM or target that was started fronted.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn forwarder(&self, name: &str) -> Result<&Forwarder, Error> {
        let vm = self.vms.get(name).and_then(|vm| vm.forwarder.as_ref());
        let target = self.targets.get(name);
        vm.or_else(|| target?.forwarder.as_ref())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Cuts a VM off from all fronted VMs and targets, and they from it, or mends that.
    pub fn isolate(&self, name: &str, cut: bool) {
        let vms = self.vms.iter().map(|(vm, entry)| (vm, &entry.forwarder));
        let targets = self.targets.iter();
        let targets = targets.map(|(target, entry)| (target, &entry.forwarder));
        for (other, forwarder) in vms.chain(targets) {
            let Some(forwarder) = forwarder else { continue };
            forwarder.update_rules(|rules| {
                if other == name {
                    rules.block_in = cut;
                    rules.block_out = cut;
                } else if cut {
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

    /// Returns whether a VM or target of this name runs, frozen or not.
    pub fn is_running(&self, name: &str) -> bool {
        self.process(name).is_ok()
    }

    /// Returns the process id of a VM or target.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run.
    pub fn process_id(&self, name: &str) -> Result<u32, Error> {
        Ok(self.process(name)?.id())
    }

    /// Kills a VM or target at once. It stays on the platform's list until [`deregister`](Self::deregister).
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        self.take_process(name)?.kill();
        Ok(())
    }

    /// Returns the targets that don't run, whether killed or ended by themselves.
    pub fn dead_targets(&mut self) -> Vec<String> {
        let targets = self.targets.iter_mut();
        let dead = targets.filter_map(|(name, target)| {
            let alive = target.process.as_mut().is_some_and(Process::is_alive);
            (!alive).then(|| name.clone())
        });
        dead.collect()
    }

    /// Freezes a VM or target.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run.
    pub fn freeze(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::STOP)
    }

    /// Lets a frozen VM or target go on.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run.
    pub fn resume(&self, name: &str) -> Result<(), Error> {
        self.signal(name, Signal::CONT)
    }

    fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        let process = self.process(name)?;
        let result = process.signal(signal);
        result.map_err(|cause| failed("signal", name, cause))
    }

    /// Stops a VM or target as planned, and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run, or does not end.
    pub async fn stop(&mut self, name: &str) -> Result<ExitStatus, Error> {
        self.signal(name, Signal::TERM)?;
        let mut process = self.take_process(name)?;
        let ended = process.wait(STOP_TIMEOUT).await;
        ended.map_err(|cause| failed("stop", name, cause))
    }

    /// Starts a VM or target again, at the same address and with the same settings.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name, or it can't be started.
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

    /// Returns what all targets ran, from their files, the dead ones' too.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read.
    pub fn runs_of_targets(&self) -> Result<Vec<Run>, Error> {
        let mut runs = Vec::new();
        for (name, target) in &self.targets {
            let read = journal::read(&target.log);
            runs.extend(read.map_err(|cause| failed("log", name, cause))?);
        }
        Ok(runs)
    }

    /// Returns the file of a VM's settings.
    ///
    /// # Errors
    ///
    /// Fails when there is no such VM.
    pub fn settings_path(&self, name: &str) -> Result<&Path, Error> {
        let vm = self.vms.get(name);
        vm.map(|vm| vm.settings.as_path())
            .ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Returns the addresses for callers of the VMs that run.
    pub fn caller_addresses(&self) -> Vec<String> {
        let running = self.vms.values().filter(|vm| vm.process.is_some());
        running.map(|vm| vm.caller_address.clone()).collect()
    }

    pub(crate) fn target(&self, name: &str) -> Result<&Target, Error> {
        let target = self.targets.get(name);
        target.ok_or_else(|| Error::Unknown(name.to_owned()))
    }
}

fn find(name: &str) -> Result<PathBuf, Error> {
    child::program(name).map_err(|cause| failed("find", name, cause))
}

fn failed(step: &'static str, peer: &str, cause: io::Error) -> Error {
    Error::Process(step, peer.to_owned(), cause)
}
