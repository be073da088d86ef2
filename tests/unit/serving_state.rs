//! The modes of the process, and the transitions between them.

use super::*;

/// Guards against a drain that a shutdown ends, and against a shutdown that the console ends.
#[test]
fn activate_ends_a_drain_but_nothing_ends_a_shutdown() {
    let serving_state = ServingState::default();
    serving_state.mark_ready();
    serving_state.evacuate();
    serving_state.evacuate();
    assert_eq!(serving_state.mode(), ServingMode::Drained);
    serving_state.mark_ready();
    assert_eq!(serving_state.mode(), ServingMode::Drained);
    assert!(serving_state.activate() && serving_state.activate());
    assert_eq!(serving_state.mode(), ServingMode::Serving);
    serving_state.evacuate();
    serving_state.stop();
    assert!(!serving_state.activate());
    serving_state.evacuate();
    assert_eq!(serving_state.mode(), ServingMode::Closing);
}
