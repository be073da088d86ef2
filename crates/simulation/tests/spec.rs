//! Settings: the defaults describe the deployment, and invalid values are reported with their paths.

use irisrouter_simulation::ms;
use irisrouter_simulation::spec::{Day, Fault, HostFault, SilentHosts, Spec, ValueOrRange};

/// The defaults give about 380 requests per second on 12 hosts. At full load, writes and fresh reads use 56 to 74 % of
/// the capacity of the primaries.
#[test]
fn default_spec_gives_the_rates_of_the_deployment() {
    let spec = Spec::default();
    assert!(spec.problems().is_empty(), "{:?}", spec.problems());
    for seed in 0..50 {
        let day = Day::draw(&spec, seed);
        assert!(
            (200.0..600.0).contains(&day.demand.rate),
            "{}",
            day.demand.rate
        );
        assert!((day.demand.set_shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(
            (ms(5.0)..ms(20.0)).contains(&day.replication.apply),
            "{}",
            day.replication.apply
        );
    }
}

#[test]
fn spec_with_unusable_values_reports_each_with_its_path() {
    let mut s = Spec::default();
    s.classes[0].aim_ms = 5000.0;
    s.classes[1].name = "page-read".into();
    s.hosts.cold_start = ValueOrRange::Range([0.5, 0.2]);
    let both = Fault {
        at_s: ValueOrRange::Value(-1.0),
        for_s: ValueOrRange::Value(1.0),
        silent: Some(SilentHosts::default()),
        reset: Some(HostFault::default()),
        ..Fault::default()
    };
    s.faults.push(both);
    let paths: Vec<String> = s.problems().into_iter().map(|p| p.path).collect();
    for path in [
        "/hosts/cold_start",
        "/classes/0/aim_ms",
        "/classes/1/name",
        "/faults/0",
        "/faults/0/at_s",
        "/faults/0/silent/hosts",
    ] {
        assert!(paths.iter().any(|p| p == path), "{path} in {paths:?}");
    }
}
