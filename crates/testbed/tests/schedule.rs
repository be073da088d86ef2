//! Fault schedules: they follow from their seed, and changes are read from log lines.

use irisrouter_testbed::cluster::schedule::{draw, FaultKinds, Pace};
use irisrouter_testbed::cluster::views::ViewChange;

#[test]
fn schedule_drawn_from_one_seed_is_always_the_same() {
    let draw = |seed| draw(5, 8, Pace::FAST, seed, FaultKinds::All);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn log_line_of_a_membership_change_is_read_and_others_are_not() {
    let line =
        "2026-12-02 irisrouter: membership: gateway 3 suspect -> down (generation 9, incarnation 0)";
    let change = ViewChange {
        gateway: 3,
        from: "suspect",
        to: "down",
    };
    assert_eq!(ViewChange::parse(line), Some(change));
    for other in [
        "membership: on, gateway 3 of 5, generation 9",
        "membership: gateway x suspect -> down",
    ] {
        assert_eq!(ViewChange::parse(other), None);
    }
}
