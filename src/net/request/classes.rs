//! The request classes: as new requests find them by name, and as the requests in flight still know them.
//!
//! Each class has a slot, which is its number in the router's settings. New settings never move a class that some
//! request is in: what they change takes a free slot, and a slot is free once no name finds it and no request holds it.

use crate::net::duration;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{RequestClass, Settings};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A class in its slot. A request holds its own until it is over.
pub struct ClassHandle {
    /// Its number in the router's settings.
    pub slot: usize,
    /// The class.
    pub class: RequestClass,
}

/// All classes, and the settings that the router has.
pub struct Classes {
    /// By slot. A slot that no name finds keeps its last class until it is used again.
    slots: RefCell<Vec<Rc<ClassHandle>>>,
    /// The classes of the newest settings.
    by_name: RefCell<HashMap<String, Rc<ClassHandle>>>,
    settings: RefCell<Settings>,
}

/// A class of new settings that is not the same as before.
struct ChangedClass<'a> {
    name: &'a str,
    class: &'a RequestClass,
    /// The slot of the class that had this name before.
    previous_slot: Option<usize>,
}

impl Classes {
    /// The classes of these settings, each in the slot of its number.
    pub fn new(loaded: &PlatformSettings) -> Self {
        let classes = Classes {
            slots: RefCell::default(),
            by_name: RefCell::default(),
            settings: RefCell::new(loaded.settings.clone()),
        };
        classes.swap(loaded);
        classes
    }

    /// The class of a new request with this class name.
    pub fn find(&self, name: &str) -> Option<Rc<ClassHandle>> {
        self.by_name.borrow().get(name).cloned()
    }

    /// The name of the class in each slot; empty where the newest settings have none there.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.slots.borrow().len()];
        for (name, handle) in self.by_name.borrow().iter() {
            names[handle.slot] = name.clone();
        }
        names
    }

    /// The settings as the router has them.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// The longest deadline that a new request can have.
    pub fn longest_wait(&self) -> Duration {
        longest_deadline(self.by_name.borrow().values())
    }

    /// The longest deadline of a request in flight, which may be in a class that the settings no longer have.
    pub fn longest_wait_held(&self) -> Duration {
        longest_deadline(self.slots.borrow().iter())
    }

    /// Takes new settings. Returns for each slot the one whose estimates it goes on from, if there is one.
    pub fn swap(&self, loaded: &PlatformSettings) -> Vec<Option<usize>> {
        let mut slots = self.slots.borrow_mut();
        let mut by_name = self.by_name.borrow_mut();
        let old = std::mem::take(&mut *by_name);
        let mut previous_slots: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut changed = Vec::new();
        for (name, class) in loaded.classes.iter().zip(&loaded.settings.classes) {
            let previous = old.get(name);
            match previous.filter(|handle| handle.class == *class) {
                Some(handle) => drop(by_name.insert(name.to_string(), Rc::clone(handle))),
                None => changed.push(ChangedClass {
                    name,
                    class,
                    previous_slot: previous.map(|handle| handle.slot),
                }),
            }
        }
        // Before slots are looked for: what only the old names held is free.
        drop(old);
        for changed in changed {
            let slot = free_slot(&slots);
            let handle = Rc::new(ClassHandle {
                slot,
                class: changed.class.clone(),
            });
            by_name.insert(changed.name.to_string(), Rc::clone(&handle));
            if slot == slots.len() {
                slots.push(handle);
                previous_slots.push(changed.previous_slot);
            } else {
                slots[slot] = handle;
                previous_slots[slot] = changed.previous_slot;
            }
        }
        let classes = slots.iter().map(|handle| handle.class.clone()).collect();
        self.settings.replace(Settings {
            classes,
            ..loaded.settings.clone()
        });
        previous_slots
    }
}

/// The first slot that no name finds and no request holds, or the one behind the last.
fn free_slot(slots: &[Rc<ClassHandle>]) -> usize {
    slots
        .iter()
        .position(|handle| Rc::strong_count(handle) == 1)
        .unwrap_or(slots.len())
}

fn longest_deadline<'a>(handles: impl Iterator<Item = &'a Rc<ClassHandle>>) -> Duration {
    handles
        .map(|handle| duration(handle.class.deadline))
        .max()
        .unwrap_or_default()
}

#[cfg(test)]
#[path = "../../../tests/unit/classes.rs"]
mod tests;
