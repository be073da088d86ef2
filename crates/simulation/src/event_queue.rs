//! Events in order of time, and of planning where the time is the same.
//!
//! The heap moves small keys; the events, which may be large, stay where they are.

use crate::Ns;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events that are due some time.
#[derive(Clone, Debug)]
pub struct EventQueue<E> {
    keys: BinaryHeap<Reverse<(Ns, u64, u32)>>,
    events: Vec<Option<E>>,
    free: Vec<u32>,
    order: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            keys: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            order: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Plans an event.
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
        self.order += 1;
        self.keys.push(Reverse((at, self.order, slot)));
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Ns> {
        self.keys.peek().map(|Reverse((at, ..))| *at)
    }

    /// The next one that is due by now, with its time.
    pub fn pop(&mut self, now: Ns) -> Option<(Ns, E)> {
        self.next().filter(|&at| at <= now)?;
        let Reverse((at, _, slot)) = self.keys.pop()?;
        self.free.push(slot);
        self.events[slot as usize].take().map(|event| (at, event))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// How many slots are allocated, in use or free.
    pub fn slot_count(&self) -> usize {
        self.events.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
