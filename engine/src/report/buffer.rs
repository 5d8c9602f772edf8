//! Buffers log lines for standard output, so that a slow reader never blocks the process.

use std::{
    collections::VecDeque,
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
};

use rustix::{fs, io::Errno};

/// The capacity of the buffer: about 5,000 lines.
const CAPACITY_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct State {
    /// Bytes that are not yet written.
    pending: VecDeque<u8>,
    /// Writes that did not fit since the last report.
    dropped: u64,
}

/// A bounded buffer for standard output; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Buffer(Arc<Mutex<State>>);

impl Buffer {
    fn with<F, R>(&self, apply: F) -> R
    where
        F: FnOnce(&mut State) -> R,
    {
        apply(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns how many writes did not fit since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.with(|state| std::mem::take(&mut state.dropped))
    }

    /// Writes as much to standard output as is possible without blocking.
    pub fn flush_out(&self) {
        self.with(|state| {
            let out = rustix::stdio::stdout();
            // If this fails, writes may block; the parent process is expected to read the output.
            if let Ok(flags) = fs::fcntl_getfl(out) {
                let _ = fs::fcntl_setfl(out, flags | fs::OFlags::NONBLOCK);
            }
            while !state.pending.is_empty() {
                let (head, _) = state.pending.as_slices();
                match rustix::io::write(out, head) {
                    Ok(0) | Err(Errno::AGAIN) => return,
                    Ok(count) => drop(state.pending.drain(..count)),
                    Err(Errno::INTR) => {}
                    // The reader has closed the output, so the lines can't be delivered.
                    Err(_) => return state.pending.clear(),
                }
            }
        });
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.with(|state| {
            if state.pending.len() + bytes.len() > CAPACITY_BYTES {
                state.dropped += 1;
            } else {
                state.pending.extend(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
