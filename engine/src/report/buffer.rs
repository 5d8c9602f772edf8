//! Log lines on their way to standard output.

use std::{
    collections::VecDeque,
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
};

use rustix::{fs, io::Errno};

/// The most bytes that wait; some 5,000 lines.
const BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct State {
    waiting: VecDeque<u8>,
    dropped: u64,
}

/// A bounded buffer before standard output; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<Mutex<State>>);

impl Buffer {
    fn with<F, R>(&self, work: F) -> R
    where
        F: FnOnce(&mut State) -> R,
    {
        work(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns how many pieces did not fit since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.with(|state| std::mem::take(&mut state.dropped))
    }

    /// Writes as much as standard output takes without blocking.
    pub fn flush_out(&self) {
        self.with(|state| {
            let out = rustix::stdio::stdout();
            // A terminal or pipe that can't be set so may block; it is drained by whoever started us.
            if let Ok(flags) = fs::fcntl_getfl(out) {
                let _ = fs::fcntl_setfl(out, flags | fs::OFlags::NONBLOCK);
            }
            while !state.waiting.is_empty() {
                let (head, _) = state.waiting.as_slices();
                match rustix::io::write(out, head) {
                    Ok(0) | Err(Errno::AGAIN) => return,
                    Ok(count) => drop(state.waiting.drain(..count)),
                    Err(Errno::INTR) => {}
                    // Nobody reads any more: lines are of no use.
                    Err(_) => return state.waiting.clear(),
                }
            }
        });
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|state| {
            if state.waiting.len() + bytes.len() > BYTES {
                state.dropped += 1;
            } else {
                state.waiting.extend(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
