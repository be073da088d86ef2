//! Services through which the gateways of a fleet coordinate.
//!
//! Each service (`membership`, `leases`, `write_intents`, `drains`, `endpoint_watch`,
//! `site_failover`) wraps a package that does no I/O: the service passes received datagrams and the
//! current time to the package, and carries out the actions that the package returns. None of the
//! services reads from or writes to the network itself. `peer_socket` owns the UDP socket and calls
//! the services; `shared_health_checks` checks the health of the database hosts and exchanges the
//! results with the other gateways.

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
