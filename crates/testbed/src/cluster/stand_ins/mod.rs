//! Stand-ins for what the gateways of a cluster connect to, as small as its tests need them: database hosts, the discovery
//! service, and the relay between gateways. They run on one thread, which ends with the cluster.

pub mod discovery;
pub mod host;
mod host_connection;
mod listed_sets;
mod protocol;

use super::relay::Relay;
use super::{Clock, ClusterError, Plan};
use discovery::Discovery;
use host::{Host, HostSpec};
use irisrouter_simulation::spec::Spec;
use listed_sets::{CheckingGateway, ListedSets};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{mpsc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// The stand-ins of one cluster.
pub(super) struct StandIns {
    pub(super) relay: Relay,
    pub(super) hosts: Vec<Host>,
    pub(super) discovery: Discovery,
    /// The address of the gateway that checks all sets for the others, where one does.
    pub(super) checking_gateway: Option<SocketAddr>,
}

/// Starts the stand-ins on a thread of their own, which ends when the sender that is returned is dropped.
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
        let listed = ListedSets {
            first: plan.sets,
            count: plan.listed_sets,
        };
        let listed_entries = listed.entries(&plan.zones[0]);
        let entries = |gateway| -> Vec<Value> {
            let of_hosts = hosts.iter().map(|host| host.entry(gateway));
            of_hosts.chain(listed_entries.iter().cloned()).collect()
        };
        let entries = (0..plan.gateways).map(entries).collect();
        let discovery = Discovery::start(entries, clock).await?;
        let mut checking_gateway = None;
        if plan.listed_sets > 0 {
            let gateway = CheckingGateway::new(listed, &hosts, &relay).await?;
            checking_gateway = Some(gateway.address()?);
            tokio::spawn(gateway.run());
            listed.spawn_list_changes(&discovery);
        }
        Ok(StandIns {
            relay,
            hosts,
            discovery,
            checking_gateway,
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
