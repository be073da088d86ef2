//! A calendar of returns: whoever is refused is told a moment at which there is a place, and no moment has more guests
//! than places.
//!
//! One calendar serves one set. Time is cut into slots; each slot takes the work that the set can do in it beyond what
//! comes anyway. Work is counted in nanoseconds on a core, so that a long read takes the places of many short ones.

use crate::{Ns, MS};
use std::collections::{HashMap, VecDeque};

/// Length of a slot. Shorter ones spread no better, as clients wait in whole milliseconds and are late by some.
pub const SLOT: Ns = 20 * MS;
/// Most guests that are known by name at once. Danger: a flood of origins would fill memory.
const MOST_KNOWN: usize = 4096;

/// Who a refusal is given to: the same for all tries of one request, as far as that can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin(pub u64);

/// What a refusal says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// When there is a place.
    pub at: Ns,
    /// It has been told before, to someone who has come early.
    pub told_before: bool,
    /// It lies within what is booked; else all of the horizon is full, and this is its end.
    pub booked: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Work that it can take.
    room: f64,
    /// Work that is booked.
    booked: f64,
}

/// A calendar of returns.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// The number of the first slot that is kept.
    first: i64,
    slots: VecDeque<Slot>,
    /// Work that can be done beyond what comes anyway, in cores.
    spare: f64,
    known: HashMap<Origin, Ns>,
    /// In order of their places, to forget them.
    order: VecDeque<(Ns, Origin)>,
}

impl Calendar {
    /// Nothing is booked, and nothing is known to be free.
    ///
    /// `horizon` is the longest pause that clients keep.
    pub fn new(horizon: Ns) -> Self {
        let count = (horizon / SLOT).max(1) as usize;
        Calendar {
            first: 0,
            slots: VecDeque::from(vec![Slot::default(); count]),
            spare: 0.0,
            known: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// What is free from now on, in cores, beyond what comes anyway. What is booked stays booked: a promise is not
    /// taken back, but no slot that is full by the new figure takes more.
    pub fn free(&mut self, now: Ns, spare: f64) {
        self.turn(now);
        self.spare = if spare.is_finite() {
            spare.max(0.0)
        } else {
            0.0
        };
        let room = self.spare * SLOT as f64;
        self.slots.iter_mut().for_each(|s| s.room = room);
    }

    /// Work that is booked from now on, in nanoseconds on a core.
    pub fn booked(&self) -> f64 {
        self.slots.iter().map(|s| s.booked).sum()
    }

    /// No slot has more booked than it had room for when it was booked: the most that any is over what it takes now.
    pub fn over(&self) -> f64 {
        self.slots
            .iter()
            .map(|s| s.booked - s.room)
            .fold(0.0, f64::max)
    }

    /// Refuses someone, whose request takes this work, not before a moment. `draw` is evenly from 0 to 1: the moment
    /// within the slot.
    pub fn book(&mut self, now: Ns, origin: Origin, work: Ns, not_before: Ns, draw: f64) -> Place {
        self.turn(now);
        // Whoever comes early is told the same place, not one in front of those who wait.
        if let Some(&at) = self.known.get(&origin).filter(|&&at| at > now) {
            return Place {
                at,
                told_before: true,
                booked: true,
            };
        }
        let from = ((not_before.max(now) / SLOT) + 1 - self.first).max(0) as usize;
        let work = work.max(1) as f64;
        let mut need = work;
        let fits = |s: &Slot, need: f64| s.booked + need <= s.room;
        // One that is longer than a slot takes the room of several in a row; it returns in the first of them.
        let spans = (self.spare > 0.0)
            .then(|| (work / (self.spare * SLOT as f64)).ceil().max(1.0) as usize);
        let found = spans.and_then(|spans| {
            let last = self.slots.len().checked_sub(spans)?;
            let part = work / spans as f64;
            (from..=last)
                .find(|&i| (i..i + spans).all(|j| fits(&self.slots[j], part)))
                .map(|i| (i, spans, part))
        });
        let Some((slot, spans, part)) = found else {
            let end = (self.first + self.slots.len() as i64) * SLOT;
            return Place {
                at: end,
                told_before: false,
                booked: false,
            };
        };
        for s in self.slots.range_mut(slot..slot + spans) {
            s.booked += part.min(need);
            need -= part.min(need);
        }
        let at = (self.first + slot as i64) * SLOT + (draw.clamp(0.0, 0.999) * SLOT as f64) as Ns;
        self.remember(origin, at);
        Place {
            at,
            told_before: false,
            booked: true,
        }
    }

    /// Someone comes. True where that is before the place that was told.
    pub fn came(&mut self, now: Ns, origin: Origin) -> bool {
        self.turn(now);
        match self.known.get(&origin) {
            Some(&at) if now + SLOT < at => true,
            Some(_) => {
                self.known.remove(&origin);
                false
            }
            None => false,
        }
    }

    fn remember(&mut self, origin: Origin, at: Ns) {
        if self.known.len() >= MOST_KNOWN {
            // Whoever is forgotten is given a new place if it comes early: worse for it, and for nobody else.
            if let Some((_, old)) = self.order.pop_front() {
                self.known.remove(&old);
            }
        }
        self.known.insert(origin, at);
        let place = self.order.partition_point(|o| o.0 <= at);
        self.order.insert(place, (at, origin));
    }

    /// Slots that are past go, and new ones come at the end.
    fn turn(&mut self, now: Ns) {
        let present = now / SLOT;
        let past = (present - self.first).max(0);
        if past > 0 {
            let gone = (past as usize).min(self.slots.len());
            self.slots.drain(..gone);
            let fresh = Slot {
                room: self.spare * SLOT as f64,
                booked: 0.0,
            };
            self.slots.extend(std::iter::repeat_n(fresh, gone));
            self.first = present;
        }
        // A place is remembered until a slot after it: clients are late by some milliseconds.
        while self.order.front().is_some_and(|o| o.0 + SLOT < now) {
            if let Some((at, origin)) = self.order.pop_front() {
                if self.known.get(&origin) == Some(&at) {
                    self.known.remove(&origin);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;
    use proptest::prelude::*;

    #[test]
    fn places_are_given_in_order_and_spread() {
        let mut c = Calendar::new(SECOND);
        c.free(0, 2.0);
        // Two cores: a slot of 20 ms takes 40 ms of work, four requests of 10 ms.
        let places: Vec<Place> = (0..12)
            .map(|i| c.book(0, Origin(i), 10 * MS, 0, 0.5))
            .collect();
        let slots: Vec<i64> = places.iter().map(|p| p.at / SLOT).collect();
        assert_eq!(slots, [1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3]);
        assert!(places.iter().all(|p| p.booked && !p.told_before));
        assert_eq!(
            c.book(0, Origin(99), 10 * MS, 500 * MS, 0.0).at / SLOT,
            26,
            "not before"
        );
    }

    #[test]
    fn whoever_comes_early_is_told_the_same_place_and_books_no_other() {
        let mut c = Calendar::new(SECOND);
        c.free(0, 1.0);
        let first = c.book(0, Origin(7), 20 * MS, 200 * MS, 0.5);
        let booked = c.booked();
        assert!(c.came(50 * MS, Origin(7)));
        let again = c.book(50 * MS, Origin(7), 20 * MS, 50 * MS, 0.1);
        assert_eq!(
            (again.at, again.told_before, c.booked()),
            (first.at, true, booked)
        );
        assert!(!c.came(first.at, Origin(7)), "in time");
        assert!(!c.came(first.at, Origin(8)), "never told");
        let later = c.book(first.at + MS, Origin(7), 20 * MS, 0, 0.1);
        assert!(
            !later.told_before && later.at > first.at,
            "refused anew, in time: a new place"
        );
    }

    #[test]
    fn with_nothing_free_or_all_full_the_horizon_is_told() {
        let mut c = Calendar::new(SECOND);
        assert_eq!(
            c.book(0, Origin(1), MS, 0, 0.5),
            Place {
                at: SECOND,
                told_before: false,
                booked: false
            }
        );
        c.free(0, 0.5);
        let booked = (0..200)
            .filter(|&i| c.book(0, Origin(i), 10 * MS, 0, 0.5).booked)
            .count();
        assert_eq!(
            booked, 49,
            "a second of half a core, less the slot that has begun"
        );
        c.free(10 * MS, f64::NAN);
        assert!(!c.book(10 * MS, Origin(300), MS, 0, 0.5).booked);
    }

    #[test]
    fn a_long_one_takes_the_room_of_many_short_ones() {
        let mut c = Calendar::new(SECOND);
        c.free(0, 1.0);
        let long = c.book(0, Origin(1), 100 * MS, 0, 0.0);
        let next = c.book(0, Origin(2), 20 * MS, 0, 0.0);
        assert_eq!((long.at / SLOT, next.at / SLOT), (1, 6));
    }

    proptest! {
        /// Whatever comes, and however the free capacity changes: nothing is booked into a slot beyond its room at that
        /// moment, places lie ahead and within the horizon, and memory is bounded.
        #[test]
        fn it_never_books_over_capacity(steps in proptest::collection::vec(
            (0..30i64, 0..400u64, 1..200i64, 0..1500i64, 0.0..1.0f64, proptest::option::of(0.0..3.0f64)), 1..300))
        {
            let mut c = Calendar::new(SECOND);
            c.free(0, 1.0);
            let mut now = 0;
            for (wait, origin, work, not_before, draw, free) in steps {
                now += wait * MS;
                if let Some(spare) = free {
                    c.free(now, spare);
                }
                let before: Vec<(f64, f64)> = { c.turn(now); c.slots.iter().map(|s| (s.booked, s.room)).collect() };
                let p = c.book(now, Origin(origin), work * MS, now + not_before * MS, draw);
                for (was, is) in before.iter().zip(&c.slots) {
                    prop_assert!(is.booked == was.0 || is.booked <= is.room + 1e-3);
                }
                prop_assert!(p.at > now && p.at <= now + SECOND + SLOT);
                prop_assert!(c.slots.len() == 50 && c.known.len() <= MOST_KNOWN && c.order.len() <= 400);
                if p.booked && !p.told_before {
                    prop_assert!((c.booked() - before.iter().map(|b| b.0).sum::<f64>() - (work * MS) as f64).abs() < 10.0);
                }
            }
        }
    }
}
