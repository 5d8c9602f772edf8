//! How long a VM waits between two exchanges with the manager.
//!
//! Load pattern: the manager hears every other VM several times a second, answers callers, and renews
//! all grants, perhaps with a tenth of a core. What it can't keep up with delays its own calls to the
//! store until they time out; it loses its lease, and the next one fares no better.

use std::time::Duration;

/// The time between two exchanges while requests are under way.
///
/// A target gets a request every 40 to 60 ms at the loads that are known; older counts would let
/// several VMs take the same free place.
const PERIOD: Duration = Duration::from_millis(40);
/// The time between two exchanges while nothing is under way.
const IDLE_PERIOD: Duration = Duration::from_millis(150);
/// From how many VMs on they exchange less often: at the usual period 600 words a second reach the
/// manager then.
const VMS_USUAL: u32 = 24;
/// The longest time between two exchanges: counts of requests are believed for 250 ms.
const PERIOD_MOST: Duration = Duration::from_millis(150);

/// Sets the pauses between exchanges.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::pause::Pause;
///
/// let ms = Duration::from_millis;
/// let mut pause = Pause::default();
/// assert_eq!(pause.after(ms(4), true, 8), ms(40));
/// assert_eq!(pause.after(ms(4), false, 8), ms(150));
/// assert_eq!(pause.after(ms(4), true, 48), ms(80), "more VMs, fewer words of each");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pause {}

impl Pause {
    /// Returns the pause after an exchange that took so long; `busy` tells whether requests are under
    /// way, `vms` how many VMs exchange with the manager.
    ///
    /// # Example
    ///
    /// See [`Pause`].
    pub fn after(&mut self, _took: Duration, busy: bool, vms: usize) -> Duration {
        let period = if busy { PERIOD } else { IDLE_PERIOD };
        let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(VMS_USUAL);
        (period * vms / VMS_USUAL).min(PERIOD_MOST)
    }
}
