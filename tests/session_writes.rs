//! What a session wrote, where the router keeps the positions of sessions' writes: its next read never goes to a member
//! that may lack the write.

mod router_harness;

use irisrouter::routing::{
    Event, MemberId, Outcome, ReplicationStatus, RequestId, Role, SessionId, StalenessCheck,
    StreamEnd, Timestamp,
};
use router_harness::{sent_to, settings, RouterHarness, MILLISECOND, SESSION_READ, WRITE};

/// The session of all requests of the harness.
const SESSION: SessionId = SessionId(5);
const PRIMARY: u32 = 0;

/// A router that keeps the positions of sessions' writes, and whose members do not check reads.
fn harness() -> RouterHarness {
    let mut settings = settings(StalenessCheck::None);
    settings.last_write_age_carried = false;
    RouterHarness::new(settings)
}

/// Submits a write of the session, which goes to the primary. The replicas' positions stay before it.
fn submit_write(harness: &mut RouterHarness) -> RequestId {
    harness.run_for(20 * MILLISECOND);
    let (id, actions) = harness.submit(WRITE, None);
    assert_eq!(sent_to(id, &actions), Some(PRIMARY));
    harness.now += 10 * MILLISECOND;
    id
}

fn end_write(harness: &mut RouterHarness, id: RequestId, outcome: Outcome) {
    harness.deliver(&[Event::AttemptEnded {
        id,
        attempt: 0,
        member: MemberId(PRIMARY),
        outcome,
        elapsed: 10 * MILLISECOND,
        finished: true,
        status: None,
        report: None,
    }]);
}

fn end_stream(harness: &mut RouterHarness, position: Option<Timestamp>) {
    let status = position.map(|position| ReplicationStatus {
        role: Role::Primary,
        position: Some(position),
    });
    harness.deliver(&[Event::StreamEnded(StreamEnd {
        member: MemberId(PRIMARY),
        class: WRITE,
        session: Some(SESSION),
        status,
    })]);
}

/// Asserts that no read of the session goes to a replica until the replicas have reached this position.
fn assert_read_from(harness: &mut RouterHarness, position: Timestamp) {
    for replica in [1, 2] {
        harness.report(replica, false, position - MILLISECOND);
    }
    for _ in 0..50 {
        let (id, actions) = harness.submit(SESSION_READ, None);
        let member = sent_to(id, &actions);
        assert!(member.is_none_or(|member| member == PRIMARY), "{member:?}");
        harness.deliver(&[Event::ClientGone { id }]);
    }
}

/// Guards against a write whose long answer is streamed (review case 8): its attempt ends without a position.
#[test]
fn write_with_a_streamed_answer_is_remembered_from_the_beginning_of_the_stream() {
    let mut harness = harness();
    let id = submit_write(&mut harness);
    end_write(&mut harness, id, Outcome::Ok);
    let streamed_from = harness.now;
    assert_read_from(&mut harness, streamed_from);
    // The commit may come after the first bytes of the row.
    harness.now += 100 * MILLISECOND;
    let commit = harness.now;
    end_stream(&mut harness, Some(commit));
    assert_read_from(&mut harness, commit);
}

/// Guards against a host that ends between its answer and the position of the write, or in the middle of the answer.
#[test]
fn write_whose_position_never_arrives_is_remembered() {
    let mut harness = harness();
    let id = submit_write(&mut harness);
    end_write(&mut harness, id, Outcome::Ok);
    harness.now += 100 * MILLISECOND;
    end_stream(&mut harness, None);
    let ended_at = harness.now;
    assert_read_from(&mut harness, ended_at);
}

/// Guards against a read from before a write that has run although its client was not told so.
#[test]
fn write_that_may_have_run_is_remembered_and_one_that_did_not_run_is_not() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error] {
        let mut harness = harness();
        let id = submit_write(&mut harness);
        end_write(&mut harness, id, outcome);
        let ended_at = harness.now;
        assert_read_from(&mut harness, ended_at);
    }
    for outcome in [Outcome::NotSent, Outcome::Full, Outcome::Unsuitable] {
        let mut harness = harness();
        let id = submit_write(&mut harness);
        end_write(&mut harness, id, outcome);
        let served_by_replica = (0..50).any(|_| {
            let (id, actions) = harness.submit(SESSION_READ, None);
            harness.deliver(&[Event::ClientGone { id }]);
            sent_to(id, &actions).is_some_and(|member| member != PRIMARY)
        });
        assert!(served_by_replica, "{outcome:?}");
    }
}

/// Guards against an end of a stream whose host is no longer listed.
#[test]
fn end_of_a_stream_from_an_unknown_member_is_accepted() {
    let mut harness = harness();
    harness.deliver(&[Event::StreamEnded(StreamEnd {
        member: MemberId(77),
        class: WRITE,
        session: Some(SESSION),
        status: Some(ReplicationStatus {
            role: Role::Primary,
            position: None,
        }),
    })]);
    let now = harness.now;
    assert_read_from(&mut harness, now);
}
