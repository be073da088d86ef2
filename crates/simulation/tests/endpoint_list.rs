//! The endpoint list: the order of notifications, and silent discovery.

use irisrouter_simulation::endpoint_list::{EndpointList, ListedState};
use irisrouter_simulation::spec::ListSpec;
use irisrouter_simulation::{seconds, GatewayId, HostId, SetId, SECOND};

#[test]
fn notification_that_is_older_or_withheld_does_not_change_the_view() {
    let spec = ListSpec::default();
    let mut l = EndpointList::new(&spec, 1, 2, [(HostId(0), SetId(0))].into_iter());
    let first = l.announce(0, HostId(0), SetId(0), ListedState::Draining, 0, false);
    let second = l.announce(
        SECOND,
        HostId(0),
        SetId(0),
        ListedState::Ready,
        SECOND,
        false,
    );
    assert_eq!((first.len(), second.len()), (2, 2));
    assert!(first
        .iter()
        .all(|t| t.at >= seconds(1.1) && t.at <= seconds(4.7 + 0.38)));
    let g = GatewayId(0);
    assert!(l.deliver(5 * SECOND, g, second[0].entry));
    assert!(
        !l.deliver(6 * SECOND, g, first[0].entry),
        "the entry is older"
    );
    assert_eq!(l.drain_notice_time(g, HostId(0)), None);
    l.set_silent(true);
    let gone = l.announce(
        7 * SECOND,
        HostId(0),
        SetId(0),
        ListedState::Gone,
        SECOND,
        false,
    );
    assert!(!l.deliver(9 * SECOND, g, gone[0].entry));
    assert_eq!(
        (l.drain_notice_time(g, HostId(0)), l.view(g).version),
        (None, 2)
    );
    let withheld = l.set_silent(false);
    assert_eq!(withheld.len(), 1);
    assert!(l.deliver(20 * SECOND, withheld[0].0, withheld[0].1));
    assert_eq!(l.drain_notice_time(g, HostId(0)), Some(20 * SECOND));
}
