//! The request classes: as new requests find them by name, and as those under way still know them.
//!
//! Each class has a slot, which is its number in the module's settings. New settings never move a class that some
//! request is in: what they change takes a free slot, and a slot is free once no name finds it and no request holds it.

use irisrouter::api::{Class, Settings};
use irisrouter::settings::Loaded;
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// A class in its slot. A request holds its own until it is over.
pub struct Held {
    /// Its number in the module's settings.
    pub slot: usize,
    /// What it is.
    pub class: Class,
}

/// All classes, and the settings that the module has.
pub struct Classes {
    slots: RefCell<Vec<Rc<Held>>>,
    newest: RefCell<HashMap<String, Rc<Held>>>,
    settings: RefCell<Settings>,
}

impl Classes {
    /// The classes of these settings, each in the slot of its number.
    pub fn new(loaded: &Loaded) -> Self {
        let classes = Classes {
            slots: RefCell::default(),
            newest: RefCell::default(),
            settings: RefCell::new(loaded.settings.clone()),
        };
        classes.swap(loaded);
        classes
    }

    /// The class that a new request of this name is in.
    pub fn find(&self, name: &str) -> Option<Rc<Held>> {
        self.newest.borrow().get(name).cloned()
    }

    /// The newest name of each slot.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.slots.borrow().len()];
        self.newest.borrow().iter().for_each(|(name, held)| names[held.slot] = name.clone());
        names
    }

    /// The settings as the module has them.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Takes new settings, and returns for each slot the one whose experience it goes on from, if there is one.
    pub fn swap(&self, loaded: &Loaded) -> Vec<Option<usize>> {
        let (mut slots, mut newest) = (self.slots.borrow_mut(), self.newest.borrow_mut());
        let old = std::mem::take(&mut *newest);
        let mut from: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut changed = Vec::new();
        for (name, class) in loaded.classes.iter().zip(&loaded.settings.classes) {
            let before = old.get(name);
            match before.filter(|held| held.class == *class) {
                Some(held) => drop(newest.insert(name.to_string(), Rc::clone(held))),
                None => changed.push((name, class, before.map(|held| held.slot))),
            }
        }
        drop(old);
        for (name, class, before) in changed {
            let slot = slots.iter().position(|held| Rc::strong_count(held) == 1).unwrap_or(slots.len());
            let held = Rc::new(Held { slot, class: class.clone() });
            newest.insert(name.to_string(), Rc::clone(&held));
            if slot == slots.len() {
                slots.push(held);
                from.push(before);
            } else {
                (slots[slot], from[slot]) = (held, before);
            }
        }
        let classes = slots.iter().map(|held| held.class.clone()).collect();
        self.settings.replace(Settings { classes, ..loaded.settings.clone() });
        from
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use irisrouter::settings::Names;

    /// Guards against a request that changes its class under way, and against slots that pile up with each file.
    #[test]
    fn a_request_keeps_its_class_and_a_slot_is_used_again_once_no_request_holds_it() {
        let text = include_str!("../../tests/gateway/settings.json");
        let first = Loaded::parse(&serde_json::from_str(text).expect("json"), 1).expect("settings");
        let with = |change: &dyn Fn(&mut Loaded)| {
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
        assert_eq!((slot("order"), order.class.deadline), (Some(4), first.settings.classes[1].deadline));
        assert_eq!(classes.settings().classes[1].deadline, order.class.deadline, "as the module has it");
        // The request is over: its slot is free, and so is that of a class that is gone.
        drop(order);
        let mut names = Names::default();
        for name in ["read", "new", "own"] {
            names.number(name);
        }
        let other = with(&|l| {
            l.classes = names.clone();
            l.settings.classes.truncate(3);
        });
        assert_eq!(classes.swap(&other)[1], None, "nothing is known of a new class");
        assert_eq!((slot("new"), slot("order"), slot("once")), (Some(1), None, None));
        for deadline in 1..50 {
            classes.swap(&with(&|l| l.settings.classes[0].deadline = deadline));
        }
        assert!(classes.settings().classes.len() < 8);
    }
}
