//! The reuse of buffers, and the budget that large buffers share.

use super::{Pool, BUFFER_SIZE};

#[test]
fn buffers_are_reused_and_large_ones_share_a_budget() {
    let pool = Pool::new(BUFFER_SIZE);
    let mut large = pool.acquire();
    assert!(large.append(&[1; 2 * BUFFER_SIZE]), "within the budget");
    let mut other = pool.acquire();
    assert!(
        !other.append(&[2; BUFFER_SIZE + 1]),
        "the budget is used up"
    );
    assert!(
        other.append(&[2; BUFFER_SIZE]),
        "a message of the usual size needs no budget"
    );
    drop(large);
    assert!(
        other.append(&[2; 1]),
        "budget that was released can be used again"
    );
    drop(other);
    let reused = pool.acquire();
    assert!(reused.is_empty() && reused.capacity() >= BUFFER_SIZE);
}
