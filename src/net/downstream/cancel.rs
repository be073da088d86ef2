//! Cancel requests: which client's query one means. It owns the keys and nothing else: what a cancelled query is answered is
//! the front's matter, and what becomes of its attempts the module's.
//!
//! A cancel request comes on a connection of its own and bears the key that another connection was told at its start. It
//! holds for the query that this one waits for at that moment, and for no later one.

use crate::net::pg::CancelKey;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The keys of all client connections.
#[derive(Default)]
pub struct Cancels {
    /// By key: how to cancel what its connection waits for, while it waits.
    open: RefCell<HashMap<CancelKey, Option<oneshot::Sender<()>>>>,
}

/// A connection's key, which is forgotten when this is dropped.
pub struct Registered {
    cancels: Rc<Cancels>,
    key: CancelKey,
}

/// A query that can be cancelled, until this is dropped.
pub struct Cancellable<'a> {
    of: &'a Registered,
    cancelled: oneshot::Receiver<()>,
}

impl Cancels {
    /// A key for a connection. None where the system gives no random numbers: one that can be guessed is worse than none.
    pub fn register(self: &Rc<Self>) -> Option<Registered> {
        let mut key = CancelKey::default();
        loop {
            getrandom::fill(&mut key).ok()?;
            // Two connections with one key would cancel each other's queries.
            if !self.open.borrow().contains_key(&key) {
                break;
            }
        }
        self.open.borrow_mut().insert(key, None);
        Some(Registered {
            cancels: Rc::clone(self),
            key,
        })
    }

    /// Cancels what the connection of this key waits for, if there is one and it waits.
    pub fn cancel(&self, key: &CancelKey) {
        if let Some(waits) = self.open.borrow_mut().get_mut(key).and_then(Option::take) {
            // Its query may have ended in this moment.
            let _ = waits.send(());
        }
    }
}

impl Registered {
    /// What the client is told.
    pub fn key(&self) -> &CancelKey {
        &self.key
    }

    /// The connection waits for a query from now on.
    pub fn query(&self) -> Cancellable<'_> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancels
            .open
            .borrow_mut()
            .insert(self.key, Some(cancel));
        Cancellable {
            of: self,
            cancelled,
        }
    }
}

impl Cancellable<'_> {
    /// Returns once the query is cancelled.
    pub async fn cancelled(&mut self) {
        let _ = (&mut self.cancelled).await;
    }
}

impl Drop for Cancellable<'_> {
    fn drop(&mut self) {
        self.of.cancels.open.borrow_mut().insert(self.of.key, None);
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.cancels.open.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/cancel.rs"]
mod tests;
