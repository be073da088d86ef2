//! Messages from client to server: startup, cancel requests and simple queries.

use crate::error::Malformed;
use crate::message::{put, put_string, put_with_length};
use crate::tag;
use bytes::{BufMut, BytesMut};

/// Maximum length of a client's first message, in bytes.
const MAX_STARTUP_LENGTH: usize = 10_000;
/// Size of the length and code fields of a client's first message, in bytes.
const STARTUP_HEADER_SIZE: usize = 8;
/// Major version of the protocol.
const VERSION_3: u32 = 3;
/// Code of `SSLRequest`.
const SSL_REQUEST: u32 = 80_877_103;
/// Code of `GSSENCRequest`.
const GSS_REQUEST: u32 = 80_877_104;
/// Code of `CancelRequest`.
const CANCEL_REQUEST: u32 = 80_877_102;

/// The purpose of a client's first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// The client asks for an encrypted connection, which the gateway does not support.
    Encryption,
    /// The client asks to cancel the query that runs on the connection with this key.
    Cancel(CancelKey),
    /// The client starts a session.
    Begin,
}

/// The key that a client receives when its session starts, and sends on a new connection to cancel its query. It
/// consists of the two numbers of `BackendKeyData`, neither of which is a process id here.
pub type CancelKey = [u8; 8];

/// The first message of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// The purpose of the message.
    pub purpose: Startup,
    /// The length of the message in bytes.
    pub length: usize,
}

/// Parses the first message of a client, which has no type byte. Returns `None` while the message is incomplete.
///
/// # Errors
///
/// Returns an error if the length is out of bounds, a cancel request does not contain a key of 8 bytes, or the protocol
/// version is unknown.
pub fn startup(bytes: &[u8]) -> Result<Option<StartupMessage>, Malformed> {
    let Some(length) = bytes.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(STARTUP_HEADER_SIZE..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(Malformed("no startup message"));
    }
    let Some(code) = bytes.get(4..length).and_then(|rest| rest.first_chunk()) else {
        return Ok(None);
    };
    let purpose = match u32::from_be_bytes(*code) {
        SSL_REQUEST | GSS_REQUEST => Startup::Encryption,
        CANCEL_REQUEST => {
            let key = bytes[STARTUP_HEADER_SIZE..length]
                .try_into()
                .map_err(|_| Malformed("a cancel request without its key"))?;
            Startup::Cancel(key)
        }
        version if version >> 16 == VERSION_3 => Startup::Begin,
        _ => return Err(Malformed("an unknown version of the protocol")),
    };
    Ok(Some(StartupMessage { purpose, length }))
}

/// Appends a startup message that begins a session.
pub fn put_startup(out: &mut BytesMut, user: &str, database: &str) {
    put_with_length(out, |body| {
        body.put_u32(VERSION_3 << 16);
        put_string(body, b"user");
        put_string(body, user.as_bytes());
        put_string(body, b"database");
        put_string(body, database.as_bytes());
        body.put_u8(0);
    });
}

/// Appends a simple query.
pub fn put_query(out: &mut BytesMut, statement: &[u8]) {
    put(out, tag::QUERY, |body| put_string(body, statement));
}

/// Returns the text in the body of a simple query.
///
/// # Errors
///
/// Returns an error unless the body ends with a zero byte and contains no other.
pub fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("a query that does not end with its zero")),
    }
}

/// Returns whether the text of a query contains no statement, only white space and semicolons.
pub fn is_empty(text: &[u8]) -> bool {
    text.iter()
        .all(|&byte| byte.is_ascii_whitespace() || byte == b';')
}
