//! The event queue returns events in order of time and of addition, and reuses slots.

use irisrouter_simulation::event_queue::EventQueue;
use irisrouter_simulation::Ns;

use proptest::prelude::*;

proptest! {
    #[test]
    fn events_are_popped_in_order_of_time_and_then_of_addition(times in proptest::collection::vec(0..20i64, 0..200), cut in 0..20i64) {
        let mut q = EventQueue::default();
        times.iter().enumerate().for_each(|(i, &t)| q.push(t, i));
        let mut popped = Vec::new();
        while let Some(e) = q.pop(cut) {
            popped.push(e);
        }
        // These events reuse the free slots.
        times.iter().enumerate().for_each(|(i, &t)| q.push(t + 100, 1000 + i));
        while let Some(e) = q.pop(Ns::MAX) {
            popped.push(e);
        }
        let mut expected: Vec<(Ns, usize)> = times.iter().enumerate().map(|(i, &t)| (t, i)).collect();
        expected.extend(times.iter().enumerate().map(|(i, &t)| (t + 100, 1000 + i)));
        expected.sort();
        prop_assert_eq!(popped, expected);
        prop_assert!(q.is_empty() && q.slot_count() <= 2 * times.len());
    }
}
