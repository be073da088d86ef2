//! Messages as bytes: what is whole, what is bounded, and what is none.

use bytes::BytesMut;
use irisrouter_pg::*;
use proptest::prelude::*;

const READ: &str = "SELECT payload FROM entries WHERE ref = 'k''1' \
    /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

#[test]
fn a_statement_says_what_its_comment_holds() {
    let s = statement(READ.as_bytes()).expect("a statement");
    assert_eq!(&READ[s.wait_at.clone()], "480");
    assert_eq!(
        (s.class, s.group, s.after_ms),
        ("basket", 2, Some(1_767_225_600_123.0))
    );
    assert_eq!(
        (s.key, s.idempotency, s.retry),
        (Some(b"k''1" as &[u8]), None, false)
    );
    let s = READ
        .replace("cluster", "r=1,k=5c,cluster")
        .replace("after=1767225600123", "after=0");
    let s = statement(s.as_bytes()).expect("a statement");
    assert_eq!(
        (s.idempotency.is_some(), s.retry, s.after_ms),
        (true, true, None)
    );
}

#[test]
fn a_frame_is_whole_or_nothing_and_bounded() {
    let mut bytes = BytesMut::new();
    put_query(&mut bytes, READ.as_bytes());
    for cut in 0..bytes.len() {
        assert_eq!(frame(&bytes[..cut]), Ok(None));
    }
    let f = frame(&bytes).expect("well-formed").expect("whole");
    assert_eq!((f.tag, query(&bytes[f.body])), (b'Q', Ok(READ.as_bytes())));
    assert!(frame(b"Q\0\0\0\x03").is_err());
    assert!(
        frame(&[b'Q', 0, 4, 0, 1]).is_err(),
        "one byte over 256 KiB, told from its head alone"
    );
    assert!(startup(&[0, 0, 0x27, 0x11]).is_err());
}

/// Guards against a spoilt length: what was begun cannot be taken back.
#[test]
fn a_row_is_long_only_where_both_of_its_lengths_say_so() {
    let row = |length: usize, columns: u16, value: usize| {
        let head = [
            &b"D"[..],
            &(length as u32).to_be_bytes(),
            &columns.to_be_bytes(),
        ]
        .concat();
        [head, (value as u32).to_be_bytes().to_vec()].concat()
    };
    assert_eq!(long_row(&row(LONG + 11, 1, LONG + 1)), Ok(Some(LONG + 12)));
    assert_eq!(long_row(&row(LONG + 10, 1, LONG)), Ok(None));
    assert_eq!(long_row(&row(LONG + 11, 1, LONG + 1)[..10]), Ok(None));
    for bad in [
        row(LONG + 11, 1, LONG),
        row(LONG + 11, 2, LONG + 1),
        row(1 << 30, 1, (1 << 30) - 10),
    ] {
        assert!(long_row(&bad).is_err());
    }
    assert!(unclear(&row(LONG + 11, 1, LONG + 1)[..6]) && !unclear(b"D\0\0\0\x06\0\x01"));
    assert!(Reply::default().passed_row().is_err());
}

#[test]
fn an_answer_is_served_only_when_it_is_whole_and_without_an_error() {
    let row = [0, 1, 0, 0, 0, 1, b'x'];
    let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    assert!(
        Reply::default().take(b'D', &row).is_err(),
        "a row that nothing describes"
    );
    assert!(Reply::default()
        .take(b'T', &[&[0, 2][..], b"payload\0", &[0; 18]].concat())
        .is_err());
    let mut r = Reply::default();
    assert_eq!(r.take(b'T', &column), Ok(true));
    assert!(r.clone().take(b'T', &column).is_err(), "described twice");
    assert!(r.clone().take(b'Z', b"I").is_err(), "an end without a row");
    assert_eq!(r.take(b'D', &row), Ok(true));
    assert!(!r.served(), "without CommandComplete it may not be whole");
    assert!(r.clone().take(b'D', &row).is_err(), "a second row");
    assert_eq!(r.take(b'C', b"SELECT 1\0"), Ok(true));
    assert!(r.served());
    r.take(b'S', b"server_role\0writer\0").expect("a status");
    r.take(b'S', b"commit_clock\x001767225600123\0")
        .expect("a status");
    assert_eq!(
        (r.role, r.position_ms),
        (Some(HostRole::Writer), Some(1_767_225_600_123))
    );
    r.take(b'E', b"SERROR\0CXX000\0Mno\0\0").expect("an error");
    assert!(!r.served());
    // A null, a length that lies, two columns.
    for body in [
        &[0, 1, 255, 255, 255, 255][..],
        &[0, 1, 0, 0, 0, 9, 1],
        &[0, 2, 0, 0, 0, 1, 1],
    ] {
        let mut r = Reply::default();
        r.take(b'T', &column).expect("a description");
        assert!(r.take(b'D', body).is_err());
    }
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0..READ.len()) {
        let _ = (long_row(&bytes), frame(&bytes), startup(&bytes), query(&bytes), statement(&bytes));
        for tag in [b'T', b'D', b'C', b'E', b'S', b'Z'] {
            let _ = Reply::default().take(tag, &bytes);
        }
        let mut near = READ.as_bytes().to_vec();
        near.splice(at..(at + bytes.len() % 5).min(READ.len()), bytes);
        if let Ok(s) = statement(&near) {
            prop_assert!(std::str::from_utf8(&near[s.wait_at]).is_ok_and(|d| d.parse::<f64>().is_ok()));
        }
    }
}
