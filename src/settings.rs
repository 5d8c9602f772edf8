//! The settings of one process, read once from an INI file and checked as a whole.

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

/// The longest span that any setting allows: a day.
const DAY_MS: u64 = 86_400_000;

/// Everything that one process is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM's name; a start's id is this name and a number.
    pub name: String,
    /// The failure domain the VM stands in.
    pub domain: DomainId,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other processes and operators reach it.
    pub peers: SocketAddr,
    /// Where other processes are told to reach it; the address it listens on without one.
    pub advertise: Option<SocketAddr>,
    /// Where the platform's service answers.
    pub platform: SocketAddr,
    /// Peers to try first, before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// The least grave kind of line to log.
    pub log_level: LevelFilter,
    /// The log's file; standard error without one.
    pub log_file: Option<PathBuf>,
    /// Where metrics go, over UDP; nowhere without one.
    pub statsd: Option<SocketAddr>,
    /// Spans of time.
    pub timing: Timing,
    /// Bounds on what is kept and taken.
    pub limits: Limits,
}

impl Settings {
    /// Returns how many orders one shard remembers, and for how long.
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

/// Spans of time that each process may choose for itself.
///
/// The spans on which ownership rests are [`grantor::Timing`](crate::grantor::Timing) and no settings: a VM that
/// counted a grant differently from the others could make a second owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How often peers are probed.
    pub probe: Duration,
    /// How far the platform's list of VMs may lag.
    pub list_lag: Duration,
    /// How long requests in flight may take to end when the process stops.
    pub drain: Duration,
    /// How long an order whose id has no date is remembered at the least.
    pub order: Duration,
}

impl Timing {
    /// Returns the spans of membership.
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

/// Bounds on what one process keeps and takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Events kept for the time line, and as many again of single requests.
    pub events: usize,
    /// Memory for the orders of one shard of request ids, in bytes.
    pub order_bytes: usize,
}

const fn span(
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

const fn bound(
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

/// Every key of the settings.
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
    span("probe_ms", "200", 10, DAY_MS, "How often peers are probed."),
    span(
        "drain_ms",
        "30000",
        0,
        DAY_MS,
        "How long requests in flight may take to end when the process stops.",
    ),
    span(
        "order_ms",
        "3600000",
        1000,
        DAY_MS,
        "How long an order whose id has no date is remembered at the least.",
    ),
    bound(
        "events",
        "events",
        "20000",
        1_000_000,
        "Events kept for the time line, and as many again of single requests.",
    ),
    bound(
        "order_bytes",
        "bytes",
        "2097152",
        1 << 30,
        "Memory for the orders of one of the 64 shards of request ids.",
    ),
];

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns one [`Fault`] that names file, line, key and reason.
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

/// Checks the text of a settings file.
///
/// # Errors
///
/// Returns one [`Fault`] that names file, line, key and reason.
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
    cross(&checked, &settings)?;
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

/// Checks what no key can tell alone.
fn cross(checked: &Checked, settings: &Settings) -> Result<(), Fault> {
    let same = settings.callers == settings.peers && settings.peers.port() != 0;
    if same {
        return Err(checked.fault_at("listen", "peers", "is the address for callers"));
    }
    if settings.platform.port() == 0 {
        return Err(checked.fault_at("platform", "address", "port 0 cannot be called"));
    }
    Ok(())
}
