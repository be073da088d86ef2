//! The limit on log lines.

use super::*;

#[test]
fn burst_of_lines_is_cut_at_the_limit() {
    let admitted = (0..1_000).filter(|_| admit().is_some()).count();
    assert!(
        admitted >= MAX_LINES_PER_PERIOD as usize && admitted < 1_000,
        "{admitted}"
    );
}
