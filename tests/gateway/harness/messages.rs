//! Messages of PostgreSQL's wire protocol, as clients and database hosts send them.

use std::io::Read;
use std::net::TcpStream;

/// Encodes a message from its type and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Reads a message and returns its type and body, or `None` if the connection has ended.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Reads and discards a startup message. Returns `None` if the connection has ended.
pub fn read_startup(stream: &mut TcpStream) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream
        .read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])
        .ok()
}

/// A client's startup message.
pub fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A simple query.
pub fn query_message(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A statement of the given class, whose client waits for `wait_ms`.
pub fn statement(class: &str, wait_ms: u64) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c={class},d={wait_ms},k=5c0f,cluster=2 */"
    )
}

/// The query of a read with a request id, whose client waits for nine seconds.
pub fn read_query_message(request_id: &str) -> Vec<u8> {
    query_message(&statement("read", 9_000).replace("9b1f", request_id))
}

/// A query of class `once` with request id 51. Its text contains "slow", by which hosts recognise it.
pub fn slow_query_message(wait_ms: u64) -> Vec<u8> {
    query_message(
        &statement("once", wait_ms)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    )
}
