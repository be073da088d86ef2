//! Builds the services through which gateways cooperate: those that the operators have enabled and that the platform
//! allows. A service that is off is not built, so it sends no datagrams and takes no time.

use crate::net::cluster::drains::DrainService;
use crate::net::cluster::endpoint_watch::EndpointWatchService;
use crate::net::cluster::leases::LeaseService;
use crate::net::cluster::membership::MembershipService;
use crate::net::cluster::services::ClusterServices;
use crate::net::cluster::site_failover::{self, ClassSlots, SiteFailoverService};
use crate::net::cluster::write_intents::WriteIntentService;
use crate::net::config::Config;
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::lifecycle::StartupError;
use crate::net::log::log;
use crate::net::request::classes::Classes;
use irisrouter::platform_settings::NameTable;
use irisrouter_cluster_types::Milliseconds;
use irisrouter_site_failover::SiteIndex;
use std::rc::Rc;

/// Nanoseconds per second.
const NS_PER_S: i64 = 1_000_000_000;
/// 2^64 divided by the golden ratio, an odd number. Multiplying a gateway's number by it spreads neighbouring numbers
/// over all bits, so that gateways that start in the same second get different random seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Builds all services that are enabled and allowed.
///
/// # Errors
///
/// Returns an error if site failover is enabled and cannot be started.
pub fn build_cluster_services(
    config: &Config,
    parts: &SharedParts,
) -> Result<ClusterServices, StartupError> {
    let membership = membership(config, parts);
    let write_intents = write_intents(config, parts, membership.as_ref());
    let leases = leases(config, parts, membership.as_ref());
    let site_failover = site_failover(config, parts, membership.as_ref(), leases.as_ref())?;
    let drains = drains(config, parts, membership.as_ref(), leases.as_ref());
    let endpoint_watch = endpoint_watch(config, parts, membership.as_ref(), leases.as_ref());
    Ok(ClusterServices {
        membership,
        leases,
        write_intents,
        drains,
        endpoint_watch,
        site_failover,
    })
}

/// Builds membership if the operators enabled it and the platform lets gateways exchange datagrams.
fn membership(config: &Config, parts: &SharedParts) -> Option<Rc<MembershipService>> {
    let operator_settings = &config.operators.membership;
    let allowed = operator_settings.enabled && config.platform.peers_allowed;
    let peers = config.peers.as_ref().filter(|_| allowed)?;
    let fleet_size = peers.gateway_addresses.len() as u32;
    let unix_s = u64::try_from(parts.clock.now().as_nanos() / NS_PER_S).unwrap_or(0);
    let seed = u64::from(peers.local_gateway.0).wrapping_mul(SEED_MULTIPLIER) ^ unix_s;
    MembershipService::new(
        peers,
        operator_settings.for_fleet(fleet_size),
        unix_s,
        seed,
        Rc::clone(&parts.metrics),
    )
    .map_err(|error| log!("membership is off: {error}"))
    .ok()
    .map(Rc::new)
}

/// Builds leases if the operators enabled them, membership is on and the platform allows health checks.
fn leases(
    config: &Config,
    parts: &SharedParts,
    membership: Option<&Rc<MembershipService>>,
) -> Option<Rc<LeaseService>> {
    let operator_settings = &config.operators.leases;
    let allowed = operator_settings.enabled && config.platform.health_checks_allowed;
    let peers = config.peers.as_ref().filter(|_| allowed)?;
    LeaseService::new(
        Rc::clone(membership?),
        peers.gateway_addresses.clone(),
        operator_settings.lease_ms,
        operator_settings.fence_health_checks,
        Rc::clone(&parts.metrics),
    )
    .map_err(|error| log!("leases are off: {error}"))
    .ok()
    .map(Rc::new)
}

/// Builds write intents if the operators enabled leases and write intents and membership is on.
fn write_intents(
    config: &Config,
    parts: &SharedParts,
    membership: Option<&Rc<MembershipService>>,
) -> Option<Rc<WriteIntentService>> {
    let operator_settings = &config.operators.leases;
    let enabled = operator_settings.enabled && operator_settings.write_intents;
    let peers = config.peers.as_ref().filter(|_| enabled)?;
    Some(Rc::new(WriteIntentService::new(
        Rc::clone(membership?),
        peers.gateway_addresses.clone(),
        config.clients_mark_retries(),
        Rc::clone(&parts.metrics),
    )))
}

/// Builds the service that drains database hosts on request of the console, if leases are on.
fn drains(
    config: &Config,
    parts: &SharedParts,
    membership: Option<&Rc<MembershipService>>,
    leases: Option<&Rc<LeaseService>>,
) -> Option<Rc<DrainService>> {
    let peers = config.peers.as_ref()?;
    Some(Rc::new(DrainService::new(
        Rc::clone(membership?),
        Rc::clone(leases?),
        Rc::clone(&parts.upstream),
        peers.gateway_addresses.clone(),
        Milliseconds(config.operators.leases.lease_ms),
        Rc::clone(&parts.metrics),
    )))
}

/// Builds the service that lets one gateway watch the endpoint list for the fleet, if the operators enabled it, leases
/// are on, and one discovery service answers all gateways.
///
/// Where an agent on each machine pushes the list, each gateway watches its own agent instead: a change counts as known
/// to a gateway as soon as its agent has it, whichever other gateway watches.
fn endpoint_watch(
    config: &Config,
    parts: &SharedParts,
    membership: Option<&Rc<MembershipService>>,
    leases: Option<&Rc<LeaseService>>,
) -> Option<Rc<EndpointWatchService>> {
    let operator_settings = &config.operators.leases;
    if !operator_settings.shared_endpoint_watch {
        return None;
    }
    if !config.platform.settings.endpoint_list_on_request {
        log!("endpoint watch: off, as the endpoint list is pushed to each gateway");
        return None;
    }
    Some(Rc::new(EndpointWatchService::new(
        Rc::clone(membership?),
        Rc::clone(leases?),
        Rc::clone(&parts.upstream),
        operator_settings.lease_ms,
        Rc::clone(&parts.metrics),
    )))
}

/// Builds the failover of whole sites if the operators enabled it and leases are on.
fn site_failover(
    config: &Config,
    parts: &SharedParts,
    membership: Option<&Rc<MembershipService>>,
    leases: Option<&Rc<LeaseService>>,
) -> Result<Option<Rc<SiteFailoverService>>, StartupError> {
    let operator_settings = &config.operators.site_failover;
    let (Some(membership), Some(leases)) = (membership, leases) else {
        return Ok(None);
    };
    let Some(peers) = config.peers.as_ref().filter(|_| operator_settings.enabled) else {
        return Ok(None);
    };
    let zones = names(&config.platform.zones);
    let classes = names(&config.platform.classes);
    let settings = operator_settings.for_zones(&zones, &classes)?;
    let dependencies = site_failover::Dependencies {
        membership: Rc::clone(membership),
        leases: Rc::clone(leases),
        upstream: Rc::clone(&parts.upstream),
        class_slots: Rc::<Classes>::clone(&parts.classes),
        router: Rc::clone(&parts.router),
        metrics: Rc::clone(&parts.metrics),
    };
    let names = site_failover::SiteNames {
        zones,
        classes,
        local_site: SiteIndex(config.platform.settings.zone.0 as usize),
    };
    let site_failover_config = site_failover::SiteFailoverConfig {
        settings,
        capacity_per_s: operator_settings.capacity_per_s,
    };
    let service = SiteFailoverService::new(dependencies, names, site_failover_config, peers)
        .map_err(|error| StartupError::SiteFailover(error.into()))?;
    Ok(Some(Rc::new(service)))
}

impl ClassSlots for Classes {
    fn class_names_by_slot(&self) -> Vec<String> {
        self.names()
    }
}

fn names(table: &NameTable) -> Vec<String> {
    table.iter().map(String::from).collect()
}
