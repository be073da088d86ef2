//! What hosts report about themselves: load reports, and the role and position in a reply. Implausible values are
//! omitted.

use crate::net::pg::{self, HostRole, Reply};
use irisrouter::routing::{LoadReport, ReplicationStatus, Role, TimeDelta, Timestamp};

pub(super) const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;
/// Maximum time that a position may be ahead of this gateway's clock; clocks differ by less. A position in the future
/// would make its host count as recent enough for ever.
const MAX_POSITION_AHEAD: TimeDelta = TimeDelta::from_millis(100);
/// Maximum number of requests in flight that is accepted from a report; no host has more.
const MAX_IN_FLIGHT: f64 = 1e6;
/// Maximum share of cores in use that is accepted from a report. Noise can take the reported share above 1, but not
/// above this value.
const MAX_CORES_IN_USE: f64 = 2.0;
/// Added to a position in milliseconds before it is rounded down. Most positions in seconds are not exact as binary
/// fractions, and without this, one of a whole number of milliseconds could be rounded down to the previous
/// millisecond.
const ROUNDING_TOLERANCE_MS: f64 = 0.001;

/// Returns the role and position of a host; `None` if its reply doesn't contain the role.
pub(super) fn replication_status(reply: &Reply, now: Timestamp) -> Option<ReplicationStatus> {
    let role = match reply.role? {
        HostRole::Writer => Role::Primary,
        HostRole::Reader => Role::Replica,
    };
    Some(ReplicationStatus {
        role,
        position: reply.position_ms.and_then(|ms| position(ms, now)),
    })
}

/// Converts the position of a host from Unix milliseconds. Returns `None` if it is implausible.
fn position(milliseconds: i64, now: Timestamp) -> Option<Timestamp> {
    let latest = now.saturating_add(MAX_POSITION_AHEAD);
    milliseconds
        .checked_mul(NANOSECONDS_PER_MILLISECOND)
        .map(Timestamp::from_nanos)
        .filter(|&position| position > Timestamp::ZERO && position <= latest)
}

/// Parses a load report. The position in it is in Unix seconds, with milliseconds as decimals.
pub(super) fn parse_load_report(text: &str, now: Timestamp) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in pg::report(text) {
        match name {
            "x0" => report.position = position(whole_milliseconds(value), now),
            "x1" if value == 0.0 || value == 1.0 => report.primary = Some(value == 1.0),
            "util" | "load_share" if (0.0..=MAX_CORES_IN_USE).contains(&value) => {
                report.cores_in_use = Some(value);
            }
            "inflight" | "queue" if (0.0..=MAX_IN_FLIGHT).contains(&value) => {
                report.in_flight = report.in_flight.or(Some(value));
            }
            _ => {}
        }
    }
    report
}

/// Converts seconds to whole milliseconds, rounded down, because a position that is rounded up would include commits
/// that the host doesn't have yet.
fn whole_milliseconds(seconds: f64) -> i64 {
    (seconds * MILLISECONDS_PER_SECOND + ROUNDING_TOLERANCE_MS).floor() as i64
}

#[cfg(test)]
#[path = "../../../tests/unit/load_report.rs"]
mod tests;
