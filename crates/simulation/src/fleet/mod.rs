//! The hosts and replica sets of a fleet and the faults that affect them, as one discrete-event simulation.
//!
//! The owner passes in the actions of the gateways and the current time, asks for the time of the next event, and takes
//! the outputs in order. Events at the same time run in the order in which they were scheduled, so that the same inputs
//! give the same outputs.

mod elections;
mod fault_effects;
mod lifecycle;
mod messages;
mod queries;
mod replica_set;

pub use messages::{Answer, Delivery, Output, ProbeResult, Query, ReplicaStatus};

use crate::endpoint_list::{EndpointList, Notification};
use crate::event_queue::EventQueue;
use crate::faults::{self, PlannedFault};
use crate::host::Host;
use crate::invariants::InvariantAudit;
use crate::replication_log::LogApplier;
use crate::rng::{Rng, Stream};
use crate::spec::{Day, Spec};
use crate::{GatewayId, HostId, Ns, SetId};
use queries::{Admission, Job};
use replica_set::ReplicaSet;
use rustc_hash::FxHashMap;
use std::collections::HashMap;

#[derive(Clone, Debug)]
enum Event {
    Finish { host: HostId, stamp: u64 },
    RefreshReport { host: HostId },
    RecheckLag { job: u64, until: Ns },
    PrimaryTimeout { set: SetId, term: u32 },
    Elect { set: SetId, term: u32 },
    FaultBegins(usize),
    FaultEnds(usize),
    Notify(Notification),
    Restart { host: HostId, epoch: u32 },
    Gateway { gateway: GatewayId, up: bool },
}

/// The hosts and replica sets of a simulation, with their pending events.
pub struct Fleet {
    spec: Spec,
    day: Day,
    start: Ns,
    hosts: Vec<Host>,
    sets: Vec<ReplicaSet>,
    jobs: JobTable,
    faults: FaultState,
    queue: EventQueue<Event>,
    outputs: Vec<Output>,
    list: EndpointList,
    invariants: InvariantAudit,
    random: RandomSource,
}

/// The jobs at all hosts, by job number.
struct JobTable {
    active: FxHashMap<u64, Job>,
    last_number: u64,
    /// For each host, the stamp of its last scheduled `Finish` event; one with an older stamp is ignored.
    finish_stamps: Vec<u64>,
    /// Queries that arrived at hosts that hang; they are handled when the host resumes.
    queued_at_hung_hosts: HashMap<HostId, Vec<Query>>,
}

/// The faults of the day, and those in effect.
struct FaultState {
    plan: Vec<PlannedFault>,
    /// For each fault in effect, by its index in the plan, the hosts that it affects.
    affected_hosts: HashMap<usize, Vec<HostId>>,
    datagram_loss: f64,
}

/// The fleet's stream of random numbers, and the seed from which streams for its parts are derived.
struct RandomSource {
    seed: u64,
    rng: Rng,
}

impl Fleet {
    /// Creates a fleet at the start of its day: all hosts are warm, and the first member of each set is its primary.
    pub fn new(spec: &Spec, seed: u64, start: Ns) -> Self {
        let day = Day::draw(spec, seed);
        let plan = faults::plan(spec, seed);
        let count = spec.set_count();
        let mut sets: Vec<ReplicaSet> = (0..count).map(|_| ReplicaSet::new(start)).collect();
        let load_window = crate::host::load_window_length(spec.rules.tip_s);
        let mut hosts = Vec::new();
        for i in 0..spec.hosts.count {
            let (id, set) = (HostId(i), SetId(i / spec.sets.members % count));
            let members = &mut sets[set.0 as usize];
            members.members.push(id);
            members.primary.get_or_insert(id);
            let applier = LogApplier::new(start, members.source(&day));
            let mut host = Host::new(id, set, &spec.hosts, start, applier, load_window);
            host.update_capacity(&spec.hosts, start);
            hosts.push(host);
        }
        let known = hosts.iter().map(|member| (member.id, member.set));
        let list = EndpointList::new(&spec.list, seed, spec.gateways, known);
        let mut fleet = Fleet {
            jobs: JobTable {
                active: FxHashMap::default(),
                last_number: 0,
                finish_stamps: vec![0; hosts.len()],
                queued_at_hung_hosts: HashMap::new(),
            },
            day,
            start,
            hosts,
            sets,
            queue: EventQueue::default(),
            list,
            invariants: InvariantAudit::default(),
            random: RandomSource {
                seed,
                rng: Rng::new(seed, Stream::Fleet),
            },
            outputs: Vec::new(),
            faults: FaultState {
                plan,
                affected_hosts: HashMap::new(),
                datagram_loss: spec.net.datagram_loss,
            },
            spec: spec.clone(),
        };
        fleet.schedule_reports(start);
        fleet.schedule_faults(start);
        fleet
    }

    /// Makes the first load report of each host and schedules the next one after a random part of the interval, so that
    /// the hosts do not report at the same time.
    fn schedule_reports(&mut self, start: Ns) {
        for index in 0..self.hosts.len() {
            let host = HostId(index as u32);
            let delay = self.random.rng.unit() * self.day.hosts.report_every as f64;
            self.refresh_report(start, host);
            self.schedule(start + delay as Ns, Event::RefreshReport { host });
        }
    }

    /// Schedules the beginning and the end of each fault and of each gateway restart.
    fn schedule_faults(&mut self, start: Ns) {
        for (index, planned) in self.faults.plan.clone().into_iter().enumerate() {
            self.schedule(start + planned.from, Event::FaultBegins(index));
            self.schedule(start + planned.until, Event::FaultEnds(index));
            for restart in planned.restarts {
                let gateway = restart.gateway;
                let down = Event::Gateway { gateway, up: false };
                self.schedule(start + restart.down_at, down);
                let up = Event::Gateway { gateway, up: true };
                self.schedule(start + restart.up_at, up);
            }
        }
    }

    /// Returns the day that was drawn for the run.
    pub fn day(&self) -> &Day {
        &self.day
    }

    /// Returns the planned faults of the day.
    pub fn plan(&self) -> &[PlannedFault] {
        &self.faults.plan
    }

    /// Returns the audit of the invariants.
    pub fn invariants(&self) -> &InvariantAudit {
        &self.invariants
    }

    /// Returns the endpoint list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns the host with this ID.
    pub fn host(&self, host: HostId) -> &Host {
        &self.hosts[host.0 as usize]
    }

    /// Returns the members of a set.
    pub fn members(&self, set: SetId) -> &[HostId] {
        &self.sets[set.0 as usize].members
    }

    /// Returns the primary of a set; `None` while the set has none or its primary does not answer.
    pub fn primary(&self, set: SetId) -> Option<HostId> {
        let set = &self.sets[set.0 as usize];
        set.primary.filter(|_| set.primary_since.is_some())
    }

    /// Returns the fraction of datagrams that are lost at present.
    pub fn datagram_loss(&self) -> f64 {
        self.faults.datagram_loss
    }

    /// Returns whether no fault cuts the host off from the gateway.
    pub fn reaches(&self, gateway: GatewayId, host: HostId) -> bool {
        !self.faults.affected_hosts.iter().any(|(&i, hosts)| {
            let planned = &self.faults.plan[i];
            planned.fault.cut_off.is_some()
                && planned.cut.contains(&gateway)
                && hosts.contains(&host)
        })
    }

    /// Returns whether no network partition separates the two gateways.
    pub fn gateway_reaches(&self, from: GatewayId, to: GatewayId) -> bool {
        !self.faults.affected_hosts.keys().any(|&i| {
            let planned = &self.faults.plan[i];
            planned.fault.split.is_some()
                && planned.cut.contains(&from) != planned.cut.contains(&to)
        })
    }

    /// Returns the true position of a host: the time up to which it has applied its set's log.
    pub fn position(&mut self, now: Ns, host: HostId) -> Ns {
        let member = &mut self.hosts[host.0 as usize];
        let set = &self.sets[member.set.0 as usize];
        if set.primary == Some(host) && set.primary_since.is_some() {
            return now;
        }
        member.applier.position(now, set.source(&self.day))
    }

    /// Returns the time of the next event.
    pub fn next(&self) -> Option<Ns> {
        self.queue.next()
    }

    /// Runs all events that are due by `now`, in order, and returns their outputs and those of the preceding calls.
    pub fn advance(&mut self, now: Ns) -> Vec<Output> {
        while let Some((at, event)) = self.queue.pop(now) {
            self.handle_event(at, event);
        }
        std::mem::take(&mut self.outputs)
    }

    fn schedule(&mut self, at: Ns, event: Event) {
        self.queue.push(at, event);
    }

    fn schedule_finish(&mut self, now: Ns, host: HostId) {
        let i = host.0 as usize;
        self.jobs.finish_stamps[i] += 1;
        if let Some(at) = self.hosts[i].cpu.next_finish() {
            self.schedule(
                at.max(now),
                Event::Finish {
                    host,
                    stamp: self.jobs.finish_stamps[i],
                },
            );
        }
    }

    fn handle_event(&mut self, now: Ns, event: Event) {
        match event {
            Event::Finish { host, stamp } if self.jobs.finish_stamps[host.0 as usize] == stamp => {
                while let Some(job) = self.hosts[host.0 as usize].cpu.pop_finished(now) {
                    self.finish_job(now, job);
                }
                self.schedule_finish(now, host);
            }
            Event::Finish { .. } => {}
            Event::RefreshReport { host } => {
                self.refresh_report(now, host);
                self.schedule_finish(now, host);
                self.schedule(
                    now + self.day.hosts.report_every,
                    Event::RefreshReport { host },
                );
            }
            Event::RecheckLag { job, until } => {
                self.admit_query(now, job, until, Admission::Recheck)
            }
            Event::PrimaryTimeout { set, term } => self.declare_primary_lost(now, set, term),
            Event::Elect { set, term } => self.elect_primary(now, set, term),
            Event::FaultBegins(i) => self.begin_fault(now, i),
            Event::FaultEnds(i) => self.end_fault(now, i),
            Event::Notify(notification) => {
                self.deliver_notification(now, notification.gateway, notification.entry)
            }
            Event::Restart { host, epoch } => {
                if self.hosts[host.0 as usize].epoch == epoch {
                    self.restart_host(now, host);
                }
            }
            Event::Gateway { gateway, up } => self.outputs.push(Output::Gateway { gateway, up }),
        }
    }

    /// Converts a time on the clock of the run to the time since the start of the run.
    pub fn since_start(&self, now: Ns) -> Ns {
        now - self.start
    }
}
