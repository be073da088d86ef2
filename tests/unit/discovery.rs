//! Parsing of the HTTP responses of discovery.

use super::{parse_response, ParsedResponse, Response};

fn parsed(body: &[u8], closes_connection: bool, length: usize) -> ParsedResponse {
    ParsedResponse {
        response: Response {
            body: body.to_vec(),
            closes_connection,
        },
        length,
    }
}

#[test]
fn answer_with_a_length_or_in_chunks_is_parsed_once_it_is_complete() {
    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP";
    for cut in 0..43 {
        assert_eq!(
            parse_response(&plain[..cut], false),
            Ok(None),
            "{cut} bytes"
        );
        assert_eq!(
            parse_response(&plain[..cut], true),
            Ok(None),
            "{cut} bytes and an end"
        );
    }
    assert_eq!(
        parse_response(plain, false),
        Ok(Some(parsed(b"hello", false, 43)))
    );
    let chunks =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    for cut in 0..chunks.len() {
        assert_eq!(
            parse_response(&chunks[..cut], false),
            Ok(None),
            "{cut} bytes"
        );
        assert_eq!(
            parse_response(&chunks[..cut], true),
            Ok(None),
            "{cut} bytes and an end"
        );
    }
    assert_eq!(
        parse_response(chunks, false),
        Ok(Some(parsed(b"hello", false, chunks.len())))
    );
}

/// Guards against treating a body without a length as complete while its connection is still open.
#[test]
fn answer_without_a_length_is_parsed_once_its_connection_has_ended() {
    let plain = b"HTTP/1.1 200 OK\r\n\r\nhello";
    for cut in 0..plain.len() {
        assert_eq!(
            parse_response(&plain[..cut], false),
            Ok(None),
            "{cut} bytes"
        );
    }
    assert_eq!(parse_response(plain, false), Ok(None));
    assert_eq!(
        parse_response(plain, true),
        Ok(Some(parsed(b"hello", true, plain.len())))
    );
    let with_close = b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(
        parse_response(with_close, false),
        Ok(Some(parsed(b"hello", true, with_close.len())))
    );
}

#[test]
fn malformed_answer_is_an_error() {
    for bad in [
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "no HTTP at all\r\n\r\n",
    ] {
        for ended in [false, true] {
            assert!(parse_response(bad.as_bytes(), ended).is_err(), "{bad}");
        }
    }
}
