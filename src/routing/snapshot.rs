//! Snapshots for hot restart: the state that one version of the gateway passes to the router of the
//! next.
//!
//! A snapshot is sent as JSON between versions. The keys of [`RoutingSnapshot`] and
//! [`MemberRecord`] are that format: the other version would silently ignore a key that was
//! changed.

use super::fleet::Fleet;
use super::identifiers::{GroupId, MemberId, ZoneId};
use super::latency::ClassMeasurements;
use super::member::Member;
use super::time::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

/// Observations of one router, for another router of the same gateway.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RoutingSnapshot {
    /// The members and their states.
    pub members: Vec<SnapshotMember>,
    /// Usual latency by class, in nanoseconds.
    #[serde(rename = "usual")]
    class_latency: Vec<f64>,
    /// Number of answers that each usual latency is based on.
    #[serde(rename = "told")]
    class_answers: Vec<f64>,
}

/// A member in a snapshot. Its JSON is a pair: `[id, member]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "(MemberId, Member)", into = "(MemberId, Member)")]
pub struct SnapshotMember {
    /// Identifier of the member at the sender.
    pub id: MemberId,
    /// State of the member.
    pub member: Member,
}

impl From<(MemberId, Member)> for SnapshotMember {
    fn from((id, member): (MemberId, Member)) -> Self {
        SnapshotMember { id, member }
    }
}

impl From<SnapshotMember> for (MemberId, Member) {
    fn from(entry: SnapshotMember) -> Self {
        (entry.id, entry.member)
    }
}

impl RoutingSnapshot {
    /// Creates a snapshot of this fleet's state.
    pub(super) fn of(fleet: &Fleet) -> Self {
        let measurements = fleet.class_latency.measurements();
        RoutingSnapshot {
            members: (fleet.members.iter())
                .map(|(&id, member)| SnapshotMember {
                    id,
                    member: Member::clone(member),
                })
                .collect(),
            class_latency: measurements.usual.to_vec(),
            class_answers: measurements.answers.to_vec(),
        }
    }

    /// Replaces the sender's numbers of members and classes by those of the receiver. Both
    /// arguments give, for each entry in the sender's order, the receiver's number; entries without
    /// one are left out.
    pub fn renumber(&mut self, members: Vec<Option<MemberId>>, classes: Vec<Option<usize>>) {
        self.members = std::mem::take(&mut self.members)
            .into_iter()
            .zip(members)
            .filter_map(|(SnapshotMember { member, .. }, id)| {
                id.map(|id| SnapshotMember { id, member })
            })
            .collect();
        let class_count = classes.iter().flatten().max().map_or(0, |last| last + 1);
        let mut class_latency = vec![0.0; class_count];
        let mut class_answers = vec![0.0; class_count];
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

    /// Merges the snapshot into the state of this fleet: the members whose process is still the
    /// same, and the classes.
    pub(super) fn merge_into(&self, fleet: &mut Fleet) {
        let now = fleet.now;
        for SnapshotMember {
            id,
            member: received,
        } in &self.members
        {
            let Some(known) = fleet.members.get_mut(id) else {
                continue;
            };
            let same_process = known.identity.started == received.identity.started;
            // Observations with a time in the future, from a clock that differs, would count as the
            // newest for ever.
            if same_process && !received.has_future_observation(now) {
                known.merge(received);
                fleet.reachability_changed(*id);
            }
        }
        fleet.class_latency.merge(ClassMeasurements {
            usual: &self.class_latency,
            answers: &self.class_answers,
        });
    }
}

impl Member {
    /// Returns whether any observation of the member is later than `now`.
    fn has_future_observation(&self, now: Timestamp) -> bool {
        let observed_at = [
            self.replication.position,
            self.replication.lag_measured_at,
            self.replication.last_primary_at,
            self.replication.last_replica_at,
            self.reachability.last_answered_at,
        ];
        observed_at.iter().any(|&time| time > now)
    }
}

/// Declares [`MemberRecord`] and its conversions from and to [`Member`]. The input has one entry
/// for each key of the document, `key: type = part.field`, in the order in which the keys are
/// written.
///
/// The record is one flat struct, because serde's `flatten` would accept documents that must be
/// rejected, for example with a duplicate key.
macro_rules! member_record {
    ($($key:ident: $type:ty = $part:ident.$field:ident,)+) => {
        /// A member as it is serialized: one flat object. An absent key is read as the default of
        /// its type.
        #[derive(Clone, Debug, Default, Deserialize, Serialize)]
        #[serde(default)]
        pub(super) struct MemberRecord {
            $($key: $type,)+
        }

        impl From<Member> for MemberRecord {
            fn from(member: Member) -> Self {
                MemberRecord {
                    $($key: member.$part.$field,)+
                }
            }
        }

        impl From<MemberRecord> for Member {
            fn from(record: MemberRecord) -> Self {
                let mut member = Member::default();
                $(member.$part.$field = record.$key;)+
                member
            }
        }
    };
}

member_record! {
    group: GroupId = identity.group,
    zone: ZoneId = identity.zone,
    size: f64 = identity.size,
    gone: bool = service.removed,
    drained: bool = service.draining,
    gone_at: Timestamp = service.removed_at,
    started: Option<Timestamp> = identity.started,
    position: Timestamp = replication.position,
    lag: TimeDelta = replication.lag,
    lag_at: Timestamp = replication.lag_measured_at,
    primary_at: Timestamp = replication.last_primary_at,
    replica_at: Timestamp = replication.last_replica_at,
    slowness: f64 = latency.ratio,
    answers: f64 = latency.answers,
    heard: Timestamp = reachability.last_answered_at,
    outstanding: u32 = load.in_flight,
    others: f64 = load.in_flight_of_others,
    told_at: Timestamp = load.reported_at,
    in_use: f64 = load.cores_in_use,
    shed: f64 = load.shed_share,
    limit: f64 = concurrency_limit.limit,
    cut_at: Timestamp = concurrency_limit.decreased_at,
    free_at: Timestamp = concurrency_limit.next_send_at,
    silent_since: Option<Timestamp> = reachability.silent_since,
    patience: TimeDelta = reachability.silence_tolerance,
    fails: u32 = reachability.consecutive_failures,
    suspect_until: Timestamp = reachability.suspected_until,
    errors: f64 = ejection.error_rate,
    shuns: u32 = ejection.ejections,
    shun_until: Timestamp = ejection.ejected_until,
    probe_at: Timestamp = health_check.sent_at,
    probe_out: bool = health_check.outstanding,
    well_since: Timestamp = reachability.recovered_at,
}
