//! The request classes: as new requests find them by name, and as those under way still know them.
//!
//! Each class has a slot, which is its number in the module's settings. New settings never move a class that some
//! request is in: what they change takes a free slot, and a slot is free once no name finds it and no request holds it.

use crate::net::duration;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{RequestClass, Settings};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A class in its slot. A request holds its own until it is over.
pub struct Held {
    /// Its number in the module's settings.
    pub slot: usize,
    /// What it is.
    pub class: RequestClass,
}

/// All classes, and the settings that the module has.
pub struct Classes {
    slots: RefCell<Vec<Rc<Held>>>,
    newest: RefCell<HashMap<String, Rc<Held>>>,
    settings: RefCell<Settings>,
}

impl Classes {
    /// The classes of these settings, each in the slot of its number.
    pub fn new(loaded: &PlatformSettings) -> Self {
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
        self.newest
            .borrow()
            .iter()
            .for_each(|(name, held)| names[held.slot] = name.clone());
        names
    }

    /// The settings as the module has them.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// How long a new request may wait at most.
    pub fn longest_wait(&self) -> Duration {
        self.newest
            .borrow()
            .values()
            .map(|held| duration(held.class.deadline))
            .max()
            .unwrap_or_default()
    }

    /// How long one may wait that is under way: it may be in a class that the settings no longer have.
    pub fn longest_wait_held(&self) -> Duration {
        self.slots
            .borrow()
            .iter()
            .map(|held| duration(held.class.deadline))
            .max()
            .unwrap_or_default()
    }

    /// Takes new settings, and returns for each slot the one whose experience it goes on from, if there is one.
    pub fn swap(&self, loaded: &PlatformSettings) -> Vec<Option<usize>> {
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
            let slot = slots
                .iter()
                .position(|held| Rc::strong_count(held) == 1)
                .unwrap_or(slots.len());
            let held = Rc::new(Held {
                slot,
                class: class.clone(),
            });
            newest.insert(name.to_string(), Rc::clone(&held));
            if slot == slots.len() {
                slots.push(held);
                from.push(before);
            } else {
                (slots[slot], from[slot]) = (held, before);
            }
        }
        let classes = slots.iter().map(|held| held.class.clone()).collect();
        self.settings.replace(Settings {
            classes,
            ..loaded.settings.clone()
        });
        from
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/classes.rs"]
mod tests;
