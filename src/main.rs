//! A gateway in front of groups of database hosts, each a primary with its replicas.
//!
//! The program reads its configuration, starts, serves clients until SIGTERM or SIGINT, and shuts down. Each of these
//! steps is a module of [`net::lifecycle`].

#![forbid(unsafe_code)]

mod net;

use net::config::Config;
use net::lifecycle::gateway::Gateway;
use net::lifecycle::signals::Signals;
use net::lifecycle::{GatewayError, StartupError};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match load_and_run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("irisrouter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the configuration and runs the gateway on one thread until it is stopped.
fn load_and_run() -> Result<(), GatewayError> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), GatewayError> {
    // The signal handlers are installed before the listener is bound, so that a SIGTERM during the start leads to a
    // planned shutdown.
    let signals = Signals::catch()?;
    let gateway = Gateway::start(config, signals.operator).await?;
    gateway.run_until_terminated(signals.termination).await
}
