//! The table of hosts by member id, and the host index that is kept up to date with it.

use crate::net::upstream::host::Host;
use irisrouter::routing::{GroupId, MemberId};
use irisrouter_cluster_types::HostId;
use irisrouter_host_index::HostIndex;
use std::collections::BTreeMap;

/// A member and its group.
pub type GroupMember = irisrouter_host_index::GroupMember<MemberId, GroupId>;

/// All hosts, with an index to find them by group and by fleet id.
#[derive(Default)]
pub(super) struct HostTable {
    /// Hosts by member id. They are boxed so that the nodes of the map stay small.
    hosts: BTreeMap<MemberId, Box<Host>>,
    index: HostIndex<MemberId, GroupId>,
}

impl HostTable {
    /// Returns a host.
    pub(super) fn get(&self, member: MemberId) -> Option<&Host> {
        self.hosts.get(&member).map(Box::as_ref)
    }

    /// Returns a host mutably. Its [`Host::indexed_state`] must not be changed; [`HostTable::update`] is for that.
    pub(super) fn get_mut(&mut self, member: MemberId) -> Option<&mut Host> {
        self.hosts.get_mut(&member).map(Box::as_mut)
    }

    /// Iterates over all hosts with their member ids, in the order of these ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&MemberId, &Host)> {
        self.hosts.iter().map(|(member, host)| (member, &**host))
    }

    /// Iterates over all hosts, in the order of their member ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values().map(Box::as_ref)
    }

    /// Iterates over all hosts mutably. Their [`Host::indexed_state`] must not be changed.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.hosts.values_mut().map(Box::as_mut)
    }

    /// Returns the host index.
    pub(super) fn index(&self) -> &HostIndex<MemberId, GroupId> {
        &self.index
    }

    /// Iterates over the hosts with this fleet id.
    pub(super) fn with_fleet_id(&self, fleet_id: HostId) -> impl Iterator<Item = &Host> {
        let members = self.index.with_fleet_id(fleet_id);
        members.filter_map(|member| self.get(member))
    }

    /// Adds a host, unless the table contains one for the member id.
    pub(super) fn insert_if_absent(&mut self, member: MemberId, host: impl FnOnce() -> Host) {
        let index = &mut self.index;
        self.hosts.entry(member).or_insert_with(|| {
            let host = Box::new(host());
            index.replace(member, None, Some(host.indexed_state()));
            host
        });
    }

    /// Changes a host, and updates the index accordingly. Returns `None` if there is no such host.
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

    /// Removes a host from the table and the index, and returns it.
    pub(super) fn remove(&mut self, member: MemberId) -> Option<Box<Host>> {
        let host = self.hosts.remove(&member)?;
        self.index.replace(member, Some(host.indexed_state()), None);
        Some(host)
    }
}
