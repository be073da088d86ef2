//! The kinds of flood, and the messages of each.

use irisrouter_simulation::rng::Rng;
use serde::Serialize;

/// Number of messages without random parts in a batch.
const SHORT_MESSAGES: usize = 8_192;
/// Number of messages with random parts in a batch.
const NAMED_MESSAGES: usize = 400;
/// Number of large messages in a batch, and the size of the text of each, in bytes.
const LARGE_MESSAGES: usize = 8;
const LARGE_TEXT_BYTES: usize = 60_000;
/// A read whose text contains this is not answered by the stand-in hosts.
pub const UNANSWERED_READ: &str = "hang";

/// What flooding clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum FloodKind {
    /// Queries without a statement.
    Empty,
    /// Statements without the comment that the gateway needs.
    Malformed,
    /// Large statements without that comment.
    LargeMalformed,
    /// Reads of classes that do not exist, each with a new id and a new class name.
    UnknownClass,
    /// Reads of groups that do not exist, each with a new id and a new group.
    UnknownGroup,
    /// Messages of the extended protocol that get no answer of their own.
    Flush,
    /// Messages of the extended protocol that get an error, and its end.
    BindAndSync,
    /// Ends of the extended protocol, each of which is answered.
    Sync,
    /// Function calls, each of which is answered with an error.
    FunctionCall,
    /// Valid reads with new ids whose time is over on arrival.
    ExpiredReads,
    /// Valid reads with new ids.
    Reads,
    /// A valid read that its host does not answer, and many queries without a statement behind it.
    EmptyBehindRead,
    /// Requests for encryption before the session starts.
    EncryptionRequests,
    /// Messages with a length that is not valid, after each of which the gateway ends the connection.
    Violations,
    /// Connections that are closed at once.
    Connections,
    /// Cancel requests with wrong keys, each on a connection of its own.
    CancelRequests,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 16] = [
        FloodKind::Empty,
        FloodKind::Malformed,
        FloodKind::LargeMalformed,
        FloodKind::UnknownClass,
        FloodKind::UnknownGroup,
        FloodKind::Flush,
        FloodKind::BindAndSync,
        FloodKind::Sync,
        FloodKind::FunctionCall,
        FloodKind::ExpiredReads,
        FloodKind::Reads,
        FloodKind::EmptyBehindRead,
        FloodKind::EncryptionRequests,
        FloodKind::Violations,
        FloodKind::Connections,
        FloodKind::CancelRequests,
    ];

    /// Whether a session is started on a connection before the batches are sent.
    pub(super) fn needs_session(self) -> bool {
        !matches!(
            self,
            FloodKind::EncryptionRequests | FloodKind::Connections | FloodKind::CancelRequests
        )
    }

    /// Whether a connection is closed after one batch.
    pub(super) fn closes_after_batch(self) -> bool {
        matches!(self, FloodKind::Connections | FloodKind::CancelRequests)
    }

    /// Whether every batch differs from the others.
    pub(super) fn has_random_parts(self) -> bool {
        matches!(
            self,
            FloodKind::UnknownClass
                | FloodKind::UnknownGroup
                | FloodKind::ExpiredReads
                | FloodKind::Reads
                | FloodKind::EmptyBehindRead
        )
    }

    /// The bytes of a batch of messages.
    pub(super) fn batch(self, rng: &mut Rng) -> Vec<u8> {
        match self {
            FloodKind::Empty => query("").repeat(SHORT_MESSAGES),
            FloodKind::Malformed => query("SELECT 1").repeat(SHORT_MESSAGES),
            FloodKind::LargeMalformed => {
                query(&"x".repeat(LARGE_TEXT_BYTES)).repeat(LARGE_MESSAGES)
            }
            FloodKind::UnknownClass => {
                named_reads(rng, |id| format!("id={id:x},c=class{id:x},d=300,cluster=0"))
            }
            FloodKind::UnknownGroup => named_reads(rng, |id| {
                format!("id={id:x},c=page-read,d=300,cluster={}", id >> 36)
            }),
            FloodKind::Flush => message(b'H', b"").repeat(SHORT_MESSAGES),
            FloodKind::BindAndSync => [message(b'B', &[0; 8]), message(b'S', b"")]
                .concat()
                .repeat(SHORT_MESSAGES / 2),
            FloodKind::Sync => message(b'S', b"").repeat(SHORT_MESSAGES),
            FloodKind::FunctionCall => message(b'F', &[0; 8]).repeat(SHORT_MESSAGES),
            FloodKind::ExpiredReads => {
                named_reads(rng, |id| format!("id={id:x},c=page-read,d=0,cluster=0"))
            }
            FloodKind::Reads => {
                named_reads(rng, |id| format!("id={id:x},c=page-read,d=300,cluster=0"))
            }
            FloodKind::EmptyBehindRead => {
                let id = random_id(rng);
                let read = read(
                    UNANSWERED_READ,
                    &format!("id={id:x},c=report,d=2000,cluster=0"),
                );
                [query(&read), query("").repeat(16 * SHORT_MESSAGES)].concat()
            }
            FloodKind::EncryptionRequests => [8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()]
                .concat()
                .repeat(SHORT_MESSAGES),
            FloodKind::Violations => [&b"Q"[..], &[0; 4]].concat(),
            FloodKind::Connections => Vec::new(),
            FloodKind::CancelRequests => {
                let key = random_id(rng).to_be_bytes();
                [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &key].concat()
            }
        }
    }
}

fn random_id(rng: &mut Rng) -> u64 {
    (rng.unit() * (1u64 << 52) as f64) as u64
}

fn named_reads(rng: &mut Rng, comment: impl Fn(u64) -> String) -> Vec<u8> {
    (0..NAMED_MESSAGES)
        .flat_map(|_| query(&read("7f3a", &comment(random_id(rng)))))
        .collect()
}

fn read(reference: &str, comment: &str) -> String {
    format!("SELECT payload FROM entries WHERE ref = '{reference}' /* {comment} */")
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = body.len() as u32 + 4;
    [&[tag], &length.to_be_bytes()[..], body].concat()
}
