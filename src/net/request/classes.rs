//! The request classes: those of the newest settings, by name, and older ones that requests in flight still use.
//!
//! Each class has a slot, which is its index in the router's settings. New settings never change the slot of a class
//! that a request in flight uses: a changed or new class takes a free slot. A slot is free once no class name refers to
//! it and no request holds it.

use crate::net::duration;
use irisrouter::platform_settings::PlatformSettings;
use irisrouter::routing::{RequestClass, Settings};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A class and its slot. A request holds the handle of its class until it is finished.
pub struct ClassHandle {
    /// Index of the class in the router's settings.
    pub slot: usize,
    /// The class.
    pub class: RequestClass,
}

/// All classes, and the settings that the router uses.
pub struct Classes {
    /// Handles by slot. A slot that no class name refers to keeps its last class until it is reused.
    slots: RefCell<Vec<Rc<ClassHandle>>>,
    /// Classes of the newest settings, by name.
    by_name: RefCell<HashMap<String, Rc<ClassHandle>>>,
    settings: RefCell<Settings>,
}

/// A class of new settings that is new, or that differs from the class that had its name before.
struct ChangedClass<'a> {
    name: &'a str,
    class: &'a RequestClass,
    /// Slot of the class that had this name before; `None` if there was none.
    previous_slot: Option<usize>,
}

impl Classes {
    /// Creates the classes of these settings, each in the slot of its index there.
    pub fn new(loaded: &PlatformSettings) -> Self {
        let classes = Classes {
            slots: RefCell::default(),
            by_name: RefCell::default(),
            settings: RefCell::new(loaded.settings.clone()),
        };
        classes.update_settings(loaded);
        classes
    }

    /// Returns the class of this name in the newest settings, for a new request.
    pub fn find(&self, name: &str) -> Option<Rc<ClassHandle>> {
        self.by_name.borrow().get(name).cloned()
    }

    /// Returns the name of the class in each slot; an empty one if no class of the newest settings is in the slot.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.slots.borrow().len()];
        for (name, handle) in self.by_name.borrow().iter() {
            names[handle.slot] = name.clone();
        }
        names
    }

    /// Returns the settings that the router uses, with the classes by slot.
    pub fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Returns the longest deadline of the classes that new requests can have.
    pub fn longest_deadline(&self) -> Duration {
        max_deadline(self.by_name.borrow().values())
    }

    /// Returns the longest deadline of the classes in all slots. Requests in flight may be in a class that the newest
    /// settings no longer have.
    pub fn longest_deadline_in_use(&self) -> Duration {
        max_deadline(self.slots.borrow().iter())
    }

    /// Applies new settings. Returns, for each slot, the previous slot whose estimates its class inherits; `None` if it
    /// inherits none.
    pub fn update_settings(&self, loaded: &PlatformSettings) -> Vec<Option<usize>> {
        let mut slots = self.slots.borrow_mut();
        let mut by_name = self.by_name.borrow_mut();
        let previous_by_name = std::mem::take(&mut *by_name);
        let mut previous_slots: Vec<Option<usize>> = (0..slots.len()).map(Some).collect();
        let mut changed = Vec::new();
        for (name, class) in loaded.classes.iter().zip(&loaded.settings.classes) {
            let previous = previous_by_name.get(name);
            match previous.filter(|handle| handle.class == *class) {
                Some(handle) => drop(by_name.insert(name.to_string(), Rc::clone(handle))),
                None => changed.push(ChangedClass {
                    name,
                    class,
                    previous_slot: previous.map(|handle| handle.slot),
                }),
            }
        }
        // Dropped before free slots are searched, so that slots which only the old names held count as free.
        drop(previous_by_name);
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

/// Returns the first slot that no class name refers to and no request holds, or a new one after the last.
fn free_slot(slots: &[Rc<ClassHandle>]) -> usize {
    slots
        .iter()
        .position(|handle| Rc::strong_count(handle) == 1)
        .unwrap_or(slots.len())
}

fn max_deadline<'a>(handles: impl Iterator<Item = &'a Rc<ClassHandle>>) -> Duration {
    handles
        .map(|handle| duration(handle.class.deadline))
        .max()
        .unwrap_or_default()
}

#[cfg(test)]
#[path = "../../../tests/unit/classes.rs"]
mod tests;
