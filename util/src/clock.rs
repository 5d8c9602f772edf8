//! The process's monotonic clock, which tests can pause and advance.
//!
//! The runtime has no clock that can be paused, so this is a thin layer over its timers. Readings
//! are [`Duration`]s since an arbitrary origin and have no meaning in other processes. The real clock
//! keeps running while the process or its VM is suspended, so a lease that expired during the suspension
//! is seen as expired afterwards.

use std::{cell::Cell, future, pin::pin, rc::Rc, time::Duration};

use futures_util::future::{self as futures, Either};
use rustix::time::{self as system, ClockId};

/// A source of the current time and of timers.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_util::clock::Clock;
///
/// let clock = Clock::paused();
/// clock.advance(Duration::from_secs(1));
/// assert_eq!(clock.now(), Duration::from_secs(1));
/// ```
#[derive(Clone, Debug)]
pub struct Clock {
    /// The reading of a paused clock; none for the real clock.
    paused: Option<Rc<Cell<Duration>>>,
}

impl Clock {
    /// Creates the real clock: the time since the machine's boot, including suspension.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::clock::Clock;
    ///
    /// let clock = Clock::real();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn real() -> Self {
        Self { paused: None }
    }

    /// Creates a paused clock, which stays at zero until it is advanced.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::clock::Clock;
    ///
    /// assert!(Clock::paused().now().is_zero());
    /// ```
    pub fn paused() -> Self {
        Self {
            paused: Some(Rc::default()),
        }
    }

    /// Returns the current reading.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::clock::Clock;
    ///
    /// assert!(Clock::paused().now().is_zero());
    /// ```
    pub fn now(&self) -> Duration {
        match &self.paused {
            Some(reading) => reading.get(),
            None => boot_time(),
        }
    }

    /// Advances a paused clock; has no effect on the real clock.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::clock::Clock;
    ///
    /// let clock = Clock::paused();
    /// clock.advance(Duration::from_millis(5));
    /// assert_eq!(clock.now().as_millis(), 5);
    /// ```
    pub fn advance(&self, by: Duration) {
        if let Some(reading) = &self.paused {
            reading.set(reading.get() + by);
        }
    }

    /// Waits until `span` has passed on this clock.
    ///
    /// On a paused clock it polls until another task has advanced the clock far enough.
    pub async fn sleep(&self, span: Duration) {
        let Some(reading) = &self.paused else {
            return compio::time::sleep(span).await;
        };
        let due = reading.get() + span;
        future::poll_fn(|context| {
            if reading.get() >= due {
                return std::task::Poll::Ready(());
            }
            context.waker().wake_by_ref();
            std::task::Poll::Pending
        })
        .await;
    }

    /// Waits for a future, but at most `span` on this clock.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] if `span` passes first; the future is then dropped.
    pub async fn timeout<F>(&self, span: Duration, future: F) -> Result<F::Output, Elapsed>
    where
        F: Future,
    {
        let wait = pin!(self.sleep(span));
        let work = pin!(future);
        match futures::select(work, wait).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right(_) => Err(Elapsed),
        }
    }
}

/// The error of a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Reads the system clock that also counts suspension.
fn boot_time() -> Duration {
    let reading = system::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
