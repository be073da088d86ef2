//! Request classes across changes of the settings.

use super::*;
use irisrouter::platform_settings::NameTable;
use irisrouter::routing::TimeDelta;

/// Guards against a request that is counted in the wrong class because its slot was reused while it was in flight, and
/// against slots that are never reused, so that their number grows with each reload.
#[test]
fn class_slot_is_reused_once_no_request_holds_it() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let with_change = |change: &dyn Fn(&mut PlatformSettings)| {
        let mut loaded = first.clone();
        change(&mut loaded);
        loaded
    };
    let classes = Classes::new(&first);
    let slot = |name: &str| classes.find(name).map(|handle| handle.slot);
    let order = classes.find("order").expect("a class");
    assert_eq!((slot("read"), order.slot), (Some(0), 1));
    // A class that changes while a request holds it gets a new slot, which continues from the estimates of the old one.
    let shorter = with_change(&|l| l.settings.classes[1].deadline = TimeDelta::from_nanos(7));
    assert_eq!(classes.swap(&shorter)[4], Some(1));
    assert_eq!(
        (slot("order"), order.class.deadline),
        (Some(4), first.settings.classes[1].deadline)
    );
    assert_eq!(
        classes.settings().classes[1].deadline,
        order.class.deadline,
        "the router's settings have the changed class"
    );
    // After the request has ended, its slot is free, and so is the slot of a class that the settings no longer have.
    drop(order);
    let mut names = NameTable::default();
    for name in ["read", "new", "own"] {
        names.find_or_insert(name);
    }
    let other = with_change(&|l| {
        l.classes = names.clone();
        l.settings.classes.truncate(3);
    });
    assert_eq!(
        classes.swap(&other)[1],
        None,
        "a new class continues from the estimates of no slot"
    );
    assert_eq!(
        (slot("new"), slot("order"), slot("once")),
        (Some(1), None, None)
    );
    for deadline in 1..50 {
        classes.swap(&with_change(&|l| {
            l.settings.classes[0].deadline = TimeDelta::from_nanos(deadline)
        }));
    }
    assert!(classes.settings().classes.len() < 8);
}

/// Guards against a shutdown whose schedule follows a deadline that the newest settings no longer have, and against one
/// that ends before a request in flight whose deadline is longer than those of the newest settings.
#[test]
fn longest_wait_after_a_reload_follows_new_settings_but_requests_in_flight_keep_theirs() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let classes = Classes::new(&first);
    let in_flight = classes.find("order").expect("a class");
    let long = duration(in_flight.class.deadline);
    let mut short = first.clone();
    short
        .settings
        .classes
        .iter_mut()
        .for_each(|c| c.deadline = TimeDelta::from_millis(150));
    classes.swap(&short);
    assert_eq!(classes.longest_wait(), Duration::from_millis(150));
    assert_eq!(classes.longest_wait_held(), long);
}
