//! The final answer to a request.

use super::*;

const SEVEN_NANOSECONDS: TimeDelta = TimeDelta::from_nanos(7);

#[test]
fn retry_after_is_rounded_up_to_whole_milliseconds_and_zero_is_no_advice() {
    assert_eq!(retry_after_milliseconds(TimeDelta::from_nanos(0)), None);
    assert_eq!(retry_after_milliseconds(TimeDelta::from_nanos(-1)), None);
    assert_eq!(retry_after_milliseconds(TimeDelta::from_nanos(1)), Some(1));
    assert_eq!(
        retry_after_milliseconds(TimeDelta::from_nanos(1_000_000)),
        Some(1)
    );
    assert_eq!(
        retry_after_milliseconds(TimeDelta::from_nanos(1_000_001)),
        Some(2)
    );
}

#[test]
fn second_answer_is_neither_sent_nor_counted() {
    let metrics = Rc::<Metrics>::default();
    let (client, mut answer) = oneshot::channel();
    let mut pending = PendingAnswer::new(client, Rc::clone(&metrics));
    assert!(pending.send(Answer::Rejected {
        retry_after: SEVEN_NANOSECONDS
    }));
    assert!(!pending.is_pending());
    assert!(!pending.send(Answer::Failed));
    assert!(matches!(
        answer.try_recv(),
        Ok(Answer::Rejected {
            retry_after: SEVEN_NANOSECONDS
        })
    ));
    assert_eq!(metrics.requests.rejected.get(), 1);
    assert_eq!(metrics.requests.failed.get(), 0);
}

#[test]
fn client_that_is_gone_gets_no_answer_and_none_is_counted() {
    let metrics = Rc::<Metrics>::default();
    let (client, answer) = oneshot::channel::<Answer>();
    let mut pending = PendingAnswer::new(client, Rc::clone(&metrics));
    drop(answer);
    pending.abandon();
    assert!(!pending.send(Answer::Failed));
    assert_eq!(metrics.requests.failed.get(), 0);
}
