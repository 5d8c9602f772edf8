//! How a VM that follows the store spaces its watches: each is charged, and what is known must not grow too old.

use std::time::Duration;

use crate::fleet::KnowledgeLimits;

/// How long a watch waits at most.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long a watch waits at least.
pub(super) const MIN_WAIT: Duration = Duration::from_millis(50);
/// How old what the manager knows may be when the response to its watch is due: other VMs hear it an exchange later.
const MANAGER_MAX_AGE: Duration = Duration::from_millis(1150);
/// How long the manager waits after a watch, so that the next response has several changes.
const MANAGER_DELAY: Duration = Duration::from_millis(100);
/// The same for any other VM, which follows the store only until it relies on the manager: hundreds may do so at the same time.
const DIRECT_DELAY: Duration = Duration::from_millis(300);
/// The time for the response to a watch: longer than calls take while the store is well.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// How long the watches of a VM wait, and the VM after those with changes.
///
/// After a watch without changes the age of what is known is next to nothing. Changes may have been under way for as long as
/// their watch was, so what they confirm is as old as that watch, and the next one waits for less long.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::{fleet::KnowledgeLimits, follow::Pace};
///
/// let ms = Duration::from_millis;
/// let pace = Pace::of_manager();
/// assert_eq!(pace.wait(Some(ms(10))), ms(1000));
/// assert_eq!(pace.delay(Some(ms(500))), ms(100));
/// assert_eq!(pace.wait(Some(ms(600))), ms(550));
/// assert_eq!(pace.wait(Some(ms(1120))), ms(50), "it confirms what is known");
/// assert_eq!(pace.wait(None), ms(50), "nothing is confirmed");
/// let limits = KnowledgeLimits::new(ms(3000));
/// assert_eq!(Pace::of_follower(limits).wait(Some(ms(1300))), ms(900));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    max_age: Duration,
    max_delay: Duration,
}

impl Pace {
    /// Returns the pace of the manager, which all others rely on.
    ///
    /// # Example
    ///
    /// See [`Pace`].
    pub fn of_manager() -> Self {
        Self {
            max_age: MANAGER_MAX_AGE,
            max_delay: MANAGER_DELAY,
        }
    }

    /// Returns the pace of any other VM, which doesn't have to ask others as long as it follows the store.
    ///
    /// # Example
    ///
    /// See [`Pace`].
    pub fn of_follower(limits: KnowledgeLimits) -> Self {
        Self {
            max_age: limits.ask_age().saturating_sub(RESPONSE_TIME),
            max_delay: DIRECT_DELAY,
        }
    }

    /// Returns how old what is known may be when the response to a watch is due.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::{fleet::KnowledgeLimits, follow::Pace};
    ///
    /// let limits = KnowledgeLimits::default();
    /// assert!(Pace::of_follower(limits).max_age() < limits.ask_age());
    /// ```
    pub fn max_age(self) -> Duration {
        self.max_age
    }

    /// Returns how long the next watch waits; `age` is the age of what is known.
    ///
    /// # Example
    ///
    /// See [`Pace`].
    pub fn wait(self, age: Option<Duration>) -> Duration {
        self.left(age).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Returns how long this VM waits after a watch with changes, so that the next response has several.
    ///
    /// # Example
    ///
    /// See [`Pace`].
    pub fn delay(self, age: Option<Duration>) -> Duration {
        self.left(age).saturating_sub(MIN_WAIT).min(self.max_delay)
    }

    /// Returns how much older what is known may become.
    fn left(self, age: Option<Duration>) -> Duration {
        age.map_or(Duration::ZERO, |it| self.max_age.saturating_sub(it))
    }
}
