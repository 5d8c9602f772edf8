//! Whether this process accepts callers.

use std::{cell::Cell, rc::Rc};

/// Whether the process accepts callers or is draining; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ServingState {
    ready: Rc<Cell<bool>>,
    draining: Rc<Cell<bool>>,
}

impl ServingState {
    /// Sets whether the readiness check succeeds.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts draining: the readiness check fails, and each response closes its connection.
    pub fn drain(&self) {
        self.ready.set(false);
        self.draining.set(true);
    }
}
