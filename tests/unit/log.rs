//! The limit on log lines.

use super::*;

#[test]
fn lines_beyond_the_limit_of_a_period_are_suppressed() {
    let admitted = (0..1_000).filter(|_| admit().is_some()).count();
    assert!(
        admitted >= MAX_LINES_PER_PERIOD as usize && admitted < 1_000,
        "{admitted}"
    );
}
