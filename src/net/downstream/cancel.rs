//! Cancel requests: the registry of cancel keys and of the queries that they cancel.
//!
//! A cancel request arrives on a connection of its own and carries the key that another connection was sent at its
//! start. It applies to the query that this connection waits for at that moment, and to no later one. What a cancelled
//! query is answered, and what becomes of its attempts, is not decided here.

use crate::net::pg::CancelKey;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The cancel keys of all client connections.
#[derive(Default)]
pub struct CancelRegistry {
    /// For each key the way to cancel its connection's query, while the connection waits for one.
    by_key: RefCell<HashMap<CancelKey, Option<oneshot::Sender<()>>>>,
}

/// The key of one connection, unregistered when it is dropped.
pub struct CancelRegistration {
    cancels: Rc<CancelRegistry>,
    key: CancelKey,
}

/// A query that can be cancelled until this is dropped.
pub struct CancellableQuery<'a> {
    registration: &'a CancelRegistration,
    cancelled: oneshot::Receiver<()>,
}

impl CancelRegistry {
    /// Registers a new key. None where the operating system gives no random numbers: a key that can be guessed is worse
    /// than none.
    pub fn register(self: &Rc<Self>) -> Option<CancelRegistration> {
        let mut key = CancelKey::default();
        loop {
            getrandom::fill(&mut key).ok()?;
            // Two connections with one key would cancel each other's queries.
            if !self.by_key.borrow().contains_key(&key) {
                break;
            }
        }
        self.by_key.borrow_mut().insert(key, None);
        Some(CancelRegistration {
            cancels: Rc::clone(self),
            key,
        })
    }

    /// CancelRegistry the query that the connection of this key waits for, if there is one.
    pub fn cancel(&self, key: &CancelKey) {
        if let Some(sender) = self.by_key.borrow_mut().get_mut(key).and_then(Option::take) {
            // The query may have ended in this moment, and its receiver with it.
            let _ = sender.send(());
        }
    }
}

impl CancelRegistration {
    /// The key, which the client is sent at its start.
    pub fn key(&self) -> &CancelKey {
        &self.key
    }

    /// Lets the connection's query be cancelled until the result is dropped.
    pub fn query(&self) -> CancellableQuery<'_> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancels
            .by_key
            .borrow_mut()
            .insert(self.key, Some(cancel));
        CancellableQuery {
            registration: self,
            cancelled,
        }
    }
}

impl CancellableQuery<'_> {
    /// Returns once the query is cancelled.
    pub async fn cancelled(&mut self) {
        // An error would mean that the sender is gone, which stays registered for as long as this lives.
        let _ = (&mut self.cancelled).await;
    }
}

impl Drop for CancellableQuery<'_> {
    fn drop(&mut self) {
        let CancelRegistration { cancels, key } = self.registration;
        cancels.by_key.borrow_mut().insert(*key, None);
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.cancels.by_key.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/cancel.rs"]
mod tests;
