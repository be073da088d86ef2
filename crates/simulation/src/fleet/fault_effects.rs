//! Effects of the planned faults on the fleet when they begin and when they end.

use super::messages::Output;
use super::{Event, Fleet};
use crate::endpoint_list::ListedState;
use crate::faults::{self, PlannedFault};
use crate::host::State;
use crate::rng::{Rng, Stream};
use crate::spec::Fault;
use crate::{HostId, Ns, MS};

/// Time from the end of a drain, when the host stops, until the host starts again.
const REPLACEMENT_DELAY: Ns = 1000 * MS;

impl Fleet {
    /// Begins a planned fault. Its hosts are chosen now, because their roles are not known earlier.
    pub(super) fn begin_fault(&mut self, now: Ns, index: usize) {
        let planned = self.faults.plan[index].clone();
        let hosts = self.choose_hosts(&planned.fault, index);
        for &host in &hosts {
            self.apply_fault(now, &planned, host);
        }
        if let Some(lost) = &planned.fault.datagrams_lost {
            self.faults.datagram_loss = lost.part;
            self.outputs.push(Output::DatagramsLost(lost.part));
        }
        if planned.fault.discovery_silent.is_some() {
            self.list.set_silent(true);
        }
        self.faults.affected_hosts.insert(index, hosts.clone());
        self.outputs.push(Output::Fault {
            index,
            begins: true,
            hosts,
        });
    }

    /// Chooses the hosts that a fault affects, among the running ones. Each fault draws from its own stream.
    fn choose_hosts(&self, fault: &Fault, index: usize) -> Vec<HostId> {
        let running: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|host| host.state == State::Up)
            .map(|host| host.id)
            .collect();
        let all_by_default = fault.slow_apply.is_some() || fault.slowdown.is_some();
        let selections = fault.host_selections();
        match selections.first() {
            Some((_, selection)) => {
                let seed = self.random.seed ^ (index as u64 + 1).rotate_left(40);
                let mut rng = Rng::new(seed, Stream::Faults);
                let is_primary = |id: HostId| {
                    let set = self.hosts[id.0 as usize].set;
                    self.sets[set.0 as usize].primary == Some(id)
                };
                faults::choose_hosts(selection, &running, is_primary, &mut rng)
            }
            None if all_by_default => running,
            None => Vec::new(),
        }
    }

    fn apply_fault(&mut self, now: Ns, planned: &PlannedFault, host: HostId) {
        let host_index = host.0 as usize;
        let fault = &planned.fault;
        let source = self.sets[self.hosts[host_index].set.0 as usize].source(&self.day);
        if let Some(silent) = &fault.silent {
            let state = if silent.hang {
                State::Hung
            } else {
                State::Vanished
            };
            self.stop_host(now, host, state);
            self.announce(now, host, ListedState::Gone, true);
        } else if fault.reset.is_some() {
            self.stop_host(now, host, State::Down);
            self.announce(now, host, ListedState::Gone, false);
        } else if fault.refusing.is_some() {
            self.hosts[host_index].condition.refusing = true;
        } else if let Some(failing) = &fault.spoilt {
            self.hosts[host_index].condition.errors = failing.part;
        } else if fault.slow_apply.is_some() {
            let applier = &mut self.hosts[host_index].applier;
            applier.set_slowdown(now, source, planned.times);
        } else if fault.slowdown.is_some() {
            self.hosts[host_index].multiply_slowdown(&self.spec.hosts, now, planned.times);
            self.schedule_finish(now, host);
        } else if fault.drain.is_some() {
            self.start_drain(now, host);
        }
    }

    /// Starts the drain of a host. A primary gives up its role at once, and its successor is elected after the
    /// hand-over time.
    fn start_drain(&mut self, now: Ns, host: HostId) {
        self.hosts[host.0 as usize].condition.draining = true;
        self.announce(now, host, ListedState::Draining, false);
        let set = self.hosts[host.0 as usize].set;
        // Drawn for replicas too, so that the set's later draws do not depend on roles.
        let hand_over = self.draw_role_delay(set, self.spec.sets.switch_s);
        let replica_set = &mut self.sets[set.0 as usize];
        if replica_set.primary != Some(host) {
            return;
        }
        let applier = &mut self.hosts[host.0 as usize].applier;
        applier.catch_up(now, replica_set.source(&self.day));
        replica_set.primary = None;
        replica_set.primary_since = None;
        replica_set.last_position = now;
        replica_set.term += 1;
        let term = replica_set.term;
        self.outputs.push(Output::Primary { set, host: None });
        self.schedule(now + hand_over, Event::Elect { set, term });
    }

    /// Ends a planned fault: reverts its effects or restarts its hosts.
    pub(super) fn end_fault(&mut self, now: Ns, index: usize) {
        let planned = self.faults.plan[index].clone();
        let hosts = self
            .faults
            .affected_hosts
            .remove(&index)
            .unwrap_or_default();
        for &host in &hosts {
            self.undo_fault(now, &planned, host);
        }
        if planned.fault.datagrams_lost.is_some() {
            self.faults.datagram_loss = self.spec.net.datagram_loss;
            self.outputs
                .push(Output::DatagramsLost(self.faults.datagram_loss));
        }
        if planned.fault.discovery_silent.is_some() {
            for (gateway, entry) in self.list.set_silent(false) {
                self.deliver_notification(now, gateway, entry);
            }
        }
        self.outputs.push(Output::Fault {
            index,
            begins: false,
            hosts,
        });
    }

    fn undo_fault(&mut self, now: Ns, planned: &PlannedFault, host: HostId) {
        let host_index = host.0 as usize;
        let fault = &planned.fault;
        if fault.silent.as_ref().is_some_and(|silent| silent.hang) {
            if self.hosts[host_index].state == State::Hung {
                self.resume_host(now, host);
                self.announce(now, host, ListedState::Ready, false);
            }
        } else if fault.silent.is_some() || fault.reset.is_some() {
            self.restart_host(now, host);
        } else if fault.refusing.is_some() {
            self.hosts[host_index].condition.refusing = false;
        } else if fault.spoilt.is_some() {
            self.hosts[host_index].condition.errors = self.spec.hosts.errors;
        } else if fault.slow_apply.is_some() {
            let source = self.sets[self.hosts[host_index].set.0 as usize].source(&self.day);
            self.hosts[host_index]
                .applier
                .set_slowdown(now, source, 1.0);
        } else if fault.slowdown.is_some() {
            self.hosts[host_index].multiply_slowdown(&self.spec.hosts, now, 1.0 / planned.times);
            self.schedule_finish(now, host);
        } else if fault.drain.is_some() && self.hosts[host_index].state == State::Up {
            self.stop_host(now, host, State::Down);
            self.announce(now, host, ListedState::Gone, false);
            let epoch = self.hosts[host_index].epoch;
            self.schedule(now + REPLACEMENT_DELAY, Event::Restart { host, epoch });
        }
    }
}
