//! The adapter between the simulator's JSON lines and the router. It only converts; the router makes all decisions.

mod error;
mod instance;
mod wire;

pub use error::AdapterError;

use crate::routing::Event;
use instance::{EndedAttempt, EndedHealthCheck, Instance, NewRequest};
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wire::{Batch, Reply, WireAction, WireEntry, WireEvent};

/// The simulated gateways of this process, and the endpoint catalogs that they share.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<i64, Instance>,
    catalogs: HashMap<i64, Vec<WireEntry>>,
}

impl Adapter {
    /// Creates an adapter without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers one line of the simulator with one line.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is malformed or refers to an unknown class, outcome, status or catalog, or if the
    /// settings of a new instance cannot be used.
    pub fn answer_line(&mut self, line: &str) -> Result<String, AdapterError> {
        let batch: Batch = serde_json::from_str(line).map_err(AdapterError::MalformedBatch)?;
        // The instances with events in this batch, in the order of their first event.
        let mut instances_to_run: Vec<i64> = Vec::new();
        for event in batch.happened {
            if let Some(instance) = self.handle_event(event, &mut instances_to_run)? {
                if !instances_to_run.contains(&instance) {
                    instances_to_run.push(instance);
                }
            }
        }
        let mut output = Vec::new();
        for id in instances_to_run {
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            let run = || instance.run_batch(id, batch.now, &mut output);
            if let Err(panic) = catch_unwind(AssertUnwindSafe(run)) {
                let msg = panic_message(panic.as_ref());
                output.push(WireAction::Exception { i: id, msg });
            }
        }
        let reply = Reply {
            frame: &batch.frame,
            output,
        };
        serde_json::to_string(&reply).map_err(AdapterError::Reply)
    }

    /// Handles an event. Returns the instance that has to run because of it, if any. Removes a killed instance from
    /// `instances_to_run`.
    fn handle_event(
        &mut self,
        event: WireEvent,
        instances_to_run: &mut Vec<i64>,
    ) -> Result<Option<i64>, AdapterError> {
        match event {
            WireEvent::Catalog { set, entries } => {
                self.catalogs.insert(set, entries);
                Ok(None)
            }
            WireEvent::Init { inst, seed, info } => {
                let signed = seed.as_i64().map(|seed| seed as u64);
                let seed = seed.as_u64().or(signed).unwrap_or_default();
                self.instances.insert(inst, Instance::new(seed, &info)?);
                Ok(Some(inst))
            }
            WireEvent::Kill { inst } => {
                self.instances.remove(&inst);
                instances_to_run.retain(|&id| id != inst);
                Ok(None)
            }
            WireEvent::Datagram {} => Ok(None),
            WireEvent::View { inst, set, form } => {
                let catalog = set.and_then(|set| self.catalogs.get(&set));
                let Some(instance) = self.instances.get_mut(&inst) else {
                    return Ok(None);
                };
                if form == "lost" {
                    instance.post(Event::EndpointListLost);
                } else {
                    let entries = catalog.ok_or(AdapterError::UnknownCatalog)?;
                    instance.post_endpoints(form != "incr", entries)?;
                }
                Ok(Some(inst))
            }
            event => self.handle_instance_event(event),
        }
    }

    /// Handles an event that concerns only its instance. Ignores it if the instance does not exist.
    fn handle_instance_event(&mut self, event: WireEvent) -> Result<Option<i64>, AdapterError> {
        let Some(id) = event.instance() else {
            return Ok(None);
        };
        let Some(instance) = self.instances.get_mut(&id) else {
            return Ok(None);
        };
        match event {
            WireEvent::Req {
                call,
                class,
                tenant,
                session,
                deadline,
                work,
                group,
                last_write_age_ms,
                retry,
                ..
            } => instance.post_request(NewRequest {
                name: call,
                class,
                tenant,
                session,
                deadline,
                work,
                group,
                last_write_age_ms,
                retry: retry.unwrap_or(false),
            })?,
            WireEvent::ReportBack {
                call,
                attempt,
                member,
                outcome,
                elapsed,
                finished,
                status,
                metrics,
                ..
            } => instance.post_attempt_ended(EndedAttempt {
                request: call,
                attempt,
                member,
                outcome,
                elapsed,
                finished: finished.unwrap_or(false),
                status,
                metrics,
            })?,
            WireEvent::Probed {
                member,
                elapsed,
                outcome,
                metrics,
                ..
            } => instance.post_health_checked(EndedHealthCheck {
                member,
                outcome,
                elapsed,
                metrics,
            })?,
            WireEvent::Flowing { call, .. } => instance.post_streaming(&call),
            WireEvent::Vanished { call, .. } => instance.post_client_gone(&call),
            WireEvent::Alarm { .. } => instance.post(Event::TimerFired),
            WireEvent::Init { .. }
            | WireEvent::Kill { .. }
            | WireEvent::Catalog { .. }
            | WireEvent::View { .. }
            | WireEvent::Datagram {} => {}
        }
        Ok(Some(id))
    }
}

/// Returns the text of a panic, for the reply to the simulator.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "panic in the decision module".into())
}
