//! The hosts by member id, with indexes by fleet id and by group: what concerns one host, or one group, takes no walk over
//! all of them.

use crate::net::upstream::host::Host;
use irisrouter::routing::{GroupId, MemberId};
use irisrouter_cluster_types::HostId;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A member and its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
}

/// All hosts, and the indexes to them.
#[derive(Default)]
pub(super) struct HostTable {
    /// Boxed, so that the map itself stays small.
    hosts: BTreeMap<MemberId, Box<Host>>,
    /// The hosts of each fleet id, in ascending order: two names may share an id.
    by_fleet_id: HashMap<HostId, BTreeSet<MemberId>>,
    /// The same for the hosts that accept requests, with their groups. Each result that another gateway sends is looked up
    /// here, and what it needs stands in one place.
    accepting_by_fleet_id: HashMap<HostId, SmallVec<[GroupMember; 1]>>,
    /// The hosts of each group that accept requests; no entry for a group without any.
    accepting: BTreeMap<GroupId, BTreeSet<MemberId>>,
    /// The hosts that the list does not contain any more.
    removed: BTreeSet<MemberId>,
    groups_version: u64,
}

impl HostTable {
    /// A host.
    pub(super) fn get(&self, member: MemberId) -> Option<&Host> {
        self.hosts.get(&member).map(Box::as_ref)
    }

    /// A host, to change what no index depends on; see [`HostTable::update`].
    pub(super) fn get_mut(&mut self, member: MemberId) -> Option<&mut Host> {
        self.hosts.get_mut(&member).map(Box::as_mut)
    }

    /// All hosts, in the order of their member ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&MemberId, &Host)> {
        self.hosts.iter().map(|(member, host)| (member, &**host))
    }

    /// All hosts, in the order of their member ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(Box::as_ref)
    }

    /// All hosts, to change what no index depends on.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.hosts.values_mut().map(Box::as_mut)
    }

    /// Adds a host, unless the member id has one.
    pub(super) fn insert_if_absent(&mut self, member: MemberId, host: impl FnOnce() -> Host) {
        if !self.hosts.contains_key(&member) {
            let host = Box::new(host());
            let same_id = self.by_fleet_id.entry(host.fleet_id).or_default();
            same_id.insert(member);
            self.index(member, &host);
            self.hosts.insert(member, host);
        }
    }

    /// Changes a host, and the indexes with it. `None` where there is no such host.
    pub(super) fn update<R>(
        &mut self,
        member: MemberId,
        change: impl FnOnce(&mut Host) -> R,
    ) -> Option<R> {
        let mut host = self.hosts.remove(&member)?;
        let group_before = host.group();
        let result = change(&mut host);
        if host.group() != group_before {
            self.remove_accepting(&host, group_before, member);
        }
        self.index(member, &host);
        self.hosts.insert(member, host);
        Some(result)
    }

    /// Removes a host, and returns it.
    pub(super) fn remove(&mut self, member: MemberId) -> Option<Box<Host>> {
        let host = self.hosts.remove(&member)?;
        self.remove_accepting(&host, host.group(), member);
        self.removed.remove(&member);
        if let Some(same_id) = self.by_fleet_id.get_mut(&host.fleet_id) {
            same_id.remove(&member);
            if same_id.is_empty() {
                self.by_fleet_id.remove(&host.fleet_id);
            }
        }
        Some(host)
    }

    /// The hosts which the fleet knows by this id, with their member ids.
    pub(super) fn with_fleet_id(
        &self,
        fleet_id: HostId,
    ) -> impl Iterator<Item = (MemberId, &Host)> {
        let members = self.by_fleet_id.get(&fleet_id).into_iter().flatten();
        members.filter_map(|&member| Some((member, self.get(member)?)))
    }

    /// The hosts that accept requests and that the fleet knows by this id.
    pub(super) fn accepting_with_fleet_id(&self, fleet_id: HostId) -> &[GroupMember] {
        let members = self.accepting_by_fleet_id.get(&fleet_id);
        members.map_or(&[], SmallVec::as_slice)
    }

    /// The hosts of a group that accept requests.
    pub(super) fn accepting(&self, group: GroupId) -> impl Iterator<Item = MemberId> + '_ {
        self.accepting.get(&group).into_iter().flatten().copied()
    }

    /// The groups with hosts that accept requests, in ascending order.
    pub(super) fn groups_in_service(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.accepting.keys().copied()
    }

    /// A number that changes whenever [`HostTable::groups_in_service`] does.
    pub(super) fn groups_version(&self) -> u64 {
        self.groups_version
    }

    /// The hosts that the list does not contain any more.
    pub(super) fn removed(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.removed.iter().copied()
    }

    /// Enters a host, as it is now, into the indexes that depend on its state.
    fn index(&mut self, member: MemberId, host: &Host) {
        if host.accepts_requests {
            let accepting = self.accepting.entry(host.group()).or_default();
            self.groups_version += u64::from(accepting.is_empty());
            if accepting.insert(member) {
                let group = host.group();
                let same_id = self.accepting_by_fleet_id.entry(host.fleet_id).or_default();
                same_id.push(GroupMember { member, group });
            }
        } else {
            self.remove_accepting(host, host.group(), member);
        }
        if host.removed_at.is_some() {
            self.removed.insert(member);
        } else {
            self.removed.remove(&member);
        }
    }

    /// Takes a host out of the indexes of those that accept requests, as a member of this group.
    fn remove_accepting(&mut self, host: &Host, group: GroupId, member: MemberId) {
        let Some(accepting) = self.accepting.get_mut(&group) else {
            return;
        };
        if !accepting.remove(&member) {
            return;
        }
        if let Some(same_id) = self.accepting_by_fleet_id.get_mut(&host.fleet_id) {
            same_id.retain(|other| other.member != member);
            if same_id.is_empty() {
                self.accepting_by_fleet_id.remove(&host.fleet_id);
            }
        }
        if accepting.is_empty() {
            self.accepting.remove(&group);
            self.groups_version += 1;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/host_table.rs"]
mod tests;
