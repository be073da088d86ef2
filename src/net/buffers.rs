//! Buffers of one size, used again from a pool.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Size of a buffer: most statements and rows fit in one.
pub const SIZE: usize = 8 * 1024;
/// Free buffers that are kept.
const KEPT: usize = 64;

/// The pool. What single messages need beyond a buffer's size comes from a budget that they share.
pub struct Pool {
    free: RefCell<Vec<BytesMut>>,
    grown: Cell<usize>,
    budget: usize,
    /// Grown in another process of this gateway.
    pub elsewhere: Cell<usize>,
}

/// A buffer that goes back to its pool when it is dropped.
pub struct Buffer {
    bytes: BytesMut,
    extra: usize,
    pool: Rc<Pool>,
}

impl Pool {
    /// A pool whose buffers may hold so many bytes beyond their size, all together.
    pub fn new(budget: usize) -> Rc<Self> {
        Rc::new(Pool {
            free: RefCell::default(),
            grown: Cell::new(0),
            budget,
            elsewhere: Cell::new(0),
        })
    }

    /// What messages need now beyond a buffer's size.
    pub fn grown(&self) -> usize {
        self.grown.get()
    }

    /// An empty buffer.
    pub fn take(self: &Rc<Self>) -> Buffer {
        let bytes = self
            .free
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(SIZE));
        Buffer {
            bytes,
            extra: 0,
            pool: Rc::clone(self),
        }
    }
}

impl Buffer {
    /// Makes room for so many bytes more, or says that the budget for large messages is used up.
    ///
    /// Danger: a thousand connections with large messages would go over the limit on memory.
    pub fn room(&mut self, more: usize) -> bool {
        let needed = (self.bytes.len() + more).saturating_sub(SIZE);
        if needed > self.extra {
            let grown = self.pool.grown.get() + needed - self.extra;
            if grown + self.pool.elsewhere.get() > self.pool.budget {
                return false;
            }
            self.pool.grown.set(grown);
            self.extra = needed;
        }
        self.bytes.reserve(more);
        true
    }

    /// Appends bytes, if there is room.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let fits = self.room(bytes.len());
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
        self.pool.grown.set(self.pool.grown.get() - self.extra);
        let mut free = self.pool.free.borrow_mut();
        // One that has grown is given back to the system: all free ones have the same size.
        if self.extra == 0 && free.len() < KEPT {
            let mut bytes = std::mem::take(&mut self.bytes);
            bytes.clear();
            bytes.reserve(SIZE);
            free.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buffers_are_used_again_and_large_ones_share_a_budget() {
        let pool = Pool::new(SIZE);
        let mut a = pool.take();
        assert!(a.append(&[1; 2 * SIZE]), "within the budget");
        let mut b = pool.take();
        assert!(!b.append(&[2; SIZE + 1]), "the budget is used up");
        assert!(b.append(&[2; SIZE]), "the usual size needs none of it");
        drop(a);
        assert!(b.append(&[2; 1]), "and what is given back can be had again");
        drop(b);
        let c = pool.take();
        assert!(c.is_empty() && c.capacity() >= SIZE);
    }
}
