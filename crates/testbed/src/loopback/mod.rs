//! A run on loopback: real gateways as processes, and round them the same world as in virtual time, behind sockets and in
//! real time. Every address is 127.0.0.1 with a port that the system gives; the load is bounded and stops by itself.

pub mod discovery;
pub mod environment;
mod error;
pub mod front;
pub mod host;
pub mod peers;
pub mod process;

pub use error::{GatewayFailure, LoopbackError, ProcessEnd};

use crate::results::RunResults;
use crate::scenario::Scenario;
use crate::settings;
use crate::sockets;
use environment::Environment;
use front::Front;
use irisrouter_simulation::clients::Arrivals;
use irisrouter_simulation::spec::Day;
use irisrouter_simulation::{GatewayId, HostId, Ns, SECOND};
use peers::Peers;
use process::{Processes, Program};
use serde_json::json;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Highest load, in requests a second, as the loopback of one machine is not a fleet's network.
const MAX_REQUESTS_PER_S: f64 = 5_000.0;
/// Most pairs of a gateway and a host that one machine carries.
const MAX_CONNECTIONS: u32 = 2_000;
/// Between the last gateway's readiness and the first arrival.
const START_DELAY: Ns = SECOND / 5;
/// Requests that are still open so long after the last arrival's deadline are given up.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// How to run.
pub struct Options<'a> {
    /// The gateway's program.
    pub gateway: PathBuf,
    /// Called each second with the run so far.
    pub each_second: &'a dyn Fn(&Environment),
}

/// Runs a scenario on loopback.
///
/// # Errors
/// The settings are not taken, the scenario is too large for one machine, or a gateway does not start or ends by itself.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options<'_>,
) -> Result<RunResults, LoopbackError> {
    settings::load(scenario, seed)?;
    check_size(scenario, seed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(LoopbackError::Runtime)?;
    LocalSet::new().block_on(&runtime, drive(scenario, seed, options))
}

/// Refuses a scenario that is too large for one machine.
fn check_size(scenario: &Scenario, seed: u64) -> Result<(), LoopbackError> {
    let world = &scenario.world;
    let (gateways, hosts) = (world.gateways, world.hosts.count);
    if gateways * hosts > MAX_CONNECTIONS {
        return Err(LoopbackError::TooManyConnections { gateways, hosts });
    }
    let per_s = Day::draw(world, seed).demand.rate;
    if per_s > MAX_REQUESTS_PER_S {
        return Err(LoopbackError::TooManyRequests { per_s });
    }
    Ok(())
}

async fn drive(
    scenario: &Scenario,
    seed: u64,
    options: &Options<'_>,
) -> Result<RunResults, LoopbackError> {
    let world = &scenario.world;
    let environment = Environment::new(scenario, seed);
    // Whatever ends this run ends all that it has started.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(Rc::clone(&environment).drive());
    let peers = Peers::new(Rc::clone(&environment), world.gateways).await?;
    let mut programs = Vec::new();
    for gateway in (0..world.gateways).map(GatewayId) {
        let started = prepare_gateway(scenario, &environment, &peers, &mut tasks, gateway, options);
        programs.push(started.await?);
    }
    tasks.spawn_local(peers.relay());
    let processes = Processes::new(Rc::clone(&environment), programs, seed)?;
    for gateway in (0..world.gateways).map(GatewayId) {
        processes.start(gateway).await?;
    }
    environment.begin(START_DELAY);
    let front = Front::new(Rc::clone(&environment), Rc::clone(&processes));
    tasks.spawn_local(Rc::clone(&processes).apply_faults());
    let result = tokio::select! {
        () = send_load(scenario, seed, &environment, &front) => Ok(()),
        () = sample_each_second(scenario, &environment, options) => Ok(()),
        error = processes.failed() => Err(error),
    };
    processes.stop().await;
    tasks.shutdown().await;
    result?;
    Ok(environment.results(scenario, seed))
}

/// Samples the hosts each second of the run, and never ends.
async fn sample_each_second(scenario: &Scenario, environment: &Environment, options: &Options<'_>) {
    for second in 0..scenario.world.length_s.ceil() as Ns {
        environment
            .until(environment.start() + second * SECOND)
            .await;
        environment.sample();
        (options.each_second)(environment);
    }
    std::future::pending::<()>().await;
}

/// Starts the stand-ins that one gateway talks to, and puts together how its program is started.
async fn prepare_gateway(
    scenario: &Scenario,
    environment: &Rc<Environment>,
    peers: &Rc<Peers>,
    tasks: &mut JoinSet<()>,
    gateway: GatewayId,
    options: &Options<'_>,
) -> Result<Program, LoopbackError> {
    let mut addresses = Vec::new();
    for host in (0..scenario.world.hosts.count).map(HostId) {
        let listener = sockets::listen().await?;
        let address = sockets::listener_address(&listener)?;
        addresses.push(address.to_string());
        let environment = Rc::clone(environment);
        tasks.spawn_local(host::serve(environment, listener, gateway, host));
    }
    let listener = sockets::listen().await?;
    let discovery = sockets::listener_address(&listener)?;
    let peer_addresses = peers.addresses(gateway)?;
    let known: Vec<String> = (peer_addresses.known.iter())
        .map(ToString::to_string)
        .collect();
    let addresses = Rc::new(addresses);
    tasks.spawn_local(discovery::serve(
        Rc::clone(environment),
        listener,
        gateway,
        Rc::clone(&addresses),
    ));
    let name = format!("g{}", gateway.0);
    Ok(Program {
        name: name.clone(),
        file: options.gateway.clone(),
        config: json!({
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": discovery.to_string(),
            "seed": "0",
            "peer_listen": peers.listen(gateway).to_string(),
            "peers": known,
            "peers_all": peer_addresses.broadcast.to_string(),
            "limits": { "cores": 1.0, "memory_mb": scenario.gateway.memory_mb, "sockets": scenario.gateway.sockets },
            "settings": settings::object(scenario),
        }),
        addresses,
    })
}

/// Sends the day's requests at their times and waits for the answers, no longer than clients would.
async fn send_load(scenario: &Scenario, seed: u64, environment: &Environment, front: &Rc<Front>) {
    let world = &scenario.world;
    let mut calls = JoinSet::new();
    for arrival in Arrivals::new(world, seed) {
        environment.until(environment.start() + arrival.at).await;
        calls.spawn_local(Rc::clone(front).call(arrival));
        while calls.try_join_next().is_some() {}
    }
    let deadlines = world.classes.iter().map(|class| class.deadline_ms);
    let longest = deadlines.fold(0.0, f64::max);
    let tries = f64::from(world.clients.retries + 1);
    let patience = Duration::from_secs_f64(longest / 1e3 * tries) + DRAIN_TIMEOUT;
    let _ = tokio::time::timeout(patience, async {
        while calls.join_next().await.is_some() {}
    })
    .await;
}

/// Runs a task beside the others, until the run's thread ends.
fn spawn(task: impl std::future::Future<Output = ()> + 'static) {
    spawn_local(task);
}
