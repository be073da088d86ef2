//! The life of the gateway process: start, signals, reload of the configuration, shutdown.

pub mod cluster_startup;
mod error;
pub mod gateway;
pub mod listening_socket;
pub mod peer_socket_task;
pub mod reload;
pub mod shared_parts;
pub mod shutdown;
pub mod signals;
pub mod startup;

pub use error::{GatewayError, StartupError};
