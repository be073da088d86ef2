//! The decision of a gateway to watch, fetch or wait, depending on the heartbeats that it received.

use irisrouter_cluster_types::{Epoch, HostId, Milliseconds, Timestamp};
use irisrouter_endpoint_watch::{
    codec, EndpointWatcher, Heartbeat, LocalState, PollDecision, Revision, Settings,
    MAX_HOSTS_OUT_OF_SERVICE,
};
use proptest::prelude::*;

const SETTINGS: Settings = Settings::for_lease(Milliseconds(1_000));
const RANK: u64 = 3;

/// Returns the given time on the test's clock.
fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// State of a gateway that has a list of this revision and does not hold the lease of the watch.
fn at_revision(revision: u64) -> LocalState {
    LocalState {
        fencing_token: None,
        revision: Some(Revision(revision)),
        needs_full_list: false,
        rank: RANK,
    }
}

/// State of the gateway that holds the lease of the watch, under epoch 9.
fn lease_holder_at(revision: u64) -> LocalState {
    LocalState {
        fencing_token: Some(Epoch(9)),
        ..at_revision(revision)
    }
}

#[test]
fn gateways_without_lease_wait_for_a_new_revision_and_fetch_it_one_after_another() {
    let mut watcher = EndpointWatcher::new(SETTINGS);
    let without_list = LocalState {
        revision: None,
        ..at_revision(0)
    };
    assert_eq!(
        watcher.decide_poll(at(0), without_list),
        PollDecision::Fetch
    );
    assert_eq!(
        watcher.decide_poll(at(0), at_revision(5)),
        PollDecision::Watch,
        "no heartbeat was received yet"
    );
    assert_eq!(
        watcher.decide_poll(at(0), lease_holder_at(5)),
        PollDecision::Watch
    );
    assert!(watcher.receive_heartbeat(at(100), Epoch(9), Revision(5)));
    assert_eq!(
        watcher.decide_poll(at(100), at_revision(5)),
        PollDecision::Wait(SETTINGS.silence_timeout)
    );
    assert!(watcher.receive_heartbeat(at(200), Epoch(9), Revision(6)));
    let stagger = SETTINGS.fetch_stagger * RANK;
    assert_eq!(
        watcher.decide_poll(at(200), at_revision(5)),
        PollDecision::Wait(stagger)
    );
    assert_eq!(
        watcher.decide_poll(at(200) + stagger, at_revision(5)),
        PollDecision::Fetch
    );
    // Repeated heartbeats for a revision that the service does not return yet cause no fetches before the interval has
    // passed.
    assert!(watcher.receive_heartbeat(at(270), Epoch(9), Revision(6)));
    assert_eq!(
        watcher.decide_poll(at(280), at_revision(5)),
        PollDecision::Wait(SETTINGS.refetch_interval - Milliseconds(20))
    );
    assert!(watcher.receive_heartbeat(at(1_200), Epoch(9), Revision(6)));
    assert_eq!(
        watcher.decide_poll(at(260) + SETTINGS.refetch_interval, at_revision(5)),
        PollDecision::Fetch
    );
    assert!(watcher.receive_heartbeat(at(1_300), Epoch(9), Revision(7)));
    assert_eq!(
        watcher.decide_poll(at(1_300), at_revision(6)),
        PollDecision::Wait(stagger),
        "a newer revision is fetched one gateway after another again"
    );
    let at_new_address = LocalState {
        needs_full_list: true,
        ..at_revision(6)
    };
    assert_eq!(
        watcher.decide_poll(at(1_300), at_new_address),
        PollDecision::Fetch,
        "the full list is fetched at once from a new address"
    );
}

/// Guards against gateways that keep waiting for a watcher that has failed, or for one whose list is older than theirs.
#[test]
fn gateway_watches_for_itself_without_heartbeats_or_with_those_of_an_older_list() {
    let mut watcher = EndpointWatcher::new(SETTINGS);
    let silence = SETTINGS.silence_timeout;
    assert!(watcher.receive_heartbeat(at(0), Epoch(9), Revision(5)));
    assert_eq!(
        watcher.decide_poll(
            Timestamp::ZERO + (silence - Milliseconds(1)),
            at_revision(5)
        ),
        PollDecision::Wait(Milliseconds(1))
    );
    assert_eq!(
        watcher.decide_poll(Timestamp::ZERO + silence, at_revision(5)),
        PollDecision::Watch
    );
    assert!(
        watcher.receive_heartbeat(at(10_000), Epoch(10), Revision(4)),
        "the next watcher may have an older list"
    );
    assert_eq!(
        watcher.decide_poll(at(10_000), at_revision(5)),
        PollDecision::Watch
    );
    assert!(
        !watcher.receive_heartbeat(at(10_001), Epoch(9), Revision(7)),
        "an older epoch does not count"
    );
    assert!(watcher.receive_heartbeat(at(10_002), Epoch(10), Revision(6)));
    assert!(
        !watcher.receive_heartbeat(at(10_003), Epoch(10), Revision(5)),
        "an older revision under the same epoch does not count"
    );
    assert_eq!(
        watcher.decide_poll(at(10_010), at_revision(6)),
        PollDecision::Wait(silence - Milliseconds(8))
    );
}

/// Guards against a watcher that can't reach the service and whose heartbeats keep all other gateways from watching.
#[test]
fn lease_holder_sends_heartbeats_only_while_its_calls_are_answered() {
    let mut watcher = EndpointWatcher::new(SETTINGS);
    let interval = SETTINGS.heartbeat_interval;
    let heartbeat = |watcher: &mut EndpointWatcher, now, local| {
        watcher.due_heartbeat(now, local, || vec![HostId(1)])
    };
    let expected = |revision| {
        Some(Heartbeat {
            epoch: Epoch(9),
            revision: Revision(revision),
            hosts_out_of_service: vec![HostId(1)],
        })
    };
    assert_eq!(heartbeat(&mut watcher, at(0), lease_holder_at(5)), None);
    watcher.record_call(true);
    assert_eq!(
        heartbeat(&mut watcher, at(0), lease_holder_at(5)),
        expected(5)
    );
    assert_eq!(heartbeat(&mut watcher, at(1), lease_holder_at(5)), None);
    assert_eq!(
        heartbeat(&mut watcher, at(1), lease_holder_at(6)),
        expected(6),
        "a new revision is announced at once"
    );
    assert_eq!(watcher.next_heartbeat_at(at(2), true), at(1) + interval);
    assert_eq!(
        heartbeat(&mut watcher, at(1) + interval, at_revision(6)),
        None,
        "this gateway does not hold the lease any more"
    );
    watcher.record_call(false);
    assert_eq!(heartbeat(&mut watcher, at(5_000), lease_holder_at(5)), None);
}

proptest! {
    #[test]
    fn any_heartbeat_is_decoded_as_it_was_encoded(
        epoch in 1u64..,
        revision: u64,
        hosts_out_of_service in prop::collection::vec(any::<u32>(), 0..=MAX_HOSTS_OUT_OF_SERVICE),
    ) {
        let heartbeat = Heartbeat {
            epoch: Epoch(epoch),
            revision: Revision(revision),
            hosts_out_of_service: hosts_out_of_service.into_iter().map(HostId).collect(),
        };
        let bytes = codec::encode(&heartbeat);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&bytes), Ok(heartbeat));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(mut bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes);
        bytes.insert(0, codec::MAGIC);
        let _ = codec::decode(&bytes);
    }
}
