//! Errors that end the process with exit code 1. `main` prints their texts on standard error.

use crate::net::config::operator_config::OperatorConfigError;
use crate::net::config::ConfigError;
use crate::net::descriptor_budget::TooFewDescriptors;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the process ended with an error.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The environment, the configuration file or the operators' file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The gateway could not be started.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The router task ended. Because it never returns, it must have panicked.
    #[error("the router task has failed")]
    RouterTaskFailed,
}

/// Why a gateway could not be started although its configuration could be read.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The asynchronous runtime could not be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("cannot catch signals: {0}")]
    Signals(#[source] io::Error),
    /// A listening socket could not be bound or inherited.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operating system did not return the address on which a socket listens.
    #[error("cannot determine the address of a listening socket: {0}")]
    LocalAddress(#[source] io::Error),
    /// The descriptor limit leaves no descriptor for connections to database hosts.
    #[error(transparent)]
    TooFewDescriptors(#[from] TooFewDescriptors),
    /// The operators' file contradicts the platform's settings.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// Site failover could not be started.
    #[error("{0}")]
    SiteFailover(#[source] Box<dyn StdError>),
    /// The peer socket could not be opened. This error is only logged and the socket is tried again, so it does not
    /// end the process.
    #[error("{0}")]
    PeerSocket(#[source] Box<dyn StdError>),
}
