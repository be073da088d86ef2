//! Encoding of the messages from server to client that the gateway sends.

use crate::frontend::CancelKey;
use crate::message::{put, put_string};
use crate::tag;
use bytes::{BufMut, BytesMut};

/// Parameters that the gateway sends to a client at the start of a session. Drivers choose the encoding of values
/// based on them.
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Appends the response to a client's startup message, from `AuthenticationOk` to `ReadyForQuery`. `BackendKeyData` is
/// left out if `key` is `None`.
pub fn put_startup_response(out: &mut BytesMut, key: Option<&CancelKey>) {
    put(out, tag::AUTHENTICATION, |body| body.put_u32(0));
    for (name, value) in SESSION_PARAMETERS {
        put(out, tag::PARAMETER_STATUS, |body| {
            put_string(body, name.as_bytes());
            put_string(body, value.as_bytes());
        });
    }
    if let Some(key) = key {
        put(out, tag::BACKEND_KEY_DATA, |body| body.put_slice(key));
    }
    put_ready(out);
}

/// Appends `ReadyForQuery` with the status "idle" (not in a transaction).
pub fn put_ready(out: &mut BytesMut) {
    put(out, tag::READY_FOR_QUERY, |body| body.put_u8(b'I'));
}

/// Appends `ErrorResponse`.
pub fn put_error(
    out: &mut BytesMut,
    severity: &str,
    code: &str,
    message: &str,
    detail: Option<&str>,
) {
    // The protocol has two severity fields: S may be localised, and V is not. The gateway sends the same text in both.
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', message),
    ];
    let detail_field = detail.map(|text| (b'D', text));
    put(out, tag::ERROR_RESPONSE, |body| {
        for (field, text) in fields.into_iter().chain(detail_field) {
            body.put_u8(field);
            put_string(body, text.as_bytes());
        }
        body.put_u8(0);
    });
}
