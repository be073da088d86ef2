//! Tests of the sums of load reports over all gateways.

use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteLoadReports, SiteReachability};
use irisrouter_site_failover::SiteIndex;

const fn reachability(hosts: u16, silent: u16, sent: u16, answered: u16) -> SiteReachability {
    SiteReachability {
        hosts,
        silent,
        sent,
        answered,
    }
}

fn report(site: usize, arrived: &[u16], sites: &[SiteReachability]) -> SiteLoadReport {
    SiteLoadReport {
        site: SiteIndex(site),
        period: Milliseconds(500),
        arrived: arrived.to_vec(),
        sites: sites.to_vec(),
    }
}

/// Two gateways of site 0 and one of site 1 send reports. A gateway's earlier report, a report
/// without a period and reports that are too old do not count.
#[test]
fn load_reports_add_up_over_gateways_and_only_the_latest_of_each_counts() {
    let mut reports = SiteLoadReports::default();
    reports.record(
        Timestamp::from_millis(0),
        GatewayId(1),
        report(0, &[900, 900], &[]),
    );
    let first = [reachability(2, 2, 4, 0), reachability(1, 0, 6, 6)];
    reports.record(
        Timestamp::from_millis(10),
        GatewayId(1),
        report(0, &[10, 0], &first),
    );
    let second = [reachability(1, 0, 4, 4), reachability(3, 0, 0, 0)];
    reports.record(
        Timestamp::from_millis(10),
        GatewayId(2),
        report(0, &[0, 5], &second),
    );
    reports.record(
        Timestamp::from_millis(20),
        GatewayId(3),
        report(1, &[0, 20], &[]),
    );
    let without_period = SiteLoadReport {
        period: Milliseconds::ZERO,
        ..report(1, &[9], &[])
    };
    reports.record(Timestamp::from_millis(20), GatewayId(4), without_period);
    assert_eq!(reports.gateway_count(), 3);
    assert_eq!(reports.class_rates(2), [20.0, 50.0]);
    let observations = reports.observe_sites(&[100.0, 50.0]);
    assert_eq!(
        (observations[0].hosts, observations[0].silent_hosts),
        (3, 2)
    );
    assert_eq!(
        (observations[0].load_per_s, observations[0].answered_share),
        (30.0, 0.5)
    );
    assert_eq!(
        (observations[1].hosts, observations[1].silent_hosts),
        (4, 0)
    );
    assert_eq!(
        (observations[1].load_per_s, observations[1].answered_share),
        (40.0, 1.0)
    );
    reports.remove_before(Timestamp::from_millis(15));
    assert_eq!(reports.gateway_count(), 1);
    assert_eq!(reports.class_rates(2), [0.0, 40.0]);
}
