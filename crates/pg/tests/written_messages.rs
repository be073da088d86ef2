//! The exact bytes of the messages that the gateway writes.

use bytes::BytesMut;
use irisrouter_pg::{code, put_error, put_query, put_ready, put_startup, put_startup_response};

fn written(write: impl FnOnce(&mut BytesMut)) -> Vec<u8> {
    let mut out = BytesMut::new();
    write(&mut out);
    out.to_vec()
}

#[test]
fn frontend_messages_have_their_bytes() {
    assert_eq!(
        written(|out| put_startup(out, "web", "db")),
        b"\0\0\0\x1e\0\x03\0\0user\0web\0database\0db\0\0"
    );
    assert_eq!(
        written(|out| put_query(out, b"SELECT 1")),
        b"Q\0\0\0\x0dSELECT 1\0"
    );
}

#[test]
fn backend_messages_have_their_bytes() {
    assert_eq!(written(put_ready), b"Z\0\0\0\x05I");
    assert_eq!(
        written(|out| put_error(out, "ERROR", code::INTERNAL_ERROR, "m", Some("250"))),
        b"E\0\0\0\x22SERROR\0VERROR\0CXX000\0Mm\0D250\0\0"
    );
    let startup_response = written(|out| put_startup_response(out, Some(b"12345678")));
    assert!(startup_response.starts_with(b"R\0\0\0\x08\0\0\0\0S\0\0\0\x18server_version\x0016.0\0"));
    assert!(startup_response.ends_with(b"K\0\0\0\x0c12345678Z\0\0\0\x05I"));
    let without_key = written(|out| put_startup_response(out, None));
    assert!(without_key.ends_with(b"standard_conforming_strings\0on\0Z\0\0\0\x05I"));
}
