//! The newest state, shown to the tasks of the process.

use std::{cell::RefCell, rc::Rc};

use futures_channel::mpsc;

use super::Fleet;

/// The newest beliefs, shared by the tasks of a process.
#[derive(Clone, Debug, Default)]
pub struct SharedFleet {
    now: Rc<RefCell<Rc<Fleet>>>,
    listeners: Rc<RefCell<Vec<mpsc::UnboundedSender<()>>>>,
}

impl SharedFleet {
    /// Returns the newest state.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// assert!(SharedFleet::default().get().config.is_none());
    /// ```
    pub fn get(&self) -> Rc<Fleet> {
        self.now.borrow().clone()
    }

    /// Changes the state and wakes all listeners.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// let shared_fleet = SharedFleet::default();
    /// shared_fleet.update(|fleet| fleet.targets_listed = true);
    /// assert!(shared_fleet.get().targets_listed);
    /// ```
    pub fn update<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Fleet) -> R,
    {
        let result = change(Rc::make_mut(&mut *self.now.borrow_mut()));
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|listener| listener.unbounded_send(()).is_ok());
        result
    }

    /// Returns a stream with an item for each change from now on.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// let shared_fleet = SharedFleet::default();
    /// let mut changes = shared_fleet.subscribe();
    /// shared_fleet.update(|_| ());
    /// assert!(changes.try_recv().is_ok());
    /// ```
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<()> {
        let (sender, receiver) = mpsc::unbounded();
        self.listeners.borrow_mut().push(sender);
        receiver
    }
}
