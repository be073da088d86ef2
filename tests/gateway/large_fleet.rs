//! A gateway in front of thousands of hosts, while another gateway sends it the health checks of all of them.

use crate::harness::fleet::LargeFleet;
use crate::harness::gateway::Gateway;
use crate::harness::messages::statement;
use crate::harness::processor::{usage, ProcessUsage, ProcessorShare};
use std::thread;
use std::time::{Duration, Instant};

/// The usual number of hosts.
const USUAL_HOSTS: usize = 200;
/// The operators' largest fleet.
const MOST_HOSTS: usize = 3_200;
/// An answer that comes later than this after its deadline counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How long clients send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(8);
const CLIENTS: u64 = 15;
/// Changes of the list on a day that has them, and the time between two of them.
const CHANGES: usize = 700;
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// How long clients wait for their answers, in turn.
const DEADLINES_MS: [u64; 5] = [0, 1, 50, 200, 400];
/// Bursts of datagrams, each with a reload, and how many rounds of all groups come at once in one.
const DISTURBANCES: u32 = 5;
const ROUNDS_PER_BURST: usize = 10;
/// The gateway's part of a core.
const CORE_SHARE: f64 = 0.1;

/// What came of the requests of all clients.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    requests: usize,
    served: usize,
    unanswered: usize,
    /// The longest time from a deadline to its answer.
    latest: Duration,
}

impl Traffic {
    fn add(&mut self, other: Traffic) {
        self.requests += other.requests;
        self.served += other.served;
        self.unanswered += other.unanswered;
        self.latest = self.latest.max(other.latest);
    }
}

/// Has all clients send their requests.
fn send_traffic(gateway: &Gateway, groups: usize) -> Traffic {
    let mut total = Traffic::default();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || send_requests(gateway, client, groups)))
            .collect();
        for client in clients {
            total.add(client.join().unwrap());
        }
    });
    total
}

/// Sends the requests of one client.
fn send_requests(gateway: &Gateway, client: u64, groups: usize) -> Traffic {
    let mut connection = gateway.client();
    let mut traffic = Traffic::default();
    let start = Instant::now();
    let offset = REQUEST_INTERVAL.mul_f64(client as f64 / CLIENTS as f64);
    for number in 0.. {
        let due = offset + REQUEST_INTERVAL * number;
        if due >= TRAFFIC_DURATION {
            return traffic;
        }
        thread::sleep(due.saturating_sub(start.elapsed()));
        let id = (client << 32) + u64::from(number) + 1;
        let deadline_ms = DEADLINES_MS[(id as usize + client as usize) % DEADLINES_MS.len()];
        let group = (id as usize).wrapping_mul(7919) % groups;
        let text = statement("read", deadline_ms)
            .replace("id=9b1f", &format!("id={id:016x}"))
            .replace("cluster=2", &format!("cluster={group}"));
        let sent_at = Instant::now();
        let answer = connection.query(&text);
        let late = sent_at
            .elapsed()
            .saturating_sub(Duration::from_millis(deadline_ms));
        traffic.add(Traffic {
            requests: 1,
            served: usize::from(answer.starts_with("RowDescription")),
            unanswered: usize::from(answer.contains("closed")),
            latest: late,
        });
    }
    traffic
}

#[test]
fn no_answer_is_lost_with_thousands_of_hosts_and_a_part_of_a_core() {
    let fleet = LargeFleet::start(MOST_HOSTS);
    let (gateway, _peer) = fleet.start_gateway();
    let _share = ProcessorShare::limit(gateway.process_id(), CORE_SHARE);
    let traffic = send_traffic(&gateway, fleet.groups().len());
    assert_eq!(traffic.unanswered, 0, "{traffic:?}");
    assert!(traffic.latest <= MAX_LATENESS, "{traffic:?}");
    assert!(traffic.served > 0, "{traffic:?}");
}

#[test]
fn no_answer_is_lost_in_bursts_of_datagrams_changes_of_the_list_and_reloads() {
    let fleet = LargeFleet::start(MOST_HOSTS);
    let (gateway, peer) = fleet.start_gateway();
    let _share = ProcessorShare::limit(gateway.process_id(), CORE_SHARE);
    let traffic = thread::scope(|scope| {
        scope.spawn(|| fleet.publish_changes(CHANGES / 10, 10 * CHANGE_INTERVAL));
        scope.spawn(|| {
            for _ in 0..DISTURBANCES {
                thread::sleep(TRAFFIC_DURATION / (DISTURBANCES + 1));
                peer.send_burst(ROUNDS_PER_BURST);
                gateway.signal("-HUP");
            }
        });
        send_traffic(&gateway, fleet.groups().len())
    });
    assert_eq!(traffic.unanswered, 0, "{traffic:?}");
    assert!(traffic.latest <= MAX_LATENESS, "{traffic:?}");
    assert!(traffic.served > 0, "{traffic:?}");
}

/// What a day at a gateway came to.
#[derive(Clone, Copy, Debug)]
struct Day {
    traffic: Traffic,
    used: ProcessUsage,
    connections: usize,
}

/// What the list of hosts does on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListChanges {
    None,
    /// One host changes, a hundred times a second.
    OneHost,
}

fn play_day(hosts: usize, list_changes: ListChanges) -> Day {
    let fleet = LargeFleet::start(hosts);
    let (gateway, _peer) = fleet.start_gateway();
    let traffic = thread::scope(|scope| {
        if list_changes == ListChanges::OneHost {
            scope.spawn(|| fleet.publish_changes(CHANGES, CHANGE_INTERVAL));
        }
        send_traffic(&gateway, fleet.groups().len())
    });
    Day {
        traffic,
        used: usage(gateway.process_id()),
        connections: fleet.connections(),
    }
}

/// Plays a day with the usual and with the largest number of hosts, and checks the growth of its costs.
fn check_costs(list_changes: ListChanges) {
    let (usual, large) = thread::scope(|scope| {
        let usual = scope.spawn(|| play_day(USUAL_HOSTS, list_changes));
        let large = scope.spawn(|| play_day(MOST_HOSTS, list_changes));
        (usual.join().unwrap(), large.join().unwrap())
    });
    println!("{usual:?}\n{large:?}");
    let thousands = MOST_HOSTS as f64 / 1_000.0;
    let processor = |day: &Day| day.used.processor_time.as_secs_f64();
    let memory_mb = |day: &Day| day.used.peak_memory_kb as f64 / 1_024.0;
    let served = |day: &Day| day.traffic.served as f64 / day.traffic.requests as f64;
    // The operators' limits on the growth over the same day.
    assert!(processor(&large) <= 1.4 * processor(&usual) + 0.02 + 0.03 * thousands);
    assert!(memory_mb(&large) <= 1.5 * memory_mb(&usual) + 8.0 + 4.0 * thousands);
    assert!(large.used.descriptors <= 2 * usual.used.descriptors + 40);
    assert!(large.connections as f64 <= 2.5 * usual.connections as f64 + 40.0);
    assert!(served(&large) >= 0.85 * served(&usual));
}

#[test]
fn costs_of_a_gateway_do_not_grow_with_its_hosts() {
    check_costs(ListChanges::None);
}

#[test]
fn costs_of_a_change_of_the_list_do_not_grow_with_the_hosts() {
    check_costs(ListChanges::OneHost);
}
