//! Hosts by the id under which the fleet knows them, by group, and by whether the list still has them.

use irisrouter_cluster_types::HostId;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A member and its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMember<M, G> {
    /// The member.
    pub member: M,
    /// Its group.
    pub group: G,
}

/// What the index depends on of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexedState<G> {
    /// The id by which all gateways of the fleet know it; two hosts may share one.
    pub fleet_id: HostId,
    /// Its group.
    pub group: G,
    /// Whether requests may be sent to it.
    pub accepts_requests: bool,
    /// Whether the list does not contain it any more.
    pub removed: bool,
}

/// The index, of members `M` in groups `G`.
pub struct HostIndex<M, G> {
    by_fleet_id: HashMap<HostId, BTreeSet<M>>,
    /// The hosts that accept requests, with their groups. Each result that another gateway sends is looked up here, and
    /// what it needs stands in one place.
    accepting_by_fleet_id: HashMap<HostId, SmallVec<[GroupMember<M, G>; 1]>>,
    /// The hosts of each group that accept requests; no entry for a group without any.
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
    /// Takes the change of a host from its state `before`, none where it is new, to `after`, none where it is forgotten.
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
            let same_id = self.accepting_by_fleet_id.entry(fleet_id).or_default();
            same_id.push(GroupMember { member, group });
            let of_group = self.accepting.entry(group).or_default();
            self.groups_version += u64::from(of_group.is_empty());
            of_group.insert(member);
        }
    }

    fn remove(&mut self, member: M, state: IndexedState<G>) {
        self.removed.remove(&member);
        if let Some(same_id) = self.by_fleet_id.get_mut(&state.fleet_id) {
            same_id.remove(&member);
            if same_id.is_empty() {
                self.by_fleet_id.remove(&state.fleet_id);
            }
        }
        if let Some(same_id) = self.accepting_by_fleet_id.get_mut(&state.fleet_id) {
            same_id.retain(|other| other.member != member);
            if same_id.is_empty() {
                self.accepting_by_fleet_id.remove(&state.fleet_id);
            }
        }
        if let Some(of_group) = self.accepting.get_mut(&state.group) {
            of_group.remove(&member);
            if of_group.is_empty() {
                self.accepting.remove(&state.group);
                self.groups_version += 1;
            }
        }
    }

    /// The hosts which the fleet knows by this id, in ascending order.
    pub fn with_fleet_id(&self, fleet_id: HostId) -> impl Iterator<Item = M> + '_ {
        let members = self.by_fleet_id.get(&fleet_id);
        members.into_iter().flatten().copied()
    }

    /// The hosts that accept requests and that the fleet knows by this id.
    pub fn accepting_with_fleet_id(&self, fleet_id: HostId) -> &[GroupMember<M, G>] {
        let members = self.accepting_by_fleet_id.get(&fleet_id);
        members.map_or(&[], SmallVec::as_slice)
    }

    /// The hosts of a group that accept requests, in ascending order.
    pub fn accepting(&self, group: G) -> impl Iterator<Item = M> + '_ {
        self.accepting.get(&group).into_iter().flatten().copied()
    }

    /// The groups with hosts that accept requests, in ascending order.
    pub fn groups_in_service(&self) -> impl Iterator<Item = G> + '_ {
        self.accepting.keys().copied()
    }

    /// A number that changes whenever [`HostIndex::groups_in_service`] does.
    pub fn groups_version(&self) -> u64 {
        self.groups_version
    }

    /// The hosts that the list does not contain any more, in ascending order.
    pub fn removed(&self) -> impl Iterator<Item = M> + '_ {
        self.removed.iter().copied()
    }
}
