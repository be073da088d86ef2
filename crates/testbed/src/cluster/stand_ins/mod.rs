//! Stand-ins for the services to which the gateways of a cluster connect: database hosts, the discovery service, and
//! the relay between gateways. They implement only what the tests need. They run on one thread, which ends with the
//! cluster.

pub mod checking_gateway;
pub mod discovery;
pub mod host;
mod host_connection;
pub mod listed_sets;
mod protocol;

pub use host_connection::LONG_READ;

use super::relay::Relay;
use super::{Clock, ClusterError, Plan};
use crate::sockets::SocketError;
use checking_gateway::CheckingGateway;
use discovery::Discovery;
use host::{Host, HostSpec};
use irisrouter_simulation::spec::Spec;
use listed_sets::{ListedHost, ListedSets};
use serde_json::Value;
use std::sync::{mpsc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// The stand-ins of one cluster.
pub(super) struct StandIns {
    pub(super) relay: Relay,
    pub(super) hosts: Vec<Host>,
    pub(super) discovery: Discovery,
    /// The gateway, played by the testbed, that checks the hosts of all sets; `None` if the plan has no listed sets.
    pub(super) checking_gateway: Option<CheckingGateway>,
}

/// Starts the stand-ins on a separate thread, which ends when the returned sender is dropped.
pub(super) fn start_on_own_thread(
    plan: &Plan,
    clock: Clock,
) -> Result<(StandIns, oneshot::Sender<()>), ClusterError> {
    let (result_sender, result) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let plan = plan.clone();
    std::thread::spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(error) => {
                let _ = result_sender.send(Err(ClusterError::Runtime(error)));
                return;
            }
        };
        runtime.block_on(async move {
            let stand_ins = StandIns::start(&plan, clock).await;
            let started = stand_ins.is_ok();
            let _ = result_sender.send(stand_ins);
            if started {
                let _ = stopped.await;
            }
        });
    });
    let stand_ins = result.recv().map_err(ClusterError::StandIns)??;
    Ok((stand_ins, stop))
}

impl StandIns {
    async fn start(plan: &Plan, clock: Clock) -> Result<Self, ClusterError> {
        let relay = Relay::start(plan.gateways, plan.seed).await?;
        let mut hosts = Vec::new();
        for set in 0..plan.sets {
            for (index, primary) in [(0, true), (1, false)] {
                let spec = HostSpec {
                    id: format!("h{set}-{index}"),
                    set,
                    zone: plan.zones[(set as usize + index) % plan.zones.len()].clone(),
                    primary,
                    deduplication_window: Duration::from_secs_f64(Spec::default().sets.window_s),
                };
                hosts.push(Host::start(spec, plan.gateways, clock).await?);
            }
        }
        let (zone, listed_sets) = (&plan.zones[0], plan.listed_sets);
        let listed = ListedSets::start(plan.sets, listed_sets, zone, plan.gateways, clock).await?;
        let entries = |gateway| -> Vec<Value> {
            let of_hosts = hosts.iter().map(|host| host.entry(gateway));
            of_hosts.chain(listed.entries(gateway)).collect()
        };
        let entries = (0..plan.gateways).map(entries).collect();
        let discovery = Discovery::start(entries, clock).await?;
        let mut checking_gateway = None;
        if listed_sets > 0 {
            let sets = listed.sets().into_iter().chain(sets_of(&hosts)).collect();
            let receivers = relay.listen.clone();
            checking_gateway = Some(CheckingGateway::start(sets, receivers).await?);
        }
        Ok(StandIns {
            relay,
            hosts,
            discovery,
            checking_gateway,
        })
    }
}

/// Groups the stand-in hosts by set; those of a set are adjacent.
fn sets_of(hosts: &[Host]) -> Vec<Vec<ListedHost>> {
    let listed = |host: &Host| ListedHost {
        id: host.id.clone(),
        primary: host.primary,
    };
    let sets = hosts.chunk_by(|a, b| a.set == b.set);
    sets.map(|set| set.iter().map(listed).collect()).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
