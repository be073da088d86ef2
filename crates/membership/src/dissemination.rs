//! What is to be passed on: members whose rows changed, each a bounded number of times, the least told first.

use std::collections::BTreeMap;

/// The queue of rumors; holds at most one entry a member.
#[derive(Debug, Clone, Default)]
pub struct Rumors {
    /// Times told, by member.
    told: BTreeMap<u32, u32>,
}

impl Rumors {
    /// Passes on what is held of member `number`, from the start again if it was being passed on.
    pub fn spread(&mut self, number: u32) {
        self.told.insert(number, 0);
    }

    /// Nothing is to be passed on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// The next up to `room` members to tell of, but not the one that hears it: the least told first, then by number.
    /// Each is counted as told, and is done with after `limit` times.
    pub fn next(&mut self, room: usize, hears: u32, limit: u32) -> Vec<u32> {
        let mut all: Vec<(u32, u32)> = self
            .told
            .iter()
            .filter(|(&n, _)| n != hears)
            .map(|(&n, &told)| (told, n))
            .collect();
        all.sort_unstable();
        all.truncate(room);
        for &(told, n) in &all {
            if told + 1 >= limit {
                self.told.remove(&n);
            } else {
                self.told.insert(n, told + 1);
            }
        }
        all.into_iter().map(|(_, n)| n).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_least_told_goes_first_and_each_goes_a_bounded_number_of_times() {
        let mut rumors = Rumors::default();
        rumors.spread(5);
        assert_eq!(rumors.next(4, 9, 3), [5]);
        rumors.spread(2);
        assert_eq!(rumors.next(1, 9, 3), [2], "least told first");
        assert_eq!(rumors.next(4, 2, 3), [5], "nobody is told of itself");
        assert_eq!(rumors.next(4, 9, 3), [2, 5]);
        assert_eq!(rumors.next(4, 9, 3), [2]);
        assert!(rumors.is_empty());
    }
}
