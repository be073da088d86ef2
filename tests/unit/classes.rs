//! Tests of the request classes when the settings change.

use super::*;
use irisrouter::platform_settings::NameTable;
use irisrouter::routing::TimeDelta;

/// Guards against two failures: a request whose class changes while it is in flight would be attributed to the wrong
/// class, and slots that are never reused would accumulate with each reload.
#[test]
fn class_slot_is_reused_once_no_request_holds_it() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let modified_settings = |change: &dyn Fn(&mut PlatformSettings)| {
        let mut loaded = first.clone();
        change(&mut loaded);
        loaded
    };
    let classes = Classes::new(&first);
    let slot = |name: &str| classes.find(name).map(|handle| handle.slot);
    let order = classes.find("order").expect("a class");
    assert_eq!((slot("read"), order.slot), (Some(0), 1));
    // A class that changes while a request uses it gets a new slot, which inherits the estimates of the old slot.
    let shorter_deadline =
        modified_settings(&|loaded| loaded.settings.classes[1].deadline = TimeDelta::from_nanos(7));
    assert_eq!(classes.update_settings(&shorter_deadline)[4], Some(1));
    assert_eq!(
        (slot("order"), order.class.deadline),
        (Some(4), first.settings.classes[1].deadline)
    );
    assert_eq!(
        classes.settings().classes[1].deadline,
        order.class.deadline,
        "the router keeps the old class in slot 1"
    );
    // Once the request is finished, its slot is free, and so is the slot of a class that the new settings removed.
    drop(order);
    let mut names = NameTable::default();
    for name in ["read", "new", "own"] {
        names.find_or_insert(name);
    }
    let removed_and_added = modified_settings(&|loaded| {
        loaded.classes = names.clone();
        loaded.settings.classes.truncate(3);
    });
    assert_eq!(
        classes.update_settings(&removed_and_added)[1],
        None,
        "a new class inherits no estimates"
    );
    assert_eq!(
        (slot("new"), slot("order"), slot("once")),
        (Some(1), None, None)
    );
    for deadline in 1..50 {
        classes.update_settings(&modified_settings(&|loaded| {
            loaded.settings.classes[0].deadline = TimeDelta::from_nanos(deadline)
        }));
    }
    assert!(classes.settings().classes.len() < 8);
}

/// A shutdown must neither wait for a deadline that new settings have removed, nor end before a request in flight that
/// still has a longer deadline.
#[test]
fn longest_deadline_after_a_reload_follows_new_settings_but_requests_in_flight_keep_theirs() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let classes = Classes::new(&first);
    let in_flight = classes.find("order").expect("a class");
    let order_deadline = duration(in_flight.class.deadline);
    let mut shorter_deadlines = first.clone();
    shorter_deadlines
        .settings
        .classes
        .iter_mut()
        .for_each(|class| class.deadline = TimeDelta::from_millis(150));
    classes.update_settings(&shorter_deadlines);
    assert_eq!(classes.longest_deadline(), Duration::from_millis(150));
    assert_eq!(classes.longest_deadline_in_use(), order_deadline);
}
