//! Shares the newest [`Fleet`] with the tasks of the process and notifies them of changes.

use std::{cell::RefCell, rc::Rc};

use futures_channel::mpsc;

use super::{Confirmations, Fleet, KnowledgeLimits};

/// A handle on this VM's view of the fleet; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SharedFleet {
    fleet: Rc<RefCell<Rc<Fleet>>>,
    subscribers: Rc<RefCell<Vec<mpsc::UnboundedSender<()>>>>,
    confirmations: Confirmations,
}

impl SharedFleet {
    /// Creates the view of a VM whose knowledge may be as old as `limits` say.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{KnowledgeLimits, SharedFleet};
    ///
    /// let limits = KnowledgeLimits::default();
    /// assert_eq!(SharedFleet::new(limits).confirmations().limits(), limits);
    /// ```
    pub fn new(limits: KnowledgeLimits) -> Self {
        Self {
            confirmations: Confirmations::new(limits),
            ..Self::default()
        }
    }

    /// Returns a snapshot of the newest state.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// assert!(SharedFleet::default().get().config.is_none());
    /// ```
    pub fn get(&self) -> Rc<Fleet> {
        self.fleet.borrow().clone()
    }

    /// Returns how old the state is, and who says so; subscribers aren't notified of changes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// assert!(SharedFleet::default().confirmations().latest().is_none());
    /// ```
    pub fn confirmations(&self) -> &Confirmations {
        &self.confirmations
    }

    /// Changes the state and notifies all subscribers.
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
        let known_until = self.confirmations.usable_until();
        let result = {
            let mut fleet = self.fleet.borrow_mut();
            let fleet = Rc::make_mut(&mut *fleet);
            fleet.set_known_until(known_until);
            change(fleet)
        };
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| subscriber.unbounded_send(()).is_ok());
        result
    }

    /// Returns a stream that yields an item for each change from now on.
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
        self.subscribers.borrow_mut().push(sender);
        receiver
    }
}
