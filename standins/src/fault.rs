//! Faults that tests inject into a target.

use serde::{Deserialize, Serialize};

/// The active faults of a target; setting them replaces all previous ones.
///
/// The fields with a count apply to that many of the next requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The target rejects all work as overloaded.
    pub shed: bool,
    /// The target reports that it drains and rejects new work.
    pub drain: bool,
    /// A false load to report.
    pub load_lie: Option<f64>,
    /// A false phase to report.
    pub health_lie: Option<String>,
    /// The factor by which work takes longer.
    pub slow_factor: Option<f64>,
    /// A request with this key aborts the process after the start of its work is logged.
    pub kill_key: Option<String>,
    /// Limits the faults with a count to requests of this method.
    pub method: Option<String>,
    /// Requests that start and hold their slot until they are cancelled.
    pub accept_and_hang: u32,
    /// Requests that run but get status 503.
    pub wrong_5xx: u32,
    /// Responses whose body is truncated halfway.
    pub cut_body: u32,
    /// Requests whose connection is reset before the work starts.
    pub reset_before: u32,
    /// Requests whose connection is reset halfway through the work, which continues.
    pub reset_during: u32,
    /// Requests whose connection is reset after the work, instead of a response.
    pub reset_after: u32,
}

/// A fault that applies to a limited number of requests.
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
    /// Returns whether the fault applies to a request of this method, and if so uses up one count.
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
