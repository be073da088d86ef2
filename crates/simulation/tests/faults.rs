//! The faults of a day: waves of gateway restarts, independence of the draws, and the choice of hosts.

use irisrouter_simulation::faults::{choose_hosts, plan};
use irisrouter_simulation::rng::{Rng, Stream};
use irisrouter_simulation::spec::{
    Fault, GatewayRestarts, HostSelection, Spec, TrafficSurge, ValueOrRange,
};
use irisrouter_simulation::{HostId, SECOND};

fn empty() -> Fault {
    Fault {
        at_s: ValueOrRange::Value(5.0),
        for_s: ValueOrRange::Value(20.0),
        ..Fault::default()
    }
}

#[test]
fn gateway_restarts_in_waves_take_each_gateway_once() {
    let killed = GatewayRestarts {
        share: 0.9,
        at_a_time: 0.3,
        down_s: ValueOrRange::Range([0.2, 1.5]),
    };
    let fault = Fault {
        gateways_killed: Some(killed),
        ..empty()
    };
    let spec = Spec {
        gateways: 10,
        faults: vec![fault],
        ..Spec::default()
    };
    let p = &plan(&spec, 3)[0];
    let mut gateways: Vec<u32> = p.restarts.iter().map(|w| w.gateway.0).collect();
    gateways.sort_unstable();
    gateways.dedup();
    assert_eq!((p.restarts.len(), gateways.len()), (9, 9));
    for at in p.restarts.iter().map(|w| w.down_at) {
        assert!(
            p.restarts.iter().filter(|w| w.down_at == at).count() == 3
                && (5 * SECOND..25 * SECOND).contains(&at)
        );
    }
}

#[test]
fn plan_with_one_more_fault_leaves_the_others_unchanged() {
    let flood = Fault {
        at_s: ValueOrRange::Range([1.0, 30.0]),
        flood: Some(TrafficSurge {
            sets: 1,
            part: ValueOrRange::Range([0.1, 0.9]),
        }),
        ..empty()
    };
    let mut spec = Spec {
        faults: vec![flood.clone()],
        ..Spec::default()
    };
    let alone = plan(&spec, 9)[0].clone();
    spec.faults.push(flood);
    let both = plan(&spec, 9);
    assert_eq!((both[0].from, both[0].part), (alone.from, alone.part));
    assert_ne!(both[1].from, alone.from);
}

#[test]
fn selection_with_certain_primaries_takes_them_first() {
    let hosts: Vec<HostId> = (0..12).map(HostId).collect();
    let want = HostSelection {
        count: Some(2),
        primaries: Some(1.0),
        ..HostSelection::default()
    };
    let mut rng = Rng::new(1, Stream::Faults);
    let primary = |h: HostId| h.0.is_multiple_of(6);
    assert_eq!(
        choose_hosts(&want, &hosts, primary, &mut rng),
        [HostId(0), HostId(6)]
    );
    let all = HostSelection {
        count: Some(20),
        primaries: Some(1.0),
        ..HostSelection::default()
    };
    assert_eq!(choose_hosts(&all, &hosts, primary, &mut rng), hosts);
    let part = HostSelection {
        share: Some(0.18),
        ..HostSelection::default()
    };
    assert_eq!(choose_hosts(&part, &hosts, primary, &mut rng).len(), 2);
}
