//! What gateways agree on with one another.
//!
//! Each service (`membership`, `leases`, `write_intents`, `drains`, `endpoint_watch`,
//! `site_failover`) is the shell of a package without I/O: it feeds the package with datagrams and
//! the time, and carries out the resulting actions. None of the services reads from or writes to
//! the network itself. `peer_socket` owns the UDP socket and calls the services;
//! `shared_health_checks` runs the rounds of health checks that the gateways share.

pub mod drains;
pub mod endpoint_watch;
pub mod leases;
pub mod membership;
pub mod outbox;
pub mod peer_sender;
pub mod peer_socket;
pub mod service_clock;
pub mod services;
pub mod shared_health_checks;
pub mod site_failover;
pub mod site_failover_planning;
pub mod site_failover_status;
pub mod write_intents;
