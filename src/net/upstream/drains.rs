//! Hosts that this gateway takes out of service although its endpoint list has them in service, because of an
//! operator's drain command or a newer list that the fleet's watcher has announced.

use crate::net::endpoint_list::EndpointList;
use crate::net::upstream::registry::{Registry, Upstream};
use irisrouter::routing::GroupId;
use irisrouter_cluster_types::HostId;
use irisrouter_drain_coordination::{hosts_to_drain, DrainCommand};
use irisrouter_endpoint_watch::Revision;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// The sources other than the endpoint list that take hosts out of service.
#[derive(Default)]
pub(super) struct DrainState {
    /// Newest drain command for each host, by fleet id.
    commands: RefCell<BTreeMap<HostId, DrainCommand>>,
    /// Endpoint list that the fleet's watcher announced last, as long as it is newer than this gateway's list.
    announced: RefCell<Option<AnnouncedList>>,
    /// Whether only drains in the endpoint list stop requests to a host. If so, requests may still be sent to a host
    /// that the list reports as removed, or no longer contains, unless the host was drained before.
    pub(super) only_listed_drains_bind: Cell<bool>,
}

/// The endpoint list of the fleet's watcher, as its heartbeat describes it.
struct AnnouncedList {
    /// Revision of the list.
    revision: Revision,
    /// Fleet ids of the hosts that are out of service in the list.
    out_of_service: BTreeSet<HostId>,
}

impl Upstream {
    /// Applies a drain command: from now on nothing is sent to a host that it drains.
    pub fn apply_drain_command(&self, command: DrainCommand) {
        let commands = &self.drains.commands;
        commands.borrow_mut().insert(command.host, command);
        self.apply_drains();
    }

    /// Applies a heartbeat of the gateway that watches the endpoint list for the fleet. `revision` is the revision of
    /// that gateway's list, `out_of_service` the hosts that are out of service there. Nothing is sent to these hosts
    /// until this gateway's list has at least that revision.
    pub fn apply_watch_heartbeat(&self, revision: Revision, out_of_service: Vec<HostId>) {
        if revision > self.revision() {
            let announced = AnnouncedList {
                revision,
                out_of_service: out_of_service.into_iter().collect(),
            };
            self.drains.announced.replace(Some(announced));
            self.apply_drains();
        }
    }

    /// Takes hosts out of service, or puts them back into service, according to the drain commands and the announced
    /// list.
    pub(super) fn apply_drains(&self) {
        let commands = self.drains.commands.borrow();
        let announced = self.drains.announced.take();
        if commands.is_empty() && announced.is_none() {
            return;
        }
        let announced = announced.filter(|list| list.revision > self.revision());
        let mut drained = self.registry.borrow().drained_hosts(&commands);
        if let Some(list) = &announced {
            drained.extend(&list.out_of_service);
        }
        self.drains.announced.replace(announced);
        let Some(changed) = self.registry.borrow_mut().set_drained_hosts(&drained) else {
            return;
        };
        self.merge_endpoint_list(&changed);
    }
}

impl Registry {
    /// Returns the fleet ids of the hosts that the commands drain. At least one host of each group stays in service.
    fn drained_hosts(&self, commands: &BTreeMap<HostId, DrainCommand>) -> BTreeSet<HostId> {
        let mut groups: BTreeMap<GroupId, Vec<HostId>> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.in_service()) {
            let group = groups.entry(GroupId(host.entry.cell)).or_default();
            group.push(host.fleet_id);
        }
        let command_for = |host| commands.get(&host).copied();
        groups
            .values()
            .flat_map(|group| hosts_to_drain(group, command_for))
            .collect()
    }

    /// Marks exactly these hosts as drained. Returns an incremental list with the entries of the hosts in service whose
    /// mark changed; `None` if there are none.
    fn set_drained_hosts(&mut self, drained: &BTreeSet<HostId>) -> Option<EndpointList> {
        let mut changed = Vec::new();
        for host in self.hosts.values_mut() {
            let is_drained = drained.contains(&host.fleet_id);
            if host.drained != is_drained {
                // Also for a host that is out of service in the list; otherwise an outdated mark would remain when the
                // list puts the host back into service.
                host.drained = is_drained;
                if host.in_service() {
                    changed.push(host.entry.clone());
                }
            }
        }
        (!changed.is_empty()).then_some(EndpointList {
            revision: self.revision,
            complete: false,
            members: changed,
        })
    }
}
