//! Judges the records of a run by the rules on answers. Each bound is that of the protocol, and the machine's measured lag.

use super::records::{AttemptRecord, MemoryRecord, Records, RequestEnd, RequestRecord};
use serde::Serialize;
use std::collections::HashMap;

/// An answer that comes later than this after its time is lost.
pub const LATE_ANSWER_MS: u64 = 500;
/// No attempt begins later than this after its client has left.
pub const LEFT_CLIENT_MS: u64 = 100;
/// A host may be told this much more than its client has left.
pub const TOLD_SLACK_MS: u64 = 150;
/// A client that stops in the middle of a message has its error, or the end of its connection, after this time.
pub const UNFINISHED_MESSAGE_MS: u64 = 3_000;
/// A change of the list counts as known to a gateway after this time, and a drain has this grace.
pub const DRAIN_KNOWN_MS: u64 = 6_000;
/// Every time limit on sockets is this much longer.
pub const SOCKET_SLACK_MS: u64 = 50;
/// A request that is sent in this last moment before a connection ends may not have been read: its client sends it again.
pub const CROSSING_MS: u64 = 100;

/// The memory of a gateway with a lower limit than this, in megabytes, is not checked: the program itself needs more than
/// the lowest limits.
pub const LEAST_CHECKED_MEMORY_MB: u64 = 16;

/// A rule that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "rule")]
pub enum SoakViolation {
    /// A request was taken, and its connection ended without an answer.
    Lost {
        /// The request.
        request: RequestRecord,
    },
    /// A request was unanswered when its gateway was killed.
    UnansweredAtKill {
        /// The request.
        request: RequestRecord,
    },
    /// An answer came over half a second after its time.
    Late {
        /// The request.
        request: RequestRecord,
    },
    /// A row that no host made for this request.
    WrongRow {
        /// The request.
        request: RequestRecord,
    },
    /// An attempt began after its client had left.
    SentAfterClientLeft {
        /// The request.
        request: RequestRecord,
        /// The attempt.
        attempt: AttemptRecord,
        /// How long after, in milliseconds.
        after_ms: u64,
    },
    /// A host was told more time than the client had left.
    ToldTooMuchTime {
        /// The request.
        request: RequestRecord,
        /// The attempt.
        attempt: AttemptRecord,
        /// By how much, in milliseconds.
        excess_ms: u64,
    },
    /// A write was applied more than once.
    Duplicate {
        /// Its key.
        key: String,
        /// How often.
        times: usize,
    },
    /// A statement reached a host that the list had taken out of service.
    SentToDrained {
        /// The attempt.
        attempt: AttemptRecord,
        /// How long after, in milliseconds.
        after_ms: u64,
    },
    /// A client that stopped in the middle of a message was left waiting.
    UnfinishedMessageHeld {
        /// For how long, in milliseconds; nothing, where its connection was never ended.
        held_ms: Option<u64>,
    },
    /// A gateway exceeded its memory limit.
    MemoryExceeded {
        /// The memory.
        memory: MemoryRecord,
    },
    /// A gateway ended by itself, or its log has a line that must not occur.
    Crash {
        /// What was seen.
        what: String,
    },
}

/// The rules that did not hold.
#[must_use]
pub fn check(records: &Records) -> Vec<SoakViolation> {
    let slack = SOCKET_SLACK_MS + records.lag_ms;
    let mut violations: Vec<SoakViolation> = records
        .requests
        .iter()
        .filter_map(|request| check_end(request, slack))
        .collect();
    check_attempts(records, slack, &mut violations);
    check_unfinished(records, slack, &mut violations);
    let repeated = records.repeated_writes.iter().cloned();
    violations.extend(repeated.map(|(key, times)| SoakViolation::Duplicate { key, times }));
    let exceeds = |memory: &MemoryRecord| {
        memory.limit_mb >= LEAST_CHECKED_MEMORY_MB && memory.peak_kb > memory.limit_mb * 1_024
    };
    let exceeded = records.peak_memory.iter().copied().filter(exceeds);
    violations.extend(exceeded.map(|memory| SoakViolation::MemoryExceeded { memory }));
    let crashes = records.crashes.iter().cloned();
    violations.extend(crashes.map(|what| SoakViolation::Crash { what }));
    violations
}

/// How a request ended for its client.
fn check_end(request: &RequestRecord, slack: u64) -> Option<SoakViolation> {
    let request = request.clone();
    let is_late = request.ended_at > answer_due(&request) + slack;
    let crossed = request.sent_at + CROSSING_MS + slack >= request.ended_at;
    match request.end {
        RequestEnd::Served { matches: false } => Some(SoakViolation::WrongRow { request }),
        RequestEnd::Served { matches: true } | RequestEnd::Error { .. } if is_late => {
            Some(SoakViolation::Late { request })
        }
        RequestEnd::ConnectionEnded { .. } if !crossed => Some(SoakViolation::Lost { request }),
        RequestEnd::Killed => Some(SoakViolation::UnansweredAtKill { request }),
        _ => None,
    }
}

/// When an answer counts as lost. The time for which a request waited behind others does not count.
fn answer_due(request: &RequestRecord) -> u64 {
    request.turn_at.max(request.sent_at + request.wait_ms) + LATE_ANSWER_MS
}

/// What reached the hosts.
fn check_attempts(records: &Records, slack: u64, violations: &mut Vec<SoakViolation>) {
    let requests: HashMap<&str, &RequestRecord> = records
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    for attempt in &records.attempts {
        if let Some(request) = requests.get(attempt.id.as_str()) {
            violations.extend(check_attempt(request, attempt, slack));
        }
        for drain in records.drains.iter().filter(|d| d.host == attempt.host) {
            let after_ms = attempt.at.saturating_sub(drain.listed_at);
            if after_ms > DRAIN_KNOWN_MS + slack {
                let attempt = attempt.clone();
                violations.push(SoakViolation::SentToDrained { attempt, after_ms });
            }
        }
    }
}

/// One attempt of a request.
fn check_attempt(
    request: &RequestRecord,
    attempt: &AttemptRecord,
    slack: u64,
) -> Option<SoakViolation> {
    let (request, attempt) = (request.clone(), attempt.clone());
    let after_ms = attempt.at.saturating_sub(request.ended_at);
    if request.end == RequestEnd::ClientLeft && after_ms > LEFT_CLIENT_MS + slack {
        return Some(SoakViolation::SentAfterClientLeft {
            request,
            attempt,
            after_ms,
        });
    }
    let client_waits_until = request.sent_at + request.wait_ms;
    let excess_ms = (attempt.at + attempt.told_ms).saturating_sub(client_waits_until);
    (excess_ms > TOLD_SLACK_MS + slack).then_some(SoakViolation::ToldTooMuchTime {
        request,
        attempt,
        excess_ms,
    })
}

/// Clients that stopped in the middle of a message, where their gateway ran for long enough.
fn check_unfinished(records: &Records, slack: u64, violations: &mut Vec<SoakViolation>) {
    for client in &records.unfinished {
        let due = client.stopped_at + UNFINISHED_MESSAGE_MS + slack;
        let killed_at = records.ends.get(client.gateway).map(|end| end.killed_at);
        let ended_at = client.ended_at.or(killed_at).unwrap_or(u64::MAX);
        if ended_at > due {
            let held_ms = client.ended_at.map(|end| end - client.stopped_at);
            violations.push(SoakViolation::UnfinishedMessageHeld { held_ms });
        }
    }
}
