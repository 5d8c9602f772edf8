//! What a process has spent, as the system counts it.

use std::{fs, io, time::Duration};

/// Ticks of processor time in a second: fixed on Linux for what `/proc` shows.
const TICKS: f64 = 100.0;
/// The place of user time in `/proc/PID/stat`, after the name.
const USER_FIELD: usize = 11;

/// What a process has spent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in user and system mode.
    pub cpu: Duration,
    /// Resident memory now, in kilobytes.
    pub resident_kb: u64,
    /// The greatest resident memory so far, in kilobytes.
    pub peak_kb: u64,
}

impl Usage {
    /// Reads what a process has spent.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process, or its files can't be read.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::usage::Usage;
    ///
    /// assert!(Usage::read(std::process::id()).unwrap().resident_kb > 0);
    /// ```
    pub fn read(process: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        Ok(Self {
            cpu: cpu(&stat),
            resident_kb: field(&status, "VmRSS:"),
            peak_kb: field(&status, "VmHWM:"),
        })
    }
}

impl Usage {
    /// Returns the processor time spent since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }
}

/// Reads processor time out of the text of `/proc/PID/stat`.
///
/// # Example
///
/// ```
/// use bramleypier_load::usage;
///
/// let stat = "7 (a) b) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0";
/// assert_eq!(usage::cpu(stat).as_secs(), 2);
/// ```
pub fn cpu(stat: &str) -> Duration {
    // The name may hold spaces and brackets, so the fields start after the last bracket.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(USER_FIELD).take(2);
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS)
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}
