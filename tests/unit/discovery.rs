//! Answers of discovery, as they are read.

use super::*;

fn whole(body: &[u8], ends: bool) -> Answer {
    Answer {
        body: body.to_vec(),
        ends,
    }
}

#[test]
fn answers_are_read_whole_with_a_length_or_in_chunks() {
    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP";
    for cut in 0..43 {
        assert_eq!(parse_answer(&plain[..cut], false), Ok(None), "{cut} bytes");
        assert_eq!(
            parse_answer(&plain[..cut], true),
            Ok(None),
            "{cut} bytes and an end"
        );
    }
    assert_eq!(
        parse_answer(plain, false),
        Ok(Some((whole(b"hello", false), 43)))
    );
    let chunks =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    for cut in 0..chunks.len() {
        assert_eq!(parse_answer(&chunks[..cut], false), Ok(None), "{cut} bytes");
        assert_eq!(
            parse_answer(&chunks[..cut], true),
            Ok(None),
            "{cut} bytes and an end"
        );
    }
    assert_eq!(
        parse_answer(chunks, false),
        Ok(Some((whole(b"hello", false), chunks.len())))
    );
}

/// Guards against a body without a length that is taken for whole while its connection is open.
#[test]
fn an_answer_without_a_length_is_whole_once_its_connection_has_ended() {
    let plain = b"HTTP/1.1 200 OK\r\n\r\nhello";
    for cut in 0..plain.len() {
        assert_eq!(parse_answer(&plain[..cut], false), Ok(None), "{cut} bytes");
    }
    assert_eq!(parse_answer(plain, false), Ok(None));
    assert_eq!(
        parse_answer(plain, true),
        Ok(Some((whole(b"hello", true), plain.len())))
    );
    let said = b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(
        parse_answer(said, false),
        Ok(Some((whole(b"hello", true), said.len())))
    );
}

#[test]
fn bad_answers_are_errors() {
    for bad in [
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "no HTTP at all\r\n\r\n",
    ] {
        for ended in [false, true] {
            assert!(parse_answer(bad.as_bytes(), ended).is_err(), "{bad}");
        }
    }
}
