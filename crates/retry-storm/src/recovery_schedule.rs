//! A schedule of retries: each rejected client is given a retry time at which capacity is reserved for its request, so
//! that the work scheduled for any time does not exceed the capacity.
//!
//! A schedule serves one group. Time is divided into slots. The capacity of a slot is the work that the group can do in
//! it in addition to its usual load. Work is measured in nanoseconds of core time, so that a long read takes as much
//! capacity as many short ones.

use crate::{Nanos, MILLISECOND};
use std::collections::{HashMap, VecDeque};

/// Length of a slot. Shorter slots would not spread the retries better, because clients wait for whole milliseconds and
/// retry a few milliseconds late.
pub const SLOT_LENGTH: Nanos = 20 * MILLISECOND;
/// Maximum number of retry times that are kept by origin. Without a bound, requests of many origins would exhaust the
/// memory.
const MAX_RESERVATIONS: usize = 4096;
/// Maximum to which [`Rejection::draw`] is limited. It is below 1, so that the retry time lies within its slot.
const MAX_DRAW: f64 = 0.999;

/// Identifies a rejected request: the same value for all attempts of one request, as far as these can be recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin(pub u64);

/// How the time of a retry was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationKind {
    /// Capacity was reserved by this call.
    New,
    /// Capacity was reserved for the origin by an earlier call, and the client retried before its retry time.
    Existing,
    /// No capacity is left within the horizon. The retry time is the end of the horizon, and nothing was reserved.
    BeyondHorizon,
}

/// The retry time that a rejected client is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Time at which the client is to retry.
    pub retry_at: Nanos,
    /// How this time was determined.
    pub kind: ReservationKind,
}

/// A rejected request.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Identifies the request across its attempts.
    pub origin: Origin,
    /// Work that the request takes, in nanoseconds of core time.
    pub work: Nanos,
    /// Earliest time at which the request may be retried.
    pub not_before: Nanos,
    /// Random number from 0 to 1 that determines the retry time within its slot.
    pub draw: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Work that the slot can take, in nanoseconds of core time.
    capacity: f64,
    /// Work that is reserved, in nanoseconds of core time.
    reserved: f64,
}

/// Consecutive slots, each of which takes an equal part of a request's work.
struct SlotRun {
    first: usize,
    count: usize,
    work_per_slot: f64,
}

/// A schedule of retries.
#[derive(Clone, Debug)]
pub struct RecoverySchedule {
    /// Number of the first slot; slot 0 starts at time 0 of the clock.
    first_slot: i64,
    slots: VecDeque<Slot>,
    /// Number of cores that the usual load leaves free.
    free_cores: f64,
    retry_times: HashMap<Origin, Nanos>,
    /// Retry times in ascending order, for the removal of those that have passed. An entry may remain here after its
    /// origin was removed from `retry_times`.
    expiry_queue: VecDeque<(Nanos, Origin)>,
}

impl RecoverySchedule {
    /// Creates an empty schedule without capacity. `horizon` is the maximum delay that clients accept.
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

    /// Sets the number of cores that the usual load leaves free from now on. Negative and non-finite values count as 0.
    /// Existing reservations are kept, but a slot whose reservations reach the new capacity accepts no more.
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

    /// Returns the work that is reserved in all slots of the schedule, in nanoseconds of core time.
    pub fn reserved_work(&self) -> f64 {
        self.slots.iter().map(|slot| slot.reserved).sum()
    }

    /// Returns the largest amount by which the reservations of a slot exceed its present capacity, in nanoseconds of
    /// core time. It is 0 unless the capacity was reduced after the reservations were made.
    pub fn max_overcommitment(&self) -> f64 {
        self.slots
            .iter()
            .map(|slot| slot.reserved - slot.capacity)
            .fold(0.0, f64::max)
    }

    /// Reserves capacity for a rejected request, and returns the time at which the client is to retry.
    pub fn reserve(&mut self, now: Nanos, rejection: Rejection) -> Reservation {
        self.advance(now);
        // A client that retries early gets the same time again, so that it gains no advantage over clients that wait.
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
        let Some(run) = self.find_capacity(search_from, work) else {
            return Reservation {
                retry_at: (self.first_slot + self.slots.len() as i64) * SLOT_LENGTH,
                kind: ReservationKind::BeyondHorizon,
            };
        };
        self.reserve_run(&run, work);
        let slot_start = (self.first_slot + run.first as i64) * SLOT_LENGTH;
        let offset = (rejection.draw.clamp(0.0, MAX_DRAW) * SLOT_LENGTH as f64) as Nanos;
        let retry_at = slot_start + offset;
        self.store_retry_time(rejection.origin, retry_at);
        Reservation {
            retry_at,
            kind: ReservationKind::New,
        }
    }

    /// Records the arrival of a request, and returns whether it arrived more than one slot length before its retry
    /// time. Unless it did, the retry time of its origin is removed.
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

    /// Returns the work that fits in an empty slot, in nanoseconds of core time.
    fn slot_capacity(&self) -> f64 {
        self.free_cores * SLOT_LENGTH as f64
    }

    /// Finds the first run of slots with capacity for this work. Work that exceeds the capacity of one slot takes
    /// several consecutive slots, and its client retries in the first of them.
    fn find_capacity(&self, search_from: usize, work: f64) -> Option<SlotRun> {
        if self.free_cores <= 0.0 {
            return None;
        }
        let count = (work / self.slot_capacity()).ceil().max(1.0) as usize;
        let last_start = self.slots.len().checked_sub(count)?;
        let work_per_slot = work / count as f64;
        let has_capacity = |index: usize| {
            let slot = &self.slots[index];
            slot.reserved + work_per_slot <= slot.capacity
        };
        let first =
            (search_from..=last_start).find(|&start| (start..start + count).all(has_capacity))?;
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

    fn store_retry_time(&mut self, origin: Origin, retry_at: Nanos) {
        if self.retry_times.len() >= MAX_RESERVATIONS {
            // If the client of a removed entry retries early, it gets a new time. This is a disadvantage for that
            // client only.
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

    /// Advances the schedule to the time `now`.
    fn advance(&mut self, now: Nanos) {
        self.replace_past_slots(now);
        self.remove_past_retry_times(now);
    }

    /// Removes the slots that have passed, and appends as many empty ones.
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

    /// Removes retry times that passed more than one slot length ago. Times that passed more recently are kept, because
    /// clients retry a few milliseconds late.
    fn remove_past_retry_times(&mut self, now: Nanos) {
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
