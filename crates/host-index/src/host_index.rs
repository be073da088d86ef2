//! An index of hosts by their fleet-wide id, by group, and by whether the endpoint list still contains them.

use irisrouter_cluster_types::HostId;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A host that is a member of a group, together with the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMember<M, G> {
    /// The host.
    pub member: M,
    /// The group that the host is a member of.
    pub group: G,
}

/// The part of a host's state that the index depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexedState<G> {
    /// Id of the host, the same in all gateways of the fleet. Two hosts may have the same id.
    pub fleet_id: HostId,
    /// The group that the host is a member of.
    pub group: G,
    /// Whether requests may be sent to the host.
    pub accepts_requests: bool,
    /// Whether the host was removed from the endpoint list.
    pub removed: bool,
}

/// An index of hosts, identified by `M`, in groups, identified by `G`.
pub struct HostIndex<M, G> {
    by_fleet_id: HashMap<HostId, BTreeSet<M>>,
    /// The hosts that accept requests, with their groups. They are stored together, because each result that another
    /// gateway sends causes a lookup that needs both.
    accepting_by_fleet_id: HashMap<HostId, SmallVec<[GroupMember<M, G>; 1]>>,
    /// The hosts of each group that accept requests. A group without such hosts has no entry.
    accepting: BTreeMap<G, BTreeSet<M>>,
    removed: BTreeSet<M>,
    groups_version: u64,
}

impl<M, G> Default for HostIndex<M, G> {
    fn default() -> Self {
        HostIndex {
            by_fleet_id: HashMap::new(),
            accepting_by_fleet_id: HashMap::new(),
            accepting: BTreeMap::new(),
            removed: BTreeSet::new(),
            groups_version: 0,
        }
    }
}

impl<M: Copy + Ord, G: Copy + Ord> HostIndex<M, G> {
    /// Updates the index for a change of a host's state. `before` is `None` for a new host, and `after` is `None` for a
    /// host that is deleted.
    pub fn replace(
        &mut self,
        member: M,
        before: Option<IndexedState<G>>,
        after: Option<IndexedState<G>>,
    ) {
        if before == after {
            return;
        }
        if let Some(state) = before {
            self.remove(member, state);
        }
        if let Some(state) = after {
            self.insert(member, state);
        }
    }

    fn insert(&mut self, member: M, state: IndexedState<G>) {
        let IndexedState {
            fleet_id, group, ..
        } = state;
        self.by_fleet_id.entry(fleet_id).or_default().insert(member);
        if state.removed {
            self.removed.insert(member);
        }
        if state.accepts_requests {
            let accepting_hosts = self.accepting_by_fleet_id.entry(fleet_id).or_default();
            accepting_hosts.push(GroupMember { member, group });
            let accepting_in_group = self.accepting.entry(group).or_default();
            self.groups_version += u64::from(accepting_in_group.is_empty());
            accepting_in_group.insert(member);
        }
    }

    fn remove(&mut self, member: M, state: IndexedState<G>) {
        self.removed.remove(&member);
        if let Some(members) = self.by_fleet_id.get_mut(&state.fleet_id) {
            members.remove(&member);
            if members.is_empty() {
                self.by_fleet_id.remove(&state.fleet_id);
            }
        }
        if let Some(accepting_hosts) = self.accepting_by_fleet_id.get_mut(&state.fleet_id) {
            accepting_hosts.retain(|other| other.member != member);
            if accepting_hosts.is_empty() {
                self.accepting_by_fleet_id.remove(&state.fleet_id);
            }
        }
        if let Some(accepting_in_group) = self.accepting.get_mut(&state.group) {
            accepting_in_group.remove(&member);
            if accepting_in_group.is_empty() {
                self.accepting.remove(&state.group);
                self.groups_version += 1;
            }
        }
    }

    /// Returns the hosts with this fleet-wide id, in ascending order.
    pub fn with_fleet_id(&self, fleet_id: HostId) -> impl Iterator<Item = M> + '_ {
        let members = self.by_fleet_id.get(&fleet_id);
        members.into_iter().flatten().copied()
    }

    /// Returns the hosts with this fleet-wide id that accept requests, with their groups, in no particular order.
    pub fn accepting_with_fleet_id(&self, fleet_id: HostId) -> &[GroupMember<M, G>] {
        let members = self.accepting_by_fleet_id.get(&fleet_id);
        members.map_or(&[], SmallVec::as_slice)
    }

    /// Returns the hosts of a group that accept requests, in ascending order.
    pub fn accepting(&self, group: G) -> impl Iterator<Item = M> + '_ {
        self.accepting.get(&group).into_iter().flatten().copied()
    }

    /// Returns the groups that have hosts that accept requests, in ascending order.
    pub fn groups_in_service(&self) -> impl Iterator<Item = G> + '_ {
        self.accepting.keys().copied()
    }

    /// Returns a version number that changes whenever [`HostIndex::groups_in_service`] changes.
    pub fn groups_version(&self) -> u64 {
        self.groups_version
    }

    /// Returns the hosts that were removed from the endpoint list, in ascending order.
    pub fn removed(&self) -> impl Iterator<Item = M> + '_ {
        self.removed.iter().copied()
    }
}
