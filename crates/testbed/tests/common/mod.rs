//! Helpers for the tests with real gateways.

#![allow(dead_code, reason = "not every test uses all of it")]

use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, EndpointListMode, GatewayLimits, Plan, PATIENCE};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

pub const LEASE_MS: u64 = 1_000;

pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Path of the gateway's executable. A test run of the whole workspace has built it already; a test run of this package
/// alone builds it here.
pub fn gateway() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_irisrouter-testbed")).with_file_name("irisrouter");
    if !path.is_file() {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "--locked", "--bin", "irisrouter"])
            .current_dir(root())
            .status();
        assert!(
            built.is_ok_and(|s| s.success()),
            "cargo build of the gateway failed"
        );
    }
    path
}

/// The plan of a small cluster with one set in one zone.
pub fn plan(gateways: usize, seed: u64, operators: String) -> Plan {
    Plan {
        gateways,
        sets: 1,
        listed_sets: 0,
        zones: vec!["a".into()],
        seed,
        program: gateway(),
        operators,
        endpoint_list: EndpointListMode::Pushed,
        deadline_percent: 100,
        limits: GatewayLimits::default(),
    }
}

/// Starts a cluster with leases on and three sets, and waits until each set has a lease holder.
pub fn start_with_leases(gateways: usize, seed: u64) -> Cluster {
    let operators = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    }
    .operators();
    start_and_settle(Plan {
        sets: 3,
        ..plan(gateways, seed, operators)
    })
}

pub fn start_and_settle(plan: Plan) -> Cluster {
    let cluster = Cluster::start(plan).expect("the cluster starts");
    cluster
        .settle(PATIENCE)
        .expect("the views of all gateways agree");
    wait_until("every set has a holder of its lease", || {
        (0..3).all(|set| cluster.recent_health_checker(set, 300).is_some())
    });
    cluster
}

pub fn wait_until(what: &str, mut until: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !until() {
        assert!(
            Instant::now() < end,
            "condition not met within {PATIENCE:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one statement on a new connection. Returns the first value of the answer, or the error's SQLSTATE: `closed` if
/// it has none. An error while connecting is returned as its text.
pub fn send_statement(cluster: &Cluster, gateway: usize, text: &str) -> Result<String, String> {
    let at = cluster.process(gateway).expect("the gateway runs").address;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let url = format!("host=127.0.0.1 port={} user=web dbname=orders", at.port());
        let (client, connection) = tokio_postgres::connect(&url, tokio_postgres::NoTls)
            .await
            .map_err(|e| e.to_string())?;
        let connection_task = tokio::spawn(connection);
        let result = client.simple_query(text).await;
        drop(client);
        let _ = connection_task.await;
        match result {
            Ok(rows) => Ok(rows
                .iter()
                .find_map(|m| match m {
                    tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_string),
                    _ => None,
                })
                .unwrap_or_default()),
            Err(e) => Err(e
                .code()
                .map_or_else(|| "closed".into(), |c| c.code().to_string())),
        }
    })
}
