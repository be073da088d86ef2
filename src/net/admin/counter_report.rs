//! The counters on standard error, for SIGUSR1 and for the end of the process.

use crate::net::cluster::membership::MembershipService;
use crate::net::metrics::Metrics;
use std::rc::Rc;

/// What is printed: the counters, and this gateway's view of the others.
#[derive(Clone)]
pub struct CounterReport {
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Cluster membership, where it is on.
    pub membership: Option<Rc<MembershipService>>,
}

impl CounterReport {
    /// Prints one line of counters and, with membership, one line of members. The limit on log lines does not apply.
    pub fn print(&self) {
        eprintln!("irisrouter: {}", self.metrics);
        if let Some(membership) = &self.membership {
            eprintln!("irisrouter: {}", membership.status_line());
        }
    }
}
