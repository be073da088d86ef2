use super::*;
use std::future::{poll_fn, Future};
use std::task::Poll;
use tokio::task::{spawn_local, LocalSet};

#[test]
fn turn_is_over_after_its_messages_its_bytes_or_its_time() {
    let now = Instant::now();
    let mut turn = Turn::default();
    for _ in 1..MAX_TURN_MESSAGES {
        turn.record_message(now);
    }
    assert!(!turn.is_over(now));
    assert!(turn.is_over(now + MAX_TURN_TIME));
    turn.record_message(now);
    assert!(turn.is_over(now));

    let mut reading = Turn::default();
    reading.record_bytes(MAX_TURN_BYTES - 1, now);
    assert!(!reading.is_over(now) && !reading.has_messages());
    reading.record_bytes(1, now);
    assert!(reading.is_over(now));
}

#[test]
fn time_of_a_turn_counts_from_its_first_work() {
    let now = Instant::now();
    let mut turn = Turn::default();
    assert!(!turn.is_over(now + 2 * MAX_TURN_TIME));
    turn.record_message(now + 2 * MAX_TURN_TIME);
    assert!(!turn.is_over(now + 2 * MAX_TURN_TIME));
    assert_eq!(turn.duration(now + 3 * MAX_TURN_TIME), MAX_TURN_TIME);
}

#[test]
fn wait_for_input_begins_a_new_turn_unless_it_is_short() {
    let now = Instant::now();
    let mut turn = Turn::default();
    turn.record_message(now);
    turn.record_wait(MAX_TURN_TIME / 2);
    assert!(turn.has_messages());
    turn.record_wait(MAX_TURN_TIME);
    assert!(!turn.has_messages() && !turn.is_over(now + 2 * MAX_TURN_TIME));
}

/// Does not end if timers do not fire while turns are taken.
#[test]
fn connections_begin_their_next_turns_in_order_and_timers_fire_between_them() {
    const CONNECTIONS: usize = 3;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let queue = Rc::new(TurnQueue::default());
    let turns = Rc::new(RefCell::new(Vec::new()));
    let has_fired = Rc::new(Cell::new(false));
    LocalSet::new().block_on(&runtime, async {
        let tasks: Vec<_> = (0..CONNECTIONS)
            .map(|connection| {
                let (queue, turns) = (Rc::clone(&queue), Rc::clone(&turns));
                let has_fired = Rc::clone(&has_fired);
                spawn_local(async move {
                    while !has_fired.get() {
                        queue.next_turn().await;
                        turns.borrow_mut().push(connection);
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(1)).await;
        has_fired.set(true);
        for task in tasks {
            task.await.expect("a task that ends");
        }
    });
    let turns = turns.borrow();
    let in_order = (0..CONNECTIONS).cycle().take(turns.len());
    assert!(
        turns.len() >= CONNECTIONS && turns.iter().copied().eq(in_order),
        "{turns:?}"
    );
}

#[test]
fn connection_that_stops_waiting_does_not_keep_the_others_in_the_queue() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let queue = TurnQueue::default();
    LocalSet::new().block_on(&runtime, async {
        let mut first = Box::pin(queue.next_turn());
        let mut second = Box::pin(queue.next_turn());
        let mut third = Box::pin(queue.next_turn());
        // The first is released, the others wait; then the first and the second stop waiting.
        poll_fn(|context| {
            for waiting in [&mut first, &mut second, &mut third] {
                assert!(waiting.as_mut().poll(context).is_pending());
            }
            Poll::Ready(())
        })
        .await;
        drop(second);
        drop(first);
        third.await;
    });
    assert_eq!(queue.state.released.get(), 0);
}
