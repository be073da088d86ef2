//! What happened in a run, for the report's line of time.

use super::Mark;
use irisrouter_simulation::faults::PlannedFault;
use irisrouter_simulation::fleet::Output;
use irisrouter_simulation::{HostId, Ns, SECOND};
use std::collections::BTreeMap;

/// Most hosts of a fault that are named one by one.
const MAX_NAMED_HOSTS: usize = 12;

/// The marks of a run.
pub(super) struct Timeline {
    /// The start of the run.
    start: Ns,
    /// In the order of their beginnings.
    pub(super) marks: Vec<Mark>,
    /// By name: the number of the mark that has begun and not ended.
    open: BTreeMap<String, usize>,
    /// The times at which hosts that had failed came back.
    pub(super) returns: Vec<Ns>,
}

impl Timeline {
    pub(super) fn new(start: Ns) -> Self {
        Timeline {
            start,
            marks: Vec::new(),
            open: BTreeMap::new(),
            returns: Vec::new(),
        }
    }

    /// Seconds since the start of the run.
    pub(super) fn seconds_at(&self, now: Ns) -> f64 {
        (now - self.start) as f64 / SECOND as f64
    }

    /// Marks a moment.
    fn mark(&mut self, now: Ns, what: String) {
        let at_s = self.seconds_at(now);
        self.marks.push(Mark {
            at_s,
            until_s: None,
            what,
        });
    }

    /// Begins a mark that lasts until [`Timeline::end`] is called with its name.
    fn begin(&mut self, now: Ns, what: String) {
        self.open.insert(what.clone(), self.marks.len());
        self.mark(now, what);
    }

    /// Ends the mark that began under this name, if there is one.
    fn end(&mut self, now: Ns, what: &str) {
        let until = self.seconds_at(now);
        if let Some(index) = self.open.remove(what) {
            self.marks[index].until_s = Some(until);
        }
    }

    /// Marks an event of the world.
    pub(super) fn record(&mut self, now: Ns, output: &Output, plan: &[PlannedFault]) {
        match output {
            Output::Fault {
                index,
                begins,
                hosts,
            } => {
                let planned = &plan[*index];
                let what = fault_name(*index, planned, hosts);
                if *begins {
                    return self.begin(now, what);
                }
                // It ends under the name that it began with: the hosts are the same.
                self.end(now, &what);
                if planned.fault.silent.is_some() || planned.fault.reset.is_some() {
                    self.returns.push(now);
                }
            }
            Output::Primary { set, host } => {
                let what = format!("set {} without a primary", set.0);
                match host {
                    None if self.open.contains_key(&what) => {}
                    None => self.begin(now, what),
                    Some(_) => self.end(now, &what),
                }
            }
            Output::Gateway { gateway, up } => {
                let what = format!("gateway {} away", gateway.0);
                if *up {
                    self.end(now, &what);
                } else {
                    self.begin(now, what);
                }
            }
            Output::HostOverloaded { host } => {
                self.mark(now, format!("host {} knocked over", host.0));
            }
            _ => {}
        }
    }
}

fn fault_name(index: usize, planned: &PlannedFault, hosts: &[HostId]) -> String {
    let hosts = if hosts.len() > MAX_NAMED_HOSTS {
        format!("{} hosts", hosts.len())
    } else {
        let numbers: Vec<String> = hosts.iter().map(|host| host.0.to_string()).collect();
        numbers.join(" ")
    };
    format!("{} #{index} {hosts}", planned.name.replace('_', " "))
}
