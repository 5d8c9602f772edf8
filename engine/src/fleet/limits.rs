//! The ages of a VM's knowledge of the store at which it does something about it.

use std::time::Duration;

/// How long a request may be under way from its first byte to its target.
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// The time for asking the store and other VMs: a lost response to either, and a second question.
const ASK_TIME: Duration = Duration::from_millis(600);
/// The least bound: below it a VM would ask all the time.
const MIN_BOUND: Duration = Duration::from_secs(1);

/// The ages of a VM's knowledge of the store up to which it is used, and from which on the VM asks for news.
///
/// All follow from one bound: how long after the store has accepted a change no VM may act by what was before it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::fleet::KnowledgeLimits;
///
/// let ms = Duration::from_millis;
/// let limits = KnowledgeLimits::new(ms(3000));
/// assert_eq!(limits.max_age(), ms(2900));
/// assert_eq!(limits.ask_age(), ms(2300));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnowledgeLimits {
    bound: Duration,
}

impl Default for KnowledgeLimits {
    fn default() -> Self {
        Self::new(Duration::from_secs(2))
    }
}

impl KnowledgeLimits {
    /// Creates the limits for changes that must be in force everywhere within `bound`.
    ///
    /// # Example
    ///
    /// See [`KnowledgeLimits`].
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound.max(MIN_BOUND),
        }
    }

    /// Returns the age up to which requests are sent, and routes denied, by what a VM knows.
    ///
    /// # Example
    ///
    /// See [`KnowledgeLimits`].
    pub fn max_age(self) -> Duration {
        self.bound.saturating_sub(DELIVERY_TIME)
    }

    /// Returns the age from which a VM asks the store and other VMs itself, and relies on the manager no longer.
    ///
    /// # Example
    ///
    /// See [`KnowledgeLimits`].
    pub fn ask_age(self) -> Duration {
        self.max_age().saturating_sub(ASK_TIME)
    }
}
