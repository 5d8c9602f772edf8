//! The settings of one process.
//!
//! They are read once from an INI file. A file with an invalid or unknown key, or without a required one, is rejected.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use log::LevelFilter;

use crate::{
    id::DomainId,
    membership,
    order::memory,
    util::{
        fields::{self, Checked, Field, Kind, Preset},
        ini::Fault,
    },
};

/// The longest duration that any setting allows: one day.
const DAY_MS: u64 = 86_400_000;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name; the id of each start of the process is this name and a number.
    pub name: String,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The address that the process listens on for callers.
    pub callers: SocketAddr,
    /// The address that the process listens on for other processes and operators.
    pub peers: SocketAddr,
    /// The address announced to other processes; preset to the address in `peers`.
    pub advertise: Option<SocketAddr>,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// The peers to contact before the platform's list of VMs is known.
    pub seeds: Vec<SocketAddr>,
    /// The lowest severity that is logged.
    pub log_level: LevelFilter,
    /// The log file; the log goes to standard error without one.
    pub log_file: Option<PathBuf>,
    /// The `StatsD` address that metrics are sent to over UDP; they are not sent without one.
    pub statsd: Option<SocketAddr>,
    /// The intervals and timeouts.
    pub timing: Timing,
    /// The bounds on memory.
    pub limits: Limits,
}

impl Settings {
    /// Returns the limits on the number and age of the orders that one shard remembers.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{order::memory, settings};
    ///
    /// let text = "[vm]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:0\n\
    ///     peers = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:7000";
    /// let settings = settings::parse("vm.ini", text).unwrap();
    /// assert_eq!(settings.memory(), memory::Limits::default());
    /// ```
    pub fn memory(&self) -> memory::Limits {
        memory::Limits {
            bytes: self.limits.order_bytes,
            retention: self.timing.order,
        }
    }
}

/// The intervals and timeouts that may differ between processes.
///
/// The durations that exclusive ownership depends on are in [`grantor::Timing`](crate::grantor::Timing) and can't be
/// set. If one VM counted the duration of a grant differently from the others, a key could get a second owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between probes of peers.
    pub probe: Duration,
    /// The longest time that the platform's list of VMs may be out of date.
    pub list_lag: Duration,
    /// How long the process waits for in-flight requests when it stops.
    pub drain: Duration,
    /// The shortest time that an order is remembered if its id contains no date.
    pub order: Duration,
}

impl Timing {
    /// Returns the intervals and timeouts of membership.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{membership, settings};
    ///
    /// let text = "[vm]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:0\n\
    ///     peers = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:7000";
    /// let settings = settings::parse("vm.ini", text).unwrap();
    /// let membership = settings.timing.membership();
    /// assert_eq!(membership.period, membership::Timing::default().period);
    /// ```
    pub fn membership(&self) -> membership::Timing {
        membership::Timing {
            period: self.probe,
            lag: self.list_lag,
            ..membership::Timing::default()
        }
    }
}

/// The bounds on the memory of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of events kept for the timeline; the same number of events of single requests is kept separately.
    pub events: usize,
    /// The memory for the orders of one shard of request ids, in bytes.
    pub order_bytes: usize,
}

const fn duration_field(
    key: &'static str,
    preset: &'static str,
    min: u64,
    max: u64,
    meaning: &'static str,
) -> Field {
    Field::new(
        "timing",
        key,
        Kind::Number("ms", min, max),
        Preset::Value(preset),
        meaning,
    )
}

const fn limit_field(
    key: &'static str,
    unit: &'static str,
    preset: &'static str,
    max: u64,
    meaning: &'static str,
) -> Field {
    Field::new(
        "limits",
        key,
        Kind::Number(unit, 1, max),
        Preset::Value(preset),
        meaning,
    )
}

/// The table of all settings.
pub static FIELDS: &[Field] = &[
    Field::new(
        "vm",
        "name",
        Kind::Name,
        Preset::Required,
        "The VM's name, its own among all VMs: a later start of the same name takes the earlier one's place.",
    ),
    Field::new(
        "vm",
        "domain",
        Kind::Name,
        Preset::Required,
        "The failure domain the VM stands in.",
    ),
    Field::new(
        "listen",
        "callers",
        Kind::Address,
        Preset::Required,
        "Where callers and the balancer's health check reach it.",
    ),
    Field::new(
        "listen",
        "peers",
        Kind::Address,
        Preset::Required,
        "Where other processes and operators reach it.",
    ),
    Field::new(
        "listen",
        "advertise",
        Kind::Address,
        Preset::Nothing,
        "Where other processes are told to reach it, if not where it listens.",
    ),
    Field::new(
        "platform",
        "address",
        Kind::Address,
        Preset::Required,
        "Where the platform's service answers.",
    ),
    Field::new(
        "platform",
        "list_lag_ms",
        Kind::Number("ms", 0, DAY_MS),
        Preset::Value("120000"),
        "How far the platform's list of VMs may lag, rather too long than too short: a VM that is known for less is never taken for gone by the list.",
    ),
    Field::new(
        "peers",
        "seeds",
        Kind::Addresses,
        Preset::Value(""),
        "Peers to try before the platform's list is known.",
    ),
    Field::new(
        "log",
        "level",
        Kind::Word(&["error", "warn", "info", "debug", "trace"]),
        Preset::Value("info"),
        "The least grave kind of line to log.",
    ),
    Field::new(
        "log",
        "file",
        Kind::Path,
        Preset::Nothing,
        "The log's file; standard error without one.",
    ),
    Field::new(
        "metrics",
        "statsd",
        Kind::Address,
        Preset::Nothing,
        "Where metrics go, over UDP; nowhere without one.",
    ),
    duration_field("probe_ms", "200", 10, DAY_MS, "How often peers are probed."),
    duration_field(
        "drain_ms",
        "30000",
        0,
        DAY_MS,
        "How long requests in flight may take to end when the process stops.",
    ),
    duration_field(
        "order_ms",
        "3600000",
        1000,
        DAY_MS,
        "How long an order whose id has no date is remembered at the least.",
    ),
    limit_field(
        "events",
        "events",
        "20000",
        1_000_000,
        "Events kept for the time line, and as many again of single requests.",
    ),
    limit_field(
        "order_bytes",
        "bytes",
        "2097152",
        1 << 30,
        "Memory for the orders of one of the 64 shards of request ids.",
    ),
];

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns the first [`Fault`] with its file, line, key and reason.
///
/// # Example
///
/// ```
/// use std::path::Path;
///
/// use bramleypier::settings;
///
/// let fault = settings::load(Path::new("missing.ini")).unwrap_err();
/// assert!(fault.to_string().starts_with("missing.ini: cannot be read: "));
/// ```
pub fn load(path: &std::path::Path) -> Result<Settings, Fault> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Fault {
        file: file.clone(),
        reason: format!("cannot be read: {error}"),
        ..Fault::default()
    })?;
    parse(&file, &text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns the first [`Fault`] with its file, line, key and reason.
///
/// # Example
///
/// ```
/// use bramleypier::settings;
///
/// let text = "
/// [vm]
/// name = vm-1
/// domain = uio-norte
/// [listen]
/// callers = 127.0.0.1:0
/// peers = 127.0.0.1:0
/// [platform]
/// address = 127.0.0.1:7000
/// ";
/// let settings = settings::parse("vm.ini", text).unwrap();
/// assert_eq!(settings.name, "vm-1");
/// assert_eq!(settings.timing.drain.as_secs(), 30);
/// ```
pub fn parse(file: &str, text: &str) -> Result<Settings, Fault> {
    let checked = fields::check(file, text, FIELDS)?;
    let settings = Settings {
        name: checked.value("vm", "name")?,
        domain: checked.value("vm", "domain")?,
        callers: checked.value("listen", "callers")?,
        peers: checked.value("listen", "peers")?,
        advertise: checked.optional("listen", "advertise")?,
        platform: checked.value("platform", "address")?,
        seeds: checked.list("peers", "seeds")?,
        log_level: checked.value("log", "level")?,
        log_file: checked.optional("log", "file")?,
        statsd: checked.optional("metrics", "statsd")?,
        timing: timing(&checked)?,
        limits: limits(&checked)?,
    };
    check_addresses(&checked, &settings)?;
    Ok(settings)
}

fn timing(checked: &Checked) -> Result<Timing, Fault> {
    Ok(Timing {
        probe: checked.millis("timing", "probe_ms")?,
        list_lag: checked.millis("platform", "list_lag_ms")?,
        drain: checked.millis("timing", "drain_ms")?,
        order: checked.millis("timing", "order_ms")?,
    })
}

fn limits(checked: &Checked) -> Result<Limits, Fault> {
    Ok(Limits {
        events: checked.value("limits", "events")?,
        order_bytes: checked.value("limits", "order_bytes")?,
    })
}

/// Checks the rules that involve more than the type of a single key.
fn check_addresses(checked: &Checked, settings: &Settings) -> Result<(), Fault> {
    let same = settings.callers == settings.peers && settings.peers.port() != 0;
    if same {
        return Err(checked.fault_at("listen", "peers", "is the address for callers"));
    }
    if settings.platform.port() == 0 {
        return Err(checked.fault_at("platform", "address", "port 0 cannot be called"));
    }
    Ok(())
}
