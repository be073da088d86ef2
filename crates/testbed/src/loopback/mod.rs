//! A run on loopback: real gateways as processes, and round them the same world as in virtual time, behind sockets and in
//! real time. Every address is 127.0.0.1 with a port that the system gives; the load is bounded and stops by itself.

pub mod discovery;
pub mod environment;
pub mod front;
pub mod host;
pub mod peers;
pub mod process;

use crate::results::RunResults;
use crate::scenario::Scenario;
use crate::settings;
use environment::Environment;
use front::Front;
use irisrouter_simulation::clients::Arrivals;
use irisrouter_simulation::{seconds, GatewayId, HostId, Ns, SECOND};
use peers::Peers;
use process::{Processes, Program};
use serde_json::json;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// What comes is bounded: a machine's loopback is not a fleet's network.
const MOST_PER_S: f64 = 5_000.0;
/// Gateways and hosts that one machine carries.
const MOST_SOCKETS: u32 = 2_000;
/// Between the last gateway's readiness and the first arrival.
const BREATH: Ns = SECOND / 5;
/// What is still open so long after the last arrival's deadline is given up.
const AFTER: Duration = Duration::from_secs(3);

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
/// Where the settings are not taken, the scenario is too large for one machine, a gateway does not start or ends by
/// itself, with its last log lines.
pub fn run(scenario: &Scenario, seed: u64, options: &Options<'_>) -> Result<RunResults, String> {
    settings::load(scenario, seed)?;
    let w = &scenario.world;
    if w.gateways * w.hosts.count > MOST_SOCKETS {
        return Err(format!(
            "{} gateways times {} hosts are too many for one machine",
            w.gateways, w.hosts.count
        ));
    }
    let rate = irisrouter_simulation::spec::Day::draw(w, seed).demand.rate;
    if rate > MOST_PER_S {
        return Err(format!(
            "{rate:.0} requests a second are too many for one machine, {MOST_PER_S:.0} at most"
        ));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, drive(scenario, seed, options))
}

async fn drive(
    scenario: &Scenario,
    seed: u64,
    options: &Options<'_>,
) -> Result<RunResults, String> {
    let w = &scenario.world;
    let environment = Environment::new(scenario, seed);
    // Whatever ends this run ends all that it has started.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(Rc::clone(&environment).drive());
    let peers = Peers::new(Rc::clone(&environment), w.gateways).await?;
    let mut programs = Vec::new();
    for gateway in (0..w.gateways).map(GatewayId) {
        let started = prepare_gateway(scenario, &environment, &peers, &mut tasks, gateway, options);
        programs.push(started.await?);
    }
    tasks.spawn_local(peers.relay());
    let processes = Processes::new(Rc::clone(&environment), programs, seed)?;
    for g in 0..w.gateways {
        processes.start(GatewayId(g)).await?;
    }
    environment.begin(BREATH);
    let front = Front::new(Rc::clone(&environment), Rc::clone(&processes));
    let commands = Rc::clone(&processes);
    tasks.spawn_local(async move { commands.obey().await });
    let run = send_load(scenario, seed, &environment, &front);
    let sampling = async {
        for second in 0..w.length_s.ceil() as Ns {
            environment
                .until(environment.start() + second * SECOND)
                .await;
            environment.sample();
            (options.each_second)(&environment);
        }
        std::future::pending::<()>().await
    };
    let result = tokio::select! {
        () = run => Ok(()),
        () = sampling => Ok(()),
        why = processes.failed() => Err(why),
    };
    processes.stop().await;
    tasks.shutdown().await;
    result?;
    Ok(environment.results(scenario, seed))
}

/// Starts the stand-ins that one gateway talks to, and puts together how its program is started.
async fn prepare_gateway(
    scenario: &Scenario,
    environment: &Rc<Environment>,
    peers: &Rc<Peers>,
    tasks: &mut JoinSet<()>,
    gateway: GatewayId,
    options: &Options<'_>,
) -> Result<Program, String> {
    let mut addresses = Vec::new();
    for host in (0..scenario.world.hosts.count).map(HostId) {
        let listener = environment::listen().await?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        addresses.push(address.to_string());
        let environment = Rc::clone(environment);
        tasks.spawn_local(host::serve(environment, listener, gateway, host));
    }
    let listener = environment::listen().await?;
    let discovery = listener.local_addr().map_err(|e| e.to_string())?;
    let (known, all) = peers.addresses(gateway)?;
    let known: Vec<String> = known.iter().map(ToString::to_string).collect();
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
            "peers_all": all.to_string(),
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
    let patience = Duration::from_secs_f64(longest / 1e3 * tries) + AFTER;
    let _ = tokio::time::timeout(patience, async {
        while calls.join_next().await.is_some() {}
    })
    .await;
}

/// How long a run lasts at least.
pub fn length(scenario: &Scenario) -> Duration {
    Duration::from_nanos(seconds(scenario.world.length_s).max(0) as u64)
}

/// Runs a task beside the others.
fn beside(task: impl std::future::Future<Output = ()> + 'static) {
    spawn_local(task);
}
