//! A host: its load window, and the loss of capacity through too many requests, slowdowns and a cold start.

use irisrouter_simulation::host::Host;
use irisrouter_simulation::load_window::LoadWindow;
use irisrouter_simulation::replication_log::{LogApplier, PrimarySignal, ReplicationLog, Source};
use irisrouter_simulation::spec::HostSpec;
use irisrouter_simulation::{HostId, SetId, SECOND};

#[test]
fn load_window_counts_work_within_its_length_and_no_more() {
    let mut w = LoadWindow::new(3 * SECOND);
    // A host of one core can do 3 s of work in the window of 3 s. Half of that arrives at the start of the window and
    // half at its end.
    assert_eq!(w.add(SECOND, 1.5e9, 1.0, true), 0.5);
    assert_eq!(
        w.add(4 * SECOND - 1, 1.5e9, 1.0, true),
        1.0,
        "the last moment of the window"
    );
    assert_eq!(
        w.add(4 * SECOND, 1.5e9, 1.0, false),
        1.0,
        "the first half is outside the window"
    );
    assert_eq!((w.peak, w.cold_peak), (1.0, 1.0));
}

#[test]
fn host_capacity_falls_when_crowded_slowed_or_cold() {
    let spec = HostSpec::default();
    let log = ReplicationLog::default();
    let source = Source {
        log: &log,
        primary_signal: PrimarySignal {
            since: Some(0),
            last_position: 0,
            shipping_delay: 1,
        },
        apply_time: 1,
    };
    let mut h = Host::new(
        HostId(0),
        SetId(0),
        &spec,
        0,
        LogApplier::new(0, source),
        3 * SECOND,
    );
    h.update_capacity(&spec, 0);
    assert_eq!(h.cpu.capacity(0), 5.0);
    h.held.running = 30;
    h.update_capacity(&spec, 0);
    assert!((h.cpu.capacity(0) - 5.0 * (1.0 - 0.03 * 2.0)).abs() < 1e-9);
    h.held.running = 0;
    h.multiply_slowdown(&spec, 0, 2.0);
    assert_eq!(
        (h.cpu.capacity(0), h.current_capacity(&spec, 0)),
        (2.5, 2.5)
    );
    h.multiply_slowdown(&spec, 0, 0.5);
    h.start(&spec, SECOND, 0.2, 10 * SECOND);
    assert!(
        (h.current_capacity(&spec, SECOND) - 1.0).abs() < 1e-9
            && h.cold(10 * SECOND)
            && !h.cold(11 * SECOND)
    );
}
