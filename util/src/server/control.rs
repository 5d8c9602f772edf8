//! Stops a server and counts its connections.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// Stops a server and counts its open connections; shared by the server and its connections.
#[derive(Clone, Debug)]
pub struct Control {
    /// Dropped to stop the server, which completes `stopped`.
    running: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    /// Completes once the server must stop.
    pub(super) stopped: Shared<oneshot::Receiver<()>>,
    /// Dropped to close all connections, which completes `aborted`.
    connected: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    /// Completes once connections must close without a response.
    pub(super) aborted: Shared<oneshot::Receiver<()>>,
    open: Rc<Cell<usize>>,
    unread: Rc<Cell<usize>>,
}

impl Default for Control {
    fn default() -> Self {
        let (running, stopped) = oneshot::channel();
        let (connected, aborted) = oneshot::channel();
        Self {
            running: Rc::new(RefCell::new(Some(running))),
            stopped: stopped.shared(),
            connected: Rc::new(RefCell::new(Some(connected))),
            aborted: aborted.shared(),
            open: Rc::default(),
            unread: Rc::default(),
        }
    }
}

impl Control {
    /// Makes the server accept no more connections and close each one after its current request.
    pub fn stop(&self) {
        self.running.borrow_mut().take();
    }

    /// Makes the server accept no more connections and close each one at once, as the end of its process does.
    pub fn abort(&self) {
        self.stop();
        self.connected.borrow_mut().take();
    }

    /// Returns how many connections had something unread, or weren't accepted yet, when the server stopped.
    pub fn unread(&self) -> usize {
        self.unread.get()
    }

    pub(super) fn count_unread(&self) {
        self.unread.set(self.unread.get() + 1);
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

/// Counts one open connection until it is dropped.
pub(super) struct OpenConnection(pub(super) Control);

impl OpenConnection {
    pub(super) fn new(control: Control) -> Self {
        control.open.set(control.open.get() + 1);
        Self(control)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
