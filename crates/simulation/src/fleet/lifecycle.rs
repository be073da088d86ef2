//! Starts and stops of hosts, and their announcement to the gateways through the endpoint list.

use super::messages::Output;
use super::{Event, Fleet};
use crate::endpoint_list::{ListEntry, ListedState};
use crate::host::State;
use crate::{GatewayId, HostId, Ns};

/// Number of commits that a set keeps after every member has applied them, because running reads still refer to them.
const RETAINED_COMMITS: u64 = 10_000;

impl Fleet {
    /// Stops a running host: it hangs, vanishes, or its process dies, as `new_state` says.
    pub(super) fn stop_host(&mut self, now: Ns, host: HostId, new_state: State) {
        let index = host.0 as usize;
        if self.hosts[index].state != State::Up {
            return;
        }
        let set = self.hosts[index].set;
        if self.sets[set.0 as usize].primary == Some(host) {
            self.lose_primary(now, set);
        }
        let source = self.sets[set.0 as usize].source(&self.day);
        self.hosts[index].applier.stop(now, source, true);
        self.hosts[index].state = new_state;
        if new_state == State::Hung {
            self.hosts[index].cpu.freeze(now, true);
        } else {
            while self.hosts[index].held.blocking > 0 {
                self.resume_applying(now, host);
            }
            self.hosts[index].drop_all_work(now);
            self.jobs.active.retain(|_, j| j.host != host);
        }
        if new_state == State::Down {
            self.outputs.push(Output::ConnectionsReset { host });
        }
        self.schedule_finish(now, host);
    }

    /// Resumes a host that hung. It continues its requests, in the role that it has now.
    pub(super) fn resume_host(&mut self, now: Ns, host: HostId) {
        let index = host.0 as usize;
        self.hosts[index].state = State::Up;
        self.hosts[index].cpu.freeze(now, false);
        let set = self.hosts[index].set;
        let replica_set = &mut self.sets[set.0 as usize];
        if replica_set.primary == Some(host) {
            // The host resumed within the detection time, so it is still the primary.
            replica_set.primary_since = Some(now);
            replica_set.term += 1;
            self.outputs.push(Output::Primary {
                set,
                host: Some(host),
            });
        }
        let source = self.sets[set.0 as usize].source(&self.day);
        self.hosts[index].applier.stop(now, source, false);
        for query in self
            .jobs
            .queued_at_hung_hosts
            .remove(&host)
            .unwrap_or_default()
        {
            self.handle_query(now, host, query);
        }
        self.schedule_finish(now, host);
    }

    /// Restarts the process of a host: cold, as a replica, and with the data that it had. A host that died of overload
    /// is not restarted.
    pub(super) fn restart_host(&mut self, now: Ns, host: HostId) {
        let index = host.0 as usize;
        if self.hosts[index].condition.overloaded || self.hosts[index].state == State::Up {
            return;
        }
        let vanished = self.hosts[index].state == State::Vanished;
        self.hosts[index].start(
            &self.spec.hosts,
            now,
            self.day.hosts.cold_start,
            self.day.hosts.warm_up,
        );
        let set = self.hosts[index].set;
        let replica_set = &mut self.sets[set.0 as usize];
        if replica_set.primary == Some(host) {
            replica_set.primary = None;
        }
        let source = self.sets[set.0 as usize].source(&self.day);
        self.hosts[index].applier.stop(now, source, false);
        if vanished {
            self.outputs.push(Output::ConnectionsReset { host });
        }
        self.announce(now, host, ListedState::Ready, false);
        self.refresh_report(now, host);
        self.schedule_finish(now, host);
    }

    /// Enters a change of a host in the endpoint list and schedules the notifications of the gateways. `silent` marks a
    /// host that stopped without resetting its connections, which discovery detects later.
    pub(super) fn announce(&mut self, now: Ns, host: HostId, listed: ListedState, silent: bool) {
        let (set, since) = (
            self.hosts[host.0 as usize].set,
            self.hosts[host.0 as usize].started,
        );
        for notification in self.list.announce(now, host, set, listed, since, silent) {
            self.schedule(notification.at, Event::Notify(notification));
        }
    }

    /// Delivers a changed entry of the endpoint list to a gateway, unless discovery is silent.
    pub(super) fn deliver_notification(&mut self, now: Ns, gateway: GatewayId, entry: ListEntry) {
        if self.list.deliver(now, gateway, entry) {
            self.outputs.push(Output::ListUpdated { gateway, entry });
        }
    }

    /// Refreshes the load report of a host. For the set's first member, also truncates the set's log.
    pub(super) fn refresh_report(&mut self, now: Ns, host: HostId) {
        let position = self.position(now, host);
        let set = self.hosts[host.0 as usize].set;
        let primary = self.primary(set) == Some(host);
        let member = &mut self.hosts[host.0 as usize];
        if member.state == State::Up {
            member.refresh_report(&self.spec.hosts, now, position, primary);
        }
        // Commits that every member has applied are dropped, except for the last ones.
        let replica_set = &mut self.sets[set.0 as usize];
        let min_applied = replica_set
            .members
            .iter()
            .map(|m| self.hosts[m.0 as usize].applier.applied())
            .min();
        if let Some(min_applied) =
            min_applied.filter(|_| replica_set.members.first() == Some(&host))
        {
            replica_set
                .log
                .forget(min_applied.saturating_sub(RETAINED_COMMITS));
        }
    }
}
