//! Sets up services on a fleet and generates the traffic of their callers.

use std::{
    cell::Cell,
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use compio::runtime;
use quick_error::quick_error;

use crate::{
    caller::Callers,
    clock,
    document::Document,
    fleet::{self, Fleet},
};

/// The interval between checks while services start or requests complete.
const READY_POLL: Duration = Duration::from_millis(100);
/// How long to wait for requests in flight after traffic has been stopped.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

quick_error! {
    /// Why a service could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on the fleet failed.
        Fleet(cause: fleet::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A document can't be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{}: {cause}", path.display())
            source(cause)
        }
        /// The operator's command rejected a document; carries its output.
        Refused(service: String, printed: String) {
            display("document {service} refused: {printed}")
        }
        /// A key was not served in time.
        NotServed(service: String, key: String, reason: String) {
            display("{service}/{key} is not served: {reason}")
        }
    }
}

/// Options for starting the targets of a document.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The mean processing time in milliseconds.
    pub work_ms: u64,
    /// Whether each target gets a forwarder in front of it.
    pub proxied: bool,
}

/// Starts the targets of a document and returns it with their actual addresses.
///
/// # Errors
///
/// Fails if the document can't be read or a target can't be started.
pub async fn start(fleet: &mut Fleet, path: &Path, setup: &Setup) -> Result<Document, Error> {
    let loaded = Document::load(path);
    let mut document = loaded.map_err(|cause| Error::File(path.to_owned(), cause))?;
    for (name, target) in document.targets.clone() {
        let checks = format!("--checks={}", target.checks_grants);
        let slots = format!("--slots={}", target.slots);
        let work = format!("--work-ms={}", setup.work_ms);
        let arguments = [checks.as_str(), &slots, &work];
        let started = fleet.add_target(&name, &target.domain, setup.proxied, &arguments);
        document.set_address(&name, &started.await?);
    }
    Ok(document)
}

/// Uploads a document with the operator's command, using the settings of a VM, and stores the new
/// version in the document.
///
/// # Errors
///
/// Fails if the command rejects it; the error carries the command's output.
pub async fn put(fleet: &Fleet, vm: &str, document: &mut Document) -> Result<(), Error> {
    let path = fleet.dir().join(format!("{}.ini", document.service));
    let text = document.text().and_then(|text| fs::write(&path, text));
    text.map_err(|cause| Error::File(path.clone(), cause))?;
    let settings = format!("--settings={}", fleet.settings_path(vm)?.display());
    let base = format!("--base={}", document.version);
    let path = path.display().to_string();
    let output = fleet
        .run_command(&["document", "put", &settings, &base, "--json", &path])
        .await?;
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    match report["version"].as_u64() {
        Some(version) if output.status.success() => {
            document.version = version;
            Ok(())
        }
        _ => {
            let printed = [output.stdout, output.stderr].concat();
            let printed = String::from_utf8_lossy(&printed).into_owned();
            Err(Error::Refused(document.service.clone(), printed))
        }
    }
}

/// Returns `count` key names for a service.
///
/// # Example
///
/// ```
/// use bramleypier_standins::services;
///
/// assert_eq!(services::keys("tracking", 2), ["tracking-key-0", "tracking-key-1"]);
/// ```
pub fn keys(service: &str, count: usize) -> Vec<String> {
    let names = (0..count).map(|number| format!("{service}-key-{number}"));
    names.collect()
}

/// Waits until each key has been served once.
///
/// # Errors
///
/// Fails if a key is not served before the timeout.
pub async fn wait_ready(
    callers: &Callers,
    service: &str,
    keys: &[String],
    timeout: Duration,
) -> Result<(), Error> {
    let end = clock::now() + timeout;
    for key in keys {
        loop {
            let sample = callers.look_up(service, key).await;
            if sample.served() {
                break;
            }
            if clock::now() >= end {
                let service = service.to_owned();
                return Err(Error::NotServed(service, key.clone(), sample.reason));
            }
            compio::time::sleep(READY_POLL).await;
        }
    }
    Ok(())
}

/// Open-loop traffic that runs until it is stopped: each request starts on schedule, whether or not
/// earlier ones have completed.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    stopped: Rc<Cell<bool>>,
    in_flight: Rc<Cell<usize>>,
}

impl Traffic {
    /// Starts a request every `period`; `request` creates each one from its sequence number.
    pub fn every<F, G>(&self, period: Duration, request: F)
    where
        F: Fn(usize) -> G + 'static,
        G: Future<Output = ()> + 'static,
    {
        let traffic = self.clone();
        runtime::spawn(async move {
            let mut due = clock::now();
            for number in 0.. {
                if traffic.stopped.get() {
                    return;
                }
                traffic.spawn(request(number));
                due += period;
                compio::time::sleep(due.saturating_sub(clock::now())).await;
            }
        })
        .detach();
    }

    fn spawn<G>(&self, request: G)
    where
        G: Future<Output = ()> + 'static,
    {
        let in_flight = Rc::clone(&self.in_flight);
        in_flight.set(in_flight.get() + 1);
        runtime::spawn(async move {
            request.await;
            in_flight.set(in_flight.get() - 1);
        })
        .detach();
    }

    /// Starts no more requests and waits up to a minute until those in flight have completed.
    pub async fn stop(&self) {
        self.stopped.set(true);
        let end = clock::now() + STOP_TIMEOUT;
        while self.in_flight.get() > 0 && clock::now() < end {
            compio::time::sleep(READY_POLL).await;
        }
    }
}

/// Looks up each key every `period`.
pub fn look_up_keys(
    traffic: &Traffic,
    callers: &Callers,
    service: &str,
    keys: &[String],
    period: Duration,
) {
    for key in keys {
        let (callers, service, key) = (callers.clone(), service.to_owned(), key.clone());
        traffic.every(period, move |_| {
            let (callers, service, key) = (callers.clone(), service.clone(), key.clone());
            async move {
                callers.look_up(&service, &key).await;
            }
        });
    }
}

/// Looks up the keys in turn, one every `period`.
pub fn look_up_in_turn(
    traffic: &Traffic,
    callers: &Callers,
    service: &str,
    keys: &[String],
    period: Duration,
) {
    let (callers, service, keys) = (callers.clone(), service.to_owned(), keys.to_vec());
    traffic.every(period, move |number| {
        let (callers, service) = (callers.clone(), service.clone());
        let key = keys[number % keys.len()].clone();
        async move {
            callers.look_up(&service, &key).await;
        }
    });
}

/// Sends an order every `period`, for the keys in turn.
pub fn order_keys(
    traffic: &Traffic,
    callers: &Callers,
    service: &str,
    keys: &[String],
    period: Duration,
) {
    let (callers, service, keys) = (callers.clone(), service.to_owned(), keys.to_vec());
    traffic.every(period, move |number| {
        let (callers, service) = (callers.clone(), service.clone());
        let key = keys[number % keys.len()].clone();
        async move {
            callers.order(&service, &key).await;
        }
    });
}

/// Downloads a file of `size` bytes every `period`, for the keys in turn.
pub fn fetch_files(
    traffic: &Traffic,
    callers: &Callers,
    service: &str,
    keys: &[String],
    period: Duration,
    size: u64,
) {
    let (callers, service, keys) = (callers.clone(), service.to_owned(), keys.to_vec());
    traffic.every(period, move |number| {
        let (callers, service) = (callers.clone(), service.clone());
        let key = keys[number % keys.len()].clone();
        async move {
            callers.fetch_file(&service, &key, size).await;
        }
    });
}
