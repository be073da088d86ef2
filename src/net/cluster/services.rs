//! The cluster services that the operators turned on.

use crate::net::cluster::drains::DrainService;
use crate::net::cluster::endpoint_watch::EndpointWatchService;
use crate::net::cluster::leases::{LeaseService, LeasedTask};
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::site_failover::SiteFailoverService;
use crate::net::cluster::write_intents::WriteIntentService;
use irisrouter::routing::GroupId;
use std::future::pending;
use std::rc::Rc;

/// The cluster services. Each is none where it is turned off. All services need membership; drains,
/// the endpoint watch and site failover need leases, too.
#[derive(Clone, Default)]
pub struct ClusterServices {
    /// Which gateways are alive.
    pub membership: Option<Rc<MembershipService>>,
    /// Which gateway does a task for all.
    pub leases: Option<Rc<LeaseService>>,
    /// Keyed writes that may have run.
    pub write_intents: Option<Rc<WriteIntentService>>,
    /// Drains of database hosts.
    pub drains: Option<Rc<DrainService>>,
    /// One watch of the endpoint list for all gateways.
    pub endpoint_watch: Option<Rc<EndpointWatchService>>,
    /// Plans for lost sites.
    pub site_failover: Option<Rc<SiteFailoverService>>,
}

impl ClusterServices {
    /// The tasks that have to have a lease holder: the health checks of these groups, the drains,
    /// the endpoint watch and the planning of site failover.
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

    /// Waits until a drain command is to be sent; for ever where drains are off.
    pub async fn drain_send_requested(&self) {
        match &self.drains {
            Some(drains) => drains.send_requested().await,
            None => pending().await,
        }
    }

    /// Waits until a heartbeat of the endpoint watch is to be sent; for ever where the watch is
    /// off.
    pub async fn endpoint_watch_send_requested(&self) {
        match &self.endpoint_watch {
            Some(endpoint_watch) => endpoint_watch.send_requested().await,
            None => pending().await,
        }
    }

    /// Waits until a write intent is to be recorded or looked up; for ever where write intents are
    /// off.
    pub async fn write_intent_send_requested(&self) {
        match &self.write_intents {
            Some(write_intents) => write_intents.send_requested().await,
            None => pending().await,
        }
    }
}
