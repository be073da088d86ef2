//! Questions about the hosts: by name, by group, by the id that the fleet knows them by.

use crate::net::endpoint_list::EndpointList;
use crate::net::upstream::host_table::GroupMember;
use crate::net::upstream::registry::Upstream;
use irisrouter::routing::{GroupId, MemberId};
use irisrouter_cluster_types::HostId;
use irisrouter_endpoint_watch::Revision;

impl Upstream {
    /// Whether the list has named a host of this group, or there is no list yet.
    pub fn may_have_group(&self, group: GroupId) -> bool {
        let groups = &self.registry.borrow().groups;
        groups.is_empty() || groups.contains(&group)
    }

    /// The list as it stands.
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

    /// The version of the list.
    pub fn revision(&self) -> Revision {
        self.registry.borrow().revision
    }

    /// The member id of a host that the list names.
    pub fn member_by_name(&self, name: &str) -> Option<MemberId> {
        self.registry.borrow().members_by_name.get(name).copied()
    }

    /// The hosts of a group that accept requests.
    pub fn members_in_service(&self, group: GroupId) -> Vec<MemberId> {
        let registry = self.registry.borrow();
        registry.hosts.index().accepting(group).collect()
    }

    /// The groups that have hosts which accept requests, in ascending order.
    pub fn groups_in_service(&self) -> Vec<GroupId> {
        let registry = self.registry.borrow();
        registry.hosts.index().groups_in_service().collect()
    }

    /// A number that changes whenever [`Upstream::groups_in_service`] does.
    pub fn groups_version(&self) -> u64 {
        self.registry.borrow().hosts.index().groups_version()
    }

    /// The id by which the fleet knows a host.
    pub fn fleet_host_id(&self, member: MemberId) -> Option<HostId> {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member)?;
        Some(host.fleet_id)
    }

    /// The host which accepts requests and which the fleet knows by this id; `None` where two have the id.
    pub fn member_by_fleet_id(&self, fleet_id: HostId) -> Option<GroupMember> {
        let registry = self.registry.borrow();
        match registry.hosts.index().accepting_with_fleet_id(fleet_id) {
            [only] => Some(*only),
            _ => None,
        }
    }

    /// The name of a host; empty where it has been forgotten.
    pub fn member_name(&self, member: MemberId) -> String {
        let registry = self.registry.borrow();
        let host = registry.hosts.get(member);
        host.map(|host| host.entry.id.clone()).unwrap_or_default()
    }

    /// Requests in flight at the host that the fleet knows by this id.
    pub fn requests_in_flight(&self, fleet_id: HostId) -> usize {
        let registry = self.registry.borrow();
        let hosts = registry.hosts.with_fleet_id(fleet_id);
        hosts.map(|host| host.in_flight.get()).sum()
    }

    /// The name of the host that the fleet knows by this id; where the list has none, the id.
    pub fn host_name(&self, fleet_id: HostId) -> String {
        let registry = self.registry.borrow();
        let host = registry.hosts.with_fleet_id(fleet_id).next();
        host.map_or_else(|| format!("host {fleet_id}"), |host| host.entry.id.clone())
    }

    /// Whether another host of the same group would still accept requests without this one.
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

    /// The sum of the sizes of the hosts in each zone that the list has in service, unreachable ones included.
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

    /// The fleet ids of hosts that the list has out of service, `limit` of them at most: those that it still names, and
    /// those that it removed lately.
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
