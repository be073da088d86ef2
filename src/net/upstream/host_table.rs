//! The hosts by member id, with the index to them.

use crate::net::upstream::host::Host;
use irisrouter::routing::{GroupId, MemberId};
use irisrouter_cluster_types::HostId;
use irisrouter_host_index::HostIndex;
use std::collections::BTreeMap;

/// A member and its group.
pub type GroupMember = irisrouter_host_index::GroupMember<MemberId, GroupId>;

/// All hosts, and the index to them.
#[derive(Default)]
pub(super) struct HostTable {
    /// Boxed, so that the map itself stays small.
    hosts: BTreeMap<MemberId, Box<Host>>,
    index: HostIndex<MemberId, GroupId>,
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

    /// Where the hosts are found.
    pub(super) fn index(&self) -> &HostIndex<MemberId, GroupId> {
        &self.index
    }

    /// The hosts which the fleet knows by this id.
    pub(super) fn with_fleet_id(&self, fleet_id: HostId) -> impl Iterator<Item = &Host> {
        let members = self.index.with_fleet_id(fleet_id);
        members.filter_map(|member| self.get(member))
    }

    /// Adds a host, unless the member id has one.
    pub(super) fn insert_if_absent(&mut self, member: MemberId, host: impl FnOnce() -> Host) {
        let index = &mut self.index;
        self.hosts.entry(member).or_insert_with(|| {
            let host = Box::new(host());
            index.replace(member, None, Some(host.indexed_state()));
            host
        });
    }

    /// Changes a host, and the index with it. `None` where there is no such host.
    pub(super) fn update<R>(
        &mut self,
        member: MemberId,
        change: impl FnOnce(&mut Host) -> R,
    ) -> Option<R> {
        let host = self.hosts.get_mut(&member)?;
        let before = host.indexed_state();
        let result = change(host);
        let after = host.indexed_state();
        self.index.replace(member, Some(before), Some(after));
        Some(result)
    }

    /// Removes a host, and returns it.
    pub(super) fn remove(&mut self, member: MemberId) -> Option<Box<Host>> {
        let host = self.hosts.remove(&member)?;
        self.index.replace(member, Some(host.indexed_state()), None);
        Some(host)
    }
}
