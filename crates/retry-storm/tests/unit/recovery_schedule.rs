//! The recovery schedule: order, early clients, the horizon, and the bound on reservations.

use super::{
    Origin, RecoverySchedule, Rejection, Reservation, ReservationKind, MAX_RESERVATIONS,
    SLOT_LENGTH,
};
use crate::{Nanos, MILLISECOND, SECOND};
use proptest::prelude::{prop_assert, proptest};

fn rejection(origin: u64, work: Nanos, not_before: Nanos, draw: f64) -> Rejection {
    Rejection {
        origin: Origin(origin),
        work,
        not_before,
        draw,
    }
}

#[test]
fn retries_are_reserved_in_order_and_spread_over_slots() {
    let mut schedule = RecoverySchedule::new(SECOND);
    schedule.set_free_cores(0, 2.0);
    // With two cores, a slot of 20 ms has a capacity of 40 ms of work, which is four requests of 10 ms.
    let reservations: Vec<Reservation> = (0..12)
        .map(|i| schedule.reserve(0, rejection(i, 10 * MILLISECOND, 0, 0.5)))
        .collect();
    let slots: Vec<i64> = reservations
        .iter()
        .map(|reservation| reservation.retry_at / SLOT_LENGTH)
        .collect();
    assert_eq!(slots, [1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3]);
    assert!(reservations
        .iter()
        .all(|reservation| reservation.kind == ReservationKind::New));
    assert_eq!(
        schedule
            .reserve(0, rejection(99, 10 * MILLISECOND, 500 * MILLISECOND, 0.0))
            .retry_at
            / SLOT_LENGTH,
        26,
        "the retry time is not before `not_before`"
    );
}

#[test]
fn early_client_gets_the_same_time_and_no_second_reservation() {
    let mut schedule = RecoverySchedule::new(SECOND);
    schedule.set_free_cores(0, 1.0);
    let first = schedule.reserve(0, rejection(7, 20 * MILLISECOND, 200 * MILLISECOND, 0.5));
    let reserved = schedule.reserved_work();
    assert!(schedule.record_arrival(50 * MILLISECOND, Origin(7)));
    let again = schedule.reserve(
        50 * MILLISECOND,
        rejection(7, 20 * MILLISECOND, 50 * MILLISECOND, 0.1),
    );
    assert_eq!(
        (again.retry_at, again.kind, schedule.reserved_work()),
        (first.retry_at, ReservationKind::Existing, reserved)
    );
    assert!(
        !schedule.record_arrival(first.retry_at, Origin(7)),
        "on time"
    );
    assert!(
        !schedule.record_arrival(first.retry_at, Origin(8)),
        "the client was given no retry time"
    );
    let later = schedule.reserve(
        first.retry_at + MILLISECOND,
        rejection(7, 20 * MILLISECOND, 0, 0.1),
    );
    assert!(
        later.kind == ReservationKind::New && later.retry_at > first.retry_at,
        "a client that is rejected again after an on-time retry gets a new reservation"
    );
}

#[test]
fn retry_is_at_the_horizon_when_no_capacity_is_free() {
    let mut schedule = RecoverySchedule::new(SECOND);
    assert_eq!(
        schedule.reserve(0, rejection(1, MILLISECOND, 0, 0.5)),
        Reservation {
            retry_at: SECOND,
            kind: ReservationKind::BeyondHorizon,
        }
    );
    schedule.set_free_cores(0, 0.5);
    let reserved = (0..200)
        .filter(|&i| {
            schedule
                .reserve(0, rejection(i, 10 * MILLISECOND, 0, 0.5))
                .kind
                == ReservationKind::New
        })
        .count();
    assert_eq!(
        reserved, 49,
        "half a core is free for one second, without the slot that has begun"
    );
    schedule.set_free_cores(10 * MILLISECOND, f64::NAN);
    assert!(
        schedule
            .reserve(10 * MILLISECOND, rejection(300, MILLISECOND, 0, 0.5))
            .kind
            == ReservationKind::BeyondHorizon
    );
}

#[test]
fn long_request_takes_the_capacity_of_many_short_ones() {
    let mut schedule = RecoverySchedule::new(SECOND);
    schedule.set_free_cores(0, 1.0);
    let long = schedule.reserve(0, rejection(1, 100 * MILLISECOND, 0, 0.0));
    let next = schedule.reserve(0, rejection(2, 20 * MILLISECOND, 0, 0.0));
    assert_eq!(
        (long.retry_at / SLOT_LENGTH, next.retry_at / SLOT_LENGTH),
        (1, 6)
    );
}

proptest! {
    /// For arbitrary requests and changes of capacity: no reservation exceeds the capacity of its slot at that time,
    /// retry times are in the future and within the horizon, and the number of entries is bounded.
    #[test]
    fn reservations_never_exceed_capacity(steps in proptest::collection::vec(
        (0..30i64, 0..400u64, 1..200i64, 0..1500i64, 0.0..1.0f64, proptest::option::of(0.0..3.0f64)), 1..300))
    {
        let mut schedule = RecoverySchedule::new(SECOND);
        schedule.set_free_cores(0, 1.0);
        let mut now = 0;
        for (elapsed, origin, work, not_before, draw, free_cores) in steps {
            now += elapsed * MILLISECOND;
            if let Some(free_cores) = free_cores {
                schedule.set_free_cores(now, free_cores);
            }
            schedule.advance(now);
            let before: Vec<f64> = schedule.slots.iter().map(|slot| slot.reserved).collect();
            let work = work * MILLISECOND;
            let not_before = now + not_before * MILLISECOND;
            let reservation = schedule.reserve(now, rejection(origin, work, not_before, draw));
            for (&reserved_before, slot) in before.iter().zip(&schedule.slots) {
                prop_assert!(slot.reserved == reserved_before || slot.reserved <= slot.capacity + 1e-3);
            }
            prop_assert!(reservation.retry_at > now && reservation.retry_at <= now + SECOND + SLOT_LENGTH);
            prop_assert!(schedule.slots.len() == 50);
            prop_assert!(schedule.retry_times.len() <= MAX_RESERVATIONS);
            prop_assert!(schedule.expiry_queue.len() <= 400);
            if reservation.kind == ReservationKind::New {
                let added = schedule.reserved_work() - before.iter().sum::<f64>();
                prop_assert!((added - work as f64).abs() < 10.0);
            }
        }
    }
}
