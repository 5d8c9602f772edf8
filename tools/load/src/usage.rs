//! Reads the processor time and memory of a process from `/proc`.

use std::{fs, io, time::Duration};

/// Ticks of processor time per second; fixed on Linux for the values in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of user time in `/proc/PID/stat`, counted after the process name; system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Processor time and memory that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and system mode.
    pub cpu: Duration,
    /// Current resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Peak resident memory, in kilobytes.
    pub peak_kb: u64,
}

impl Usage {
    /// Reads the current usage of a process.
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
            cpu: parse_cpu_time(&stat),
            resident_kb: status_field(&status, "VmRSS:"),
            peak_kb: status_field(&status, "VmHWM:"),
        })
    }
}

impl Usage {
    /// Returns the processor time used since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }
}

/// Parses the processor time in the text of `/proc/PID/stat`.
///
/// # Example
///
/// ```
/// use bramleypier_load::usage;
///
/// let stat = "7 (a) b) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0";
/// assert_eq!(usage::parse_cpu_time(stat).as_secs(), 2);
/// ```
pub fn parse_cpu_time(stat: &str) -> Duration {
    // The process name may contain spaces and brackets, so the fields start after the last bracket.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

fn status_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}
