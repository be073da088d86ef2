//! The registry of database hosts, into which each endpoint list is merged.

use crate::net::buffers::Pool;
use crate::net::endpoint_list::{EndpointEntry, EndpointList, EndpointPhase};
use crate::net::metrics::Metrics;
use crate::net::upstream::connection::Connection;
use crate::net::upstream::drains::DrainState;
use crate::net::upstream::host::Host;
use crate::net::upstream::host_table::HostTable;
use crate::net::upstream::pool::ConnectionLimits;
use crate::net::{duration, Clock};
use irisrouter::platform_settings::{NameTable, PlatformSettings};
use irisrouter::routing::{Endpoint, EndpointState, Event, GroupId, MemberId, ZoneId};
use irisrouter_endpoint_watch::Revision;
use irisrouter_host_index::IdleConnections;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// Idle timeout of this gateway, as a share of the hosts' idle timeout. It is less than 1 because a request that is
/// written to a connection which its host has just closed ends with a connection reset, and counts as one that may have
/// run.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// All database hosts that the endpoint list contains or contained recently, and the connections to them.
///
/// Shared by the router task, the requests, discovery and the cluster's services, which all run on one thread. No
/// borrow of the registry is held across an await, so the registry may change while an attempt waits.
pub struct Upstream {
    pub(super) registry: RefCell<Registry>,
    pub(super) drains: DrainState,
    pub(super) limits: ConnectionLimits,
    /// Number of connections of another process of this gateway, during a hot restart.
    pub(super) other_process_connections: Cell<usize>,
    pub(super) reachability_enabled: Cell<bool>,
    pub(super) buffers: Rc<Pool>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) clock: Clock,
    on_endpoint_list: Box<dyn Fn(Event)>,
}

/// The hosts, their idle connections, and the names and ids by which they are found.
#[derive(Default)]
pub(super) struct Registry {
    /// Hosts that the list contains or contained recently. Member ids are not reused, because a late attempt at a
    /// deleted host must not reach another host.
    pub(super) hosts: HostTable,
    /// Idle connections to the hosts.
    pub(super) idle: IdleConnections<MemberId, Connection>,
    pub(super) members_by_name: HashMap<String, MemberId>,
    next_member: u32,
    /// All groups that have ever been in the list.
    pub(super) groups: BTreeSet<GroupId>,
    zones: NameTable,
    /// Revision of the list.
    pub(super) revision: Revision,
}

impl Upstream {
    /// Creates an upstream without hosts, with at most `max_connections` connections. `on_endpoint_list` passes each
    /// merged endpoint list on to the router.
    pub fn new(
        loaded: &PlatformSettings,
        max_connections: usize,
        buffers: Rc<Pool>,
        metrics: Rc<Metrics>,
        clock: Clock,
        on_endpoint_list: Box<dyn Fn(Event)>,
    ) -> Self {
        let registry = Registry {
            zones: loaded.zones.clone(),
            ..Registry::default()
        };
        let upstream = Upstream {
            registry: RefCell::new(registry),
            drains: DrainState::default(),
            limits: ConnectionLimits::new(max_connections),
            other_process_connections: Cell::new(0),
            reachability_enabled: Cell::new(false),
            buffers,
            metrics,
            clock,
            on_endpoint_list,
        };
        upstream.update_settings(loaded);
        upstream
    }

    /// Applies new settings. Returns the id of this gateway's zone at the router.
    pub fn update_settings(&self, loaded: &PlatformSettings) -> ZoneId {
        let settings = &loaded.settings;
        let connect_timeout = duration(settings.limits.connect_timeout);
        self.limits.connect_timeout.set(connect_timeout);
        let idle_timeout = duration(loaded.idle_close).mul_f64(IDLE_TIMEOUT_SHARE);
        self.limits.idle_timeout.set(idle_timeout);
        self.drains
            .only_listed_drains_bind
            .set(settings.rules.only_listed_drains_bind);
        let mut names = loaded.zones.iter();
        let gateway_zone = names.nth(settings.zone.0 as usize).unwrap_or_default();
        self.zone_id(gateway_zone)
    }

    /// Returns the id of a zone at the router.
    pub fn zone_id(&self, name: &str) -> ZoneId {
        self.registry.borrow_mut().zone_id(name)
    }

    /// Returns the maximum time to open a connection.
    pub fn connect_timeout(&self) -> Duration {
        self.limits.connect_timeout.get()
    }

    /// Applies an endpoint list: from now on nothing is sent to a host that is out of service in it.
    pub fn apply_endpoint_list(&self, list: &EndpointList) {
        self.merge_endpoint_list(list);
        self.apply_drains();
    }

    /// Merges an endpoint list into the registry, and passes it on to the router.
    pub(super) fn merge_endpoint_list(&self, list: &EndpointList) {
        let only_listed_drains_bind = self.drains.only_listed_drains_bind.get();
        let endpoints = self
            .registry
            .borrow_mut()
            .merge(list, only_listed_drains_bind);
        (self.on_endpoint_list)(Event::EndpointList {
            complete: list.complete,
            endpoints,
        });
    }
}

impl Registry {
    /// Merges an endpoint list. Returns its entries in the form that the router takes.
    fn merge(&mut self, list: &EndpointList, only_listed_drains_bind: bool) -> Vec<Endpoint> {
        self.revision = list.revision;
        let mut endpoints = Vec::with_capacity(list.members.len());
        for entry in &list.members {
            // A terminated host that this gateway has never known needs no member id.
            let known = self.members_by_name.contains_key(&entry.id);
            if entry.phase != EndpointPhase::Terminated || known {
                endpoints.push(self.merge_entry(entry, only_listed_drains_bind));
            }
        }
        self.mark_removed_hosts(&endpoints, list.complete, only_listed_drains_bind);
        endpoints
    }

    fn merge_entry(&mut self, entry: &EndpointEntry, only_listed_drains_bind: bool) -> Endpoint {
        self.groups.insert(GroupId(entry.cell));
        let member = self.member_for_name(&entry.id);
        let zone = self.zone_id(&entry.locality);
        self.hosts.insert_if_absent(member, || Host::new(entry));
        let idle = &mut self.idle;
        let endpoint = self.hosts.update(member, |host| {
            host.apply_entry(entry, only_listed_drains_bind);
            idle.retain_for_host(member, |connection| {
                host.accepts_requests_at(connection.incarnation)
            });
            host.endpoint(member, zone)
        });
        endpoint.expect("the host is in the table")
    }

    /// Marks as removed the hosts that the list reports as removed, and those that a complete list does not contain.
    /// Clears the mark of the other hosts in the list.
    fn mark_removed_hosts(
        &mut self,
        endpoints: &[Endpoint],
        complete: bool,
        only_listed_drains_bind: bool,
    ) {
        let mut listed = HashSet::with_capacity(endpoints.len());
        for endpoint in endpoints {
            // If a list has several entries for a host, the first one decides whether the host is removed.
            if listed.insert(endpoint.member) {
                let removed = endpoint.state == EndpointState::Removed;
                self.mark_removed(endpoint.member, removed, only_listed_drains_bind);
            }
        }
        if complete {
            let members = self.hosts.iter().map(|(&member, _)| member);
            let missing: Vec<MemberId> = members.filter(|id| !listed.contains(id)).collect();
            for member in missing {
                self.mark_removed(member, true, only_listed_drains_bind);
            }
        }
    }

    fn mark_removed(&mut self, member: MemberId, removed: bool, only_listed_drains_bind: bool) {
        self.hosts.update(member, |host| {
            if removed {
                host.mark_removed(only_listed_drains_bind);
            } else {
                host.removed_at = None;
            }
        });
        if removed {
            self.idle.retain_for_host(member, |_| false);
        }
    }

    /// Returns the member id for this name; assigns a new one if there is none.
    fn member_for_name(&mut self, name: &str) -> MemberId {
        let next_member = &mut self.next_member;
        let entry = self.members_by_name.entry(name.to_string());
        *entry.or_insert_with(|| {
            let member = MemberId(*next_member);
            *next_member += 1;
            member
        })
    }

    fn zone_id(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.find_or_insert(name) as u32)
    }
}
