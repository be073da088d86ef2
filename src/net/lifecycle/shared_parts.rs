//! The parts of the gateway that requests, background tasks and cluster services share.

use crate::net::buffers::Pool;
use crate::net::config::Config;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::net::metrics::Metrics;
use crate::net::request::classes::Classes;
use crate::net::router_task::RouterHandle;
use crate::net::serving_state::ServingState;
use crate::net::upstream::Upstream;
use crate::net::Clock;
use std::rc::Rc;

/// A quarter of the memory limit is for messages that exceed the usual size of a buffer.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Parts of the gateway that several tasks use.
#[derive(Clone)]
pub struct SharedParts {
    /// The clock of the process.
    pub clock: Clock,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Buffers for messages.
    pub buffers: Rc<Pool>,
    /// The router.
    pub router: Rc<RouterHandle>,
    /// The database hosts and the connections to them.
    pub upstream: Rc<Upstream>,
    /// The request classes and the router's settings.
    pub classes: Rc<Classes>,
    /// Whether the process serves clients.
    pub serving_state: Rc<ServingState>,
}

impl SharedParts {
    /// Builds the parts. No task runs yet, and no database host is known.
    pub fn new(config: &Config, descriptors: &DescriptorBudget) -> Self {
        let clock = Clock::new();
        let metrics = Rc::<Metrics>::default();
        let buffers = Pool::new(config.memory_limit / BUFFER_MEMORY_DIVISOR);
        let classes = Rc::new(Classes::new(&config.platform));
        let router = Rc::new(RouterHandle::new(classes.settings().clone()));
        let router_handle = Rc::clone(&router);
        let upstream = Upstream::new(
            &config.platform,
            descriptors.upstream_connections,
            Rc::clone(&buffers),
            Rc::clone(&metrics),
            clock,
            Box::new(move |event| router_handle.post(event)),
        );
        Self {
            clock,
            metrics,
            buffers,
            router,
            upstream: Rc::new(upstream),
            classes,
            serving_state: Rc::default(),
        }
    }
}
