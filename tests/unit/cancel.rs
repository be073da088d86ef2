//! Whose query a cancel request ends.

use super::*;

fn ended(query: &mut Cancellable) -> bool {
    query.cancelled.try_recv().is_ok()
}

/// Guards against a cancel that ends another query than the one that was waited for when it came.
#[test]
fn a_cancel_ends_the_query_of_its_key_that_is_waited_for_and_no_later_one() {
    let cancels = Rc::<Cancels>::default();
    let (one, two) = (
        cancels.register().expect("a key"),
        cancels.register().expect("a key"),
    );
    assert_ne!(one.key(), two.key());
    cancels.cancel(one.key());
    let mut query = one.query();
    assert!(!ended(&mut query), "it came between two queries");
    let mut other = two.query();
    cancels.cancel(two.key());
    assert!(
        ended(&mut other) && !ended(&mut query),
        "it bore the key of another"
    );
    cancels.cancel(&[0; 8]);
    assert!(!ended(&mut query), "it bore nobody's key");
    cancels.cancel(one.key());
    cancels.cancel(one.key());
    assert!(ended(&mut query));
    drop(query);
    assert!(
        !ended(&mut one.query()),
        "the one before was cancelled twice"
    );
    drop(other);
    drop((one, two));
    assert!(
        cancels.open.borrow().is_empty(),
        "a connection that has ended leaves nothing behind"
    );
}
