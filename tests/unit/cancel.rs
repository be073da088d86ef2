//! Cancel requests, and the query that each of them cancels.

use super::{CancelRegistry, CancellableQuery};
use std::rc::Rc;

fn is_cancelled(query: &mut CancellableQuery) -> bool {
    query.cancelled.try_recv().is_ok()
}

/// Guards against a cancel request that cancels a query other than the one whose answer its connection is waiting for.
#[test]
fn cancel_request_with_a_registered_key_cancels_only_the_query_waited_for() {
    let cancels = Rc::<CancelRegistry>::default();
    let first = cancels.register().expect("a key");
    let second = cancels.register().expect("a key");
    assert_ne!(first.key(), second.key());
    cancels.cancel(first.key());
    let mut query = first.query();
    assert!(
        !is_cancelled(&mut query),
        "the request arrived between two queries"
    );
    let mut other = second.query();
    cancels.cancel(second.key());
    assert!(
        is_cancelled(&mut other) && !is_cancelled(&mut query),
        "the request had the key of another connection"
    );
    cancels.cancel(&[0; 8]);
    assert!(
        !is_cancelled(&mut query),
        "the request had a key of no connection"
    );
    cancels.cancel(first.key());
    cancels.cancel(first.key());
    assert!(is_cancelled(&mut query));
    drop(query);
    assert!(
        !is_cancelled(&mut first.query()),
        "the query before it was cancelled twice"
    );
    drop(other);
    drop(first);
    drop(second);
    assert!(
        cancels.by_key.borrow().is_empty(),
        "a connection that has ended is unregistered"
    );
}
