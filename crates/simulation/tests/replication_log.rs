//! A replica applies the log commit by commit and pauses when stopped, and its position never goes back.

use irisrouter_simulation::replication_log::{LogApplier, PrimarySignal, ReplicationLog, Source};
use irisrouter_simulation::{Ns, MS, SECOND};

fn source(log: &ReplicationLog, since: Option<Ns>, last_position: Ns) -> Source<'_> {
    Source {
        log,
        primary_signal: PrimarySignal {
            since,
            last_position,
            shipping_delay: 5 * MS,
        },
        apply_time: 10 * MS,
    }
}

#[test]
fn replica_with_several_commits_applies_them_one_by_one() {
    let mut log = ReplicationLog::default();
    let mut a = LogApplier::new(0, source(&log, Some(0), 0));
    assert_eq!(
        a.position(SECOND, source(&log, Some(0), 0)),
        SECOND - 5 * MS
    );
    (0..3).for_each(|_| {
        log.push(SECOND);
    });
    let at = |a: &mut LogApplier, ms: Ns| a.position(SECOND + ms * MS, source(&log, Some(0), 0));
    assert_eq!(at(&mut a, 4), SECOND - MS, "no commit has arrived");
    assert_eq!(at(&mut a, 34), SECOND - 1, "the third is not applied");
    assert_eq!(a.applied(), 2);
    assert_eq!(
        at(&mut a, 35),
        SECOND + 30 * MS,
        "all three are applied, the last one 30 ms after they arrived"
    );
    assert_eq!(a.applied(), 3);
}

#[test]
fn applier_stopped_midway_resumes_where_it_was() {
    let mut log = ReplicationLog::default();
    let mut a = LogApplier::new(0, source(&log, Some(0), 0));
    log.push(SECOND);
    a.stop(SECOND + 9 * MS, source(&log, Some(0), 0), true);
    let stopped_position = a.position(SECOND + 500 * MS, source(&log, Some(0), 0));
    assert_eq!(stopped_position, SECOND - 1);
    a.stop(SECOND + 500 * MS, source(&log, Some(0), 0), false);
    a.advance(SECOND + 506 * MS - 1, source(&log, Some(0), 0));
    assert_eq!(a.applied(), 0);
    a.advance(SECOND + 506 * MS, source(&log, Some(0), 0));
    assert_eq!(a.applied(), 1);
}

#[test]
fn position_without_primary_does_not_advance_and_never_goes_back() {
    let log = ReplicationLog::default();
    let mut a = LogApplier::new(0, source(&log, Some(0), 0));
    assert_eq!(
        a.position(SECOND, source(&log, Some(0), 0)),
        SECOND - 5 * MS
    );
    assert_eq!(a.position(2 * SECOND, source(&log, None, SECOND)), SECOND);
    let second_primary = source(&log, Some(3 * SECOND), SECOND);
    assert_eq!(a.position(3 * SECOND + MS, second_primary), SECOND);
    assert_eq!(
        a.position(3 * SECOND + 6 * MS, second_primary),
        3 * SECOND + MS
    );
}

#[test]
fn applier_slowed_midway_takes_longer_for_the_remaining_work() {
    let mut log = ReplicationLog::default();
    let mut a = LogApplier::new(0, source(&log, Some(0), 0));
    (0..2).for_each(|_| {
        log.push(0);
    });
    a.set_slowdown(10 * MS, source(&log, Some(0), 0), 4.0);
    a.advance(30 * MS, source(&log, Some(0), 0));
    assert_eq!(a.applied(), 1, "the remaining half took four times as long");
    a.advance(70 * MS - 1, source(&log, Some(0), 0));
    assert_eq!(a.applied(), 1);
    a.advance(70 * MS, source(&log, Some(0), 0));
    assert_eq!(a.applied(), 2);
    log.forget(1);
    assert_eq!(
        (log.end(), log.time(0), log.time(1), log.count_until(0)),
        (2, None, Some(0), 2)
    );
}
