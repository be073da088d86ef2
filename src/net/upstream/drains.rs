//! Hosts that are out of service although this gateway's endpoint list has them in service: drain commands of operators,
//! and lists that are newer than this gateway's.

use crate::net::endpoint_list::EndpointList;
use crate::net::upstream::registry::{Registry, Upstream};
use irisrouter::routing::GroupId;
use irisrouter_cluster_types::HostId;
use irisrouter_drain_coordination::{hosts_to_drain, DrainCommand};
use irisrouter_endpoint_watch::Revision;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// What takes hosts out of service besides the endpoint list.
#[derive(Default)]
pub(super) struct DrainState {
    /// The newest drain command for each host, by its fleet id.
    commands: RefCell<BTreeMap<HostId, DrainCommand>>,
    /// A list that is newer than this gateway's, as the fleet's watcher announced it.
    announced: RefCell<Option<AnnouncedList>>,
    /// Where only drains in the list bind, a host that was removed or is missing there may still be sent to.
    pub(super) only_listed_drains_bind: Cell<bool>,
}

/// What a heartbeat of the fleet's watcher says of its endpoint list.
struct AnnouncedList {
    /// Its version.
    revision: Revision,
    /// The hosts that it has out of service, by their fleet ids.
    out_of_service: BTreeSet<HostId>,
}

impl Upstream {
    /// Takes a drain command: from now on nothing is sent to a host that is drained.
    pub fn apply_drain_command(&self, command: DrainCommand) {
        let commands = &self.drains.commands;
        commands.borrow_mut().insert(command.host, command);
        self.apply_drains();
    }

    /// Takes a heartbeat of the gateway that watches the list for the fleet: its list has this version, and these hosts
    /// out of service. Nothing is sent to them until this gateway's own list is as new.
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

    /// Takes hosts out of service, or puts them back, as drain commands and a newer list say.
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
    /// The hosts that commands drain, by their fleet ids: never all that a group has in service.
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

    /// Marks exactly these hosts as drained. Returns the entries of those in service that changed, if there are any, as
    /// changes to the list.
    fn set_drained_hosts(&mut self, drained: &BTreeSet<HostId>) -> Option<EndpointList> {
        let mut changed = Vec::new();
        for host in self.hosts.values_mut() {
            let is_drained = drained.contains(&host.fleet_id);
            if host.drained != is_drained {
                // Also where the list has it out of service: else it would stay drained once the list has it back.
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
