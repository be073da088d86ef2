//! Connections, probes and queries at a host, from arrival to answer.

use super::messages::{Answer, Delivery, Output, ProbeResult, Query, ReplicaStatus};
use super::replica_set::KeyedWrite;
use super::{Event, Fleet};
use crate::endpoint_list::ListedState;
use crate::host::State;
use crate::spec::{Checks, Need};
use crate::{ms, seconds, GatewayId, HostId, Ns, MS};

/// Interval at which a read that waits for its host to catch up checks the position again.
const LAG_RECHECK_INTERVAL: Ns = 2 * MS;

/// Number of commits that the host had applied when a query began, and number that the query needed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DataVersion {
    applied: u64,
    needed: u64,
}

/// Whether a query has just arrived at its host, or has waited there for the host to catch up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Arrival,
    Recheck,
}

/// Kind of work that a job is.
pub(super) enum JobKind {
    Query {
        query: Query,
        /// Index of the write's entry among the remembered entries of its key.
        key_index: usize,
        /// Commits that were applied when the query began, and those that it needed.
        data: DataVersion,
        /// Whether the query stops its host from applying the log.
        blocks: bool,
    },
    Connect {
        ticket: u64,
    },
    Probe,
}

pub(super) struct Job {
    pub(super) host: HostId,
    pub(super) kind: JobKind,
}

impl Fleet {
    /// Opens a connection. If accepted, [`Output::Connected`] reports when it is established.
    pub fn connect(&mut self, now: Ns, gateway: GatewayId, host: HostId, ticket: u64) -> Delivery {
        if !self.reaches(gateway, host) {
            return Delivery::NoResponse;
        }
        let member = &mut self.hosts[host.0 as usize];
        match member.state {
            State::Vanished | State::Hung => return Delivery::NoResponse,
            State::Down => return Delivery::Reset,
            State::Up if member.held.connections >= self.spec.hosts.connections => {
                return Delivery::Reset
            }
            State::Up => {}
        }
        member.held.connections += 1;
        let work = self.day.hosts.connect_work;
        self.record_offered_work(now, host, work);
        if self.hosts[host.0 as usize].state != State::Up {
            return Delivery::Reset;
        }
        self.start_job_without_slot(now, host, work, JobKind::Connect { ticket });
        Delivery::Accepted
    }

    /// Closes a connection to a host; one of an earlier epoch is ignored.
    pub fn close(&mut self, now: Ns, host: HostId, epoch: u32) {
        let member = &mut self.hosts[host.0 as usize];
        if member.epoch == epoch && member.held.connections > 0 {
            member.held.connections -= 1;
            member.update_capacity(&self.spec.hosts, now);
            self.schedule_finish(now, host);
        }
    }

    /// Probes a host and returns its report at once. The probe costs the host CPU time.
    pub fn probe(&mut self, now: Ns, gateway: GatewayId, host: HostId) -> ProbeResult {
        if !self.reaches(gateway, host) {
            return ProbeResult::NoResponse;
        }
        match self.hosts[host.0 as usize].state {
            State::Vanished | State::Hung => return ProbeResult::NoResponse,
            State::Down => return ProbeResult::Refused,
            State::Up => {}
        }
        let work = self.day.hosts.probe_work;
        self.record_offered_work(now, host, work);
        if self.hosts[host.0 as usize].state != State::Up {
            return ProbeResult::Refused;
        }
        self.start_job_without_slot(now, host, work, JobKind::Probe);
        ProbeResult::Report(self.hosts[host.0 as usize].report)
    }

    /// Sends a query to a host, on a connection of the given epoch.
    pub fn query(&mut self, now: Ns, host: HostId, epoch: u32, query: Query) -> Delivery {
        if let Some(notified_at) = self.list.drain_notice_time(query.gateway, host) {
            let grace = ms(self.spec.rules.drain_grace_ms);
            self.invariants
                .record_sent(query.sent, query.gateway, host, notified_at, grace);
        }
        if !self.reaches(query.gateway, host) {
            return Delivery::NoResponse;
        }
        let member = &self.hosts[host.0 as usize];
        match member.state {
            State::Vanished => Delivery::NoResponse,
            State::Down => Delivery::Reset,
            _ if member.epoch != epoch => Delivery::Reset,
            State::Hung => {
                self.jobs
                    .queued_at_hung_hosts
                    .entry(host)
                    .or_default()
                    .push(query);
                Delivery::NoResponse
            }
            State::Up => self.handle_query(now, host, query),
        }
    }

    pub(super) fn handle_query(&mut self, now: Ns, host: HostId, query: Query) -> Delivery {
        self.record_offered_work(now, host, query.work);
        let member = &self.hosts[host.0 as usize];
        if member.state != State::Up {
            return Delivery::Reset;
        }
        if member.condition.draining || member.condition.refusing {
            self.send_answer(now, host, &query, Answer::Full, 0);
            return Delivery::Accepted;
        }
        let set = &mut self.sets[member.set.0 as usize];
        let is_primary = set.primary == Some(host) && set.primary_since.is_some();
        let is_write = self.spec.classes[query.class].need == Need::Write;
        if is_write && !is_primary {
            self.send_answer(now, host, &query, Answer::Miss, 0);
            return Delivery::Accepted;
        }
        let mut key_index = 0;
        if let Some(key) = query.key.filter(|_| is_write) {
            key_index = set.remember_key(now, key, seconds(self.spec.sets.window_s));
        }
        let kind = JobKind::Query {
            query,
            key_index,
            data: DataVersion::default(),
            blocks: false,
        };
        self.jobs.last_number += 1;
        self.jobs
            .active
            .insert(self.jobs.last_number, Job { host, kind });
        let max_wait = match self.spec.hosts.checks {
            Checks::Wait => ms(self.spec.hosts.wait_ms),
            Checks::Refuse | Checks::None => 0,
        };
        self.admit_query(
            now,
            self.jobs.last_number,
            now + max_wait,
            Admission::Arrival,
        );
        Delivery::Accepted
    }

    /// Admits a query. If the host has applied the commits that it needs, the query gets a slot, waits for one, or is
    /// rejected if the queue is full. Otherwise it waits until `until` for the host to catch up, and is then rejected.
    pub(super) fn admit_query(&mut self, now: Ns, job: u64, until: Ns, admission: Admission) {
        let Some(Job {
            host,
            kind: JobKind::Query { query, .. },
        }) = self.jobs.active.get(&job)
        else {
            return;
        };
        let (host, query) = (*host, query.clone());
        if admission == Admission::Recheck {
            self.hosts[host.0 as usize].held.lagging -= 1;
        }
        let (_, needed) = self.applied_and_needed(now, host, &query);
        if self.spec.hosts.checks != Checks::None && self.position(now, host) < needed {
            if now >= until {
                self.jobs.active.remove(&job);
                self.send_answer(now, host, &query, Answer::Miss, 0);
            } else {
                self.hosts[host.0 as usize].held.lagging += 1;
                self.schedule(
                    (now + LAG_RECHECK_INTERVAL).min(until),
                    Event::RecheckLag { job, until },
                );
            }
            return;
        }
        let member = &mut self.hosts[host.0 as usize];
        if member.held.running < self.spec.hosts.slots {
            self.start_query(now, job);
        } else if member.held.waiting.len() < self.spec.hosts.room as usize {
            member.held.waiting.push_back(job);
            member.update_capacity(&self.spec.hosts, now);
            self.schedule_finish(now, host);
        } else {
            self.jobs.active.remove(&job);
            self.send_answer(now, host, &query, Answer::Full, 0);
        }
    }

    /// Returns the number of commits that a host has applied, and the position that a query needs.
    pub(super) fn applied_and_needed(&mut self, now: Ns, host: HostId, query: &Query) -> (u64, Ns) {
        let class = &self.spec.classes[query.class];
        let needed = match class.need {
            Need::Any | Need::Write => 0,
            Need::Bounded => query.sent - ms(class.bound_ms),
            Need::Session => query.mark,
            Need::Fresh => query.arrived,
        };
        let member = &mut self.hosts[host.0 as usize];
        let set = &self.sets[member.set.0 as usize];
        if set.primary == Some(host) && set.primary_since.is_some() {
            return (set.log.end(), needed);
        }
        member.applier.advance(now, set.source(&self.day));
        (member.applier.applied(), needed)
    }

    /// Starts a query in a slot.
    pub(super) fn start_query(&mut self, now: Ns, job: u64) {
        let Some(Job {
            host,
            kind: JobKind::Query { query, .. },
        }) = self.jobs.active.get(&job)
        else {
            return;
        };
        let (host, query) = (*host, query.clone());
        let (applied, needed) = self.applied_and_needed(now, host, &query);
        let set = &self.sets[self.hosts[host.0 as usize].set.0 as usize];
        let needed = set.log.count_until(needed);
        let is_primary = set.primary == Some(host);
        let stops_applying = self.spec.classes[query.class].blocks && !is_primary;
        if stops_applying {
            self.hosts[host.0 as usize]
                .applier
                .stop(now, set.source(&self.day), true);
            self.hosts[host.0 as usize].held.blocking += 1;
        }
        if let Some(Job {
            kind: JobKind::Query { data, blocks, .. },
            ..
        }) = self.jobs.active.get_mut(&job)
        {
            *data = DataVersion { applied, needed };
            *blocks = stops_applying;
        }
        let member = &mut self.hosts[host.0 as usize];
        member.held.running += 1;
        member.update_capacity(&self.spec.hosts, now);
        member.cpu.add(now, query.work, job);
        self.schedule_finish(now, host);
    }

    /// Starts a job that occupies no slot: a connection or a probe.
    pub(super) fn start_job_without_slot(
        &mut self,
        now: Ns,
        host: HostId,
        work: Ns,
        kind: JobKind,
    ) {
        self.jobs.last_number += 1;
        self.jobs
            .active
            .insert(self.jobs.last_number, Job { host, kind });
        let member = &mut self.hosts[host.0 as usize];
        member.update_capacity(&self.spec.hosts, now);
        member.cpu.add(now, work, self.jobs.last_number);
        self.schedule_finish(now, host);
    }

    /// Records work that arrives at a host, accepted or rejected. A cold host that is offered too much dies.
    pub(super) fn record_offered_work(&mut self, now: Ns, host: HostId, work: Ns) {
        let member = &mut self.hosts[host.0 as usize];
        let load = member.record_offered_work(&self.spec.hosts, now, work);
        if member.cold(now) && load > self.spec.rules.tip_multiple {
            member.condition.overloaded = true;
            self.invariants.record_overload(now, host, load);
            self.outputs.push(Output::HostOverloaded { host });
            self.stop_host(now, host, State::Down);
            self.announce(now, host, ListedState::Gone, false);
        }
    }

    pub(super) fn send_answer(
        &mut self,
        now: Ns,
        host: HostId,
        query: &Query,
        answer: Answer,
        work: Ns,
    ) {
        let position = self.position(now, host);
        let set = &self.sets[self.hosts[host.0 as usize].set.0 as usize];
        let note = ReplicaStatus {
            primary: set.primary == Some(host) && set.primary_since.is_some(),
            position,
        };
        let (ticket, gateway) = (query.ticket, query.gateway);
        self.outputs.push(Output::Answered {
            ticket,
            gateway,
            host,
            answer,
            note,
            work,
        });
    }

    pub(super) fn finish_job(&mut self, now: Ns, job: u64) {
        let Some(Job { host, kind }) = self.jobs.active.remove(&job) else {
            return;
        };
        let index = host.0 as usize;
        match kind {
            JobKind::Probe => self.hosts[index].update_capacity(&self.spec.hosts, now),
            JobKind::Connect { ticket } => {
                self.hosts[index].update_capacity(&self.spec.hosts, now);
                self.outputs.push(Output::Connected { ticket, host });
            }
            JobKind::Query {
                query,
                key_index,
                data,
                blocks,
            } => {
                if blocks {
                    self.resume_applying(now, host);
                }
                self.hosts[index].held.running -= 1;
                self.complete_query(now, host, &query, key_index, data);
                if let Some(next) = self.hosts[index].held.waiting.pop_front() {
                    self.start_query(now, next);
                }
                self.hosts[index].update_capacity(&self.spec.hosts, now);
            }
        }
    }

    pub(super) fn resume_applying(&mut self, now: Ns, host: HostId) {
        let member = &mut self.hosts[host.0 as usize];
        let source = self.sets[member.set.0 as usize].source(&self.day);
        member.held.blocking -= 1;
        member.applier.stop(now, source, false);
    }

    pub(super) fn complete_query(
        &mut self,
        now: Ns,
        host: HostId,
        query: &Query,
        key_index: usize,
        data: DataVersion,
    ) {
        let member = &self.hosts[host.0 as usize];
        let set = &mut self.sets[member.set.0 as usize];
        let fails =
            member.condition.errors > 0.0 && self.random.rng.chance(member.condition.errors);
        if self.spec.classes[query.class].need != Need::Write {
            if fails {
                return self.send_answer(now, host, query, Answer::Error, query.work);
            }
            self.invariants
                .record_read(now, host, data.applied, data.needed);
            return self.send_answer(now, host, query, Answer::Row, query.work);
        }
        // A write that is still running when its host loses the role of primary ends in an error and has no effect.
        if set.primary != Some(host) || set.primary_since.is_none() {
            return self.send_answer(now, host, query, Answer::Error, query.work);
        }
        let remembered = query
            .key
            .and_then(|k| set.keys.get_mut(&k))
            .and_then(|k| k.get_mut(key_index));
        let commit = match remembered {
            Some(KeyedWrite {
                commit: Some(commit),
                ..
            }) => *commit,
            remembered => {
                set.log.push(now);
                if let Some(k) = remembered {
                    k.commit = Some(now);
                }
                if let Some(key) = query.key {
                    self.invariants.record_applied(now, key);
                }
                now
            }
        };
        if fails {
            return self.send_answer(now, host, query, Answer::Error, query.work);
        }
        let note = ReplicaStatus {
            primary: true,
            position: commit,
        };
        let (ticket, gateway, work) = (query.ticket, query.gateway, query.work);
        self.outputs.push(Output::Answered {
            ticket,
            gateway,
            host,
            answer: Answer::Row,
            note,
            work,
        });
    }
}
