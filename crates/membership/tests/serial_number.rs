//! The order of generations across the wrap, and the successors of serial numbers.

use irisrouter_cluster_types::Generation;
use irisrouter_membership::serial_number::SerialNumber;
use irisrouter_membership::{Incarnation, SequenceNumber};
use std::cmp::Ordering;

#[test]
fn later_generation_is_newer_across_the_wrap() {
    let old = Generation(u16::MAX);
    let new = old.next();
    assert_eq!(new, Generation(0));
    assert_eq!(new.compare_serial(old), Ordering::Greater);
    assert_eq!(old.compare_serial(new), Ordering::Less);
    assert_eq!(old.compare_serial(old), Ordering::Equal);
}

#[test]
fn incarnations_and_sequence_numbers_continue_at_zero_after_the_largest() {
    assert_eq!(Incarnation(6).next(), Incarnation(7));
    assert_eq!(Incarnation(u16::MAX).next(), Incarnation(0));
    assert_eq!(SequenceNumber(u16::MAX).next(), SequenceNumber(0));
    let across_the_wrap = SequenceNumber(1).distance_from(SequenceNumber(u16::MAX));
    assert_eq!(across_the_wrap, 2);
}
