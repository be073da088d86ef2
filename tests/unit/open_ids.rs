use super::*;

#[test]
fn id_of_an_open_request_is_taken_until_the_request_ends() {
    let ids = Rc::<OpenIds>::default();
    let open = ids.reserve("a");
    assert!(open.is_some() && ids.reserve("a").is_none());
    drop(open);
    assert!(ids.reserve("a").is_some());
}

#[test]
fn id_of_an_abandoned_request_is_kept_for_a_while_and_their_number_is_bounded() {
    let ids = Rc::<OpenIds>::default();
    let now = Instant::now();
    let past = now - ABANDONED_ID_RETENTION;
    ids.keep_abandoned(ids.reserve("due").expect("a new id"), past);
    ids.keep_abandoned(ids.reserve("kept").expect("a new id"), now);
    assert!(ids.reserve("due").is_some() && ids.reserve("kept").is_none());
    for number in 0..MAX_ABANDONED_IDS {
        let id = ids.reserve(&number.to_string()).expect("a new id");
        ids.keep_abandoned(id, now);
    }
    assert!(ids.reserve("kept").is_some(), "the oldest one is released");
    assert!(ids.reserve("0").is_none());
}
