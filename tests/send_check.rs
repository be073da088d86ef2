//! The last check before the first byte of an attempt. Each test decides on an attempt, changes one condition while the
//! attempt's connection is established, and asks again. Each guards against an attempt that is sent because it was
//! allowed when its member was selected.

mod router_harness;

use irisrouter::routing::{
    EndpointState, Event, FailoverDirectives, Outcome, RecoveryRamp, RequestId, Role, SendPermit,
    Settings, StalenessCheck, TimeDelta, ZoneId,
};
use router_harness::{
    endpoint, is_failed, is_rejected, sent_to, settings, RouterHarness, ANY_READ, BOUNDED_READ,
    KEYED_WRITE, MILLISECOND, SECOND, STRONG_READ, WRITE,
};

/// Time bound of `BOUNDED_READ` in the harness.
const BOUND: TimeDelta = TimeDelta::from_millis(300);

impl RouterHarness {
    /// Submits a request and returns it with the member that its first attempt is for.
    fn submit_and_select(&mut self, class: usize) -> (RequestId, u32) {
        let (id, actions) = self.submit(class, None);
        (id, sent_to(id, &actions).expect("a member is selected"))
    }

    fn permit(&mut self, id: RequestId, attempt: u32) -> Option<SendPermit> {
        self.router.permit_send(self.now, id, attempt)
    }

    /// Ends an attempt that was not permitted, and returns the member that is selected next.
    fn select_again(&mut self, id: RequestId, attempt: u32, member: u32) -> Option<u32> {
        let actions = self.end_attempt(id, attempt, member, Outcome::NotSent, Role::Replica);
        assert!(!is_rejected(id, &actions) && !is_failed(id, &actions));
        sent_to(id, &actions)
    }
}

/// A harness whose members answer reads from whatever data they have.
fn unchecked_harness() -> RouterHarness {
    RouterHarness::new(settings(StalenessCheck::None))
}

#[test]
fn bounded_read_is_not_sent_once_the_known_position_is_too_old() {
    let mut harness = unchecked_harness();
    let (id, replica) = harness.submit_and_select(BOUNDED_READ);
    assert_ne!(replica, 0);
    let position = harness.now;
    harness.now = position + BOUND;
    let permit = harness.permit(id, 0).expect("exactly at the bound");
    assert_eq!(permit.send_by, Some(position + BOUND));
    harness.now = position + BOUND + TimeDelta::NANOSECOND;
    assert_eq!(harness.permit(id, 0), None);
    // Both replicas are too old, so that the primary is next.
    assert_eq!(harness.select_again(id, 0, replica), Some(0));
    assert_eq!(
        harness.permit(id, 1),
        Some(SendPermit { send_by: None }),
        "a primary's data have no age"
    );
}

#[test]
fn bounded_read_is_sent_to_a_replica_that_has_reported_a_newer_position_meanwhile() {
    let mut harness = unchecked_harness();
    let (id, replica) = harness.submit_and_select(BOUNDED_READ);
    harness.now += BOUND;
    let newer = harness.now - 10 * MILLISECOND;
    harness.report(replica, false, newer);
    harness.now += 10 * MILLISECOND;
    let permit = harness.permit(id, 0).expect("recent enough");
    assert_eq!(permit.send_by, Some(newer + BOUND));
}

#[test]
fn bounded_read_has_no_limit_where_members_check_it() {
    let mut harness = RouterHarness::new(settings(StalenessCheck::Reject));
    let (id, _) = harness.submit_and_select(BOUNDED_READ);
    harness.now += 400 * MILLISECOND;
    assert_eq!(harness.permit(id, 0), Some(SendPermit { send_by: None }));
}

#[test]
fn strong_read_and_write_are_not_sent_to_a_primary_that_has_been_replaced() {
    for staleness_check in [StalenessCheck::None, StalenessCheck::Reject] {
        for class in [STRONG_READ, WRITE, KEYED_WRITE] {
            let mut harness = RouterHarness::new(settings(staleness_check));
            let (id, primary) = harness.submit_and_select(class);
            assert_eq!(primary, 0);
            harness.now += 100 * MILLISECOND;
            assert!(harness.permit(id, 0).is_some());
            harness.report(0, false, harness.now);
            harness.report(1, true, harness.now);
            assert_eq!(harness.permit(id, 0), None, "class {class}");
            assert_eq!(harness.select_again(id, 0, 0), Some(1), "class {class}");
        }
    }
}

#[test]
fn strong_read_is_not_sent_to_a_former_primary_while_no_other_is_known() {
    let mut harness = unchecked_harness();
    harness.now += 10 * MILLISECOND;
    let (read, _) = harness.submit_and_select(STRONG_READ);
    let (write, _) = harness.submit_and_select(WRITE);
    assert!(harness.permit(read, 0).is_some());
    harness.end_attempt(write, 0, 0, Outcome::Unsuitable, Role::Replica);
    assert_eq!(harness.permit(read, 0), None);
}

#[test]
fn nothing_is_sent_to_a_member_that_drains_or_is_removed_meanwhile() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = unchecked_harness();
        let (id, member) = harness.submit_and_select(ANY_READ);
        assert!(harness.permit(id, 0).is_some());
        harness.list_changes(vec![endpoint(member, state)]);
        assert_eq!(harness.permit(id, 0), None, "{state:?}");
        let next = harness.select_again(id, 0, member);
        assert!(next.is_some_and(|next| next != member), "{state:?}");
    }
}

#[test]
fn nothing_is_sent_from_the_deadline_on_or_after_the_final_answer() {
    let mut harness = unchecked_harness();
    let (late, _) = harness.submit_and_select(ANY_READ);
    let (left, _) = harness.submit_and_select(ANY_READ);
    harness.now += 499 * MILLISECOND;
    assert!(harness.permit(late, 0).is_some());
    harness.deliver(&[Event::ClientGone { id: left }]);
    assert_eq!(harness.permit(left, 0), None);
    harness.now += MILLISECOND;
    assert_eq!(
        harness.permit(late, 0),
        None,
        "its latency objective has passed"
    );
    assert_eq!(harness.permit(late, 1), None, "there is no such attempt");
    assert_eq!(
        harness.permit(RequestId(99), 0),
        None,
        "there is no such request"
    );
}

#[test]
fn keyed_write_is_resent_only_within_the_window_of_its_first_attempt() {
    let mut harness = unchecked_harness();
    let (id, _) = harness.submit_and_select(KEYED_WRITE);
    let first_sent_at = harness.now;
    assert_eq!(
        harness.permit(id, 0),
        Some(SendPermit { send_by: None }),
        "its own window has not begun"
    );
    harness.now += 700 * MILLISECOND;
    let actions = harness.end_attempt(id, 0, 0, Outcome::Reset, Role::Primary);
    assert_eq!(sent_to(id, &actions), None, "the primary is suspected");
    let actions = harness.report(0, true, harness.now);
    assert_eq!(sent_to(id, &actions), Some(0));
    let permit = harness.permit(id, 1).expect("within the window");
    assert_eq!(permit.send_by, Some(first_sent_at + SECOND));
    harness.now = first_sent_at + SECOND;
    assert_eq!(harness.permit(id, 1), None);
}

#[test]
fn hedged_read_that_was_not_sent_is_hedged_again_at_another_member() {
    let mut harness = unchecked_harness();
    // Enough answers to show that the usual latency is far below the objective.
    for _ in 0..80 {
        let (id, member) = harness.submit_and_select(ANY_READ);
        harness.answer_as_replica(id, member);
    }
    let (id, silent) = harness.submit_and_select(ANY_READ);
    let actions = harness.run_for(400 * MILLISECOND);
    let hedge = sent_to(id, &actions).expect("the read is hedged");
    harness.list_changes(vec![endpoint(hedge, EndpointState::Draining)]);
    assert_eq!(harness.permit(id, 1), None);
    let next = harness.select_again(id, 1, hedge).expect("hedged again");
    assert!(next != hedge && next != silent);
    assert!(harness.permit(id, 2).is_some());
    harness.end_attempt(id, 0, silent, Outcome::Ok, Role::Replica);
    assert_eq!(
        harness.permit(id, 2),
        None,
        "the other attempt has been answered"
    );
}

#[test]
fn restarted_member_gets_only_what_its_slow_start_admits() {
    const ROUTERS: u64 = 30;
    // Each router draws another sample for its write.
    let is_permitted = |seed: &u64| {
        let mut settings = settings(StalenessCheck::None);
        settings.seed = *seed;
        let mut harness = RouterHarness::new(settings);
        let (id, primary) = harness.submit_and_select(WRITE);
        assert!(harness.permit(id, 0).is_some());
        let mut restarted = endpoint(primary, EndpointState::Ready);
        restarted.started = Some(harness.now);
        harness.list_changes(vec![restarted]);
        harness.report(primary, true, harness.now + MILLISECOND);
        harness.permit(id, 0).is_some()
    };
    let permitted = (0..ROUTERS).filter(is_permitted).count();
    // The budget is 4.0 times the initial capacity of 0.2.
    assert!(permitted < 24, "{permitted} of {ROUTERS}");
}

#[test]
fn read_is_not_sent_to_a_zone_whose_recovery_ramp_excludes_it_by_now() {
    let mut harness = unchecked_harness();
    let (id, member) = harness.submit_and_select(ANY_READ);
    assert!(harness.permit(id, 0).is_some());
    let ramp = RecoveryRamp {
        zone: ZoneId(member % 2),
        share: 0.0,
    };
    harness.deliver(&[Event::FailoverDirectivesChanged(FailoverDirectives {
        recovery_ramps: vec![ramp],
        ..FailoverDirectives::default()
    })]);
    assert_eq!(harness.permit(id, 0), None);
}

#[test]
fn attempt_beyond_a_maximum_that_was_lowered_meanwhile_is_not_sent() {
    let mut harness = unchecked_harness();
    let (id, _) = harness.submit_and_select(WRITE);
    let actions = harness.end_attempt(id, 0, 0, Outcome::Full, Role::Primary);
    let again = sent_to(id, &actions).or_else(|| sent_to(id, &harness.run_for(300 * MILLISECOND)));
    assert_eq!(again, Some(0));
    assert!(harness.permit(id, 1).is_some());
    let mut fewer: Settings = settings(StalenessCheck::None);
    fewer.limits.max_attempts = 1;
    let classes = fewer.classes.len();
    harness.deliver(&[Event::SettingsChanged {
        settings: Box::new(fewer),
        measurements_from: (0..classes).map(Some).collect(),
    }]);
    assert_eq!(harness.permit(id, 1), None);
}
