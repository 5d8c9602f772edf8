//! The faults that a target shows on demand.

use serde::{Deserialize, Serialize};

/// The faults in force; setting them replaces all. Counts say how many requests suffer it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It refuses all work as overload.
    pub shed: bool,
    /// It takes no new work.
    pub drain: bool,
    /// The load that it reports.
    pub load_lie: Option<f64>,
    /// The phase that it reports.
    pub health_lie: Option<String>,
    /// How much longer work takes.
    pub slow_factor: Option<f64>,
    /// A request with this key aborts the process as it runs.
    pub kill_key: Option<String>,
    /// Only requests of this method suffer the faults with a count.
    pub method: Option<String>,
    /// Requests that start, keep their slot and never end unless cancelled.
    pub accept_and_hang: u32,
    /// Requests that run and are then answered 503.
    pub wrong_5xx: u32,
    /// Answers that break off halfway.
    pub cut_body: u32,
    /// Connections reset before the work starts.
    pub reset_before: u32,
    /// Connections reset halfway through the work, which goes on.
    pub reset_during: u32,
    /// Connections reset after the work, in place of the answer.
    pub reset_after: u32,
}

/// A fault that hits a counted number of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// See [`Faults::accept_and_hang`].
    Hang,
    /// See [`Faults::wrong_5xx`].
    WrongStatus,
    /// See [`Faults::cut_body`].
    CutBody,
    /// See [`Faults::reset_before`].
    ResetBefore,
    /// See [`Faults::reset_during`].
    ResetDuring,
    /// See [`Faults::reset_after`].
    ResetAfter,
}

impl Faults {
    /// Returns whether the next request of this method suffers the fault, and counts it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::fault::{Fault, Faults};
    ///
    /// let mut faults = Faults { cut_body: 1, ..Faults::default() };
    /// assert!(faults.take(Fault::CutBody, "GET"));
    /// assert!(!faults.take(Fault::CutBody, "GET"));
    /// ```
    pub fn take(&mut self, fault: Fault, method: &str) -> bool {
        if self.method.as_deref().is_some_and(|only| only != method) {
            return false;
        }
        let count = match fault {
            Fault::Hang => &mut self.accept_and_hang,
            Fault::WrongStatus => &mut self.wrong_5xx,
            Fault::CutBody => &mut self.cut_body,
            Fault::ResetBefore => &mut self.reset_before,
            Fault::ResetDuring => &mut self.reset_during,
            Fault::ResetAfter => &mut self.reset_after,
        };
        if *count == 0 {
            return false;
        }
        *count -= 1;
        true
    }
}
