//! The parser for a host's reply: the order of messages, and when a reply counts as served.

use irisrouter_pg::{HostRole, Reply};

#[test]
fn reply_is_served_only_when_complete_and_without_an_error() {
    let row = [0, 1, 0, 0, 0, 1, b'x'];
    let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    assert!(
        Reply::default().read_message(b'D', &row).is_err(),
        "a row without a description"
    );
    assert!(Reply::default()
        .read_message(b'T', &[&[0, 2][..], b"payload\0", &[0; 18]].concat())
        .is_err());
    let mut reply = Reply::default();
    assert_eq!(reply.read_message(b'T', &column), Ok(true));
    assert!(
        reply.clone().read_message(b'T', &column).is_err(),
        "a second RowDescription"
    );
    assert!(
        reply.clone().read_message(b'Z', b"I").is_err(),
        "ReadyForQuery without a row"
    );
    assert_eq!(reply.read_message(b'D', &row), Ok(true));
    assert!(
        !reply.served(),
        "without CommandComplete the reply may be incomplete"
    );
    assert!(
        reply.clone().read_message(b'D', &row).is_err(),
        "a second row"
    );
    assert_eq!(reply.read_message(b'C', b"SELECT 1\0"), Ok(true));
    assert!(reply.served());
    reply
        .read_message(b'S', b"server_role\0writer\0")
        .expect("a status");
    reply
        .read_message(b'S', b"commit_clock\x001767225600123\0")
        .expect("a status");
    assert_eq!(
        (reply.role, reply.position_ms),
        (Some(HostRole::Writer), Some(1_767_225_600_123))
    );
    reply
        .read_message(b'E', b"SERROR\0CXX000\0Mno\0\0")
        .expect("an error");
    assert!(!reply.served());
    // A null value, a wrong length, two columns.
    for body in [
        &[0, 1, 255, 255, 255, 255][..],
        &[0, 1, 0, 0, 0, 9, 1],
        &[0, 2, 0, 0, 0, 1, 1],
    ] {
        let mut reply = Reply::default();
        reply.read_message(b'T', &column).expect("a description");
        assert!(reply.read_message(b'D', body).is_err());
    }
}
