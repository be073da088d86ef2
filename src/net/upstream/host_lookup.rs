//! Look-ups of hosts by name, by group and by fleet id, which is the id that all gateways use for a host.

use crate::net::endpoint_list::EndpointList;
use crate::net::upstream::host_table::GroupMember;
use crate::net::upstream::registry::Upstream;
use irisrouter::routing::{GroupId, MemberId};
use irisrouter_cluster_types::HostId;
use irisrouter_endpoint_watch::Revision;

impl Upstream {
    /// Returns whether a host of this group has ever been in the endpoint list. Also true while no list has named any
    /// host.
    pub fn may_have_group(&self, group: GroupId) -> bool {
        let groups = &self.registry.borrow().groups;
        groups.is_empty() || groups.contains(&group)
    }

    /// Returns the current endpoint list.
    pub fn endpoint_list(&self) -> EndpointList {
        let registry = self.registry.borrow();
        let listed = registry
            .hosts
            .values()
            .filter(|host| host.removed_at.is_none());
        EndpointList {
            revision: registry.revision,
            complete: true,
            members: listed.map(|host| host.entry.clone()).collect(),
        }
    }

    /// Returns the revision of the endpoint list.
    pub fn revision(&self) -> Revision {
        self.registry.borrow().revision
    }

    /// Returns the member id of the host with this name in the endpoint list.
    pub fn member_by_name(&self, name: &str) -> Option<MemberId> {
        self.registry.borrow().members_by_name.get(name).copied()
    }

    /// Returns the hosts of a group that accept requests.
    pub fn members_in_service(&self, group: GroupId) -> Vec<MemberId> {
        let registry = self.registry.borrow();
        registry.hosts.index().accepting(group).collect()
    }

    /// Returns the groups with at least one host that accepts requests, in ascending order.
    pub fn groups_in_service(&self) -> Vec<GroupId> {
        let registry = self.registry.borrow();
        registry.hosts.index().groups_in_service().collect()
    }

    /// Returns a number that changes whenever the result of [`Upstream::groups_in_service`] changes.
    pub fn groups_version(&self) -> u64 {
        self.registry.borrow().hosts.index().groups_version()
    }

    /// Returns the fleet id of a host.
    pub fn fleet_host_id(&self, member: MemberId) -> Option<HostId> {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member)?;
        Some(host.fleet_id)
    }

    /// Returns the host with this fleet id that accepts requests. Returns `None` if there is none, or more than one.
    pub fn member_by_fleet_id(&self, fleet_id: HostId) -> Option<GroupMember> {
        let registry = self.registry.borrow();
        match registry.hosts.index().accepting_with_fleet_id(fleet_id) {
            [only] => Some(*only),
            _ => None,
        }
    }

    /// Returns the name of a host; an empty one if the host has been deleted from the registry.
    pub fn member_name(&self, member: MemberId) -> String {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member);
        host.map(|host| host.entry.id.clone()).unwrap_or_default()
    }

    /// Returns the number of requests and health checks in flight at the hosts with this fleet id.
    pub fn requests_in_flight(&self, fleet_id: HostId) -> usize {
        let registry = self.registry.borrow();
        let hosts = registry.hosts.with_fleet_id(fleet_id);
        hosts.map(|host| host.in_flight.get()).sum()
    }

    /// Returns the name of the host with this fleet id; if there is none, the word `host` followed by the id.
    pub fn host_name(&self, fleet_id: HostId) -> String {
        let registry = self.registry.borrow();
        let host = registry.hosts.with_fleet_id(fleet_id).next();
        host.map_or_else(|| format!("host {fleet_id}"), |host| host.entry.id.clone())
    }

    /// Returns whether another host of the same group accepts requests, so that the group can do without this one.
    pub fn can_spare(&self, fleet_id: HostId) -> bool {
        let registry = self.registry.borrow();
        let hosts = &registry.hosts;
        let Some(host) = hosts.with_fleet_id(fleet_id).next() else {
            return false;
        };
        let mut accepting = hosts
            .index()
            .accepting(host.group())
            .filter_map(|member| hosts.get(member));
        accepting.any(|other| other.fleet_id != fleet_id)
    }

    /// Returns the total size of the hosts in each of these zones that are in service according to the endpoint list,
    /// including unreachable ones.
    pub fn capacity_by_zone(&self, zones: &[String]) -> Vec<f64> {
        let registry = self.registry.borrow();
        let capacity = |zone: &String| {
            let hosts = registry.hosts.values();
            hosts
                .filter(|host| host.in_service() && host.entry.locality == *zone)
                .map(|host| host.entry.size)
                .sum()
        };
        zones.iter().map(capacity).collect()
    }

    /// Returns the fleet ids of at most `limit` hosts that are out of service according to the endpoint list: hosts
    /// that it contains, and hosts that were removed from it recently.
    pub fn out_of_service(&self, limit: usize) -> Vec<HostId> {
        let registry = self.registry.borrow();
        let hosts = registry.hosts.values();
        hosts
            .filter(|host| !host.in_service())
            .map(|host| host.fleet_id)
            .take(limit)
            .collect()
    }
}
