//! A database host whose replies follow a script.

use super::messages::{message, read_message, read_startup};
use super::monitor::Monitor;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The event that lets a host send the second half of a [`HostReply::PausedRow`].
const RESUME_EVENT: &str = "go on";
/// Pause between the two copies of a [`HostReply::DuplicateRow`].
const DUPLICATE_DELAY: Duration = Duration::from_millis(2);

/// What a host replies to a statement.
pub enum HostReply {
    /// A row with this value.
    Row(&'static str),
    /// An error with this SQLSTATE.
    Error(&'static str),
    /// The given bytes, sent unchanged whether or not they are messages.
    Raw(&'static [u8]),
    /// A row whose value has this many bytes. The host sends the first half, and the rest after [`Host::resume`].
    PausedRow(usize),
    /// The first half of a row whose value has this many bytes, and the end of the connection.
    TruncatedRow(usize),
    /// A whole row whose value has this many bytes, and an error in place of CommandComplete.
    RowBeforeError(usize),
    /// A row with this value, and shortly after it a second copy that belongs to no query.
    DuplicateRow(&'static str),
    /// Nothing; the connection stays open.
    NoReply,
    /// Nothing; the connection is closed.
    CloseConnection,
}

/// A script: returns the reply to a statement, given the statement's sequence number on this host (from 0) and its
/// text.
pub type ReplyScript = fn(usize, &str) -> HostReply;

/// Replies to every statement with the row `a1b2`.
pub fn reply_with_row(_: usize, _: &str) -> HostReply {
    HostReply::Row("a1b2")
}

/// Leaves statements unanswered that contain "slow", and replies to all others with the row `a1b2`.
pub fn no_reply_to_slow(_: usize, text: &str) -> HostReply {
    if text.contains("slow") {
        HostReply::NoReply
    } else {
        HostReply::Row("a1b2")
    }
}

/// A database host.
pub struct Host {
    pub id: &'static str,
    pub address: SocketAddr,
    /// A line for each statement and for each closed connection, preceded by the sequence number of the connection.
    pub events: Monitor<Vec<String>>,
    /// The role that the host reports.
    pub is_primary: Monitor<bool>,
    /// How far the position that the host reports is behind the current time, in milliseconds.
    pub lag_ms: Monitor<u128>,
}

impl Host {
    /// Starts a host that replies to its statements by a script.
    pub fn start(id: &'static str, is_primary: bool, script: ReplyScript) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Host {
            id,
            address: listener.local_addr().unwrap(),
            events: Monitor::new(Vec::new()),
            is_primary: Monitor::new(is_primary),
            lag_ms: Monitor::new(0),
        };
        let statement_count = Monitor::new(0);
        let events = host.events.clone();
        let is_primary = host.is_primary.clone();
        let lag_ms = host.lag_ms.clone();
        spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let mut connection = HostConnection {
                    stream: stream.unwrap(),
                    number,
                    script,
                    events: events.clone(),
                    is_primary: is_primary.clone(),
                    lag_ms: lag_ms.clone(),
                    statement_count: statement_count.clone(),
                };
                spawn(move || {
                    connection.serve();
                    let closed = format!("{number}: closed");
                    connection.events.update(|events| events.push(closed));
                });
            }
        });
        host
    }

    /// The host's entry in an endpoint list.
    pub fn entry(&self, phase: &str, started_ms: u64) -> Value {
        json!({"id": self.id, "host_port": self.address.to_string(), "locality": "a", "flavor": "m", "cell": 2,
            "phase": phase, "size": 1.0, "up_since_ms": started_ms})
    }

    /// The statements received so far, without the lines for closed connections.
    pub fn statements(&self) -> Vec<String> {
        self.events.update(|events| {
            let statements = events.iter().filter(|line| line.contains("FROM"));
            statements.cloned().collect()
        })
    }

    /// Waits for an event that contains this text.
    pub fn wait_for_event(&self, text: &str) {
        self.events.wait_for(text, |events| {
            let found = events.iter().any(|line| line.contains(text));
            found.then_some(())
        });
    }

    /// Makes the host send the second half of its paused rows.
    pub fn resume(&self) {
        self.events
            .update(|events| events.push(RESUME_EVENT.into()));
    }
}

/// One connection of a host.
struct HostConnection {
    stream: TcpStream,
    number: usize,
    script: ReplyScript,
    events: Monitor<Vec<String>>,
    is_primary: Monitor<bool>,
    lag_ms: Monitor<u128>,
    statement_count: Monitor<usize>,
}

impl HostConnection {
    /// Serves queries until the connection ends, which is reported as `None`.
    fn serve(&mut self) -> Option<()> {
        // What is written leaves at once, and not only with the next acknowledgement.
        self.stream.set_nodelay(true).unwrap();
        read_startup(&mut self.stream)?;
        let authentication_ok = message(b'R', &[0; 4]);
        self.send(&[authentication_ok, ready_for_query()].concat())?;
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            let text = String::from_utf8(body[..body.len().saturating_sub(1)].to_vec()).unwrap();
            if tag != b'Q' {
                return None;
            }
            if text == "SHOW usage" {
                self.send_load_report()?;
            } else {
                self.answer_statement(&text)?;
            }
        }
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).ok()
    }

    fn send_load_report(&mut self) -> Option<()> {
        let is_primary = self.is_primary.update(|value| *value);
        let lag_ms = self.lag_ms.update(|value| *value);
        self.send(&load_report_reply(is_primary, lag_ms))
    }

    fn answer_statement(&mut self, text: &str) -> Option<()> {
        let is_primary = self.is_primary.update(|value| *value);
        let received = format!("{}: {}", self.number, with_wait_blanked(text));
        self.record(received);
        let statement_number = self
            .statement_count
            .update(|count| std::mem::replace(count, *count + 1));
        match (self.script)(statement_number, text) {
            HostReply::Row(value) => self.send(&row_reply(value, is_primary)),
            HostReply::Error(code) => self.send(&error_reply(code)),
            HostReply::Raw(bytes) => self.send(bytes),
            HostReply::PausedRow(length) => self.send_paused_row(length, is_primary),
            HostReply::TruncatedRow(length) => {
                let reply = row_reply(&"v".repeat(length), is_primary);
                self.send(&reply[..length / 2])?;
                None
            }
            HostReply::RowBeforeError(length) => {
                let row = row_messages(&"v".repeat(length));
                self.send(&[row, error_reply("XX000")].concat())
            }
            HostReply::DuplicateRow(value) => {
                let reply = row_reply(value, is_primary);
                self.send(&reply)?;
                std::thread::sleep(DUPLICATE_DELAY);
                self.send(&reply)?;
                self.record("copied".into());
                Some(())
            }
            HostReply::NoReply => Some(()),
            HostReply::CloseConnection => None,
        }
    }

    fn send_paused_row(&mut self, length: usize, is_primary: bool) -> Option<()> {
        let reply = row_reply(&"v".repeat(length), is_primary);
        let (first, rest) = reply.split_at(length / 2);
        self.send(first)?;
        self.events.wait_for(RESUME_EVENT, |events| {
            events.iter().any(|line| line == RESUME_EVENT).then_some(())
        });
        self.send(rest)?;
        self.record(format!("{}: sent", self.number));
        Some(())
    }

    fn record(&self, event: String) {
        self.events.update(|events| events.push(event));
    }
}

fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

/// A complete reply: a row of one column, and the role of the host.
pub fn row_reply(value: &str, is_primary: bool) -> Vec<u8> {
    let role = if is_primary { "writer" } else { "reader" };
    [
        row_messages(value),
        message(b'C', b"SELECT 1\0"),
        message(b'S', format!("server_role\0{role}\0").as_bytes()),
        ready_for_query(),
    ]
    .concat()
}

/// The description and the data of a row of one column.
fn row_messages(value: &str) -> Vec<u8> {
    let cell = [
        &[0, 1][..],
        &(value.len() as u32).to_be_bytes()[..],
        value.as_bytes(),
    ]
    .concat();
    let column = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    [message(b'T', &column), message(b'D', &cell)].concat()
}

/// The load report of a host whose data are this old.
pub fn load_report_reply(is_primary: bool, lag_ms: u128) -> Vec<u8> {
    let position = unix_ms() - lag_ms;
    let report = format!(
        "x0={}.{:03},x1={},util=0.1",
        position / 1000,
        position % 1000,
        u8::from(is_primary)
    );
    row_reply(&report, is_primary)
}

fn error_reply(code: &str) -> Vec<u8> {
    let fields = format!("SERROR\0C{code}\0Mno\0\0");
    [message(b'E', fields.as_bytes()), ready_for_query()].concat()
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// The statement with its remaining time blanked out, because that is the only part that a gateway changes.
fn with_wait_blanked(text: &str) -> String {
    let (head, tail) = text.split_once(",d=").expect("a statement with a wait");
    let rest = tail.trim_start_matches(|c: char| c.is_ascii_digit());
    assert!(rest.len() < tail.len(), "whole milliseconds: {text}");
    format!("{head},d=LEFT{rest}")
}
