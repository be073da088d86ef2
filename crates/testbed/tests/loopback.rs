//! Loopback: the stand-ins against a client that is not ours, and the program with real gateways as processes.
//! Nothing here is about speed: a slow machine gives the same verdict.

mod common;

use common::{gateway, root};
use irisrouter_simulation::spec::{
    Fault, HostFault, HostSelection, SilentHosts, Spec, ValueOrRange,
};
use irisrouter_simulation::{GatewayId, HostId, MS, SECOND};
use irisrouter_testbed::loopback::environment::{ClientStatement, Environment};
use irisrouter_testbed::loopback::host::{comment_fields, payload, serve};
use irisrouter_testbed::loopback::peers::Peers;
use irisrouter_testbed::scenario::Scenario;
use irisrouter_testbed::sockets::listen;
use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, LocalSet};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

fn testbed(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .args(args)
        .current_dir(root())
        .output()
        .expect("the program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn spec(faults: Vec<Fault>) -> Scenario {
    let mut world = Spec {
        faults,
        ..Spec::default()
    };
    world.hosts.count = 6;
    world.hosts.errors = 0.0;
    world.sets.ship_ms = ValueOrRange::Value(5.0);
    Scenario {
        title: "t".into(),
        about: String::new(),
        world,
        gateway: Default::default(),
    }
}

/// Adds a statement that a client has sent.
fn add_statement(environment: &Environment, id: &str, class: usize, key: Option<u64>) {
    let statement = ClientStatement {
        class,
        work: 5 * MS,
        key,
        mark: 0,
        sent: environment.now(),
        open: true,
    };
    environment.add_statement(id, statement);
}

/// A client's connection to a host of the environment.
async fn connect(
    environment: &Rc<Environment>,
    host: u32,
) -> Result<Client, tokio_postgres::Error> {
    let listener = listen().await.expect("a port");
    let at = listener.local_addr().expect("an address");
    spawn_local(serve(
        Rc::clone(environment),
        listener,
        GatewayId(0),
        HostId(host),
    ));
    let url = format!(
        "host={} port={} user=web dbname=orders connect_timeout=2",
        at.ip(),
        at.port()
    );
    let (client, connection) = tokio_postgres::connect(&url, NoTls).await?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Ok(client)
}

fn value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|m| match m {
        SimpleQueryMessage::Row(r) => r.get(0).map(str::to_string),
        _ => None,
    })
}

fn in_environment(scenario: Scenario, test: impl AsyncFnOnce(Rc<Environment>)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let environment = Environment::new(&scenario, 1);
        spawn_local(Rc::clone(&environment).drive());
        environment.begin(0);
        test(environment).await;
    });
}

#[test]
fn stand_in_host_serves_a_client_of_another_implementation() {
    in_environment(spec(Vec::new()), async |environment| {
        let primary = connect(&environment, 0).await.expect("a connection");
        let usage =
            value(&primary.simple_query("SHOW usage").await.expect("a report")).expect("a value");
        assert!(
            usage.contains("x1=1") && usage.starts_with("x0="),
            "{usage}"
        );
        assert_eq!(
            value(&primary.simple_query("SELECT 1").await.expect("a row")),
            Some("1".into())
        );
        assert!(
            primary.simple_query("").await.is_ok()
                && primary.simple_query("SET a = 1").await.is_ok()
        );
        let statement = "INSERT INTO entries (ref, payload) VALUES ('s1', 'x') RETURNING payload \
            /* id=a1,c=count-write,d=900,cluster=0,k=2a */";
        let unknown = primary
            .simple_query(statement)
            .await
            .expect_err("nobody asked");
        assert_eq!(unknown.code().map(|c| c.code()), Some("08P01"));
        add_statement(&environment, "a1", 4, Some(0x2a));
        let row = primary.simple_query(statement).await.expect("a row");
        assert_eq!(value(&row), Some(payload("a1")));
        assert!(environment
            .fleet
            .borrow()
            .invariants()
            .commit(0x2a)
            .is_some());
        // The same statement at a replica, and one that was changed on its way.
        let replica = connect(&environment, 1).await.expect("a connection");
        let miss = replica
            .simple_query(statement)
            .await
            .expect_err("no primary");
        assert_eq!(miss.code().map(|c| c.code()), Some("25006"));
        let spoilt = replica
            .simple_query(&statement.replace("k=2a", "k=2b"))
            .await
            .expect_err("another key");
        assert_eq!(spoilt.code().map(|c| c.code()), Some("08P01"));
        assert_eq!(environment.collector.borrow().malformed, 2);
        assert_eq!(environment.collector.borrow().attempts, 2);
    });
}

#[test]
fn write_is_applied_after_its_client_has_given_up() {
    in_environment(spec(Vec::new()), async |environment| {
        let client = connect(&environment, 0).await.expect("a connection");
        add_statement(&environment, "a1", 4, Some(7));
        let gone = client.simple_query("INSERT /* id=a1,c=count-write,d=900,cluster=0,k=7 */");
        assert!(
            tokio::time::timeout(std::time::Duration::from_millis(1), gone)
                .await
                .is_err()
        );
        drop(client);
        while environment.fleet.borrow().invariants().commit(7).is_none() {
            environment.until(environment.now() + 5 * MS).await;
        }
    });
}

#[test]
fn dead_host_resets_its_connections_and_silent_host_sends_nothing() {
    let fault = |silent: bool, host: u32| {
        let hosts = HostSelection {
            these: Some(vec![host]),
            ..HostSelection::default()
        };
        let (at_s, for_s) = (ValueOrRange::Value(0.3), ValueOrRange::Value(600.0));
        match silent {
            true => Fault {
                at_s,
                for_s,
                silent: Some(SilentHosts { hosts, hang: false }),
                ..Fault::default()
            },
            false => Fault {
                at_s,
                for_s,
                reset: Some(HostFault { hosts }),
                ..Fault::default()
            },
        }
    };
    in_environment(
        spec(vec![fault(true, 1), fault(false, 2)]),
        async |environment| {
            let (silent, dead) = (
                connect(&environment, 1).await.expect("up"),
                connect(&environment, 2).await.expect("up"),
            );
            environment.until(environment.start() + SECOND / 2).await;
            let broken = dead.simple_query("SELECT 1").await.expect_err("it is dead");
            assert!(broken.as_db_error().is_none());
            let nothing = silent.simple_query("SHOW usage");
            assert!(
                tokio::time::timeout(std::time::Duration::from_millis(300), nothing)
                    .await
                    .is_err()
            );
            assert!(connect(&environment, 2).await.is_err(), "refused");
        },
    );
}

/// Each gateway knows the others by addresses of its own, and hears them from these; nobody speaks for another.
#[test]
fn relayed_datagrams_come_from_the_address_that_their_receiver_knows() {
    in_environment(spec(Vec::new()), async |environment| {
        let peers = Peers::new(Rc::clone(&environment), 3)
            .await
            .expect("a relay");
        spawn_local(Rc::clone(&peers).relay());
        let mut gateways = Vec::new();
        for g in 0..3 {
            gateways.push(
                UdpSocket::bind(peers.listen(GatewayId(g)))
                    .await
                    .expect("its port"),
            );
        }
        let addresses = peers.addresses(GatewayId(0)).expect("addresses");
        let (known, all) = (addresses.known, addresses.broadcast);
        gateways[0]
            .send_to(b"to one", known[2])
            .await
            .expect("sent");
        gateways[0].send_to(b"to all", all).await.expect("sent");
        // Forged: gateway 1 writes to where gateway 0 sends.
        gateways[1]
            .send_to(b"forged", known[2])
            .await
            .expect("sent");
        gateways[0]
            .send_to(&[0; 257], known[1])
            .await
            .expect("sent");
        let mut heard = Vec::new();
        for (g, count) in [(1, 1), (2, 2)] {
            let from_0 = peers.addresses(GatewayId(g)).expect("addresses").known;
            for _ in 0..count {
                let mut buffer = [0; 512];
                let (n, source) = gateways[g as usize]
                    .recv_from(&mut buffer)
                    .await
                    .expect("a datagram");
                assert_eq!(source, from_0[0]);
                heard.push((g, text(&buffer[..n])));
            }
        }
        heard.sort();
        assert_eq!(
            heard,
            [
                (1, "to all".into()),
                (2, "to all".into()),
                (2, "to one".into())
            ]
        );
        while environment.datagrams.borrow().sent < 4 {
            environment.until(environment.now() + MS).await;
        }
        let d = environment.datagrams.borrow().clone();
        assert_eq!((d.sent, d.too_long, d.bytes), (4, 1, 18 + 257));
    });
}

#[test]
fn last_comment_of_a_statement_is_read_whatever_precedes_it() {
    let names = comment_fields("SELECT '/* id=no */' /* id=9b1f,c=page-read, d=480 */ ;");
    assert_eq!(
        (names.get("id"), names.get("d")),
        (Some(&"9b1f"), Some(&"480"))
    );
    assert!(comment_fields("SELECT 1").is_empty());
    assert_ne!(payload("a"), payload("b"));
}

#[test]
fn demonstration_runs_and_ends_with_0() {
    gateway();
    let out = testbed(&["demo"]);
    let said = text(&out.stdout);
    assert!(out.status.success(), "{said}\n{}", text(&out.stderr));
    assert!(
        said.contains("none") && said.contains("In all") && said.contains("loopback"),
        "{said}"
    );
}

#[test]
fn gateways_killed_in_waves_start_again_and_serve() {
    let gateway = gateway();
    let dir = tempfile::tempdir().expect("a folder");
    let json = dir.path().join("f.json");
    let args = [
        "run",
        "scenarios/waves.jsonnet",
        "--mode",
        "loopback",
        "--gateway",
        gateway.to_str().expect("a path"),
    ];
    let vary = [
        "-V",
        "length=14",
        "-V",
        "gateways=3",
        "-V",
        "hosts=6",
        "-V",
        "load=0.3",
        "-V",
        "at=4",
        "-V",
        "span=6",
    ];
    let out = testbed(
        &[
            &args[..],
            &vary,
            &["--json", json.to_str().expect("a path")],
        ]
        .concat(),
    );
    assert!(out.status.success(), "{}", text(&out.stderr));
    let f: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("figures")).expect("JSON");
    let marks: Vec<&str> = f["marks"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|m| m["what"].as_str())
        .collect();
    assert!(
        marks.iter().filter(|m| m.starts_with("gateway ")).count() >= 2,
        "{marks:?}"
    );
    assert_eq!(
        (f["wrong_rows"].as_u64(), f["malformed"].as_u64()),
        (Some(0), Some(0))
    );
    assert_eq!(
        (f["applied_twice"].as_u64(), f["stale_reads"].as_u64()),
        (Some(0), Some(0))
    );
    assert!(
        f["service"].as_f64().is_some_and(|s| s > 0.2),
        "{}",
        f["service"]
    );
}

#[test]
fn missing_or_dying_gateway_ends_the_run_with_1_and_its_last_log_lines() {
    let missing = testbed(&[
        "run",
        "scenarios/calm.jsonnet",
        "--mode",
        "loopback",
        "--gateway",
        "no/such/program",
    ]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(
        text(&missing.stderr).contains("no/such/program"),
        "{}",
        text(&missing.stderr)
    );
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("gateway");
    std::fs::write(
        &path,
        "#!/bin/sh\necho 'cannot go on: no seed' >&2\nexit 3\n",
    )
    .expect("a script");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("a program");
    let dies = testbed(&[
        "run",
        "scenarios/calm.jsonnet",
        "--mode",
        "loopback",
        "--gateway",
        path.to_str().expect("a path"),
    ]);
    assert_eq!(dies.status.code(), Some(1));
    let said = text(&dies.stderr);
    assert!(
        said.contains("cannot go on: no seed") && said.contains("ended"),
        "{said}"
    );
}
