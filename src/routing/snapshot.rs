//! Snapshots for hot restart: what a router has learnt, handed from one version of the gateway to
//! the next.
//!
//! A snapshot is sent as JSON between versions. The keys of [`RoutingSnapshot`] and
//! [`MemberRecord`] are that format: a changed key would be dropped in silence by the other
//! version.

use super::concurrency_limit::ConcurrencyLimit;
use super::fleet::Fleet;
use super::health_check::MemberHealthCheck;
use super::identifiers::{GroupId, MemberId, ZoneId};
use super::latency::MemberLatency;
use super::load::MemberLoad;
use super::member::{Identity, Member, Service};
use super::outlier::{ErrorEjection, Reachability};
use super::replication::Replication;
use super::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// What a router has learnt, for another router of the same gateway.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RoutingSnapshot {
    /// The members, and what is known of them.
    pub members: Vec<(MemberId, Member)>,
    /// Usual latency by class, in nanoseconds.
    #[serde(rename = "usual")]
    class_latency: Vec<f64>,
    /// Answers behind each usual latency.
    #[serde(rename = "told")]
    class_answers: Vec<f64>,
}

impl RoutingSnapshot {
    /// What is known of this fleet.
    pub(super) fn of(fleet: &Fleet) -> Self {
        let (class_latency, class_answers) = fleet.class_latency.measurements();
        RoutingSnapshot {
            members: (fleet.members.iter())
                .map(|(&id, member)| (id, member.clone()))
                .collect(),
            class_latency: class_latency.to_vec(),
            class_answers: class_answers.to_vec(),
        }
    }

    /// Gives its members and classes the numbers that the receiver uses, each in the place of its
    /// present one. Those without a number are left out.
    pub fn renumber(&mut self, members: Vec<Option<MemberId>>, classes: Vec<Option<usize>>) {
        self.members = std::mem::take(&mut self.members)
            .into_iter()
            .zip(members)
            .filter_map(|((_, member), id)| id.map(|id| (id, member)))
            .collect();
        let size = classes.iter().flatten().max().map_or(0, |last| last + 1);
        let mut class_latency = vec![0.0; size];
        let mut class_answers = vec![0.0; size];
        let measurements = self.class_latency.iter().zip(&self.class_answers);
        for (class, (&latency, &answers)) in classes.iter().zip(measurements) {
            if let Some(class) = *class {
                class_latency[class] = latency;
                class_answers[class] = answers;
            }
        }
        self.class_latency = class_latency;
        self.class_answers = class_answers;
    }

    /// Adds what the snapshot says of the same processes and classes to what this fleet knows.
    pub(super) fn merge_into(&self, fleet: &mut Fleet) {
        let now = fleet.now;
        for (id, theirs) in &self.members {
            let Some(own) = fleet.members.get_mut(id) else {
                continue;
            };
            let same_process = own.identity.started == theirs.identity.started;
            // Observations from the future, by a clock that differs, would count as the newest for
            // ever.
            if same_process && !theirs.is_from_the_future(now) {
                own.merge(theirs);
            }
        }
        fleet
            .class_latency
            .merge(&self.class_latency, &self.class_answers);
    }
}

impl Member {
    /// Something was observed of it after `now`.
    fn is_from_the_future(&self, now: Timestamp) -> bool {
        let observed_at = [
            self.replication.position,
            self.replication.lag_measured_at,
            self.replication.last_primary_at,
            self.replication.last_replica_at,
            self.reachability.last_heard_at,
        ];
        observed_at.iter().any(|&time| time > now)
    }
}

/// A member as it is serialized: one flat object, whose keys stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct MemberRecord {
    group: GroupId,
    zone: ZoneId,
    size: f64,
    #[serde(rename = "gone")]
    removed: bool,
    #[serde(rename = "drained")]
    draining: bool,
    #[serde(rename = "gone_at")]
    removed_at: Timestamp,
    started: Option<Timestamp>,
    position: Timestamp,
    lag: TimeDelta,
    #[serde(rename = "lag_at")]
    lag_measured_at: Timestamp,
    #[serde(rename = "primary_at")]
    last_primary_at: Timestamp,
    #[serde(rename = "replica_at")]
    last_replica_at: Timestamp,
    #[serde(rename = "slowness")]
    latency_ratio: f64,
    #[serde(rename = "answers")]
    latency_answers: f64,
    #[serde(rename = "heard")]
    last_heard_at: Timestamp,
    #[serde(rename = "outstanding")]
    in_flight: u32,
    #[serde(rename = "others")]
    in_flight_of_others: f64,
    #[serde(rename = "told_at")]
    load_reported_at: Timestamp,
    #[serde(rename = "in_use")]
    cores_in_use: f64,
    #[serde(rename = "shed")]
    shed_share: f64,
    limit: f64,
    #[serde(rename = "cut_at")]
    limit_decreased_at: Timestamp,
    #[serde(rename = "free_at")]
    next_send_at: Timestamp,
    silent_since: Option<Timestamp>,
    #[serde(rename = "patience")]
    silence_tolerance: TimeDelta,
    #[serde(rename = "fails")]
    consecutive_failures: u32,
    #[serde(rename = "suspect_until")]
    suspected_until: Timestamp,
    #[serde(rename = "errors")]
    error_rate: f64,
    #[serde(rename = "shuns")]
    ejections: u32,
    #[serde(rename = "shun_until")]
    ejected_until: Timestamp,
    #[serde(rename = "probe_at")]
    health_check_sent_at: Timestamp,
    #[serde(rename = "probe_out")]
    health_check_outstanding: bool,
    #[serde(rename = "well_since")]
    recovered_at: Timestamp,
}

impl From<Member> for MemberRecord {
    fn from(member: Member) -> Self {
        MemberRecord {
            group: member.identity.group,
            zone: member.identity.zone,
            size: member.identity.size,
            removed: member.service.removed,
            draining: member.service.draining,
            removed_at: member.service.removed_at,
            started: member.identity.started,
            position: member.replication.position,
            lag: member.replication.lag,
            lag_measured_at: member.replication.lag_measured_at,
            last_primary_at: member.replication.last_primary_at,
            last_replica_at: member.replication.last_replica_at,
            latency_ratio: member.latency.ratio,
            latency_answers: member.latency.answers,
            last_heard_at: member.reachability.last_heard_at,
            in_flight: member.load.in_flight,
            in_flight_of_others: member.load.in_flight_of_others,
            load_reported_at: member.load.reported_at,
            cores_in_use: member.load.cores_in_use,
            shed_share: member.load.shed_share,
            limit: member.concurrency_limit.limit,
            limit_decreased_at: member.concurrency_limit.decreased_at,
            next_send_at: member.concurrency_limit.next_send_at,
            silent_since: member.reachability.silent_since,
            silence_tolerance: member.reachability.silence_tolerance,
            consecutive_failures: member.reachability.consecutive_failures,
            suspected_until: member.reachability.suspected_until,
            error_rate: member.ejection.error_rate,
            ejections: member.ejection.ejections,
            ejected_until: member.ejection.ejected_until,
            health_check_sent_at: member.health_check.sent_at,
            health_check_outstanding: member.health_check.outstanding,
            recovered_at: member.reachability.recovered_at,
        }
    }
}

impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Self {
        Member {
            identity: Identity {
                group: record.group,
                zone: record.zone,
                size: record.size,
                started: record.started,
            },
            service: Service {
                removed: record.removed,
                draining: record.draining,
                removed_at: record.removed_at,
            },
            replication: Replication {
                position: record.position,
                lag: record.lag,
                lag_measured_at: record.lag_measured_at,
                last_primary_at: record.last_primary_at,
                last_replica_at: record.last_replica_at,
            },
            latency: MemberLatency {
                ratio: record.latency_ratio,
                answers: record.latency_answers,
            },
            load: MemberLoad {
                in_flight: record.in_flight,
                in_flight_of_others: record.in_flight_of_others,
                reported_at: record.load_reported_at,
                cores_in_use: record.cores_in_use,
                shed_share: record.shed_share,
            },
            concurrency_limit: ConcurrencyLimit {
                limit: record.limit,
                decreased_at: record.limit_decreased_at,
                next_send_at: record.next_send_at,
            },
            reachability: Reachability {
                last_heard_at: record.last_heard_at,
                silent_since: record.silent_since,
                silence_tolerance: record.silence_tolerance,
                consecutive_failures: record.consecutive_failures,
                suspected_until: record.suspected_until,
                recovered_at: record.recovered_at,
            },
            ejection: ErrorEjection {
                error_rate: record.error_rate,
                ejections: record.ejections,
                ejected_until: record.ejected_until,
            },
            health_check: MemberHealthCheck {
                sent_at: record.health_check_sent_at,
                outstanding: record.health_check_outstanding,
            },
        }
    }
}
