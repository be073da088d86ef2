//! [`Monitor`] holds a value that several threads share, and lets threads wait for updates of the value.

use super::TEST_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

/// A shared value whose updates wake the threads that wait for a condition on it.
pub struct Monitor<T> {
    shared: Arc<(Mutex<T>, Condvar)>,
}

impl<T> Clone for Monitor<T> {
    fn clone(&self) -> Self {
        Monitor {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Monitor<T> {
    /// A monitor with its first value.
    pub fn new(value: T) -> Self {
        Monitor {
            shared: Arc::new((Mutex::new(value), Condvar::new())),
        }
    }

    /// Gives the closure access to the value, and wakes all waiting threads afterwards.
    pub fn update<R>(&self, access: impl FnOnce(&mut T) -> R) -> R {
        let (value, updated) = &*self.shared;
        let result = access(&mut value.lock().unwrap());
        updated.notify_all();
        result
    }

    /// Waits until the closure returns a result.
    ///
    /// If that takes longer than [`TEST_TIMEOUT`] in total, no matter how often the value is updated.
    pub fn wait_for<R>(
        &self,
        description: &str,
        mut condition: impl FnMut(&mut T) -> Option<R>,
    ) -> R {
        let (value, updated) = &*self.shared;
        let mut value = value.lock().unwrap();
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(result) = condition(&mut value) {
                return result;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "timed out waiting for: {description}");
            value = updated.wait_timeout(value, remaining).unwrap().0;
        }
    }
}
