//! The queue of changes that are passed on.

use irisrouter_membership::dissemination::DisseminationQueue;

#[test]
fn queue_takes_the_least_transmitted_first_and_each_a_bounded_number_of_times() {
    let mut queue = DisseminationQueue::default();
    queue.add(5);
    assert_eq!(queue.take(4, 9, 3), [5]);
    queue.add(2);
    assert_eq!(queue.take(1, 9, 3), [2], "least transmitted first");
    assert_eq!(
        queue.take(4, 2, 3),
        [5],
        "no member is sent what is known of itself"
    );
    assert_eq!(queue.take(4, 9, 3), [2, 5]);
    assert_eq!(queue.take(4, 9, 3), [2]);
    assert!(queue.is_empty());
}
