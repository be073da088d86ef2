//! The loss and the recovery of a whole site with real gateways and hosts in three zones: which requests are shed, how the
//! site's load grows along its recovery ramp, and which gateway follows which plan while gateways die or are cut off.

mod common;

use common::{ask, plan, started_with, wait, LEASE_MS};
use irisrouter_testbed::cluster::load::{Got, Load, Shape, Stop};
use irisrouter_testbed::cluster::schedule::Pace;
use irisrouter_testbed::cluster::{Cluster, Plan};
use std::ops::Range;
use std::time::Duration;

/// A host bears 40 requests a second, and reports are shed first.
const SITES: &str = "sites: { enabled: true, capacity_per_s: 40, refuse: ['report', 'page-read'], \
                     lost_after_ms: 500, back_after_ms: 500, ramp_from: 0.05, ramp_ms: 10000 }, ";

fn started(gateways: usize, seed: u64) -> Cluster {
    let pace = Pace {
        lease_ms: Some(LEASE_MS),
        ..Pace::FAST
    };
    let operators = pace
        .operators()
        .replace("{ membership", &format!("{{ {SITES}membership"));
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let cluster = started_with(Plan {
        sets: 3,
        zones,
        ..plan(gateways, seed, operators)
    });
    wait("a gateway holds the planning lease", || {
        planner(&cluster).is_some()
    });
    cluster
}

/// The gateway that holds the planning lease.
fn planner(cluster: &Cluster) -> Option<usize> {
    cluster
        .running()
        .into_iter()
        .find(|&gateway| cluster.call(gateway, "duties").contains("plan:"))
}

/// Cuts these gateways off from the hosts of a zone, or reconnects them.
fn cut(cluster: &Cluster, zone: &str, gateways: &[usize], cut: bool) {
    for host in cluster.hosts.iter().filter(|host| host.zone == zone) {
        for &gateway in gateways {
            host.cut(gateway, cut);
        }
    }
}

/// Whether a gateway's console shows this text of the plan in force.
fn plan_shows(cluster: &Cluster, gateway: usize, text: &str) -> bool {
    cluster.call(gateway, "plan").contains(text)
}

const SHAPE: Shape = Shape {
    each: 6,
    pause: Duration::from_millis(30),
    pages: 6,
    patience_ms: 900,
};

/// How many statements a host was sent in a range of time, in milliseconds of the run.
fn sent_count(cluster: &Cluster, host_id: &str, time_ms: Range<u64>) -> usize {
    let mut hosts = cluster.hosts.iter();
    let host = hosts
        .find(|host| host.id == host_id)
        .expect("the cluster has the host");
    let seen = host.seen();
    seen.statements
        .iter()
        .filter(|(at_ms, _, _)| time_ms.contains(at_ms))
        .count()
}

/// The share of a class's requests that were rejected or failed.
fn rejected_share(answers: &[Got], class: &str) -> f64 {
    let of_class = answers.iter().filter(|answer| answer.class == class);
    let rejected = of_class.clone().filter(|answer| answer.refused.is_some());
    rejected.count() as f64 / of_class.count().max(1) as f64
}

/// The retry delay in the detail of a rejection, in milliseconds.
fn retry_delay_ms(detail: &str) -> u64 {
    let digits: String = detail.chars().filter(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

#[test]
fn lost_site_s_load_is_shed_by_class_and_grows_along_the_ramp_when_the_site_recovers() {
    let cluster = started(3, 51);
    let load = Load::new(SHAPE);
    let all = [0, 1, 2];
    std::thread::scope(|scope| {
        let _stop = Stop(&load);
        scope.spawn(|| load.run(&cluster, &all));
        std::thread::sleep(Duration::from_secs(3));
        let lost_at = cluster.clock.now();
        cut(&cluster, "a", &all, true);
        wait("every gateway follows a plan that sheds reports", || {
            all.iter().all(|&gateway| {
                plan_shows(&cluster, gateway, "a=lost") && plan_shows(&cluster, gateway, "report:")
            })
        });
        let followed_at = cluster.clock.now();
        std::thread::sleep(Duration::from_secs(3));
        let back_at = cluster.clock.now();
        cut(&cluster, "a", &all, false);
        // Set 1 has lost none of its hosts: what is rejected there is shed by the plan.
        let answers: Vec<Got> = load
            .got(followed_at, back_at)
            .into_iter()
            .filter(|answer| answer.set == 1)
            .collect();
        let reports = rejected_share(&answers, "report");
        let page_reads = rejected_share(&answers, "page-read");
        // A page read may fail on a busy machine without any plan: few may, not none.
        assert!(
            reports > 0.05 && page_reads < reports / 4.0,
            "rejected: {reports} of reports, {page_reads} of page reads"
        );
        for (code, detail) in answers.iter().filter_map(|answer| answer.refused.clone()) {
            // The plan's retry delay is twice the time after which a site is lost; clients wait once to twice as long.
            assert!(
                code == "53300" && (1_000..=2_001).contains(&retry_delay_ms(&detail)),
                "{code} {detail}"
            );
        }
        // The replica of set 2 recovers: in its first seconds it gets a small part of its former load.
        std::thread::sleep(Duration::from_millis(2_500));
        let now = cluster.clock.now();
        let before = sent_count(&cluster, "h2-1", lost_at - 2_500..lost_at);
        let after = sent_count(&cluster, "h2-1", back_at + 20..now);
        assert!(
            before > 10 && after * 5 < before * 3,
            "statements in 2.5 s: {before} before the loss, {after} after it"
        );
        wait("every gateway has the site recovering", || {
            all.iter()
                .all(|&gateway| plan_shows(&cluster, gateway, "a=returning"))
        });
        wait("no plan is in force", || {
            all.iter()
                .all(|&gateway| plan_shows(&cluster, gateway, "none in force"))
        });
        let recovered_at = cluster.clock.now();
        std::thread::sleep(Duration::from_secs(2));
        let answers = load.got(recovered_at, u64::MAX);
        let rejected = answers.iter().filter(|answer| answer.refused.is_some());
        let rejected = rejected.count();
        assert!(
            rejected * 20 <= answers.len(),
            "{rejected} of {} are rejected after the recovery",
            answers.len()
        );
    });
}

#[test]
fn site_that_is_cut_off_serves_its_clients_and_plans_agree_after_the_partition() {
    let cluster = started(5, 52);
    // Gateways 0 and 3 are in zone a and reach its hosts; the others reach the hosts of the other zones.
    let (inside, outside) = ([0, 3], [1, 2, 4]);
    cluster.partition(&inside, &outside);
    cut(&cluster, "a", &outside, true);
    cut(&cluster, "b", &inside, true);
    cut(&cluster, "c", &inside, true);
    wait("the gateways outside have the site lost", || {
        outside
            .iter()
            .all(|&gateway| plan_shows(&cluster, gateway, "a=lost"))
    });
    assert!(inside
        .iter()
        .all(|&gateway| !plan_shows(&cluster, gateway, "a=lost")));
    // Both sides serve what they reach: the replica of set 2 is inside, its primary outside.
    for gateway in [0, 1] {
        wait("a read is served on either side", || {
            let id = format!("{:x}f{gateway}", cluster.clock.now());
            let text = format!(
                "SELECT payload FROM entries WHERE ref = '7f3a' /* id={id},c=report,d=900,cluster=2 */"
            );
            ask(&cluster, gateway, &text).is_ok()
        });
    }
    cluster.heal();
    wait("no plan is in force", || {
        (0..5).all(|gateway| plan_shows(&cluster, gateway, "none in force"))
    });
}

#[test]
fn next_planner_plans_for_a_lost_site_when_the_planner_is_killed() {
    let mut cluster = started(4, 53);
    let first = planner(&cluster).expect("a gateway holds the planning lease");
    let others: Vec<usize> = (0..4).filter(|&gateway| gateway != first).collect();
    let zone = ["a", "b", "c"]
        .into_iter()
        .find(|zone| *zone != cluster.zone(first))
        .expect("there is another zone")
        .to_string();
    cut(&cluster, &zone, &[0, 1, 2, 3], true);
    cluster.crash(first);
    let lost = format!("{zone}=lost");
    wait("every other gateway has the site lost", || {
        others
            .iter()
            .all(|&gateway| plan_shows(&cluster, gateway, &lost))
    });
    let next = planner(&cluster).expect("another gateway holds the planning lease");
    assert_ne!(next, first);
    // A gateway that starts during the loss follows the plan, too, and does not take the lost site to be up.
    cluster.launch(first).expect("the gateway starts again");
    wait("the gateway that started again has the site lost", || {
        plan_shows(&cluster, first, &lost)
    });
    cut(&cluster, &zone, &[0, 1, 2, 3], false);
    wait("no plan is in force", || {
        (0..4).all(|gateway| plan_shows(&cluster, gateway, "none in force"))
    });
}
