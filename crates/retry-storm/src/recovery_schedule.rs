//! A schedule of retries: each rejected client is given a time at which there is capacity for its request, so that the
//! work scheduled for any time never exceeds the capacity.
//!
//! A schedule serves one set. Time is divided into slots. Each slot has room for the work that the set can do in it beyond
//! its usual load. Work is measured in nanoseconds on a core, so that a long read takes the room of many short ones.

use crate::{Nanos, MILLISECOND};
use std::collections::{HashMap, VecDeque};

/// Length of a slot. Shorter slots would not spread the retries better, as clients wait in whole milliseconds and are late
/// by a few.
pub const SLOT_LENGTH: Nanos = 20 * MILLISECOND;
/// Largest number of reservations that are remembered by their origin. Without a bound, a flood of origins would fill the
/// memory.
const MAX_RESERVATIONS: usize = 4096;
/// The draw is kept below 1, so that the time stays within its slot.
const MAX_DRAW: f64 = 0.999;

/// Who is rejected: the same value for all attempts of one request, as far as that can be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin(pub u64);

/// How the time of a retry came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationKind {
    /// Capacity was reserved for it now.
    New,
    /// Capacity was reserved for it earlier, and the client has come too early.
    Existing,
    /// There is no capacity within the horizon. The time is the end of the horizon, and nothing was reserved.
    BeyondHorizon,
}

/// When a rejected client shall retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The time of the retry.
    pub retry_at: Nanos,
    /// How this time came about.
    pub kind: ReservationKind,
}

/// A rejected request.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Who sent it.
    pub origin: Origin,
    /// The work that it takes, in nanoseconds on a core.
    pub work: Nanos,
    /// The earliest time at which it may be retried.
    pub not_before: Nanos,
    /// A random number from 0 to 1 that chooses the time within a slot.
    pub draw: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// The work that there is room for.
    capacity: f64,
    /// The work that is reserved.
    reserved: f64,
}

/// A run of slots, each of which has room for the same part of a request's work.
struct SlotRun {
    first: usize,
    count: usize,
    work_per_slot: f64,
}

/// A schedule of retries.
#[derive(Clone, Debug)]
pub struct RecoverySchedule {
    /// The number of the first slot, counted from the clock's zero.
    first_slot: i64,
    slots: VecDeque<Slot>,
    /// Cores that are free beyond the usual load.
    free_cores: f64,
    retry_times: HashMap<Origin, Nanos>,
    /// The same times in ascending order, so that they can be forgotten.
    expiry_queue: VecDeque<(Nanos, Origin)>,
}

impl RecoverySchedule {
    /// An empty schedule without capacity. `horizon` is the longest delay that clients accept.
    pub fn new(horizon: Nanos) -> Self {
        let slot_count = (horizon / SLOT_LENGTH).max(1) as usize;
        RecoverySchedule {
            first_slot: 0,
            slots: VecDeque::from(vec![Slot::default(); slot_count]),
            free_cores: 0.0,
            retry_times: HashMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Sets the number of cores that are free from now on beyond the usual load. Values that are negative or not finite
    /// count as 0. Reservations are kept, but a slot that is full by the new capacity accepts no more.
    pub fn set_free_cores(&mut self, now: Nanos, free_cores: f64) {
        self.advance(now);
        self.free_cores = if free_cores.is_finite() {
            free_cores.max(0.0)
        } else {
            0.0
        };
        let capacity = self.slot_capacity();
        for slot in &mut self.slots {
            slot.capacity = capacity;
        }
    }

    /// The work that is reserved from now on, in nanoseconds on a core.
    pub fn reserved_work(&self) -> f64 {
        self.slots.iter().map(|slot| slot.reserved).sum()
    }

    /// The most by which the reservations of a slot exceed its present capacity, in nanoseconds on a core. This is 0 unless
    /// the capacity has been reduced since.
    pub fn max_overcommitment(&self) -> f64 {
        self.slots
            .iter()
            .map(|slot| slot.reserved - slot.capacity)
            .fold(0.0, f64::max)
    }

    /// Reserves capacity for a rejected request, and returns when it shall be retried.
    pub fn reserve(&mut self, now: Nanos, rejection: Rejection) -> Reservation {
        self.advance(now);
        // A client that comes early is given the same time again, and not one before others that wait.
        let existing = self.retry_times.get(&rejection.origin).copied();
        if let Some(retry_at) = existing.filter(|&retry_at| retry_at > now) {
            return Reservation {
                retry_at,
                kind: ReservationKind::Existing,
            };
        }
        let work = rejection.work.max(1) as f64;
        let earliest_slot = rejection.not_before.max(now) / SLOT_LENGTH + 1;
        let search_from = (earliest_slot - self.first_slot).max(0) as usize;
        let Some(run) = self.find_room(search_from, work) else {
            return Reservation {
                retry_at: (self.first_slot + self.slots.len() as i64) * SLOT_LENGTH,
                kind: ReservationKind::BeyondHorizon,
            };
        };
        self.reserve_run(&run, work);
        let slot_start = (self.first_slot + run.first as i64) * SLOT_LENGTH;
        let offset = (rejection.draw.clamp(0.0, MAX_DRAW) * SLOT_LENGTH as f64) as Nanos;
        let retry_at = slot_start + offset;
        self.remember(rejection.origin, retry_at);
        Reservation {
            retry_at,
            kind: ReservationKind::New,
        }
    }

    /// Records that a client has come, and returns whether it is early by more than a slot.
    pub fn record_arrival(&mut self, now: Nanos, origin: Origin) -> bool {
        self.advance(now);
        match self.retry_times.get(&origin) {
            Some(&retry_at) if now + SLOT_LENGTH < retry_at => true,
            Some(_) => {
                self.retry_times.remove(&origin);
                false
            }
            None => false,
        }
    }

    /// Work that fits in an empty slot.
    fn slot_capacity(&self) -> f64 {
        self.free_cores * SLOT_LENGTH as f64
    }

    /// The first run of slots with room for this work. Work that is longer than a slot takes several in a row, and its
    /// client retries in the first of them.
    fn find_room(&self, search_from: usize, work: f64) -> Option<SlotRun> {
        if self.free_cores <= 0.0 {
            return None;
        }
        let count = (work / self.slot_capacity()).ceil().max(1.0) as usize;
        let last_start = self.slots.len().checked_sub(count)?;
        let work_per_slot = work / count as f64;
        let has_room = |index: usize| {
            let slot = &self.slots[index];
            slot.reserved + work_per_slot <= slot.capacity
        };
        let first =
            (search_from..=last_start).find(|&start| (start..start + count).all(has_room))?;
        Some(SlotRun {
            first,
            count,
            work_per_slot,
        })
    }

    fn reserve_run(&mut self, run: &SlotRun, work: f64) {
        let mut unreserved = work;
        for slot in self.slots.range_mut(run.first..run.first + run.count) {
            let part = run.work_per_slot.min(unreserved);
            slot.reserved += part;
            unreserved -= part;
        }
    }

    fn remember(&mut self, origin: Origin, retry_at: Nanos) {
        if self.retry_times.len() >= MAX_RESERVATIONS {
            // A client that is forgotten gets a new time if it comes early, which is worse for it and for no other.
            if let Some((_, oldest)) = self.expiry_queue.pop_front() {
                self.retry_times.remove(&oldest);
            }
        }
        self.retry_times.insert(origin, retry_at);
        let index = self
            .expiry_queue
            .partition_point(|entry| entry.0 <= retry_at);
        self.expiry_queue.insert(index, (retry_at, origin));
    }

    /// Moves the schedule to the present.
    fn advance(&mut self, now: Nanos) {
        self.replace_past_slots(now);
        self.forget_past_times(now);
    }

    /// Drops slots that are past, and appends as many new ones.
    fn replace_past_slots(&mut self, now: Nanos) {
        let present_slot = now / SLOT_LENGTH;
        let past_slots = (present_slot - self.first_slot).max(0);
        if past_slots == 0 {
            return;
        }
        let dropped = (past_slots as usize).min(self.slots.len());
        self.slots.drain(..dropped);
        let empty = Slot {
            capacity: self.slot_capacity(),
            reserved: 0.0,
        };
        self.slots.extend(std::iter::repeat_n(empty, dropped));
        self.first_slot = present_slot;
    }

    /// Forgets times that are past by more than a slot: clients are late by a few milliseconds.
    fn forget_past_times(&mut self, now: Nanos) {
        while let Some(&(retry_at, origin)) = self.expiry_queue.front() {
            if retry_at + SLOT_LENGTH >= now {
                return;
            }
            self.expiry_queue.pop_front();
            if self.retry_times.get(&origin) == Some(&retry_at) {
                self.retry_times.remove(&origin);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/recovery_schedule.rs"]
mod tests;
