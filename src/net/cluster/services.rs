//! The cluster services that are turned on in the settings.

use crate::net::cluster::drains::DrainService;
use crate::net::cluster::endpoint_watch::EndpointWatchService;
use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::WriteIntentService;
use irisrouter::routing::GroupId;
use std::future::pending;
use std::rc::Rc;

/// The cluster services. A service that is turned off is `None`. All services depend on membership;
/// drains, the endpoint watch and site failover also depend on leases.
#[derive(Clone, Default)]
pub struct ClusterServices {
    /// Tracks which gateways are alive.
    pub membership: Option<Rc<MembershipService>>,
    /// Decides which gateway performs a task for the whole fleet.
    pub leases: Option<Rc<LeaseService>>,
    /// Records keyed writes that may have been executed.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Coordinates drains of database hosts.
    pub drains: Option<Rc<DrainService>>,
    /// Watches the endpoint list from one gateway on behalf of all.
    pub endpoint_watch: Option<Rc<EndpointWatchService>>,
    /// Distributes failover plans for lost sites.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

impl ClusterServices {
    /// Returns the tasks for which a gateway must hold a lease: the health checks of these groups,
    /// the drains, the endpoint watch and the planning of site failover.
    pub fn leased_tasks(&self, groups: &[GroupId]) -> Vec<LeasedTask> {
        let mut tasks: Vec<LeasedTask> = groups
            .iter()
            .copied()
            .map(LeasedTask::HealthChecks)
            .collect();
        if let Some(drains) = &self.drains {
            let hosts = drains.drains_to_coordinate().into_iter();
            tasks.extend(hosts.map(LeasedTask::HostDrain));
        }
        if self.endpoint_watch.is_some() {
            tasks.push(LeasedTask::EndpointWatch);
        }
        if self.site_failover.is_some() {
            tasks.push(LeasedTask::SiteFailover);
        }
        tasks
    }

    /// Waits until a drain command is to be sent. Never completes if drains are off.
    pub async fn drain_send_requested(&self) {
        match &self.drains {
            Some(drains) => drains.send_requested().await,
            None => pending().await,
        }
    }

    /// Waits until a heartbeat of the endpoint watch may be due. Never completes if the watch is
    /// off.
    pub async fn endpoint_watch_send_requested(&self) {
        match &self.endpoint_watch {
            Some(endpoint_watch) => endpoint_watch.send_requested().await,
            None => pending().await,
        }
    }

    /// Waits until a datagram of write intents is to be sent. Never completes if write intents are
    /// off.
    pub async fn write_intent_send_requested(&self) {
        match &self.write_intents {
            Some(write_intents) => write_intents.send_requested().await,
            None => pending().await,
        }
    }
}
