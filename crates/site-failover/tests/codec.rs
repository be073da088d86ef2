//! Property tests of the codec with arbitrary values and arbitrary bytes.

use irisrouter_cluster_types::Milliseconds;
use irisrouter_site_failover::codec::{self, Message};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteReachability};
use irisrouter_site_failover::SiteIndex;
use proptest::prelude::*;

proptest! {
    #[test]
    fn decode_accepts_or_rejects_any_bytes_without_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        with_magic: bool,
    ) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (with_magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        if let Ok(Message::Plan(plan)) = codec::decode(&bytes) {
            for site in &plan.sites {
                prop_assert!(site.load_distribution.iter().sum::<f64>() <= 1.0 + 1e-9);
            }
            prop_assert!(codec::encode_plan(&plan).len() <= codec::MAX_DATAGRAM_BYTES);
        }
    }

    #[test]
    fn load_report_is_unchanged_when_encoded_and_decoded(
        site in 0u8..8,
        period_ms in 1u16..,
        arrived in proptest::collection::vec(any::<u16>(), 0..=16),
        sites in proptest::collection::vec(any::<(u16, u16, u16, u16)>(), 0..=8),
    ) {
        let reachability = |(hosts, silent, sent, answered)| SiteReachability {
            hosts,
            silent,
            sent,
            answered,
        };
        let sites = sites.into_iter().map(reachability).collect();
        let report = SiteLoadReport {
            site: SiteIndex(usize::from(site)),
            period: Milliseconds(u64::from(period_ms)),
            arrived,
            sites,
        };
        let datagram = codec::encode_load_report(&report);
        prop_assert!(datagram.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&datagram), Ok(Message::SiteLoadReport(report)));
    }
}
