//! What hosts say of themselves: load reports, and the role and position in a reply. Values that can't be true are left
//! out.

use crate::net::pg::{self, HostRole, Reply};
use irisrouter::routing::{LoadReport, ReplicationStatus, Role, TimeDelta, Timestamp};

pub(super) const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;
/// How far a position may be ahead of this gateway's clock: clocks differ by less. A position from the
/// future would prove for ever that its host is recent enough.
const MAX_POSITION_AHEAD: TimeDelta = TimeDelta::from_millis(100);
/// The most requests in flight that a report may claim: no host holds more.
const MAX_IN_FLIGHT: f64 = 1e6;
/// The largest share of cores in use that a report may claim: reports are noisy, but not by more.
const MAX_CORES_IN_USE: f64 = 2.0;
/// Added to a position in milliseconds before it is rounded down, so that one with whole milliseconds keeps them although
/// its seconds are no exact binary fraction.
const ROUNDING_TOLERANCE_MS: f64 = 0.001;

/// The role and position of a host, where its reply says them.
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

/// The position of a host from its Unix milliseconds, unless it can't be true.
fn position(milliseconds: i64, now: Timestamp) -> Option<Timestamp> {
    let latest = now.saturating_add(MAX_POSITION_AHEAD);
    milliseconds
        .checked_mul(NANOSECONDS_PER_MILLISECOND)
        .map(Timestamp::from_nanos)
        .filter(|&position| position > Timestamp::ZERO && position <= latest)
}

/// Parses a load report. Its position is in Unix seconds, with the milliseconds behind the decimal point.
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

/// Seconds in whole milliseconds, rounded down: a position rounded up would claim commits that are not there yet.
fn whole_milliseconds(seconds: f64) -> i64 {
    (seconds * MILLISECONDS_PER_SECOND + ROUNDING_TOLERANCE_MS).floor() as i64
}

#[cfg(test)]
#[path = "../../../tests/unit/load_report.rs"]
mod tests;
