//! What gateways agree on with one another. Each module is the shell of a core without I/O: it feeds the core with datagrams
//! and the time, and carries out its actions.
//!
//! `peer_socket` owns the socket and calls the others; none of them reads from or writes to the network itself.

pub mod drains;
pub mod endpoint_watch;
pub mod leases;
pub mod membership;
pub mod peer_socket;
pub mod site_failover;
pub mod write_intents;
