use super::*;

#[test]
fn no_attempt_is_allowed_for_a_client_whose_input_has_been_unread_for_too_long() {
    let now = Instant::now();
    let presence = ClientPresence::default();
    assert!(presence.allows_attempts(now + 10 * MAX_UNKNOWN_TIME));
    presence.input_left_unread(now);
    presence.input_left_unread(now + MAX_UNKNOWN_TIME);
    assert!(presence.allows_attempts(now + MAX_UNKNOWN_TIME));
    assert!(!presence.allows_attempts(now + MAX_UNKNOWN_TIME + Duration::from_nanos(1)));
    presence.confirm_connected();
    assert!(presence.allows_attempts(now + 10 * MAX_UNKNOWN_TIME));
}
