use super::*;

fn at(seconds: i64) -> Timestamp {
    Timestamp::from_nanos(seconds * 1_000_000_000)
}

#[test]
fn last_commit_of_a_session_is_known() {
    let mut commits = SessionCommits::default();
    let [session, other] = ["a", "b"].map(|key| SessionId::of(key.as_bytes()));
    commits.record(session, at(2));
    commits.record(session, at(1));
    assert_eq!(commits.position(session), at(2));
    assert_eq!(commits.position(other), Timestamp::MIN);
}

/// Guards against memory that grows with every new session, and against stale reads of the sessions that are forgotten.
#[test]
fn forgotten_sessions_need_the_latest_position_that_was_forgotten() {
    let mut commits = SessionCommits::default();
    let session = |number: usize| SessionId::of(number.to_string().as_bytes());
    let newest = 3 * MAX_SESSIONS;
    for number in 1..=newest {
        commits.record(session(number), at(number as i64));
        assert!(commits.by_session.len() <= MAX_SESSIONS);
    }
    assert_eq!(commits.position(session(newest)), at(newest as i64));
    assert!(commits.position(session(1)) >= at(1));
    assert!(commits.position(session(1)) < at(newest as i64));
}
