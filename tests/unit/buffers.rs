//! Buffers: reuse, and the budget that large ones share.

use super::{Pool, SIZE};

#[test]
fn buffers_are_reused_and_large_ones_share_a_budget() {
    let pool = Pool::new(SIZE);
    let mut large = pool.take();
    assert!(large.append(&[1; 2 * SIZE]), "within the budget");
    let mut other = pool.take();
    assert!(!other.append(&[2; SIZE + 1]), "the budget is used up");
    assert!(other.append(&[2; SIZE]), "the usual size needs none of it");
    drop(large);
    assert!(
        other.append(&[2; 1]),
        "and what is given back can be had again"
    );
    drop(other);
    let reused = pool.take();
    assert!(reused.is_empty() && reused.capacity() >= SIZE);
}
