//! The order of generations.

use irisrouter_membership::Node;

#[test]
fn later_generation_is_newer_across_the_wrap() {
    let old = Node {
        number: 3,
        generation: u16::MAX,
    };
    let new = old.next_generation();
    assert_eq!(new.generation, 0);
    assert!(new.is_newer_than(&old));
    assert!(!old.is_newer_than(&new));
    assert!(!old.is_newer_than(&old));
}
