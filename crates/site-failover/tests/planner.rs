//! Plans for lost and returning sites: budgets, the order of refusal, the ramp, and who follows what.

use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports, SiteReachability};
use irisrouter_site_failover::{Follower, Plan, Planner, Settings, SiteSeen, State};
use proptest::prelude::*;

fn up(capacity: f64, load: f64) -> SiteSeen {
    SiteSeen {
        hosts: 10,
        silent: 0,
        capacity,
        load,
        answered: 1.0,
    }
}

fn gone(seen: SiteSeen) -> SiteSeen {
    SiteSeen { silent: 10, ..seen }
}

/// Three sites; site 0 prefers 2. Classes: 0 reports, 1 page reads, 2 writes (never refused).
fn settings() -> Settings {
    Settings {
        prefer: vec![vec![2], vec![], vec![]],
        refuse: vec![0, 1],
        budget: 0.8,
        ..Settings::for_sites(3)
    }
}

fn observe_for(
    planner: &mut Planner,
    from: u64,
    length: u64,
    seen: &[SiteSeen],
) -> Vec<(usize, State)> {
    (0..=length / 100)
        .flat_map(|i| planner.observe(from + i * 100, seen))
        .collect()
}

#[test]
fn a_lost_site_s_load_goes_by_preference_to_spare_capacity_and_the_rest_is_refused_in_order() {
    let mut planner = Planner::new(settings()).expect("settings");
    let well = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    let usual = {
        observe_for(&mut planner, 0, 2_000, &well);
        planner.plan(1, &[30.0, 90.0, 60.0], 10)
    };
    assert!(!usual.in_force(), "{usual:?}");
    let lost = [gone(well[0]), well[1], well[2]];
    assert_eq!(
        observe_for(&mut planner, 2_100, 900, &lost),
        [],
        "not before its time"
    );
    assert_eq!(
        observe_for(&mut planner, 3_100, 0, &lost),
        [(0, State::Lost)]
    );
    let plan = planner.plan(1, &[30.0, 90.0, 60.0], 10);
    // 20 of 80 are free on each of the other two: 40 of 60 find room, 2 before 1.
    assert_eq!(plan.sites[0].budget, 0.0);
    assert!(
        (plan.sites[0].goes[2] - 20.0 / 60.0).abs() < 1e-9
            && (plan.sites[0].goes[1] - 20.0 / 60.0).abs() < 1e-9
    );
    // 20 are refused: of the reports first, and nothing of the others.
    assert!((plan.admitted[0] - 1.0 / 3.0).abs() < 1e-9, "{plan:?}");
    assert_eq!(plan.admitted[1..], [1.0, 1.0]);
    // With fewer reports, all of those and then page reads; never a write.
    let plan = planner.plan(1, &[5.0, 30.0, 145.0], 10);
    assert!(
        plan.admitted[0].abs() < 1e-9
            && (plan.admitted[1] - 0.5).abs() < 1e-9
            && plan.admitted[2] == 1.0
    );
    let all = planner.plan(1, &[5.0, 5.0, 170.0], 10);
    assert_eq!(
        (all.admitted[0], all.admitted[1], all.admitted[2]),
        (0.0, 0.0, 1.0)
    );
}

#[test]
fn a_return_is_led_in_as_long_as_it_answers_and_begins_again_when_lost() {
    let mut planner = Planner::new(settings()).expect("settings");
    let well = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    let lost = [gone(well[0]), well[1], well[2]];
    observe_for(&mut planner, 0, 1_500, &lost);
    assert_eq!(planner.state(0), Some(State::Lost));
    observe_for(&mut planner, 1_600, 1_000, &well);
    assert_eq!(planner.state(0), Some(State::Returning));
    let budget = |p: &mut Planner| p.plan(1, &[180.0], 4).sites[0].budget;
    assert!((budget(&mut planner) - 80.0 * 0.15).abs() < 0.5);
    observe_for(&mut planner, 2_600, 7_000, &well);
    let half = budget(&mut planner);
    assert!((half - 80.0 * (0.15 + 0.85 * 0.5)).abs() < 1.0, "{half}");
    // It answers no more: the ramp stands still.
    let mute = [
        SiteSeen {
            answered: 0.5,
            ..well[0]
        },
        well[1],
        well[2],
    ];
    observe_for(&mut planner, 9_700, 5_000, &mute);
    assert!((budget(&mut planner) - half).abs() < 1.0);
    // Half of its hosts silent for a moment is no loss; most of them for a second is.
    let some = [
        SiteSeen {
            silent: 5,
            ..well[0]
        },
        well[1],
        well[2],
    ];
    observe_for(&mut planner, 14_800, 3_000, &some);
    assert_eq!(planner.state(0), Some(State::Returning));
    observe_for(&mut planner, 17_900, 1_100, &lost);
    observe_for(&mut planner, 19_100, 1_100, &well);
    assert!(
        (budget(&mut planner) - 80.0 * 0.15).abs() < 2.0,
        "the ramp begins again"
    );
    observe_for(&mut planner, 20_300, 14_500, &well);
    assert_eq!(planner.state(0), Some(State::Up));
    assert!(!planner.plan(1, &[180.0], 4).in_force());
}

#[test]
fn a_planner_that_takes_over_takes_no_returning_site_for_a_warm_one() {
    let mut first = Planner::new(settings()).expect("settings");
    let well = [up(100.0, 60.0), up(100.0, 60.0), up(100.0, 60.0)];
    observe_for(&mut first, 0, 1_500, &[gone(well[0]), well[1], well[2]]);
    observe_for(&mut first, 1_600, 1_000, &well);
    let told = first.plan(5, &[180.0], 4);
    let mut second = Planner::new(settings()).expect("settings");
    second.resume(&told);
    observe_for(&mut second, 0, 1_000, &well);
    assert_eq!(second.state(0), Some(State::Returning));
    assert!(second.plan(6, &[180.0], 4).sites[0].budget < 80.0 * 0.25);
}

#[test]
fn a_gateway_follows_the_latest_plan_also_when_cut_off_until_it_is_too_old() {
    let s = settings();
    let mut planner = Planner::new(s.clone()).expect("settings");
    let seen = [gone(up(100.0, 60.0)), up(100.0, 60.0), up(100.0, 60.0)];
    observe_for(&mut planner, 0, 1_500, &seen);
    let plans: Vec<Plan> = (0..3).map(|_| planner.plan(7, &[20.0, 160.0], 5)).collect();
    let mut follower = Follower::new(&s);
    assert_eq!(
        follower.admit(0, 0, 0.999),
        Ok(()),
        "nothing is refused without a plan"
    );
    assert!(follower.heard(0, plans[1].clone()));
    assert!(!follower.heard(1, plans[0].clone()), "an older one");
    assert!(!follower.heard(1, plans[1].clone()), "the same again");
    assert!(
        !follower.heard(
            1,
            Plan {
                epoch: 6,
                number: 99,
                ..plans[2].clone()
            }
        ),
        "of an older planner"
    );
    assert_eq!(follower.share(1, 0), Some(0.0));
    let pause = follower
        .admit(1, 0, 0.5)
        .expect_err("all reports are refused");
    assert!((2_000..=4_000).contains(&pause), "{pause}");
    // Cut off: the same plan until it is stale, and then none.
    assert!(follower.admit(s.stale_ms - 1, 0, 0.5).is_err());
    assert_eq!(follower.admit(s.stale_ms, 0, 0.5), Ok(()));
}

#[test]
fn settings_that_can_t_be_meant_are_refused_with_their_name() {
    let bad = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        s.check()
            .expect_err("refused")
            .split(':')
            .next()
            .unwrap_or_default()
            .to_string()
    };
    assert_eq!(bad(&|s| s.prefer[1] = vec![1]), "prefer");
    assert_eq!(bad(&|s| s.prefer.clear()), "prefer");
    assert_eq!(bad(&|s| s.refuse = vec![99]), "refuse");
    assert_eq!(bad(&|s| s.budget = 0.0), "budget");
    assert_eq!(bad(&|s| s.ramp_from = f64::NAN), "ramp_from");
    assert_eq!(bad(&|s| s.ramp_ms = 0), "ramp_ms");
}

fn seen() -> impl Strategy<Value = SiteSeen> {
    (
        1u32..20,
        0u32..20,
        0.0f64..500.0,
        0.0f64..500.0,
        0.0f64..=1.0,
    )
        .prop_map(|(hosts, silent, capacity, load, answered)| SiteSeen {
            hosts,
            silent: silent.min(hosts),
            capacity,
            load,
            answered,
        })
}

proptest! {
    /// Whatever is seen: what a plan sends to a site stays within its budget once some site is not as usual, the parts of a
    /// load add up to one at most, classes are refused in order, and all gateways' parts are the budget.
    #[test]
    fn no_plan_gives_out_more_than_there_is(
        days in proptest::collection::vec(proptest::collection::vec(seen(), 3), 1..30),
        classes in proptest::collection::vec(0.0f64..300.0, 3),
        gateways in 1u32..300,
    ) {
        let mut planner = Planner::new(settings()).expect("settings");
        let mut follower = Follower::new(&settings());
        for (n, day) in days.iter().enumerate() {
            planner.observe(n as u64 * 700, day);
            let plan = planner.plan(1, &classes, gateways);
            let usual = (0..3).all(|s| planner.state(s) == Some(State::Up));
            for site in 0..3 {
                let sent: f64 = (0..3).map(|from| plan.sites[from].goes[site] * day[from].load).sum();
                prop_assert!(usual || sent <= plan.sites[site].budget + 1e-6);
                prop_assert!(plan.sites[site].goes.iter().sum::<f64>() <= 1.0 + 1e-9);
                prop_assert!(plan.sites[site].budget <= 0.8 * day[site].capacity + 1e-9);
            }
            prop_assert!(plan.admitted[1] == 1.0 || plan.admitted[0] < 1e-9 || classes[0] == 0.0);
            prop_assert_eq!(plan.admitted[2], 1.0);
            let Ok(Message::Plan(read)) = codec::decode(&codec::encode(&plan)) else { panic!("reads") };
            for (a, b) in read.sites.iter().zip(&plan.sites) {
                prop_assert!(a.state == b.state && a.budget <= b.budget && b.budget - a.budget < 0.001_1);
                prop_assert!(a.goes.iter().zip(&b.goes).all(|(a, b)| a <= b && b - a < 2e-5));
            }
            follower.heard(n as u64 * 700, read);
            if let Some(share) = follower.share(n as u64 * 700, 0) {
                prop_assert!(share * f64::from(gateways) <= plan.sites[0].budget + 1e-6);
            }
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300), magic: bool) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        if let Ok(Message::Plan(plan)) = codec::decode(&bytes) {
            prop_assert!(plan.sites.iter().all(|s| s.goes.iter().sum::<f64>() <= 1.0 + 1e-9));
            prop_assert!(codec::encode(&plan).len() <= codec::MAX_DATAGRAM_BYTES);
        }
    }
}

/// Two gateways of site 0 and one of site 1 tell; what one told before, and what is too old, is not counted.
#[test]
fn tallies_add_up_over_gateways_and_the_last_of_each_counts() {
    let reach = |hosts, silent, sent, answered| SiteReachability {
        hosts,
        silent,
        sent,
        answered,
    };
    let load_report = |site, arrived: &[u16], sites: &[SiteReachability]| SiteLoadReport {
        site,
        period_ms: 500,
        arrived: arrived.to_vec(),
        sites: sites.to_vec(),
    };
    let mut all = SiteLoadReports::default();
    all.heard(0, 1, load_report(0, &[900, 900], &[]));
    all.heard(
        10,
        1,
        load_report(0, &[10, 0], &[reach(2, 2, 4, 0), reach(1, 0, 6, 6)]),
    );
    all.heard(
        10,
        2,
        load_report(0, &[0, 5], &[reach(1, 0, 4, 4), reach(3, 0, 0, 0)]),
    );
    all.heard(20, 3, load_report(1, &[0, 20], &[]));
    all.heard(
        20,
        4,
        SiteLoadReport {
            period_ms: 0,
            ..load_report(1, &[9], &[])
        },
    );
    assert_eq!((all.gateways(), all.classes(2)), (3, vec![20.0, 50.0]));
    let seen = all.seen(&[100.0, 50.0]);
    assert_eq!(
        (
            seen[0].hosts,
            seen[0].silent,
            seen[0].load,
            seen[0].answered
        ),
        (3, 2, 30.0, 0.5)
    );
    assert_eq!(
        (
            seen[1].hosts,
            seen[1].silent,
            seen[1].load,
            seen[1].answered
        ),
        (4, 0, 40.0, 1.0)
    );
    all.forget(15);
    assert_eq!((all.gateways(), all.classes(2)), (1, vec![0.0, 40.0]));
}

proptest! {
    #[test]
    fn tallies_go_both_ways(
        site in 0u8..8,
        period_ms in 1u16..,
        arrived in proptest::collection::vec(any::<u16>(), 0..=16),
        sites in proptest::collection::vec(any::<(u16, u16, u16, u16)>(), 0..=8),
    ) {
        let reach = |(hosts, silent, sent, answered)| SiteReachability { hosts, silent, sent, answered };
        let load_report = SiteLoadReport { site, period_ms, arrived, sites: sites.into_iter().map(reach).collect() };
        let bytes = codec::encode_tally(&load_report);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&bytes), Ok(Message::SiteLoadReport(load_report)));
    }
}
