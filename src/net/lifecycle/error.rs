//! Errors that end the process with exit code 1. Their texts are what `main` prints on standard error.

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
    /// A part of the gateway could not be started.
    #[error(transparent)]
    Startup(#[from] StartupError),
    /// The router task ended. It never returns, so it has panicked.
    #[error("the router task has failed")]
    RouterTaskFailed,
}

/// Why a gateway with a readable configuration could not be started.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The asynchronous runtime could not be built.
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("cannot catch signals: {0}")]
    Signals(#[source] io::Error),
    /// A listening socket could not be bound or inherited.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The system does not say on which address a socket listens.
    #[error("no address: {0}")]
    LocalAddress(#[source] io::Error),
    /// The limit leaves no descriptor for database hosts.
    #[error(transparent)]
    TooFewDescriptors(#[from] TooFewDescriptors),
    /// The operators' file does not fit the platform's settings.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// Site failover could not be started.
    #[error("{0}")]
    SiteFailover(#[source] Box<dyn StdError>),
    /// The peer socket could not be opened. It is tried again, so this ends no process.
    #[error("{0}")]
    PeerSocket(#[source] Box<dyn StdError>),
}
