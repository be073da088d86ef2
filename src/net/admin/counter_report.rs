//! Prints the counters to standard error, on SIGUSR1 and at the end of the process.

use crate::net::cluster::membership::MembershipService;
use crate::net::metrics::Metrics;
use std::rc::Rc;

/// The data for the report: the counters, and this gateway's view of the other gateways.
#[derive(Clone)]
pub struct CounterReport {
    /// The counters of the process.
    pub metrics: Rc<Metrics>,
    /// Cluster membership, if it is enabled.
    pub membership: Option<Rc<MembershipService>>,
}

impl CounterReport {
    /// Prints one line of the event loop, one of counters and, if membership is enabled, one of members. The rate limit for log lines
    /// does not apply.
    pub fn print(&self) {
        eprintln!("irisrouter: {}", self.metrics.event_loop);
        eprintln!("irisrouter: {}", self.metrics);
        if let Some(membership) = &self.membership {
            eprintln!("irisrouter: {}", membership.status_line());
        }
    }
}
