//! Tests of membership with several real gateways behind the fault proxy: crashes (SIGKILL), stalls (SIGSTOP and
//! SIGCONT), cuts, partitions, loss, delay, restarts, and a planned stop. Each test waits for conditions with a long
//! timeout, so that no step depends on tight timing. The ping period is 200 ms, which keeps a run short; a gateway
//! survives a stall of 3 s.

mod common;

use common::{gateway, plan};
use irisrouter_testbed::cluster::relay::Traffic;
use irisrouter_testbed::cluster::schedule::{self, Fault, FaultKinds, Pace};
use irisrouter_testbed::cluster::{Cluster, PATIENCE};
use std::time::Duration;

fn start_and_settle(gateways: usize, seed: u64) -> Cluster {
    let cluster =
        Cluster::start(plan(gateways, seed, Pace::FAST.operators())).expect("the cluster starts");
    cluster
        .settle(PATIENCE)
        .expect("the views of all gateways agree");
    cluster
}

/// Runs these faults and checks that no rule of the schedule was violated.
fn assert_no_violations(gateways: usize, seed: u64, faults: Vec<Fault>) {
    let plan = plan(gateways, seed, Pace::FAST.operators());
    let verdict = schedule::run(plan, Pace::FAST, faults).expect("runs");
    assert!(verdict.violations.is_empty(), "{verdict:#?}");
}

#[test]
fn crashed_gateway_is_declared_down_by_all_and_rejoins_after_its_restart() {
    assert_no_violations(
        4,
        11,
        vec![
            Fault::Crash { gateway: 3, ms: 0 },
            Fault::Crash { gateway: 0, ms: 0 },
        ],
    );
}

#[test]
fn gateway_stalled_for_two_seconds_is_suspected_and_not_declared_down() {
    let cluster = start_and_settle(5, 12);
    let started_at = cluster.clock.now();
    cluster.stall(2);
    std::thread::sleep(Duration::from_secs(2));
    cluster.resume(2);
    cluster
        .settle(PATIENCE)
        .expect("all believe the stalled gateway to be alive again");
    let others = [0, 1, 3, 4];
    let by_any = |to| {
        others
            .iter()
            .any(|&o| has_logged_change(&cluster, o, 2, to, started_at))
    };
    assert!(by_any("suspect"), "no gateway suspected the stalled one");
    assert!(!by_any("down"), "a stalled gateway was declared down");
    // The stalled gateway received nothing during its stall, and must not declare the others down for that.
    for other in others {
        assert!(
            !has_logged_change(&cluster, 2, other, "down", started_at),
            "the stalled gateway declared {other} down"
        );
    }
}

fn has_logged_change(
    cluster: &Cluster,
    observer: usize,
    member: usize,
    to: &str,
    since: u64,
) -> bool {
    cluster
        .changes(observer, member, to)
        .iter()
        .any(|&at| at >= since)
}

#[test]
fn no_gateway_is_declared_down_under_a_one_way_cut_or_delay() {
    let faults = vec![
        Fault::OneWay {
            from: 0,
            to: 1,
            ms: 6_000,
        },
        Fault::Delay {
            by_ms: 20,
            ms: 4_000,
        },
    ];
    assert_no_violations(5, 13, faults);
}

#[test]
fn no_gateway_is_declared_down_when_a_third_of_datagrams_is_lost_for_a_minute() {
    assert_no_violations(
        5,
        17,
        vec![Fault::Loss {
            percent: 30,
            ms: 60_000,
        }],
    );
}

#[test]
fn sides_of_a_partition_declare_each_other_down_and_agree_after_it_heals() {
    let cluster = start_and_settle(5, 14);
    cluster.partition(&[0, 1, 2], &[3, 4]);
    let declares_all_down =
        |o: usize, side: &[usize]| side.iter().all(|&m| cluster.view(o)[m] == "down");
    let until = std::time::Instant::now() + PATIENCE;
    while !((0..3).all(|o| declares_all_down(o, &[3, 4]))
        && (3..5).all(|o| declares_all_down(o, &[0, 1, 2])))
    {
        assert!(
            std::time::Instant::now() < until,
            "the sides do not declare each other down"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    // Only the larger side has a majority.
    assert!(cluster
        .call(0, "members")
        .contains("reachable=3 of 5 majority=true"));
    assert!(cluster
        .call(4, "members")
        .contains("reachable=2 of 5 majority=false"));
    cluster.heal();
    cluster.settle(PATIENCE).expect("the views agree");
}

#[test]
fn gateway_that_stops_on_request_is_declared_down_without_suspicion() {
    let mut cluster = start_and_settle(4, 15);
    let started_at = cluster.clock.now();
    assert_eq!(cluster.terminate(1), Some(0));
    cluster
        .settle(PATIENCE)
        .expect("the others declare it down");
    // A gateway that receives the announcement of the stop declares the member down without suspecting it first.
    assert!([0, 2, 3].iter().any(|&o| {
        has_logged_change(&cluster, o, 1, "down", started_at)
            && !has_logged_change(&cluster, o, 1, "suspect", started_at)
    }));
}

#[test]
fn gateways_without_an_operators_file_send_no_membership_datagrams() {
    let cluster = Cluster::start(plan(2, 16, String::new())).expect("the cluster starts");
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(cluster.relay.network().sent, [Traffic::default(); 2]);
    assert_eq!(cluster.call(0, "members"), "-ERR membership is off");
    cluster
        .history
        .inspect_lines(|lines| assert!(!lines.iter().any(|l| l.text.contains("membership"))));
}

#[test]
fn cluster_command_prints_the_drawn_schedule_and_the_summary_of_its_run() {
    let dry = std::process::Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .args([
            "cluster",
            "--gateways",
            "3",
            "--faults",
            "4",
            "--seed",
            "9",
            "--dry",
        ])
        .output()
        .expect("the program");
    let drawn: serde_json::Value = serde_json::from_slice(&dry.stdout).expect("JSON");
    let expected = schedule::draw(3, 4, Pace::FAST, 9, FaultKinds::All);
    assert_eq!(drawn[0][1], serde_json::to_value(expected).expect("JSON"));
    let run = std::process::Command::new(env!("CARGO_BIN_EXE_irisrouter-testbed"))
        .args([
            "cluster",
            "--gateways",
            "3",
            "--faults",
            "1",
            "--seed",
            "9",
            "--gateway",
        ])
        .arg(gateway())
        .output()
        .expect("the program");
    let said = String::from_utf8_lossy(&run.stdout);
    assert!(
        run.status.success(),
        "{said}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    assert!(said.starts_with("1 schedules, 1 faults\n"), "{said}");
}
