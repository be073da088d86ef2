//! The steps of the start: each part is built, and each task spawned, by a function of its own.
//! [`Gateway::start`](super::gateway::Gateway::start) calls them in order.
//!
//! All tasks run on one thread.

use crate::net::admin::console::{self, Console};
use crate::net::claims::{self, Claims};
use crate::net::cluster::services::ClusterServices;
use crate::net::config::{Config, ListenerSource};
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::discovery;
use crate::net::downstream::connection_limit::{ConnectionLimit, IDLE_EVICTION_INTERVAL};
use crate::net::downstream::listener::ClientListener;
use crate::net::downstream::turns::TurnQueue;
use crate::net::endpoint_list::{EndpointList, ListPosition};
use crate::net::hot_restart::{self, HotRestart};
use crate::net::lifecycle::listening_socket::{bind_console, ListeningSocket};
use crate::net::lifecycle::shared_parts::SharedParts;
use crate::net::lifecycle::StartupError;
use crate::net::log::log;
use crate::net::metrics::{record_max, Metrics};
use crate::net::request::{OpenIds, RequestContext};
use crate::net::router_task::run_router;
use crate::net::upstream::{Upstream, IDLE_CLOSE_INTERVAL};
use irisrouter_endpoint_watch::Revision;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

/// How long a process that inherits its listener waits for the first answer of discovery before it accepts clients. The
/// wait is limited because a discovery service that does not answer must not keep the gateway from serving clients with
/// the endpoint list that it already has.
const FIRST_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two measurements of the delay of timers.
const EVENT_LOOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A timer that fires later than this is logged.
const LOGGED_TIMER_DELAY: Duration = Duration::from_millis(200);

/// Applies the endpoint list of the configuration file. Returns the position from which discovery continues: the
/// revision of that list if it has members, otherwise none.
pub fn apply_known_endpoints(upstream: &Upstream, endpoints: &EndpointList) -> ListPosition {
    upstream.apply_endpoint_list(endpoints);
    let revision = (!endpoints.members.is_empty()).then_some(endpoints.revision);
    ListPosition::at(revision)
}

/// Binds the console's address and starts to answer calls.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn_console(
    address: SocketAddr,
    parts: &SharedParts,
    services: &ClusterServices,
) -> Result<(), StartupError> {
    let listener = bind_console(address)?;
    let local_address = listener.local_addr().map_err(StartupError::LocalAddress)?;
    log!("operators call {local_address}");
    let console = Console {
        serving_state: Rc::clone(&parts.serving_state),
        membership: services.membership.clone(),
        leases: services.leases.clone(),
        drains: services.drains.clone(),
        site_failover: services.site_failover.clone(),
    };
    spawn_local(console::serve(listener, Rc::new(console)));
    Ok(())
}

/// Builds the part that serves clients, and joins the other processes of this gateway. It does not accept connections
/// yet.
pub fn build_client_listener(
    config: &Config,
    parts: &SharedParts,
    services: &ClusterServices,
    descriptors: &DescriptorBudget,
) -> Rc<ClientListener> {
    let connection_limit = ConnectionLimit::new(
        descriptors.client_connections,
        descriptors.usual_client_connections,
    );
    Rc::new(ClientListener {
        request_context: Rc::new(build_request_context(config, parts, services)),
        pool: Rc::clone(&parts.buffers),
        classes: Rc::clone(&parts.classes),
        connection_limit,
        serving_state: Rc::clone(&parts.serving_state),
        cancels: Rc::default(),
        turns: TurnQueue::default(),
    })
}

fn build_request_context(
    config: &Config,
    parts: &SharedParts,
    services: &ClusterServices,
) -> RequestContext {
    let shared_directory = config.hot_restart_socket.as_deref().and_then(Path::parent);
    let claims = Rc::new(Claims::new(shared_directory.map(Path::to_path_buf)));
    claims.join(Instant::now());
    RequestContext {
        router: Rc::clone(&parts.router),
        upstream: Rc::clone(&parts.upstream),
        clock: parts.clock,
        metrics: Rc::clone(&parts.metrics),
        shutdown: watch::Sender::new(None),
        write_intents: services.write_intents.clone(),
        site_failover: services.site_failover.clone(),
        open_ids: Rc::new(OpenIds::new(Rc::clone(&claims))),
        claims,
        classes: Rc::clone(&parts.classes),
    }
}

/// Takes over from an older process of this gateway, if there is one, and starts the task that hands over to newer
/// processes. Returns the revision of the endpoint list that the older process handed over, or `None` if there was no
/// hand-over.
pub async fn start_hot_restart(
    config: &Config,
    parts: &SharedParts,
    client_listener: &ClientListener,
) -> Option<Revision> {
    let path = config.hot_restart_socket.clone()?;
    let dependencies = hot_restart::Dependencies {
        upstream: Rc::clone(&parts.upstream),
        connection_limit: Rc::clone(&client_listener.connection_limit),
        buffers: Rc::clone(&parts.buffers),
        router: Rc::clone(&parts.router),
        classes: Rc::clone(&parts.classes),
        open_ids: Rc::clone(&client_listener.request_context.open_ids),
        claims: Rc::clone(&client_listener.request_context.claims),
    };
    let hot_restart = Rc::new(HotRestart::new(path, dependencies));
    let revision = hot_restart.take_over().await;
    spawn_local(hot_restart.serve_successors());
    revision
}

/// Starts the task that makes the routing decisions. The task never returns.
pub fn spawn_router(parts: &SharedParts) -> JoinHandle<()> {
    spawn_local(run_router(
        Rc::clone(&parts.router),
        Rc::clone(&parts.upstream),
        parts.clock,
    ))
}

/// The channels to and from the discovery task.
pub struct DiscoveryHandle {
    /// The address of discovery. The task calls a new address once it is sent here.
    pub address: watch::Sender<SocketAddr>,
    /// Whether discovery has answered at least once.
    pub answered: watch::Receiver<bool>,
}

/// Starts the task that watches the endpoint list from `position` on.
pub fn spawn_discovery(
    config: &Config,
    parts: &SharedParts,
    services: &ClusterServices,
    position: ListPosition,
) -> DiscoveryHandle {
    let (address, address_changes) = watch::channel(config.discovery_address);
    let (answered_sender, answered) = watch::channel(false);
    spawn_local(discovery::watch(
        address_changes,
        position,
        Rc::clone(&parts.upstream),
        Rc::clone(&parts.classes),
        answered_sender,
        services.endpoint_watch.clone(),
    ));
    DiscoveryHandle { address, answered }
}

/// Starts the tasks that close idle connections to database hosts and, where many clients are connected, the client
/// connections that have been quiet longest, and the task that notices other processes of this gateway.
pub fn spawn_housekeeping(parts: &SharedParts, client_listener: &ClientListener) {
    let upstream = Rc::clone(&parts.upstream);
    spawn_local(repeat(IDLE_CLOSE_INTERVAL, move || upstream.close_idle()));
    let connection_limit = Rc::clone(&client_listener.connection_limit);
    spawn_local(repeat(IDLE_EVICTION_INTERVAL, move || {
        connection_limit.evict_longest_idle()
    }));
    let open_ids = Rc::clone(&client_listener.request_context.open_ids);
    spawn_local(repeat(claims::REFRESH_INTERVAL, move || {
        open_ids.refresh_claims();
    }));
    let metrics = Rc::clone(&parts.metrics);
    spawn_local(watch_event_loop(metrics));
}

async fn repeat(period: Duration, action: impl Fn()) {
    let mut ticks = interval(period);
    loop {
        ticks.tick().await;
        action();
    }
}

/// Measures how late the runtime's timers fire, which is how long a task has kept the others from running. Logs long
/// delays.
async fn watch_event_loop(metrics: Rc<Metrics>) {
    let mut ticks = interval(EVENT_LOOP_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let delay = ticks.tick().await.elapsed();
        record_max(&metrics.event_loop.timer_delay_us, delay);
        if delay >= LOGGED_TIMER_DELAY {
            log!("timers fired {delay:?} late");
        }
    }
}

/// Starts the task that accepts clients.
///
/// With an inherited listener the task first waits for an answer of discovery, because another process of this gateway
/// may know of drains that this one does not know yet. Meanwhile clients wait in the accept queue, or the other process
/// accepts them.
pub fn spawn_accept(
    client_listener: &Rc<ClientListener>,
    listener: &ListeningSocket,
    mut discovery_answered: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let client_listener = Rc::clone(client_listener);
    let listener = listener.clone();
    spawn_local(async move {
        if listener.source == ListenerSource::Inherited {
            let first_answer = discovery_answered.wait_for(|&answered| answered);
            // After the timeout, clients are served with the endpoint list that the process already has.
            let _ = timeout(FIRST_DISCOVERY_TIMEOUT, first_answer).await;
        }
        client_listener.accept(listener.socket).await;
    })
}
