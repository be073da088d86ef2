//! A client of the gateway.

use super::messages::{query_message, read_message, startup_message};
use super::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A client's connection to the gateway.
pub struct Client {
    pub stream: TcpStream,
    /// The body of BackendKeyData, which identifies the session in a cancel request; empty until it is received.
    pub cancel_key: Vec<u8>,
}

impl Client {
    /// Opens a connection and sends nothing.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client {
            stream,
            cancel_key: Vec::new(),
        }
    }

    /// Sends the startup message and returns the answer, as [`Client::read_until_ready`] does.
    pub fn start_session(&mut self) -> String {
        self.send(&startup_message());
        self.read_until_ready()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn read_byte(&mut self) -> u8 {
        let mut byte = [0];
        self.stream.read_exact(&mut byte).unwrap();
        byte[0]
    }

    /// Reads up to ReadyForQuery or the end of the connection: a line for each message, `closed` for the end.
    pub fn read_until_ready(&mut self) -> String {
        let mut lines = Vec::new();
        loop {
            let Some((tag, body)) = read_message(&mut self.stream) else {
                lines.push("closed".to_string());
                break;
            };
            match tag {
                b'S' => continue,
                b'K' => self.cancel_key = body,
                _ => lines.push(describe(tag, &body)),
            }
            if tag == b'Z' {
                break;
            }
        }
        lines.join("\n")
    }

    /// Sends a query and reads its answer, as [`Client::read_until_ready`] does.
    pub fn query(&mut self, text: &str) -> String {
        self.send(&query_message(text));
        self.read_until_ready()
    }
}

/// A message as one line of text.
fn describe(tag: u8, body: &[u8]) -> String {
    match tag {
        b'T' => "RowDescription".into(),
        b'D' => format!("DataRow {}", printable(&body[6..])),
        b'C' => format!("CommandComplete {}", printable(body)),
        b'E' => format!("ErrorResponse {}", printable(body)),
        b'I' => "EmptyQueryResponse".into(),
        b'R' => "AuthenticationOk".into(),
        b'Z' => "ReadyForQuery".into(),
        other => format!("{}", other as char),
    }
}

fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .replace('\0', " ")
        .trim()
        .to_string()
}

/// Asserts that an answer is a row whose end is an error, which tells the client that the value is incomplete, and that
/// the session goes on.
pub fn assert_incomplete_value(answer: &str) {
    let lines: Vec<&str> = answer.lines().collect();
    let [description, row, error, ready] = lines[..] else {
        panic!("{} lines, the last: {:?}", lines.len(), lines.last());
    };
    assert_eq!(description, "RowDescription");
    assert!(row.starts_with("DataRow vvvv"));
    assert!(
        error.starts_with("ErrorResponse SERROR VERROR CXX000 Mthe value is incomplete"),
        "{error}"
    );
    assert_eq!(ready, "ReadyForQuery");
}
