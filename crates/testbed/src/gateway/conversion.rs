//! Conversion of the world's list entries, answers and reports to the router's types, as the platform sends them.

use crate::scenario::Scenario;
use crate::settings;
use irisrouter::platform_settings::PlatformSettingsError;
use irisrouter::routing::{
    Endpoint, EndpointState, GroupId, LoadReport, MemberId, Outcome, ReplicationStatus, Role,
    Settings, Timestamp, ZoneId,
};
use irisrouter_simulation::endpoint_list::{ListEntry, ListedState};
use irisrouter_simulation::fleet;
use irisrouter_simulation::host::Report;
use irisrouter_simulation::{HostId, MS};

/// The member of a host. Its number is the host's.
pub fn member(host: HostId) -> MemberId {
    MemberId(host.0)
}

/// The router's form of an entry of the list.
pub(super) fn endpoint(entry: &ListEntry) -> Endpoint {
    Endpoint {
        member: member(entry.host),
        group: GroupId(i64::from(entry.set.0)),
        zone: ZoneId(0),
        state: match entry.listed {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Gone => EndpointState::Removed,
        },
        primary: false,
        size: 1.0,
        started: (entry.since > 0).then(|| Timestamp::from_nanos(entry.since)),
    }
}

/// The status that an answer carries, as on the platform: whole milliseconds, and a position only with a write's commit.
pub fn replication_status(status: &fleet::ReplicaStatus, committed: bool) -> ReplicationStatus {
    ReplicationStatus {
        role: if status.primary {
            Role::Primary
        } else {
            Role::Replica
        },
        position: committed.then(|| Timestamp::from_nanos((status.position + MS - 1) / MS * MS)),
    }
}

/// A host's report, with its position in whole milliseconds, rounded down.
pub fn load_report(report: &Report) -> LoadReport {
    LoadReport {
        position: Some(Timestamp::from_nanos(report.position / MS * MS)),
        primary: Some(report.primary),
        in_flight: None,
        cores_in_use: Some(report.util),
    }
}

/// The outcome of an answer.
pub fn outcome(answer: fleet::Answer) -> Outcome {
    match answer {
        fleet::Answer::Row => Outcome::Ok,
        fleet::Answer::Error => Outcome::Error,
        fleet::Answer::Full => Outcome::Full,
        fleet::Answer::Miss => Outcome::Unsuitable,
    }
}

/// The settings of each gateway of a scenario: the same but for the seed.
///
/// # Errors
/// The gateway's own code refuses them.
pub fn settings_of(scenario: &Scenario, seed: u64) -> Result<Settings, PlatformSettingsError> {
    Ok(settings::load(scenario, seed)?.settings)
}
