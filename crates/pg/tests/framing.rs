//! Framing: complete and incomplete messages, and their maximum sizes.

use bytes::BytesMut;
use irisrouter_pg::{
    frame, long_row, may_begin_long_row, put_query, query, startup, Reply, MAX_BUFFERED_VALUE_SIZE,
};

const READ_STATEMENT: &str = "SELECT payload FROM entries WHERE ref = 'k''1' \
    /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

#[test]
fn frame_is_returned_only_when_complete_and_within_its_bound() {
    let mut bytes = BytesMut::new();
    put_query(&mut bytes, READ_STATEMENT.as_bytes());
    for end in 0..bytes.len() {
        assert_eq!(frame(&bytes[..end]), Ok(None));
    }
    let complete = frame(&bytes).expect("well-formed").expect("complete");
    assert_eq!(
        (complete.tag, query(&bytes[complete.body])),
        (b'Q', Ok(READ_STATEMENT.as_bytes()))
    );
    assert!(frame(b"Q\0\0\0\x03").is_err());
    assert!(
        frame(&[b'Q', 0, 4, 0, 1]).is_err(),
        "a length of one byte over 256 KiB is rejected by the header alone"
    );
    assert!(startup(&[0, 0, 0x27, 0x11]).is_err());
}

/// Guards against forwarding a row with a corrupt length, because forwarded bytes cannot be taken back.
#[test]
fn row_is_long_only_when_both_of_its_lengths_agree() {
    let row = |length: usize, columns: u16, value: usize| {
        let header = [
            &b"D"[..],
            &(length as u32).to_be_bytes(),
            &columns.to_be_bytes(),
        ]
        .concat();
        [header, (value as u32).to_be_bytes().to_vec()].concat()
    };
    assert_eq!(
        long_row(&row(
            MAX_BUFFERED_VALUE_SIZE + 11,
            1,
            MAX_BUFFERED_VALUE_SIZE + 1
        )),
        Ok(Some(MAX_BUFFERED_VALUE_SIZE + 12))
    );
    assert_eq!(
        long_row(&row(
            MAX_BUFFERED_VALUE_SIZE + 10,
            1,
            MAX_BUFFERED_VALUE_SIZE
        )),
        Ok(None)
    );
    assert_eq!(
        long_row(&row(MAX_BUFFERED_VALUE_SIZE + 11, 1, MAX_BUFFERED_VALUE_SIZE + 1)[..10]),
        Ok(None)
    );
    for invalid_row in [
        row(MAX_BUFFERED_VALUE_SIZE + 11, 1, MAX_BUFFERED_VALUE_SIZE),
        row(MAX_BUFFERED_VALUE_SIZE + 11, 2, MAX_BUFFERED_VALUE_SIZE + 1),
        row(1 << 30, 1, (1 << 30) - 10),
    ] {
        assert!(long_row(&invalid_row).is_err());
    }
    assert!(
        may_begin_long_row(&row(MAX_BUFFERED_VALUE_SIZE + 11, 1, MAX_BUFFERED_VALUE_SIZE + 1)[..6])
            && !may_begin_long_row(b"D\0\0\0\x06\0\x01")
    );
    assert!(Reply::default().record_forwarded_row().is_err());
}
