//! The parts that requests, background tasks and cluster services of one process share.

use crate::net::admin::serving_state::ServingState;
use crate::net::buffers::Pool;
use crate::net::config::Config;
use crate::net::lifecycle::StartupError;
use crate::net::metrics::Metrics;
use crate::net::request::classes::Classes;
use crate::net::router_task::RouterHandle;
use crate::net::upstream::Upstream;
use crate::net::Clock;
use std::rc::Rc;

/// Descriptors of every process beside those of clients and database hosts: standard streams, the runtime, the
/// listeners, discovery, console connections, and client connections that are being turned away.
pub const RESERVED_DESCRIPTORS: usize = 64;
/// One in three of the other descriptors is for database hosts. Clients need more: they hold connections while their
/// requests wait, and hosts are sent no more at a time than the router allows.
const UPSTREAM_DIVISOR: usize = 3;
/// The platform lets clients hold a third of all descriptors. From half of that, a sixth, quiet clients are closed to
/// make room for others.
const USUAL_CLIENTS_DIVISOR: usize = 6;
/// One part in four of the memory limit is for messages that exceed a buffer's size.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// How the descriptors of the process are divided.
pub struct DescriptorBudget {
    /// Connections to database hosts, at most.
    pub upstream_connections: usize,
    /// Client connections, at most.
    pub client_connections: usize,
    /// Client connections above which quiet ones are closed early.
    pub usual_client_connections: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors.
    ///
    /// # Errors
    ///
    /// None is left for database hosts.
    pub fn new(limit: usize) -> Result<Self, StartupError> {
        let available = limit.saturating_sub(RESERVED_DESCRIPTORS);
        let upstream_connections = available / UPSTREAM_DIVISOR;
        if upstream_connections == 0 {
            return Err(StartupError::TooFewDescriptors { limit });
        }
        Ok(Self {
            upstream_connections,
            client_connections: available - upstream_connections,
            usual_client_connections: limit / USUAL_CLIENTS_DIVISOR,
        })
    }
}

/// Parts of the gateway that several tasks use.
#[derive(Clone)]
pub struct SharedParts {
    /// The clock of the process.
    pub clock: Clock,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Buffers for messages.
    pub buffers: Rc<Pool>,
    /// Events to the router task.
    pub router: Rc<RouterHandle>,
    /// The database hosts and the connections to them.
    pub upstream: Rc<Upstream>,
    /// The request classes and the router's settings.
    pub classes: Rc<Classes>,
    /// Whether clients are served.
    pub serving_state: Rc<ServingState>,
}

impl SharedParts {
    /// Builds the parts; nothing runs yet and no database host is known.
    pub fn new(config: &Config, descriptors: &DescriptorBudget) -> Self {
        let clock = Clock::new();
        let metrics = Rc::<Metrics>::default();
        let buffers = Pool::new(config.memory_limit / BUFFER_MEMORY_DIVISOR);
        let router = Rc::<RouterHandle>::default();
        let router_of_upstream = Rc::clone(&router);
        let upstream = Upstream::new(
            &config.platform,
            descriptors.upstream_connections,
            Rc::clone(&buffers),
            Rc::clone(&metrics),
            clock,
            Box::new(move |event| router_of_upstream.post(event)),
        );
        Self {
            clock,
            metrics,
            buffers,
            router,
            upstream: Rc::new(upstream),
            classes: Rc::new(Classes::new(&config.platform)),
            serving_state: Rc::default(),
        }
    }
}
