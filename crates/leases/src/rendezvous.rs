//! The order of gateways for a duty: rendezvous hashing (Thaler and Ravishankar, 1998). Each gateway has a weight for each
//! duty, the same everywhere; whoever is gone changes only what was its own.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members whose grants a lease needs the majority of, at most. Five: two of them may be gone, and what a lease costs does
/// not grow with the fleet.
pub const VOTERS: usize = 5;
/// Keeps the order of owners and that of voters apart.
const OWNERS: u64 = 0;
const VOTING: u64 = 1;

fn weight(duty: u64, number: u32, what: u64) -> u64 {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&duty.to_be_bytes());
    key[8..].copy_from_slice(&number.to_be_bytes());
    xxh3_64_with_seed(&key, what)
}

/// These gateways in the order in which they are to own the duty; equal weights by number.
#[must_use]
pub fn candidates(duty: u64, alive: &[u32]) -> Vec<u32> {
    sorted(duty, alive.to_vec(), OWNERS)
}

/// The voters of a duty: drawn from the whole fleet's list, and not from anybody's view of it. Danger guarded against:
/// two sides of a cut that each chose voters among their own would both grant.
#[must_use]
pub fn voters(duty: u64, fleet: u32) -> Vec<u32> {
    let mut all = sorted(duty, (0..fleet).collect(), VOTING);
    all.truncate(VOTERS);
    all
}

fn sorted(duty: u64, mut all: Vec<u32>, what: u64) -> Vec<u32> {
    all.sort_by_key(|&n| (std::cmp::Reverse(weight(duty, n, what)), n));
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_goes_moves_its_own_duties_only_and_duties_spread() {
        let all: Vec<u32> = (0..7).collect();
        let mut owned = [0; 7];
        for duty in 0..700 {
            let before = candidates(duty, &all)[0];
            owned[before as usize] += 1;
            let rest: Vec<u32> = all.iter().copied().filter(|&n| n != 3).collect();
            let after = candidates(duty, &rest)[0];
            assert!(before == after || before == 3);
        }
        assert!(owned.iter().all(|&n| (60..140).contains(&n)), "{owned:?}");
    }

    #[test]
    fn voters_are_few_distinct_and_the_same_for_all() {
        let of = voters(9, 300);
        assert_eq!(of.len(), VOTERS);
        let mut distinct = of.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert_eq!(distinct.len(), VOTERS);
        assert_eq!(voters(9, 3).len(), 3);
    }
}
