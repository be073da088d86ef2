//! Tests of the loss and the return of a whole site with real gateways and hosts in three zones: which requests are
//! rejected, how load ramps up after the return, and which failover plan the gateways follow while some are killed or
//! cut off.

mod common;

use common::{plan, send_statement, start_and_settle, wait_until, LEASE_MS};
use irisrouter_testbed::cluster::load::{
    Load, LoadProfile, Rejection, RequestOutcome, StopOnDrop, PAGE_READ, REPORT,
};
use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, Plan};
use std::time::Duration;

/// Settings of site failover: a host's capacity is 40 requests per second, and reports are rejected before page reads.
const SITES: &str = "sites: { enabled: true, capacity_per_s: 40, refuse: ['report', 'page-read'], \
                     lost_after_ms: 500, back_after_ms: 500, ramp_from: 0.05, ramp_ms: 10000 }, ";

fn start_with_planner(gateways: usize, seed: u64) -> Cluster {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("{ membership", &format!("{{ {SITES}membership"));
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let cluster = start_and_settle(Plan {
        sets: 3,
        zones,
        ..plan(gateways, seed, operators)
    });
    wait_until("a gateway holds the lease on the failover plan", || {
        planner(&cluster).is_some()
    });
    cluster
}

/// Returns the first running gateway whose console reports that it holds the lease on the failover plan.
fn planner(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&g| cluster.call(g, "duties").contains("plan:"))
}

/// Cuts the links between these gateways and the hosts of a zone, or restores them if `cut` is `false`.
fn cut(cluster: &Cluster, zone: &str, gateways: &[usize], cut: bool) {
    for host in cluster.hosts.iter().filter(|h| h.zone == zone) {
        gateways.iter().for_each(|&g| host.cut(g, cut));
    }
}

fn plan_contains(cluster: &Cluster, gateway: usize, what: &str) -> bool {
    cluster.call(gateway, "plan").contains(what)
}

const PROFILE: LoadProfile = LoadProfile {
    connections_per_gateway: 6,
    pause: Duration::from_millis(30),
    requests_per_page_read: 6,
    timeout_ms: 900,
};

/// Returns the number of statements that a host received at `from` or later and before `to`, in milliseconds since the
/// start of the run.
fn count_statements(cluster: &Cluster, id: &str, from: u64, to: u64) -> usize {
    let host = cluster.hosts.iter().find(|h| h.id == id).expect("a host");
    let record = host.record();
    record
        .statements
        .iter()
        .filter(|s| (from..to).contains(&s.0))
        .count()
}

#[test]
fn load_of_a_lost_site_is_refused_in_order_and_ramps_up_after_its_return() {
    let cluster = start_with_planner(3, 51);
    let (load, all) = (Load::new(PROFILE), [0, 1, 2]);
    std::thread::scope(|scope| {
        let _stop = StopOnDrop(&load);
        scope.spawn(|| load.run(&cluster, &all));
        std::thread::sleep(Duration::from_secs(3));
        let lost_at = cluster.clock.now();
        cut(&cluster, "a", &all, true);
        wait_until("all gateways follow the failover plan", || {
            all.iter().all(|&g| {
                plan_contains(&cluster, g, "a=lost") && plan_contains(&cluster, g, "report:")
            })
        });
        let plan_followed_at = cluster.clock.now();
        std::thread::sleep(Duration::from_secs(3));
        let back_at = cluster.clock.now();
        cut(&cluster, "a", &all, false);
        // Set 1 has no host in the lost zone, so its requests are rejected only because of the failover plan.
        let outcomes: Vec<RequestOutcome> = load
            .outcomes_between(plan_followed_at, back_at)
            .into_iter()
            .filter(|outcome| outcome.set == 1)
            .collect();
        // The bound on page reads is not 0, because on a busy machine a page read may fail for other reasons.
        let refused = |class| {
            let sent = outcomes.iter().filter(|outcome| outcome.class == class);
            sent.clone().filter(|outcome| !outcome.is_served()).count() as f64
                / sent.count().max(1) as f64
        };
        let (reports, pages) = (refused(REPORT), refused(PAGE_READ));
        assert!(
            reports > 0.05 && pages < reports / 4.0,
            "refused: {reports} of reports, {pages} of page reads"
        );
        for Rejection { code, detail } in outcomes.iter().filter_map(|o| o.rejection.clone()) {
            let pause: u64 = detail
                .chars()
                .filter(char::is_ascii_digit)
                .collect::<String>()
                .parse()
                .unwrap_or(0);
            // The pause is once to twice as long as 1 s, which is twice the time after which a site counts as lost.
            assert!(
                code == "53300" && (1_000..=2_001).contains(&pause),
                "{code} {detail}"
            );
        }
        // In its first seconds after the return, the replica of set 2 receives only a part of its load before the loss.
        std::thread::sleep(Duration::from_millis(2_500));
        let now = cluster.clock.now();
        let (before, after) = (
            count_statements(&cluster, "h2-1", lost_at - 2_500, lost_at),
            count_statements(&cluster, "h2-1", back_at + 20, now),
        );
        assert!(
            before > 10 && after * 5 < before * 3,
            "{before} before, {after} after"
        );
        wait_until("the site is returning at all gateways", || {
            all.iter()
                .all(|&g| plan_contains(&cluster, g, "a=returning"))
        });
        wait_until("no failover plan is in force at any gateway", || {
            all.iter()
                .all(|&g| plan_contains(&cluster, g, "none in force"))
        });
        let recovered_at = cluster.clock.now();
        std::thread::sleep(Duration::from_secs(2));
        let outcomes = load.outcomes_between(recovered_at, u64::MAX);
        let refused = outcomes.iter().filter(|o| !o.is_served()).count();
        assert!(
            refused * 20 <= outcomes.len(),
            "refused: {refused} of {}",
            outcomes.len()
        );
    });
}

#[test]
fn site_that_is_cut_off_serves_by_itself_and_plans_agree_after_the_cut_heals() {
    let cluster = start_with_planner(5, 52);
    // Gateways 0 and 3 are in zone a and reach only its hosts; the other gateways reach only the hosts of zones b and
    // c.
    let (inside, outside) = ([0, 3], [1, 2, 4]);
    cluster.partition(&inside, &outside);
    cut(&cluster, "a", &outside, true);
    cut(&cluster, "b", &inside, true);
    cut(&cluster, "c", &inside, true);
    wait_until(
        "the gateways outside follow the plan for the lost site",
        || {
            outside
                .iter()
                .all(|&g| plan_contains(&cluster, g, "a=lost"))
        },
    );
    assert!(inside
        .iter()
        .all(|&g| !plan_contains(&cluster, g, "a=lost")));
    // Each side serves set 2 with the host that it reaches: the replica is inside, the primary outside.
    for gateway in [0, 1] {
        wait_until("served on both sides", || {
            let id = format!("{:x}f{gateway}", cluster.clock.now());
            let text = format!(
                "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c=report,d=900,cluster=2 */"
            );
            send_statement(&cluster, gateway, &text).is_ok()
        });
    }
    cluster.heal();
    wait_until("no failover plan is in force at any gateway", || {
        (0..5).all(|g| plan_contains(&cluster, g, "none in force"))
    });
}

#[test]
fn loss_of_a_site_is_planned_by_another_gateway_when_the_planner_is_killed() {
    let mut cluster = start_with_planner(4, 53);
    let first = planner(&cluster).expect("a gateway holds the lease on the failover plan");
    let others: Vec<usize> = (0..4).filter(|&g| g != first).collect();
    let zone = ["a", "b", "c"]
        .into_iter()
        .find(|z| *z != cluster.zone(first))
        .expect("another zone")
        .to_string();
    cut(&cluster, &zone, &[0, 1, 2, 3], true);
    cluster.crash(first);
    let lost = format!("{zone}=lost");
    wait_until("all remaining gateways follow the plan", || {
        others.iter().all(|&g| plan_contains(&cluster, g, &lost))
    });
    let next = planner(&cluster).expect("another gateway plans");
    assert_ne!(next, first);
    // A gateway that starts during the loss also follows the plan, and does not believe the lost site to be available.
    cluster.launch(first).expect("the gateway starts again");
    wait_until("the restarted gateway follows the plan", || {
        plan_contains(&cluster, first, &lost)
    });
    cut(&cluster, &zone, &[0, 1, 2, 3], false);
    wait_until("no failover plan is in force at any gateway", || {
        (0..4).all(|g| plan_contains(&cluster, g, "none in force"))
    });
}
