//! The signals of a process, as a stream that its runtime polls like any other.
//!
//! A handler interrupts the process at any instruction, also within the allocator or the runtime's queue of tasks. So it does
//! nothing but write a byte into a socket, from which the stream reads.

use std::{io, os::unix::net::UnixStream as StdStream};

use compio::{buf::BufResult, io::AsyncRead as _, net::UnixStream};
use futures_util::{
    StreamExt as _,
    stream::{self, LocalBoxStream},
};
use signal_hook::{consts, low_level::pipe};

/// How many arrivals are read at a time; they count as one.
const READ_BYTES: usize = 64;

/// A signal that a process may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a reload of the settings.
    Hangup,
    /// Requests a stop, from a terminal.
    Interrupt,
    /// Requests a stop.
    Terminate,
}

impl Signal {
    fn number(self) -> i32 {
        match self {
            Self::Hangup => consts::SIGHUP,
            Self::Interrupt => consts::SIGINT,
            Self::Terminate => consts::SIGTERM,
        }
    }
}

/// The arrivals of some signals; those that come before the first is taken count as one.
///
/// A wait for the next arrival may be given up without losing it.
pub type Arrivals = LocalBoxStream<'static, ()>;

/// Takes signals over from their default actions, which end the process.
///
/// The default actions don't come back, whether or not the stream still exists. Signals that have come since this call are in the
/// stream, which is first polled in a runtime and does not end.
///
/// # Errors
///
/// The operating system refused a socket or a handler.
///
/// # Example
///
/// ```
/// use bramleypier_util::signals::{self, Signal};
/// use compio::runtime::Runtime;
/// use futures_util::StreamExt;
///
/// let mut reloads = signals::take_over(&[Signal::Hangup])?;
/// rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::HUP)?;
/// let arrived = Runtime::new()?.block_on(async { reloads.next().await });
/// assert_eq!(arrived, Some(()));
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn take_over(signals: &[Signal]) -> io::Result<Arrivals> {
    let (receiver, sender) = StdStream::pair()?;
    for signal in signals {
        pipe::register(signal.number(), sender.try_clone()?)?;
    }
    // The runtime may not exist yet.
    let opened = stream::once(async move { UnixStream::from_std(receiver) });
    let arrivals = opened.filter_map(async |it| it.inspect_err(report).ok());
    let arrivals = arrivals.flat_map(|it| stream::unfold(it, next_arrival));
    Ok(arrivals.chain(stream::pending()).boxed_local())
}

/// Waits for a byte of a handler.
async fn next_arrival(mut receiver: UnixStream) -> Option<((), UnixStream)> {
    let BufResult(read, _) = receiver.read(Vec::with_capacity(READ_BYTES)).await;
    match read {
        Ok(1..) => Some(((), receiver)),
        // The handlers keep their ends.
        Ok(0) => None,
        Err(cause) => {
            report(&cause);
            None
        }
    }
}

fn report(cause: &io::Error) {
    log::error!("step=signals peer=process cause={cause}");
}
