//! A whole fleet of [`LeaseManager`]s on a simulated network, in virtual time and seeded: crashes, restarts, stalls, network
//! partitions and loss, with views that lag behind. At every step no task may have two holders, and epochs may only grow.

use irisrouter_leases::{
    codec, Action, Holder, LeaseChange, LeaseManager, Millis, PartitionSide, Settings, TaskId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const LEASE: Millis = 1_000;

pub struct Gateway {
    pub manager: LeaseManager,
    generation: u16,
    pub up: bool,
    pub stalled: bool,
}

impl Gateway {
    fn new(number: u32, generation: u16, fleet: u32, now: Millis) -> Self {
        let local = Holder { number, generation };
        Self {
            manager: LeaseManager::new(local, settings(fleet), now).expect("settings"),
            generation,
            up: true,
            stalled: false,
        }
    }

    fn runs(&self) -> bool {
        self.up && !self.stalled
    }
}

/// When a datagram arrives, and its number among all that were sent.
type Arrival = (Millis, u64);

struct Flight {
    from: u32,
    to: u32,
    bytes: Vec<u8>,
}

/// A lease that a gateway acquired, as it announced it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acquisition {
    pub task: TaskId,
    pub epoch: u64,
    pub holder: Holder,
    pub change: LeaseChange,
}

/// The latest epoch under which anybody held a lease, and who.
#[derive(Debug, Clone, Copy)]
pub struct LatestHolder {
    pub epoch: u64,
    pub holder: Holder,
}

pub struct Fleet {
    pub now: Millis,
    pub gateways: Vec<Gateway>,
    tasks: Vec<TaskId>,
    flights: BTreeMap<Arrival, Flight>,
    sent_in_order: u64,
    rng: SmallRng,
    pub loss_percent: u64,
    /// Pairs of gateways whose datagrams in this direction are lost.
    pub cuts: BTreeSet<(u32, u32)>,
    pub latest: BTreeMap<TaskId, LatestHolder>,
    /// All leases that were acquired, in order.
    pub acquisitions: Vec<Acquisition>,
    /// When each task last had a holder that runs.
    last_held: BTreeMap<TaskId, Millis>,
    /// The longest time for which a task had no holder that runs.
    pub longest_gap: Millis,
    /// How many datagrams were sent.
    pub sent: u64,
}

pub fn settings(fleet: u32) -> Settings {
    Settings {
        fleet,
        lease_ms: LEASE,
    }
}

impl Fleet {
    pub fn new(size: u32, tasks: u64, seed: u64) -> Self {
        let gateways = (0..size).map(|number| Gateway::new(number, 0, size, 0));
        let mut fleet = Fleet {
            now: 0,
            gateways: gateways.collect(),
            tasks: (0..tasks).map(TaskId).collect(),
            flights: BTreeMap::new(),
            sent_in_order: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss_percent: 0,
            cuts: BTreeSet::new(),
            latest: BTreeMap::new(),
            acquisitions: Vec::new(),
            last_held: BTreeMap::new(),
            longest_gap: 0,
            sent: 0,
        };
        fleet.update_views();
        for gateway in &mut fleet.gateways {
            gateway.manager.set_tasks(0, &fleet.tasks);
        }
        fleet
    }

    /// Every gateway learns which gateways are up and on its side of a network partition.
    pub fn update_views(&mut self) {
        let up: Vec<u32> = (0..self.gateways.len() as u32)
            .filter(|&number| self.gateways[number as usize].up)
            .collect();
        for &number in &up {
            let reached = |other: &u32| *other == number || !self.cuts.contains(&(number, *other));
            let alive: Vec<u32> = up.iter().copied().filter(reached).collect();
            let side = if 2 * alive.len() > self.gateways.len() {
                PartitionSide::Majority
            } else {
                PartitionSide::Minority
            };
            let now = self.now;
            let manager = &mut self.gateways[number as usize].manager;
            manager.update_view(now, &alive, side);
        }
    }

    pub fn crash(&mut self, number: u32) {
        self.gateways[number as usize].up = false;
    }

    pub fn restart(&mut self, number: u32) {
        let size = self.gateways.len() as u32;
        let generation = self.gateways[number as usize].generation + 1;
        let mut gateway = Gateway::new(number, generation, size, self.now);
        gateway.manager.set_tasks(self.now, &self.tasks);
        self.gateways[number as usize] = gateway;
    }

    pub fn token(&self, number: u32, task: u64) -> Option<u64> {
        let manager = &self.gateways[number as usize].manager;
        manager.fencing_token(self.now, TaskId(task))
    }

    fn carry_out_actions(&mut self, number: u32) {
        let gateway = &mut self.gateways[number as usize];
        let holder = Holder {
            number,
            generation: gateway.generation,
        };
        let actions: Vec<Action> = gateway.manager.drain_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(number, to, bytes),
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
                    let last = self.latest.insert(task, LatestHolder { epoch, holder });
                    assert!(
                        last.is_none_or(|last| last.epoch < epoch),
                        "{task:?}: {epoch} after {last:?}"
                    );
                }
                Action::Lost { .. } => {}
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        self.sent += 1;
        let cut = self.cuts.contains(&(from, to));
        if cut || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        self.sent_in_order += 1;
        let arrives_at = self.now + 1 + self.rng.random_range(0..5);
        let flight = Flight { from, to, bytes };
        self.flights
            .insert((arrives_at, self.sent_in_order), flight);
    }

    pub fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 5;
            self.deliver_datagrams();
            self.advance_gateways();
            self.check_holders();
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.flights.first_entry().filter(|e| e.key().0 <= now) {
            let flight = entry.remove();
            let gateway = &mut self.gateways[flight.to as usize];
            if gateway.runs() {
                let received = gateway.manager.receive(now, flight.from, &flight.bytes);
                received.expect("decodes");
                self.carry_out_actions(flight.to);
            }
        }
    }

    fn advance_gateways(&mut self) {
        let now = self.now;
        for number in 0..self.gateways.len() as u32 {
            let gateway = &mut self.gateways[number as usize];
            if gateway.runs() && gateway.manager.next_due() <= now {
                gateway.manager.advance(now, 1_000_000 + now);
                self.carry_out_actions(number);
            }
        }
    }

    fn check_holders(&mut self) {
        for &task in &self.tasks {
            let holds = |gateway: &&Gateway| {
                gateway.up && gateway.manager.fencing_token(self.now, task).is_some()
            };
            let holders: Vec<&Gateway> = self.gateways.iter().filter(holds).collect();
            assert!(
                holders.len() <= 1,
                "at {} ms {task:?} has {} holders",
                self.now,
                holders.len()
            );
            // A gateway that is stalled holds the lease and does nothing.
            let acts = holders.first().is_some_and(|gateway| !gateway.stalled);
            let last_held = self.last_held.entry(task).or_insert(self.now);
            if acts {
                *last_held = self.now;
            }
            self.longest_gap = self.longest_gap.max(self.now - *last_held);
        }
    }
}
