//! Classes while settings change.

use super::*;
use irisrouter::platform_settings::NameTable;

/// Guards against a request that changes its class under way, and against slots that pile up with each file.
#[test]
fn a_request_keeps_its_class_and_a_slot_is_used_again_once_no_request_holds_it() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let with = |change: &dyn Fn(&mut PlatformSettings)| {
        let mut loaded = first.clone();
        change(&mut loaded);
        loaded
    };
    let classes = Classes::new(&first);
    let slot = |name: &str| classes.find(name).map(|held| held.slot);
    let order = classes.find("order").expect("a class");
    assert_eq!((slot("read"), order.slot), (Some(0), 1));
    // Changed while a request is in it: a slot of its own, which goes on from the experience of the old one.
    let shorter = with(&|l| l.settings.classes[1].deadline = 7);
    assert_eq!(classes.swap(&shorter)[4], Some(1));
    assert_eq!(
        (slot("order"), order.class.deadline),
        (Some(4), first.settings.classes[1].deadline)
    );
    assert_eq!(
        classes.settings().classes[1].deadline,
        order.class.deadline,
        "as the module has it"
    );
    // The request is over: its slot is free, and so is that of a class that is gone.
    drop(order);
    let mut names = NameTable::default();
    for name in ["read", "new", "own"] {
        names.number(name);
    }
    let other = with(&|l| {
        l.classes = names.clone();
        l.settings.classes.truncate(3);
    });
    assert_eq!(
        classes.swap(&other)[1],
        None,
        "nothing is known of a new class"
    );
    assert_eq!(
        (slot("new"), slot("order"), slot("once")),
        (Some(1), None, None)
    );
    for deadline in 1..50 {
        classes.swap(&with(&|l| l.settings.classes[0].deadline = deadline));
    }
    assert!(classes.settings().classes.len() < 8);
}

/// Guards against a planned stop whose times come from a deadline that new settings have shortened, and against one that
/// leaves a request behind whose own deadline is longer.
#[test]
fn the_longest_wait_is_that_of_the_settings_now_and_that_of_requests_under_way_their_own() {
    let text = include_str!("../gateway/settings.json");
    let first =
        PlatformSettings::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
    let classes = Classes::new(&first);
    let under_way = classes.find("order").expect("a class");
    let long = duration(under_way.class.deadline);
    let mut short = first.clone();
    short
        .settings
        .classes
        .iter_mut()
        .for_each(|c| c.deadline = 150_000_000);
    classes.swap(&short);
    assert_eq!(classes.longest_wait(), Duration::from_millis(150));
    assert_eq!(classes.longest_wait_held(), long);
}
