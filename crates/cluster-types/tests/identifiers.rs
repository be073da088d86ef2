//! Tests of the `Display` formats of identifiers, and of the order of epochs.

use irisrouter_cluster_types::{Epoch, GatewayId, Generation, HostId};

#[test]
fn numbers_are_shown_plainly_and_hosts_in_six_hexadecimal_digits() {
    assert_eq!(GatewayId(17).to_string(), "17");
    assert_eq!(Generation(65_535).to_string(), "65535");
    assert_eq!(Epoch(1_700_000_000_000).to_string(), "1700000000000");
    assert_eq!(HostId(0x00_1f).to_string(), "00001f");
}

#[test]
fn next_epoch_is_later_by_one() {
    assert_eq!(Epoch(41).next(), Epoch(42));
    assert!(Epoch(41) < Epoch(41).next());
}
