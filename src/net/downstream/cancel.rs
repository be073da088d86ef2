//! Cancel requests: the registry of cancel keys and of the queries that can be cancelled with them.
//!
//! A cancel request arrives on a connection of its own and carries the key that another connection was sent at startup.
//! It cancels the query that this other connection is waiting for at that moment, and no later one. The answer to a
//! cancelled query, and what happens to its attempts, are decided elsewhere.

use crate::net::pg::CancelKey;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The cancel keys of all client connections.
#[derive(Default)]
pub struct CancelRegistry {
    /// For each key, the sender that cancels the connection's query, or `None` while the connection waits for no query.
    by_key: RefCell<HashMap<CancelKey, Option<oneshot::Sender<()>>>>,
}

/// The registration of one connection's key, removed when this is dropped.
pub struct CancelRegistration {
    registry: Rc<CancelRegistry>,
    key: CancelKey,
}

/// A query that can be cancelled until this is dropped.
pub struct CancellableQuery<'a> {
    registration: &'a CancelRegistration,
    cancelled: oneshot::Receiver<()>,
}

impl CancelRegistry {
    /// Registers a new random key. Returns `None` if the operating system provides no random numbers, because a key
    /// that can be guessed is worse than no key.
    pub fn register(self: &Rc<Self>) -> Option<CancelRegistration> {
        let mut key = CancelKey::default();
        loop {
            getrandom::fill(&mut key).ok()?;
            // Two connections with the same key would cancel each other's queries.
            if !self.by_key.borrow().contains_key(&key) {
                break;
            }
        }
        self.by_key.borrow_mut().insert(key, None);
        Some(CancelRegistration {
            registry: Rc::clone(self),
            key,
        })
    }

    /// Cancels the query that the connection with this key is waiting for, if there is one.
    pub fn cancel(&self, key: &CancelKey) {
        if let Some(sender) = self.by_key.borrow_mut().get_mut(key).and_then(Option::take) {
            // Sending fails if the query has just ended and its receiver was dropped.
            let _ = sender.send(());
        }
    }
}

impl CancelRegistration {
    /// Returns the key that is sent to the client at startup.
    pub fn key(&self) -> &CancelKey {
        &self.key
    }

    /// Makes the connection's current query cancellable until the result is dropped.
    pub fn cancellable_query(&self) -> CancellableQuery<'_> {
        let (sender, cancelled) = oneshot::channel();
        self.registry
            .by_key
            .borrow_mut()
            .insert(self.key, Some(sender));
        CancellableQuery {
            registration: self,
            cancelled,
        }
    }
}

impl CancellableQuery<'_> {
    /// Returns once the query is cancelled.
    pub async fn cancelled(&mut self) {
        // The receiver fails only if the sender was dropped, and the sender stays registered for as long as this value
        // lives.
        let _ = (&mut self.cancelled).await;
    }
}

impl Drop for CancellableQuery<'_> {
    fn drop(&mut self) {
        let CancelRegistration { registry, key } = self.registration;
        registry.by_key.borrow_mut().insert(*key, None);
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.registry.by_key.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/cancel.rs"]
mod tests;
