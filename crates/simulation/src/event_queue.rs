//! A queue of events, ordered by time; events at the same time keep the order in which they were added.
//!
//! The heap moves only small keys. The events, which may be large, stay in their slots.

use crate::Ns;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending events, each with the time at which it is due.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    keys: BinaryHeap<Reverse<(Ns, u64, u32)>>,
    events: Vec<Option<E>>,
    free: Vec<u32>,
    last_order: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            keys: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            last_order: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Ns, event: E) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot as usize] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                (self.events.len() - 1) as u32
            }
        };
        self.last_order += 1;
        self.keys.push(Reverse((at, self.last_order, slot)));
    }

    /// Returns the time at which the next event is due.
    pub fn next(&self) -> Option<Ns> {
        self.keys.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the next event that is due by `now`, with its time.
    pub fn pop(&mut self, now: Ns) -> Option<(Ns, E)> {
        self.next().filter(|&at| at <= now)?;
        let Reverse((at, _, slot)) = self.keys.pop()?;
        self.free.push(slot);
        self.events[slot as usize].take().map(|event| (at, event))
    }

    /// Returns the number of pending events.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the number of allocated slots, in use or free.
    pub fn slot_count(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
