//! A pool of buffers of equal size, with a shared budget for messages that need more than one buffer's size.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Size of a buffer in bytes. Most statements and rows fit into one.
pub const BUFFER_SIZE: usize = 8 * 1024;
/// Maximum number of free buffers that are kept for reuse.
const MAX_FREE_BUFFERS: usize = 64;

/// Input that is read ahead may use only the budget for large messages divided by this. The rest is for the messages
/// that are being processed: if read-ahead input used up the budget, no request could finish and no memory would be
/// freed.
const READ_AHEAD_DIVISOR: usize = 2;

/// A pool of buffers that all connections share. Each buffer holds a reference to the pool and returns to it when it is
/// dropped. The memory that messages need beyond the size of a buffer comes from a shared budget.
pub struct Pool {
    free: RefCell<Vec<BytesMut>>,
    /// Number of bytes beyond the size of a buffer that are in use in this process.
    extra_bytes: Cell<usize>,
    /// Maximum number of bytes beyond the size of a buffer, over all processes of this gateway.
    budget: usize,
    /// Number of bytes beyond the size of a buffer that another process of this gateway uses.
    other_process_extra_bytes: Cell<usize>,
}

/// A buffer that returns to its pool when it is dropped.
pub struct Buffer {
    bytes: BytesMut,
    /// Number of bytes beyond [`BUFFER_SIZE`] that this buffer has taken from the budget.
    extra_bytes: usize,
    pool: Rc<Pool>,
}

impl Pool {
    /// Creates a pool whose buffers together may hold `budget` bytes beyond their size.
    pub fn new(budget: usize) -> Rc<Self> {
        Rc::new(Pool {
            free: RefCell::default(),
            extra_bytes: Cell::new(0),
            budget,
            other_process_extra_bytes: Cell::new(0),
        })
    }

    /// Returns the number of bytes beyond the size of a buffer that are in use in this process.
    pub fn extra_bytes(&self) -> usize {
        self.extra_bytes.get()
    }

    /// Sets the number of bytes beyond the size of a buffer that another process of this gateway uses. They count
    /// towards the budget of this process.
    pub fn set_other_process_extra_bytes(&self, bytes: usize) {
        self.other_process_extra_bytes.set(bytes);
    }

    /// Returns an empty buffer.
    pub fn acquire(self: &Rc<Self>) -> Buffer {
        let bytes = self
            .free
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(BUFFER_SIZE));
        Buffer {
            bytes,
            extra_bytes: 0,
            pool: Rc::clone(self),
        }
    }
}

impl Pool {
    /// Returns a copy of these bytes that takes no more memory than they need, or `None` if the budget for large
    /// messages does not allow it. For bytes that are kept for long.
    pub fn copy(self: &Rc<Self>, bytes: &[u8]) -> Option<Buffer> {
        let mut copy = Buffer {
            bytes: BytesMut::new(),
            extra_bytes: 0,
            pool: Rc::clone(self),
        };
        copy.append(bytes).then_some(copy)
    }
}

impl Buffer {
    /// Reserves space for `additional` bytes, and returns whether the budget for large messages allows it. Without a
    /// budget, a thousand connections with large messages would exceed the memory limit.
    #[must_use]
    pub fn try_reserve(&mut self, additional: usize) -> bool {
        self.try_reserve_within(additional, self.pool.budget)
    }

    /// Reserves space for `additional` bytes of input that is read ahead, and returns whether the part of the budget
    /// for such input allows it.
    #[must_use]
    pub fn try_reserve_read_ahead(&mut self, additional: usize) -> bool {
        self.try_reserve_within(additional, self.pool.budget / READ_AHEAD_DIVISOR)
    }

    /// Reserves space for `additional` bytes if all large messages together stay within `budget`, and returns whether
    /// they do.
    fn try_reserve_within(&mut self, additional: usize, budget: usize) -> bool {
        let needed = (self.bytes.len() + additional).saturating_sub(BUFFER_SIZE);
        if needed > self.extra_bytes {
            let extra_bytes = self.pool.extra_bytes.get() + needed - self.extra_bytes;
            if extra_bytes + self.pool.other_process_extra_bytes.get() > budget {
                return false;
            }
            self.pool.extra_bytes.set(extra_bytes);
            self.extra_bytes = needed;
        }
        self.bytes.reserve(additional);
        true
    }

    /// Appends bytes if the budget allows it, and returns whether it did.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let fits = self.try_reserve(bytes.len());
        if fits {
            self.bytes.extend_from_slice(bytes);
        }
        fits
    }
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let extra_bytes = self.pool.extra_bytes.get() - self.extra_bytes;
        self.pool.extra_bytes.set(extra_bytes);
        let mut free = self.pool.free.borrow_mut();
        // Only buffers of the usual size are reused, so that all free buffers have the same size.
        let has_usual_size = self.extra_bytes == 0 && self.bytes.capacity() >= BUFFER_SIZE / 2;
        if has_usual_size && free.len() < MAX_FREE_BUFFERS {
            let mut bytes = std::mem::take(&mut self.bytes);
            bytes.clear();
            bytes.reserve(BUFFER_SIZE);
            free.push(bytes);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/buffers.rs"]
mod tests;
