//! Clients: their connections, the limit on how many there are, and cancel requests.

pub mod cancel;
pub mod connection;
pub mod connection_limit;
