//! Simulation of a fleet of [`LeaseManager`]s on a network, in virtual time and with a seed. The faults are crashes,
//! restarts, stalls, network partitions, lost datagrams, and views of the fleet that are out of date. Each step checks
//! that no task has two holders. Each acquisition checks that epochs only increase.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId, Timestamp, UnixMilliseconds,
};
use irisrouter_leases::{codec, Action, LeaseChange, LeaseManager, PartitionSide, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const LEASE: Milliseconds = Milliseconds(1_000);

/// Virtual time between two steps of the simulation.
const STEP: Milliseconds = Milliseconds(5);
/// Wall clock time at the start of the simulation.
const UNIX_START: UnixMilliseconds = UnixMilliseconds(1_000_000);
/// Minimum latency of a datagram.
const SHORTEST_LATENCY: Milliseconds = Milliseconds(1);

pub struct Gateway {
    pub manager: LeaseManager,
    process: GatewayProcess,
    pub up: bool,
    pub stalled: bool,
}

impl Gateway {
    fn new(process: GatewayProcess, fleet: u32, now: Timestamp) -> Self {
        Self {
            manager: LeaseManager::new(process, settings(fleet), now).expect("settings"),
            process,
            up: true,
            stalled: false,
        }
    }

    fn is_running(&self) -> bool {
        self.up && !self.stalled
    }
}

/// Sort key of the datagrams in flight. Datagrams that arrive at the same time are delivered in the order in which they
/// were sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Timestamp,
    sequence_number: u64,
}

struct InFlightDatagram {
    from: GatewayId,
    to: GatewayId,
    bytes: Vec<u8>,
}

/// An acquisition of a lease, as the gateway announced it with [`Action::Acquired`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acquisition {
    pub task: TaskId,
    pub epoch: Epoch,
    pub holder: GatewayProcess,
    pub change: LeaseChange,
}

/// The latest epoch under which a lease was acquired, and its holder.
#[derive(Debug, Clone, Copy)]
pub struct LatestHolder {
    pub epoch: Epoch,
    pub holder: GatewayProcess,
}

pub struct Fleet {
    pub now: Timestamp,
    pub gateways: Vec<Gateway>,
    tasks: Vec<TaskId>,
    in_flight: BTreeMap<Arrival, InFlightDatagram>,
    sequence_number: u64,
    rng: SmallRng,
    pub loss_percent: u64,
    /// Pairs of a sender and a receiver. All datagrams from the sender to the receiver are lost.
    pub cut_links: BTreeSet<(GatewayId, GatewayId)>,
    pub latest_holders: BTreeMap<TaskId, LatestHolder>,
    /// All acquisitions, in the order in which they were announced.
    pub acquisitions: Vec<Acquisition>,
    /// For each task, the latest time at which a gateway that is not stalled held its lease.
    last_held: BTreeMap<TaskId, Timestamp>,
    /// The longest time during which no gateway that is not stalled held the lease on a task.
    pub longest_gap: Milliseconds,
    /// Number of datagrams sent, including those that were lost.
    pub sent_datagram_count: u64,
}

pub fn settings(fleet: u32) -> Settings {
    Settings {
        fleet,
        lease_duration: LEASE,
    }
}

impl Fleet {
    pub fn new(size: u32, tasks: u64, seed: u64) -> Self {
        let processes = (0..size).map(|number| GatewayProcess::first(GatewayId(number)));
        let gateways = processes.map(|process| Gateway::new(process, size, Timestamp::ZERO));
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            gateways: gateways.collect(),
            tasks: (0..tasks).map(TaskId).collect(),
            in_flight: BTreeMap::new(),
            sequence_number: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss_percent: 0,
            cut_links: BTreeSet::new(),
            latest_holders: BTreeMap::new(),
            acquisitions: Vec::new(),
            last_held: BTreeMap::new(),
            longest_gap: Milliseconds::ZERO,
            sent_datagram_count: 0,
        };
        fleet.update_views();
        for gateway in &mut fleet.gateways {
            gateway.manager.set_tasks(Timestamp::ZERO, &fleet.tasks);
        }
        fleet
    }

    /// Informs every gateway which gateways are up and on its side of a network partition.
    pub fn update_views(&mut self) {
        let up: Vec<GatewayId> = self
            .gateway_ids()
            .filter(|&id| self.gateway(id).up)
            .collect();
        for &id in &up {
            let reached =
                |other: &GatewayId| *other == id || !self.cut_links.contains(&(id, *other));
            let alive: Vec<GatewayId> = up.iter().copied().filter(reached).collect();
            let side = if 2 * alive.len() > self.gateways.len() {
                PartitionSide::Majority
            } else {
                PartitionSide::Minority
            };
            let now = self.now;
            self.gateway_mut(id).manager.update_view(now, &alive, side);
        }
    }

    pub fn crash(&mut self, id: GatewayId) {
        self.gateway_mut(id).up = false;
    }

    pub fn restart(&mut self, id: GatewayId) {
        let size = self.gateways.len() as u32;
        let Generation(generation) = self.gateway(id).process.generation;
        let process = GatewayProcess {
            gateway: id,
            generation: Generation(generation + 1),
        };
        let mut gateway = Gateway::new(process, size, self.now);
        gateway.manager.set_tasks(self.now, &self.tasks);
        *self.gateway_mut(id) = gateway;
    }

    pub fn stall(&mut self, id: GatewayId) {
        self.gateway_mut(id).stalled = true;
    }

    pub fn resume(&mut self, id: GatewayId) {
        self.gateway_mut(id).stalled = false;
    }

    pub fn token(&self, id: GatewayId, task: TaskId) -> Option<Epoch> {
        self.gateway(id).manager.fencing_token(self.now, task)
    }

    pub fn gateway(&self, GatewayId(index): GatewayId) -> &Gateway {
        &self.gateways[index as usize]
    }

    pub fn gateway_mut(&mut self, GatewayId(index): GatewayId) -> &mut Gateway {
        &mut self.gateways[index as usize]
    }

    pub fn gateway_ids(&self) -> impl Iterator<Item = GatewayId> + use<> {
        (0..self.gateways.len() as u32).map(GatewayId)
    }

    fn carry_out_actions(&mut self, id: GatewayId) {
        let gateway = self.gateway_mut(id);
        let holder = gateway.process;
        let actions: Vec<Action> = gateway.manager.drain_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(id, to, bytes),
                Action::Acquired {
                    task,
                    epoch,
                    change,
                } => {
                    self.acquisitions.push(Acquisition {
                        task,
                        epoch,
                        holder,
                        change,
                    });
                    let last = self
                        .latest_holders
                        .insert(task, LatestHolder { epoch, holder });
                    assert!(
                        last.is_none_or(|last| last.epoch < epoch),
                        "{task:?}: epoch {epoch} after {last:?}"
                    );
                }
                Action::Lost { .. } => {}
            }
        }
    }

    fn send(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        self.sent_datagram_count += 1;
        let cut = self.cut_links.contains(&(from, to));
        if cut || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        self.sequence_number += 1;
        let jitter = Milliseconds(self.rng.random_range(0..5));
        let arrival = Arrival {
            at: self.now + SHORTEST_LATENCY + jitter,
            sequence_number: self.sequence_number,
        };
        let datagram = InFlightDatagram { from, to, bytes };
        self.in_flight.insert(arrival, datagram);
    }

    pub fn run(&mut self, duration: Milliseconds) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_datagrams();
            self.advance_gateways();
            self.check_holders();
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self
            .in_flight
            .first_entry()
            .filter(|entry| entry.key().at <= now)
        {
            let datagram = entry.remove();
            let gateway = self.gateway_mut(datagram.to);
            if gateway.is_running() {
                let received = gateway.manager.receive(now, datagram.from, &datagram.bytes);
                received.expect("decodes");
                self.carry_out_actions(datagram.to);
            }
        }
    }

    fn advance_gateways(&mut self) {
        let now = self.now;
        for id in self.gateway_ids() {
            let gateway = self.gateway_mut(id);
            if gateway.is_running() && gateway.manager.next_due() <= now {
                let unix_now = UNIX_START + now.since_origin();
                gateway.manager.advance(now, unix_now);
                self.carry_out_actions(id);
            }
        }
    }

    fn check_holders(&mut self) {
        for &task in &self.tasks {
            let holds_lease = |gateway: &&Gateway| {
                gateway.up && gateway.manager.fencing_token(self.now, task).is_some()
            };
            let holders: Vec<&Gateway> = self.gateways.iter().filter(holds_lease).collect();
            assert!(
                holders.len() <= 1,
                "at {} ms {task:?} has {} holders",
                self.now.as_millis(),
                holders.len()
            );
            // A stalled gateway may hold the lease, but performs no work.
            let is_active = holders.first().is_some_and(|gateway| !gateway.stalled);
            let last_held = self.last_held.entry(task).or_insert(self.now);
            if is_active {
                *last_held = self.now;
            }
            let gap = self.now.saturating_duration_since(*last_held);
            self.longest_gap = self.longest_gap.max(gap);
        }
    }
}
