//! PostgreSQL's wire protocol, version 3: framing, messages and the comment in which a statement carries what
//! the gateway needs. Pure and bounded: no I/O, and nothing from outside is trusted.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bytes::{BufMut, BytesMut};
use std::ops::Range;

/// Largest message that is taken: a value of 64 KiB in hexadecimal with its statement, and room to spare.
pub const LARGEST: usize = 256 * 1024;
/// A value of more than this is passed on while it comes, and never held as a whole.
pub const LONG: usize = 64 * 1024;
/// Largest message that is passed on so.
const LARGEST_ROW: usize = 64 << 20;
/// Largest message before the start is over.
const LARGEST_STARTUP: usize = 10_000;

const VERSION_3: u32 = 3;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// SQLSTATE codes that the gateway words or reads.
pub mod code {
    /// A breach of the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A statement without what the gateway needs.
    pub const SYNTAX_ERROR: &str = "42601";
    /// A part of the protocol that is not spoken here.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// Refused: trying again is harmless.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// Cancelled at its client's word.
    pub const QUERY_CANCELED: &str = "57014";
    /// Failed: nothing is promised.
    pub const INTERNAL_ERROR: &str = "XX000";
    /// A probe under an epoch that is over.
    pub const SERIALIZATION_FAILURE: &str = "40001";
    /// A write, and this is no primary.
    pub const READ_ONLY: &str = "25006";
    /// Too far behind for this read.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// Not taking queries at present.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
}

/// Something that is not in the protocol, in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A message: its type and where its body lies in the bytes read so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its type.
    pub tag: u8,
    /// Its body.
    pub body: Range<usize>,
}

/// The first message in these bytes, or nothing while it is not whole.
pub fn frame(bytes: &[u8]) -> Result<Option<Frame>, Malformed> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = rest.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length < 4 {
        return Err(Malformed("a message shorter than its own length"));
    }
    if length > LARGEST {
        return Err(TOO_LARGE);
    }
    Ok((bytes.len() > length).then_some(Frame {
        tag,
        body: 5..1 + length,
    }))
}

const TOO_LARGE: Malformed = Malformed("a message is too large");
/// What stands before the value in a row of one column: type, length, columns, the value's length.
const ROW_HEAD: usize = 1 + 4 + 2 + 4;

/// Whether a row begins here whose value is long: all of its bytes, or nothing where it is short or no row. Where too
/// little has come to tell, it is nothing too, and so far no frame. Danger: once its first bytes are passed on there is
/// no way back, so that both of its lengths have to agree.
pub fn long_row(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some((b'D', rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = rest.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length <= ROW_HEAD - 1 + LONG {
        return Ok(None);
    }
    if length > LARGEST_ROW {
        return Err(TOO_LARGE);
    }
    let Some(head) = bytes.get(5..ROW_HEAD) else {
        return Ok(None);
    };
    let value = (length + 1 - ROW_HEAD) as u32;
    if head[..2] != 1u16.to_be_bytes() || head[2..] != value.to_be_bytes() {
        return Err(Malformed("a row that is not one value"));
    }
    Ok(Some(length + 1))
}

/// A row begins here that may be long, and more of it has to come to tell.
pub fn unclear(bytes: &[u8]) -> bool {
    let length = bytes
        .get(1..)
        .and_then(|rest| rest.first_chunk())
        .map(|l| u32::from_be_bytes(*l) as usize);
    bytes.first() == Some(&b'D') && bytes.len() < ROW_HEAD && length.is_some_and(|l| l > LONG)
}

/// What a client wants with its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// An encrypted connection, which is not spoken here.
    Encryption,
    /// To cancel the query of another connection: the one that was told this key.
    Cancel(CancelKey),
    /// To begin.
    Begin,
}

/// What a client is told at its start, and says on a new connection to cancel what it waits for: both numbers of
/// BackendKeyData, neither of which is a process's.
pub type CancelKey = [u8; 8];

/// The first untyped message in these bytes and its length, or nothing while it is not whole.
pub fn startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, Malformed> {
    let Some(length) = bytes.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(8..=LARGEST_STARTUP).contains(&length) {
        return Err(Malformed("no startup message"));
    }
    let Some(code) = bytes.get(4..length).and_then(|b| b.first_chunk()) else {
        return Ok(None);
    };
    let kind = match u32::from_be_bytes(*code) {
        SSL_REQUEST | GSS_REQUEST => Startup::Encryption,
        CANCEL_REQUEST => {
            let key = bytes[8..length]
                .try_into()
                .map_err(|_| Malformed("a cancel request without its key"))?;
            Startup::Cancel(key)
        }
        v if v >> 16 == VERSION_3 => Startup::Begin,
        _ => return Err(Malformed("an unknown version of the protocol")),
    };
    Ok(Some((kind, length)))
}

/// Appends a message; the closure writes its body.
pub fn put(out: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    out.put_u8(tag);
    let at = out.len();
    out.put_u32(0);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut BytesMut, text: &[u8]) {
    out.put_slice(text);
    out.put_u8(0);
}

/// Appends a startup message.
pub fn put_startup(out: &mut BytesMut, user: &str, database: &str) {
    let at = out.len();
    out.put_u32(0);
    out.put_u32(VERSION_3 << 16);
    [
        b"user" as &[u8],
        user.as_bytes(),
        b"database",
        database.as_bytes(),
    ]
    .iter()
    .for_each(|t| put_text(out, t));
    out.put_u8(0);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends what answers a client's startup message.
pub fn put_welcome(out: &mut BytesMut, key: Option<&CancelKey>) {
    put(out, b'R', |b| b.put_u32(0));
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put(out, b'S', |b| {
            put_text(b, name.as_bytes());
            put_text(b, value.as_bytes());
        });
    }
    if let Some(key) = key {
        put(out, b'K', |b| b.put_slice(key));
    }
    put_ready(out);
}

/// Appends ReadyForQuery.
pub fn put_ready(out: &mut BytesMut) {
    put(out, b'Z', |b| b.put_u8(b'I'));
}

/// Appends ErrorResponse.
pub fn put_error(
    out: &mut BytesMut,
    severity: &str,
    code: &str,
    message: &str,
    detail: Option<&str>,
) {
    put(out, b'E', |b| {
        let fields = [
            (b'S', severity),
            (b'V', severity),
            (b'C', code),
            (b'M', message),
        ];
        for (field, text) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
            b.put_u8(field);
            put_text(b, text.as_bytes());
        }
        b.put_u8(0);
    });
}

/// Appends a query.
pub fn put_query(out: &mut BytesMut, statement: &[u8]) {
    put(out, b'Q', |b| put_text(b, statement));
}

/// The text of a query message's body.
pub fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("a query that does not end with its zero")),
    }
}

/// A query that asks for nothing.
pub fn is_empty(text: &[u8]) -> bool {
    text.iter().all(|&b| b.is_ascii_whitespace() || b == b';')
}

/// What a statement says of itself: the comment at its end, and the key that it quotes first.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// Where the milliseconds stand that the client will wait.
    pub wait_at: Range<usize>,
    /// And how many they are.
    pub wait_ms: f64,
    /// The group.
    pub group: i64,
    /// Its idempotency key.
    pub idempotency: Option<&'a str>,
    /// The client says that it repeats.
    pub retry: bool,
    /// The position that a read has to see, in Unix milliseconds.
    pub after_ms: Option<f64>,
    /// The key that it quotes: the session, in classes that have sessions.
    pub key: Option<&'a [u8]>,
}

/// Longest time that a client may say it waits.
const LONGEST_WAIT_MS: f64 = 86_400_000.0;

/// Reads a statement with its comment.
pub fn statement(text: &[u8]) -> Result<Statement<'_>, Malformed> {
    let whole = text.trim_ascii_end();
    let whole = whole.strip_suffix(b";").unwrap_or(whole).trim_ascii_end();
    let inner = whole
        .strip_suffix(b"*/")
        .ok_or(Malformed("a statement that does not end with its comment"))?;
    let open = (inner.windows(2).rposition(|w| w == b"/*"))
        .ok_or(Malformed("a comment without its start"))?;
    let comment = std::str::from_utf8(&inner[open + 2..])
        .map_err(|_| Malformed("a comment that is no text"))?;
    let mut seen: [Option<&str>; 7] = [None; 7];
    const NAMES: [&str; 7] = ["id", "c", "d", "k", "cluster", "after", "r"];
    for pair in comment.split(',') {
        let (name, value) = pair
            .trim()
            .split_once('=')
            .ok_or(Malformed("a name without a value in the comment"))?;
        if let Some(i) = NAMES.iter().position(|n| *n == name.trim()) {
            if seen[i].replace(value.trim()).is_some() {
                return Err(Malformed("a name that stands twice in the comment"));
            }
        }
    }
    let [id, class, wait, key, group, after, retry] = seen;
    let id = id
        .filter(|v| !v.is_empty())
        .ok_or(Malformed("no id in the comment"))?;
    let wait = wait.ok_or(Malformed("no d in the comment"))?;
    let number = |v: &str| v.parse::<f64>().ok().filter(|n| n.is_finite());
    let wait_ms = (number(wait).filter(|n| (0.0..=LONGEST_WAIT_MS).contains(n)))
        .ok_or(Malformed("d is no time in milliseconds"))?;
    let after_ms = after
        .map(|v| number(v).ok_or(Malformed("after is no position")))
        .transpose()?;
    // Where the value stands in the text, of which it is a part.
    let start = wait.as_ptr() as usize - text.as_ptr() as usize;
    Ok(Statement {
        id,
        class: class.ok_or(Malformed("no class in the comment"))?,
        wait_at: start..start + wait.len(),
        wait_ms,
        group: group
            .and_then(|v| v.parse().ok())
            .ok_or(Malformed("no cluster in the comment"))?,
        idempotency: key.filter(|k| !k.is_empty()),
        retry: retry == Some("1"),
        after_ms: after_ms.filter(|&p| p > 0.0),
        key: quoted(&inner[..open]),
    })
}

/// The first quoted text of a statement; a doubled quote stays as it stands.
fn quoted(text: &[u8]) -> Option<&[u8]> {
    let from = text.iter().position(|&b| b == b'\'')? + 1;
    let mut at = from;
    loop {
        at += text[at..].iter().position(|&b| b == b'\'')?;
        if text.get(at + 1) != Some(&b'\'') {
            return Some(&text[from..at]);
        }
        at += 2;
    }
}

/// A role, as a database host's ParameterStatus tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// Takes writes.
    Writer,
    /// Follows.
    Reader,
}

/// A database host's answer to one query, as far as it has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// How far it has come.
    pub stage: Stage,
    /// ErrorResponse has come, with this code.
    pub error: Option<String>,
    /// ReadyForQuery has come.
    pub ready: bool,
    /// The host's role.
    pub role: Option<HostRole>,
    /// A position in Unix milliseconds.
    pub position_ms: Option<i64>,
    /// The first value of a row, where it is short enough to be a report.
    pub value: Option<String>,
}

/// The messages of an answer: one of each, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Nothing yet.
    #[default]
    Begun,
    /// RowDescription, of one column.
    Described,
    /// DataRow, of one value.
    Row,
    /// CommandComplete.
    Complete,
}

/// Longest value that may be a report.
const LONGEST_REPORT: usize = 256;

impl Reply {
    /// Takes the next message. True where it belongs to the row that a client gets. Danger: what is out of order
    /// may be another answer's, and its row another request's.
    pub fn take(&mut self, tag: u8, body: &[u8]) -> Result<bool, Malformed> {
        let next = match (tag, self.stage, &self.error) {
            (b'T', Stage::Begun, None) => {
                one_field(body)?;
                Stage::Described
            }
            (b'D', Stage::Described, None) => {
                let value = one_column(body)?;
                if value.len() <= LONGEST_REPORT {
                    self.value = std::str::from_utf8(value).ok().map(str::to_string);
                }
                Stage::Row
            }
            (b'C', Stage::Row, None)
                if body
                    .split_last()
                    .is_some_and(|(end, tag)| *end == 0 && !tag.contains(&0)) =>
            {
                Stage::Complete
            }
            (b'E', _, None) => {
                self.error = Some(error_code(body)?);
                return Ok(false);
            }
            (b'S', ..) => return self.status(body).map(|()| false),
            (b'Z', Stage::Begun | Stage::Complete, _) | (b'Z', _, Some(_))
                if matches!(body, [b'I' | b'T' | b'E']) =>
            {
                self.ready = true;
                return Ok(false);
            }
            (b'N' | b'A', ..) => return Ok(false),
            // A connection's start.
            (b'K' | b'R', Stage::Begun, None) => return Ok(false),
            _ => return Err(Malformed("a message that does not belong in an answer")),
        };
        self.stage = next;
        Ok(true)
    }

    /// A row has come whose value was passed on, and so was not read here.
    pub fn passed_row(&mut self) -> Result<(), Malformed> {
        if self.stage != Stage::Described || self.error.is_some() {
            return Err(Malformed("a row that nothing describes"));
        }
        self.stage = Stage::Row;
        Ok(())
    }

    /// A whole row has come.
    pub fn served(&self) -> bool {
        self.stage == Stage::Complete && self.error.is_none()
    }

    fn status(&mut self, body: &[u8]) -> Result<(), Malformed> {
        let mut texts = body
            .split(|&b| b == 0)
            .map(|t| std::str::from_utf8(t).unwrap_or_default());
        let (Some(name), Some(value)) = (texts.next(), texts.next()) else {
            return Err(Malformed("a status without a value"));
        };
        match (name, value) {
            ("server_role", "writer") => self.role = Some(HostRole::Writer),
            ("server_role", "reader") => self.role = Some(HostRole::Reader),
            ("commit_clock", v) => self.position_ms = v.parse().ok().filter(|&p| p > 0),
            _ => {}
        }
        Ok(())
    }
}

/// The description of a row of one column: a name, and what stands in the 18 bytes behind it.
fn one_field(body: &[u8]) -> Result<(), Malformed> {
    let fields = body.strip_prefix(&1u16.to_be_bytes());
    let name = fields.and_then(|f| f.iter().position(|&b| b == 0));
    let whole = name
        .zip(fields)
        .is_some_and(|(name, f)| f.len() == name + 1 + 18);
    whole.then_some(()).ok_or(Malformed(
        "a description of something other than one column",
    ))
}

/// The value of a row of one column.
fn one_column(body: &[u8]) -> Result<&[u8], Malformed> {
    const WRONG: Malformed = Malformed("a row that is not one value");
    let (columns, rest) = body.split_first_chunk().ok_or(WRONG)?;
    let (length, value) = rest.split_first_chunk().ok_or(WRONG)?;
    let length = usize::try_from(i32::from_be_bytes(*length)).map_err(|_| WRONG)?;
    if u16::from_be_bytes(*columns) != 1 || value.len() != length {
        return Err(WRONG);
    }
    Ok(value)
}

/// The code of an ErrorResponse.
fn error_code(body: &[u8]) -> Result<String, Malformed> {
    let code = body
        .split(|&b| b == 0)
        .find_map(|field| field.strip_prefix(b"C"));
    let code = code
        .and_then(|c| std::str::from_utf8(c).ok())
        .ok_or(Malformed("an error without a code"))?;
    Ok(code.to_string())
}

/// The numbers of a load report: `inflight=7,util=0.61`.
pub fn report(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((
            name.trim(),
            value.trim().parse().ok().filter(|v: &f64| v.is_finite())?,
        ))
    })
}
