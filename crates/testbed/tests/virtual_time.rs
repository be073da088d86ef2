//! Runs in virtual time: one result for one seed, and the rules of the world seen from the outside.

use irisrouter_config::Variables;
use irisrouter_simulation::spec::{
    Checks, DatagramLoss, Fault, GatewayRestarts, HostSelection, Need, NetworkPartition,
    SilentHosts, Slowdown, ValueOrRange, WriteRepeats,
};
use irisrouter_simulation::{GatewayId, Ns, MS};
use irisrouter_testbed::compare::{self, Choice};
use irisrouter_testbed::gateway::{OutgoingDatagram, PeerExchange, Recipients};
use irisrouter_testbed::results::RunResults;
use irisrouter_testbed::scenario::Scenario;
use irisrouter_testbed::virtual_run::{run, run_with};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenario(name: &str, pairs: &[&str]) -> Scenario {
    let mut v = Variables::none();
    pairs.iter().for_each(|p| v.add(p).expect("a variable"));
    irisrouter_config::load(&scenarios().join(format!("{name}.jsonnet")), &v)
        .unwrap_or_else(|e| panic!("{e}"))
}

fn json(f: &RunResults) -> String {
    serde_json::to_string(f).expect("figures as JSON")
}

#[test]
fn every_scenario_is_accepted_by_the_gateway_and_keeps_its_rules() {
    let mut seen = 0;
    for entry in std::fs::read_dir(scenarios()).expect("scenarios") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|x| x == "jsonnet") {
            let mut s: Scenario = irisrouter_config::load(&path, &Variables::none())
                .unwrap_or_else(|e| panic!("{e}"));
            // The large one is there for its size, not for what happens in it.
            s.world.length_s = if s.world.hosts.count > 100 { 4.0 } else { 14.0 };
            let f = run(&s, 1).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
            assert!(
                f.requests > 1000 && f.service > 0.3,
                "{}: {}",
                path.display(),
                f.service
            );
            assert_eq!(
                (f.stale_reads, f.unanswered, f.lost_requests),
                (0, 0, 0),
                "{}",
                path.display()
            );
            seen += 1;
        }
    }
    assert!(seen >= 14, "{seen} scenarios");
}

/// The same bytes from one thread and from many, in whatever order they run.
#[test]
fn results_of_a_seed_are_equal_on_one_thread_and_on_many() {
    let s = scenario("night", &["length=40", "gateways=4"]);
    let alone: Vec<String> = (1..=4)
        .map(|seed| json(&run(&s, seed).expect("a run")))
        .collect();
    let many = compare::runs(&s, &[1, 2, 3, 4], &|| ()).expect("runs");
    assert_eq!(alone, many.iter().map(json).collect::<Vec<_>>());
    assert_ne!(alone[0], alone[1]);
}

/// Two choices live through the same day: what comes does not depend on what becomes of it.
#[test]
fn arrivals_and_faults_of_a_seed_do_not_depend_on_the_choice() {
    let a = run(&scenario("storm", &["length=30", "silent=10"]), 5).expect("a run");
    let b = run(
        &scenario("storm", &["length=30", "silent=10", "retries=0"]),
        5,
    )
    .expect("a run");
    let asked = |f: &RunResults| f.seconds.iter().map(|s| s.first_tries).collect::<Vec<_>>();
    let silent = |f: &RunResults| {
        f.marks
            .iter()
            .find(|m| m.what.starts_with("silent"))
            .cloned()
    };
    assert_eq!((asked(&a), silent(&a)), (asked(&b), silent(&b)));
    assert!(a.tries_per_request > b.tries_per_request && b.tries_per_request == 1.0);
}

/// Arrivals go on while nothing answers, and what was never answered is counted against service.
#[test]
fn requests_during_an_outage_count_against_service() {
    let mut s = scenario("calm", &["length=20"]);
    s.world.faults = vec![Fault {
        at_s: ValueOrRange::Value(10.0),
        for_s: ValueOrRange::Value(60.0),
        silent: Some(SilentHosts {
            hosts: HostSelection {
                share: Some(1.0),
                ..HostSelection::default()
            },
            hang: false,
        }),
        ..Fault::default()
    }];
    let f = run(&s, 3).expect("a run");
    let calm = run(&scenario("calm", &["length=20"]), 3).expect("a run");
    let after = |f: &RunResults| f.seconds[11..].iter().map(|s| s.first_tries).sum::<u64>();
    assert_eq!(after(&f), after(&calm));
    assert!(
        f.seconds[11..].iter().all(|s| s.earned == 0.0),
        "nothing is served"
    );
    let share = f.seconds[3..10].iter().map(|s| s.asked).sum::<f64>()
        / f.seconds[3..].iter().map(|s| s.asked).sum::<f64>();
    assert!((f.service - share).abs() < 0.03, "{} {share}", f.service);
    assert_eq!(f.unanswered, 0, "each request has its final answer");
}

/// Clients that leave while their requests wait: nothing more is owed, and nothing is left behind.
#[test]
fn requests_of_clients_that_leave_early_are_neither_unanswered_nor_lost() {
    let mut s = scenario("calm", &["length=15"]);
    s.world.clients.impatient = 1.0;
    // Half of a try's time is over before any answer can come.
    for c in &mut s.world.classes {
        (c.aim_ms, c.deadline_ms) = (10.0, 12.0);
    }
    let f = run(&s, 4).expect("a run");
    assert!(f.requests > 1000 && f.service < 0.01, "{}", f.service);
    assert_eq!((f.unanswered, f.lost_requests), (0, 0));
    let left: u64 = f.classes.iter().map(|c| c.timed_out).sum();
    assert!(
        left as f64 > 0.9 * f.requests as f64,
        "{left} of {}",
        f.requests
    );
    assert!(f.writes_applied > 100, "what was sent runs all the same");
}

/// Sends its number to all each 100 ms, and counts what it receives.
struct NumberSender {
    me: GatewayId,
    next: Ns,
    received: Rc<RefCell<BTreeMap<(u32, u32), u64>>>,
}

impl PeerExchange for NumberSender {
    fn receive(&mut self, _: Ns, from: GatewayId, body: &[u8]) {
        assert_eq!(body, [from.0 as u8; 100]);
        *self
            .received
            .borrow_mut()
            .entry((from.0, self.me.0))
            .or_insert(0) += 1;
    }

    fn outgoing(&mut self, now: Ns) -> Vec<OutgoingDatagram> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + 100 * MS;
        vec![OutgoingDatagram {
            to: Recipients::AllOthers,
            body: vec![self.me.0 as u8; 100],
        }]
    }

    fn next_due(&self) -> Option<Ns> {
        Some(self.next)
    }
}

/// Datagrams are late, lost and paid for; a split keeps its sides apart; a gateway that is down neither sends nor receives.
#[test]
fn datagrams_between_gateways_are_lost_cut_and_counted_as_faults_say() {
    let chat = |faults: Vec<Fault>| {
        let mut s = scenario("calm", &["gateways=4", "length=20", "load=0.2"]);
        s.world.faults = faults;
        let received = Rc::new(RefCell::new(BTreeMap::new()));
        let exchanges = |me: GatewayId, now: Ns| -> Option<Box<dyn PeerExchange>> {
            Some(Box::new(NumberSender {
                me,
                next: now,
                received: Rc::clone(&received),
            }))
        };
        let f = run_with(&s, 1, &mut |_| (), &exchanges).expect("a run");
        let received = received.borrow().clone();
        (f, received)
    };
    let fault = |f: Fault| Fault {
        at_s: ValueOrRange::Value(0.0),
        for_s: ValueOrRange::Value(100.0),
        ..f
    };
    let (calm, received) = chat(Vec::new());
    assert!(
        received.len() == 12 && received.values().all(|&n| n >= 199),
        "{received:?}"
    );
    let bytes = calm.datagram_bytes_per_request
        * calm
            .seconds
            .iter()
            .map(|s| s.first_tries as f64)
            .sum::<f64>();
    assert!(
        bytes >= 12.0 * 199.0 * 100.0,
        "each receiver is paid for: {bytes}"
    );
    let (_, lossy) = chat(vec![fault(Fault {
        datagrams_lost: Some(DatagramLoss { part: 0.5 }),
        ..Fault::default()
    })]);
    assert!(lossy.values().all(|&n| (60..140).contains(&n)), "{lossy:?}");
    let (_, split) = chat(vec![fault(Fault {
        split: Some(NetworkPartition { part: 0.5 }),
        ..Fault::default()
    })]);
    // The first datagram of each gateway is sent before the split begins.
    assert_eq!(
        split.values().filter(|&&n| n > 1).count(),
        4,
        "two pairs: {split:?}"
    );
    let killed = GatewayRestarts {
        share: 1.0,
        at_a_time: 1.0,
        down_s: ValueOrRange::Value(10.0),
    };
    let half = Fault {
        at_s: ValueOrRange::Value(5.0),
        for_s: ValueOrRange::Value(1.0),
        ..Fault::default()
    };
    let (_, waves) = chat(vec![Fault {
        gateways_killed: Some(killed),
        ..half
    }]);
    assert!(
        waves.values().all(|&n| (95..=130).contains(&n)),
        "{waves:?}"
    );
}

/// A testbed that can't fail proves nothing: faults that are planted in the world show in its results.
#[test]
fn faults_planted_in_the_world_show_in_the_results() {
    // Clients that send their writes again without end, to a primary that comes back after the window.
    let mut s = scenario("hang", &["length=30", "hangs=0.9"]);
    s.world.clients.writes = WriteRepeats::Always;
    s.world.clients.backoff_ms = ValueOrRange::Value(1500.0);
    s.world.sets.window_s = 0.2;
    s.world.clients.patience = ValueOrRange::Value(0.42);
    let twice: u64 = (1..=6)
        .map(|seed| run(&s, seed).expect("a run").applied_twice)
        .sum();
    assert!(twice > 0);
    // Replicas that answer from whatever they have, and a gateway that takes them for recent: told a wider bound than
    // the class has in the world.
    let mut s = scenario("slow-apply", &["length=30"]);
    s.world.hosts.checks = Checks::None;
    s.world.faults[0].slow_apply = Some(Slowdown {
        hosts: None,
        times: ValueOrRange::Value(40.0),
    });
    for c in &mut s.world.classes {
        if c.need == Need::Any {
            (c.need, c.bound_ms) = (Need::Bounded, 300.0);
        }
    }
    let honest = run(&s, 2).expect("a run");
    assert_eq!(
        honest.stale_reads, 0,
        "the gateway proves its replicas recent"
    );
    // A cold host with next to no capacity, of which gateways are told more.
    let mut s = scenario(
        "storm",
        &["length=60", "silent=10", "share=0.5", "load=0.7"],
    );
    s.world.hosts.cold_start = ValueOrRange::Value(0.01);
    s.world.hosts.cold_s = ValueOrRange::Value(600.0);
    let knocked: u64 = (1..=3)
        .map(|seed| run(&s, seed).expect("a run").knocked_over)
        .sum();
    assert!(knocked > 0);
}

#[test]
fn comparison_shows_a_real_difference_and_none_between_equal_choices() {
    let a = scenario("storm", &["length=25", "silent=10"]);
    let b = scenario("storm", &["length=25", "silent=10", "retries=0"]);
    let seeds: Vec<u64> = (1..=8).collect();
    let choice = |scenario, name: &str| Choice {
        scenario,
        settings: name.into(),
    };
    let c =
        compare::compare(choice(&a, "a"), choice(&b, "b"), &seeds, &|| ()).expect("a comparison");
    let of = |name: &str| {
        c.measures
            .iter()
            .find(|f| f.name == name)
            .expect("the figure")
            .clone()
    };
    assert_eq!(of("tries_per_request").verdict, "better");
    assert!(of("tries_per_request").difference.high < 0.0);
    let same =
        compare::compare(choice(&a, "a"), choice(&a, "a"), &seeds, &|| ()).expect("a comparison");
    assert!(same
        .measures
        .iter()
        .all(|f| f.verdict == "no difference shown" && f.difference.mean == 0.0));
}
