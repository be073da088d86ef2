//! What the clients and the hosts of a soak saw. All times are milliseconds on the run's one clock.

use serde::Serialize;

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum RequestEnd {
    /// A row, and whether it is the one that a host made for this request.
    Served {
        /// The value names this request.
        matches: bool,
    },
    /// An error with this SQLSTATE.
    Error {
        /// The SQLSTATE.
        code: String,
    },
    /// The gateway ended the connection before the request had an answer.
    ConnectionEnded {
        /// It was reset, rather than closed.
        reset: bool,
    },
    /// The client left before it had an answer.
    ClientLeft,
    /// The gateway's process was killed first.
    Killed,
}

/// One request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// How long its client waits from its last byte on, in milliseconds.
    pub wait_ms: u64,
    /// It is a write, and its id is its idempotency key.
    pub write: bool,
    /// When its last byte was written.
    pub sent_at: u64,
    /// When the request before it on its connection had its answer, if that was later than `sent_at`.
    pub turn_at: u64,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_at: u64,
}

/// A statement that reached a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AttemptRecord {
    /// The id of its request.
    pub id: String,
    /// The host.
    pub host: String,
    /// When it was read there.
    pub at: u64,
    /// The time that it says is left for it, in milliseconds.
    pub told_ms: u64,
}

/// A client that stopped in the middle of a message and stayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct UnfinishedMessage {
    /// The gateway.
    pub gateway: usize,
    /// When it stopped, or had the answer to the request before, whichever was later.
    pub stopped_at: u64,
    /// When its connection ended; nothing, where that was still open at the end of the run.
    pub ended_at: Option<u64>,
}

/// The end of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct GatewayEnd {
    /// When it was sent SIGTERM.
    pub terminated_at: u64,
    /// When it was sent SIGKILL, if it had not ended by then.
    pub killed_at: u64,
}

/// A host that was taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainRecord {
    /// The host.
    pub host: String,
    /// When the list said so.
    pub listed_at: u64,
}

/// The peak memory of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MemoryRecord {
    /// The gateway.
    pub gateway: usize,
    /// Its memory limit, in megabytes.
    pub limit_mb: u64,
    /// Its peak resident memory, in kilobytes.
    pub peak_kb: u64,
}

/// Everything that was seen in one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Records {
    /// The requests whose last byte was written.
    pub requests: Vec<RequestRecord>,
    /// What reached the hosts.
    pub attempts: Vec<AttemptRecord>,
    /// By idempotency key: how often the write was applied, where that is not once.
    pub repeated_writes: Vec<(String, usize)>,
    /// Clients that stopped in the middle of a message.
    pub unfinished: Vec<UnfinishedMessage>,
    /// The end of each gateway.
    pub ends: Vec<GatewayEnd>,
    /// The peak memory of each gateway.
    pub peak_memory: Vec<MemoryRecord>,
    /// Hosts that were taken out of service.
    pub drains: Vec<DrainRecord>,
    /// Log lines of a gateway that must not occur, and processes that ended by themselves before their SIGTERM.
    pub crashes: Vec<String>,
    /// The most by which the machine woke the clients too late.
    pub lag_ms: u64,
}
