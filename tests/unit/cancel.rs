//! Unit tests of the cancel registry check which query a cancel request cancels.

use super::{CancelRegistry, CancellableQuery};
use std::rc::Rc;

fn is_cancelled(query: &mut CancellableQuery) -> bool {
    query.cancelled.try_recv().is_ok()
}

/// Guards against a cancel request that cancels a query other than the one its connection is waiting for when the
/// request arrives.
#[test]
fn cancel_request_with_a_registered_key_cancels_only_the_query_waited_for() {
    let registry = Rc::<CancelRegistry>::default();
    let first = registry.register().expect("a key");
    let second = registry.register().expect("a key");
    assert_ne!(first.key(), second.key());
    registry.cancel(first.key());
    let mut first_query = first.cancellable_query();
    assert!(
        !is_cancelled(&mut first_query),
        "a request that arrives between two queries cancels nothing"
    );
    let mut second_query = second.cancellable_query();
    registry.cancel(second.key());
    assert!(
        is_cancelled(&mut second_query) && !is_cancelled(&mut first_query),
        "a request cancels only the query of the connection with its key"
    );
    registry.cancel(&[0; 8]);
    assert!(
        !is_cancelled(&mut first_query),
        "a request with an unknown key cancels nothing"
    );
    registry.cancel(first.key());
    registry.cancel(first.key());
    assert!(is_cancelled(&mut first_query));
    drop(first_query);
    assert!(
        !is_cancelled(&mut first.cancellable_query()),
        "a second request for the previous query does not cancel the next one"
    );
    drop(second_query);
    drop(first);
    drop(second);
    assert!(
        registry.by_key.borrow().is_empty(),
        "a connection that has ended is unregistered"
    );
}
