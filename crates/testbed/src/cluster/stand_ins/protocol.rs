//! Reads and encodes the PostgreSQL protocol messages that a stand-in host needs.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum length of the body of a message that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message received from a client, which is a gateway here.
pub(super) struct ClientMessage {
    /// Type byte of the message; 0 for the startup message, which has none.
    pub(super) tag: u8,
    /// The bytes that follow the length field.
    pub(super) body: Vec<u8>,
}

/// Reads the startup message of a connection; `None` if the connection ends or the message is too long.
pub(super) async fn read_startup(stream: &mut TcpStream) -> Option<ClientMessage> {
    read_body(stream, 0).await
}

/// Reads a message after startup; `None` if the connection ends or the message is too long.
pub(super) async fn read_message(stream: &mut TcpStream) -> Option<ClientMessage> {
    let tag = stream.read_u8().await.ok()?;
    read_body(stream, tag).await
}

async fn read_body(stream: &mut TcpStream, tag: u8) -> Option<ClientMessage> {
    let length = stream.read_u32().await.ok()? as usize;
    let length = length.checked_sub(4)?;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(ClientMessage { tag, body })
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = body.len() as u32 + 4;
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

/// `AuthenticationOk`.
pub(super) fn authentication_ok() -> Vec<u8> {
    message(b'R', &[0; 4])
}

/// `ReadyForQuery`, outside a transaction.
pub(super) fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

/// `ErrorResponse` with this SQLSTATE.
pub(super) fn error(sqlstate: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{sqlstate}\0Mno\0\0").as_bytes())
}

/// The answer to a statement: a row of one column, and the `server_role` parameter with the role of the host.
pub(super) fn row(value: &str, primary: bool) -> Vec<u8> {
    let length = value.len() as u32;
    let data_row = [&[0, 1][..], &length.to_be_bytes()[..], value.as_bytes()].concat();
    let row_description = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let role = if primary { "writer" } else { "reader" };
    [
        message(b'T', &row_description),
        message(b'D', &data_row),
        message(b'C', b"SELECT 1\0"),
        message(b'S', format!("server_role\0{role}\0").as_bytes()),
    ]
    .concat()
}
