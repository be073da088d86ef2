//! The queue of changes to disseminate.

use irisrouter_cluster_types::GatewayId;
use irisrouter_membership::dissemination::DisseminationQueue;

#[test]
fn queue_takes_the_least_transmitted_first_and_each_a_bounded_number_of_times() {
    let mut queue = DisseminationQueue::default();
    queue.add(GatewayId(5));
    assert_eq!(queue.take(4, GatewayId(9), 3), [GatewayId(5)]);
    queue.add(GatewayId(2));
    assert_eq!(
        queue.take(1, GatewayId(9), 3),
        [GatewayId(2)],
        "least transmitted first"
    );
    assert_eq!(
        queue.take(4, GatewayId(2), 3),
        [GatewayId(5)],
        "no member is sent its own row"
    );
    assert_eq!(queue.take(4, GatewayId(9), 3), [GatewayId(2), GatewayId(5)]);
    assert_eq!(queue.take(4, GatewayId(9), 3), [GatewayId(2)]);
    assert!(queue.is_empty());
}
