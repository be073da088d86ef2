//! Tests of gateways in front of thousands of hosts: another gateway, played by the testbed, sends them the
//! health-check results of all hosts.

mod common;

use irisrouter_testbed::cluster::processor::{usage, ProcessUsage, ProcessorShare};
use irisrouter_testbed::cluster::stand_ins::listed_sets::{host_id, SET_SIZE};
use irisrouter_testbed::cluster::timed_reads::{ReadCounts, TimedReads};
use irisrouter_testbed::cluster::{Cluster, Plan};
use std::thread;
use std::time::Duration;

/// Number of sets of a typical fleet (192 hosts), and of the operators' largest one (3,204 hosts).
const TYPICAL_SETS: u64 = 16;
const MAX_SETS: u64 = 267;
/// An answer that arrives later than this after its deadline counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Share of a processor core to which a gateway is limited.
const CORE_SHARE: f64 = 0.1;
/// Number of changes of the endpoint list in a run with changes, and the time between two of them.
const CHANGES: u64 = 700;
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which health-check results are held back before they are all sent in one burst.
const HOLD: Duration = Duration::from_millis(1_500);

fn start(gateways: usize, listed_sets: u64) -> Cluster {
    Cluster::start(Plan {
        listed_sets,
        ..common::plan(gateways, 1, String::new())
    })
    .expect("a cluster")
}

fn send_reads(cluster: &Cluster, gateway: usize, sets: u64) -> ReadCounts {
    let address = cluster.process(gateway).expect("the gateway runs").address;
    let reads = TimedReads {
        clients: 15,
        interval: Duration::from_millis(500),
        duration: Duration::from_secs(8),
        sets,
        unanswered_every: 0,
    };
    reads.run(address).expect("a runtime")
}

fn limit_processor_share(cluster: &Cluster, gateway: usize) -> ProcessorShare {
    let process = cluster.process(gateway).expect("the gateway runs");
    ProcessorShare::limit(process.system_id(), CORE_SHARE)
}

#[track_caller]
fn assert_no_answer_lost(reads: ReadCounts) {
    assert_eq!(reads.unanswered, 0, "{reads:?}");
    assert!(reads.max_lateness <= MAX_LATENESS, "{reads:?}");
    assert!(reads.served > 0, "{reads:?}");
}

/// Makes this many changes of the list: a change sets a host of set 1, to which few reads are sent, to `terminating`,
/// and the next change sets it back to `in_service`.
fn change_list(cluster: &Cluster, changes: u64, interval: Duration) {
    for change in 0..changes {
        let phase = ["terminating", "in_service"][(change % 2) as usize];
        let host = host_id(1, change / 2 % SET_SIZE);
        cluster.discovery.set_phase(&host, phase);
        thread::sleep(interval);
    }
}

#[test]
fn no_answer_is_lost_with_thousands_of_hosts_and_a_part_of_a_core() {
    let cluster = start(1, MAX_SETS);
    let _share = limit_processor_share(&cluster, 0);
    assert_no_answer_lost(send_reads(&cluster, 0, MAX_SETS));
}

#[test]
fn no_answer_is_lost_in_bursts_of_datagrams_changes_of_the_list_and_reloads() {
    let cluster = start(1, MAX_SETS);
    let _share = limit_processor_share(&cluster, 0);
    let checking_gateway = cluster
        .checking_gateway
        .as_ref()
        .expect("a checking gateway");
    let reads = thread::scope(|scope| {
        scope.spawn(|| change_list(&cluster, CHANGES / 10, 10 * CHANGE_INTERVAL));
        scope.spawn(|| {
            for _ in 0..4 {
                checking_gateway.hold(true);
                thread::sleep(HOLD);
                checking_gateway.hold(false);
                cluster.signal(0, "-HUP");
                thread::sleep(HOLD / 5);
            }
        });
        send_reads(&cluster, 0, MAX_SETS)
    });
    assert_no_answer_lost(reads);
}

/// Datagrams between the gateways are lost, delayed and cut off, one gateway is killed and starts again with all
/// hosts, and health-check results that were held back arrive in a burst. Each gateway is stopped (SIGSTOP) whenever
/// it exceeds its share of a core.
#[test]
fn gateways_of_a_large_fleet_lose_no_answer_while_links_break_and_one_is_killed() {
    let mut cluster = start(3, MAX_SETS);
    let _shares = [
        limit_processor_share(&cluster, 0),
        limit_processor_share(&cluster, 1),
    ];
    cluster.relay.network().loss = 0.3;
    cluster.relay.network().delay = Duration::from_millis(100);
    cluster.partition(&[0], &[1, 2]);
    cluster.crash(2);
    cluster.launch(2).expect("the gateway starts again");
    let _restarted_share = limit_processor_share(&cluster, 2);
    let checking_gateway = cluster
        .checking_gateway
        .as_ref()
        .expect("a checking gateway");
    let reads = thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..4 {
                checking_gateway.hold(true);
                thread::sleep(HOLD);
                checking_gateway.hold(false);
                cluster.heal();
                cluster.partition(&[1], &[0, 2]);
            }
        });
        let readers = [0, 1, 2].map(|gateway| {
            let cluster = &cluster;
            scope.spawn(move || send_reads(cluster, gateway, MAX_SETS))
        });
        readers.map(|reader| reader.join().expect("reads"))
    });
    reads.into_iter().for_each(assert_no_answer_lost);
}

/// The measured costs of a gateway in a run.
#[derive(Clone, Copy, Debug)]
struct RunCosts {
    reads: ReadCounts,
    used: ProcessUsage,
    connections: u64,
    list_bytes: u64,
}

/// The changes of the endpoint list during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListChanges {
    None,
    /// A host changes its phase a hundred times a second.
    OneHost,
}

fn measure_costs(listed_sets: u64, list_changes: ListChanges) -> RunCosts {
    let cluster = start(1, listed_sets);
    let reads = thread::scope(|scope| {
        if list_changes == ListChanges::OneHost {
            scope.spawn(|| change_list(&cluster, CHANGES, CHANGE_INTERVAL));
        }
        send_reads(&cluster, 0, listed_sets)
    });
    let counters = cluster.counters(0).expect("counters");
    let process = cluster.process(0).expect("the gateway runs");
    RunCosts {
        reads,
        used: usage(process.system_id()).expect("the gateway runs"),
        connections: counters["upstream_opened"],
        list_bytes: cluster.discovery.list_bytes(0),
    }
}

/// Measures a run with the typical and one with the largest number of hosts, and checks the growth of the costs.
fn check_costs(list_changes: ListChanges) {
    let (typical, large) = thread::scope(|scope| {
        let typical = scope.spawn(|| measure_costs(TYPICAL_SETS, list_changes));
        let large = scope.spawn(|| measure_costs(MAX_SETS, list_changes));
        (typical.join().expect("a run"), large.join().expect("a run"))
    });
    println!("{typical:?}\n{large:?}");
    let thousands = (MAX_SETS * SET_SIZE) as f64 / 1_000.0;
    let processor = |costs: &RunCosts| costs.used.processor_time.as_secs_f64();
    let memory_mb = |costs: &RunCosts| costs.used.peak_memory_kb as f64 / 1_024.0;
    let list_kb = |costs: &RunCosts| costs.list_bytes as f64 / 1_024.0;
    // The operators' limits on the growth of the costs of the same run.
    assert!(processor(&large) <= 1.4 * processor(&typical) + 0.02 + 0.03 * thousands);
    assert!(memory_mb(&large) <= 1.5 * memory_mb(&typical) + 8.0 + 4.0 * thousands);
    assert!(large.used.descriptors <= 2 * typical.used.descriptors + 40);
    assert!(large.connections as f64 <= 2.5 * typical.connections as f64 + 40.0);
    assert!(list_kb(&large) <= 2.0 * list_kb(&typical) + 64.0 + 500.0 * thousands);
    assert!(large.reads.served_share() >= 0.85 * typical.reads.served_share());
}

#[test]
fn costs_of_a_gateway_do_not_grow_with_its_hosts() {
    check_costs(ListChanges::None);
}

#[test]
fn costs_of_a_change_of_the_list_do_not_grow_with_the_hosts() {
    check_costs(ListChanges::OneHost);
}
