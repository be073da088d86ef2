//! The simulated network and the fleet on it.

use crate::decision_digest::DecisionDigest;
use crate::member_process::{MemberProcess, SOCKET_CAPACITY};
use crate::record::{NetworkRecord, RejectedDatagram};
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Milliseconds, Timestamp};
use irisrouter_membership::codec::MAX_DATAGRAM_BYTES;
use irisrouter_membership::serial_number::SerialNumber;
use irisrouter_membership::{
    Action, Liveness, Membership, MembershipError, PartitionSide, Settings, View,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::ops::RangeInclusive;

/// The step in which [`SimulatedNetwork::settle`] looks at the views.
const SETTLE_STEP: Milliseconds = Milliseconds(100);

/// A datagram on its way; ordered by the time of its arrival, then by the order of sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DatagramInFlight {
    arrival: Timestamp,
    order: u64,
    to: GatewayId,
    bytes: Vec<u8>,
}

/// One direction between two members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: GatewayId,
    to: GatewayId,
}

/// The faults of the network.
#[derive(Debug, Clone)]
pub struct NetworkFaults {
    /// The share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// The delay of a datagram in milliseconds, drawn evenly from this range.
    pub delay_ms: RangeInclusive<u64>,
    /// The links whose datagrams are dropped.
    cuts: BTreeSet<Link>,
}

/// The fleet and the network between its members.
pub struct SimulatedNetwork {
    processes: Vec<MemberProcess>,
    in_flight: BinaryHeap<Reverse<DatagramInFlight>>,
    datagrams_carried: u64,
    rng: SmallRng,
    seed: u64,
    settings: Settings,
    now: Timestamp,
    /// The faults in force.
    pub faults: NetworkFaults,
    /// What has happened so far.
    pub record: NetworkRecord,
}

impl SimulatedNetwork {
    /// `fleet_size` members with the settings for that size, each joined to member 0 and to one other.
    ///
    /// # Panics
    ///
    /// Never for a size of at least 1: settings for a fleet pass their own check.
    #[must_use]
    pub fn start(fleet_size: u32, seed: u64) -> Self {
        let network = Self::with_settings(Settings::for_fleet(fleet_size), seed);
        network.expect("settings for a fleet pass their check")
    }

    /// As [`SimulatedNetwork::start`], with these settings.
    ///
    /// # Errors
    ///
    /// The settings do not pass their check.
    pub fn with_settings(settings: Settings, seed: u64) -> Result<Self, MembershipError> {
        let fleet_size = settings.fleet_size;
        let start = |number| -> Result<MemberProcess, MembershipError> {
            let process = GatewayProcess::first(GatewayId(number));
            let seed = seed.wrapping_add(u64::from(number));
            let core = Membership::new(process, settings.clone(), seed, Timestamp::ZERO)?;
            Ok(MemberProcess::Running(Box::new(core)))
        };
        let processes = (0..fleet_size)
            .map(start)
            .collect::<Result<_, MembershipError>>()?;
        let mut network = Self {
            processes,
            in_flight: BinaryHeap::new(),
            datagrams_carried: 0,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            settings,
            now: Timestamp::ZERO,
            faults: NetworkFaults {
                loss: 0.0,
                delay_ms: 1..=5,
                cuts: BTreeSet::new(),
            },
            record: NetworkRecord::new(fleet_size),
        };
        for member in network.members() {
            let other = GatewayId(network.rng.random_range(0..fleet_size));
            network.run_member(member, |core, now| core.join(now, &[GatewayId(0), other]));
        }
        Ok(network)
    }

    /// The time now.
    #[must_use]
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    fn process(&self, member: GatewayId) -> Option<&MemberProcess> {
        self.processes.get(member.0 as usize)
    }

    fn process_mut(&mut self, member: GatewayId) -> Option<&mut MemberProcess> {
        self.processes.get_mut(member.0 as usize)
    }

    /// All members of the fleet, in ascending order.
    fn members(&self) -> impl Iterator<Item = GatewayId> {
        (0..self.settings.fleet_size).map(GatewayId)
    }

    /// The view of a member, if it runs or is stalled.
    #[must_use]
    pub fn view(&self, member: GatewayId) -> Option<&View> {
        self.process(member)?.core().map(Membership::view)
    }

    /// The side of a partition that a member takes itself to be on, if it runs or is stalled.
    #[must_use]
    pub fn partition_side(&self, member: GatewayId) -> Option<PartitionSide> {
        self.process(member)?.core().map(Membership::partition_side)
    }

    /// Whether a member runs: it has neither stalled nor crashed.
    #[must_use]
    pub fn is_running(&self, member: GatewayId) -> bool {
        let process = self.process(member);
        process.is_some_and(|process| process.running().is_some())
    }

    /// The liveness of a member in the view of another.
    #[must_use]
    pub fn liveness(&self, observer: GatewayId, member: GatewayId) -> Option<Liveness> {
        let row = self.view(observer)?.member(member)?;
        Some(row.liveness)
    }

    /// The digest of all decisions so far, of the views as they are, and of the counts of the record.
    #[must_use]
    pub fn decision_digest(&self) -> DecisionDigest {
        let mut digest = self.record.decisions;
        for (member, process) in self.members().zip(&self.processes) {
            if let Some(core) = process.core() {
                digest.add_view(member, core);
            }
        }
        for count in self.record.sent_by_kind {
            digest.add_count(count);
        }
        digest.add_count(self.record.changes.len() as u64);
        digest.add_count(self.record.refutations.len() as u64);
        digest.add_count(self.record.renewals.len() as u64);
        digest.add_count(self.record.rejections.len() as u64);
        digest
    }

    /// Drops datagrams in one direction.
    pub fn cut(&mut self, from: GatewayId, to: GatewayId) {
        self.faults.cuts.insert(Link { from, to });
    }

    /// Drops datagrams between the two sides, in both directions.
    pub fn partition(&mut self, left: &[GatewayId], right: &[GatewayId]) {
        for &left_member in left {
            for &right_member in right {
                self.cut(left_member, right_member);
                self.cut(right_member, left_member);
            }
        }
    }

    /// Removes every cut.
    pub fn heal(&mut self) {
        self.faults.cuts.clear();
    }

    /// Stops a member without ending it, as SIGSTOP does.
    pub fn stall(&mut self, member: GatewayId) {
        if let Some(process) = self.process_mut(member) {
            process.stall();
        }
    }

    /// Lets a stalled member continue: it reads what waits in its socket, then fires its overdue timers.
    pub fn resume(&mut self, member: GatewayId) {
        let Some(socket) = self.process_mut(member).and_then(MemberProcess::resume) else {
            return;
        };
        for bytes in socket {
            self.run_member(member, |core, now| {
                // Rejections are recorded only of datagrams that are delivered to a running member.
                let _ = core.receive(now, &bytes);
            });
        }
        self.run_member(member, Membership::advance);
    }

    /// Ends a member at once; datagrams on their way to it are lost.
    pub fn crash(&mut self, member: GatewayId) {
        if let Some(process) = self.process_mut(member) {
            process.crash();
        }
    }

    /// Lets a member announce that it stops, and ends it.
    pub fn leave(&mut self, member: GatewayId) {
        self.run_member(member, Membership::leave);
        self.crash(member);
    }

    /// Starts a crashed member again as its next generation, joined to these peers.
    pub fn restart(&mut self, member: GatewayId, peers: &[GatewayId]) {
        if let Some(&MemberProcess::Crashed(crashed)) = self.process(member) {
            let generation = crashed.generation.next();
            let restarted = GatewayProcess {
                generation,
                ..crashed
            };
            self.restart_as(restarted, peers);
        }
    }

    /// Starts a member again as this process, joined to these peers.
    pub fn restart_as(&mut self, process: GatewayProcess, peers: &[GatewayId]) {
        let member = process.gateway;
        let seed = self.seed ^ (u64::from(member.0) << 32) ^ u64::from(process.generation.0);
        let Ok(core) = Membership::new(process, self.settings.clone(), seed, self.now) else {
            return;
        };
        self.processes[member.0 as usize] = MemberProcess::Running(Box::new(core));
        self.run_member(member, |core, now| core.join(now, peers));
    }

    /// Runs until every running member sees every other running member alive, and returns the time at which that was
    /// seen; `None` if it does not come to that within `limit`.
    pub fn settle(&mut self, limit: Milliseconds) -> Option<Timestamp> {
        let end = self.now + limit;
        while self.now < end {
            self.run_until(self.now + SETTLE_STEP);
            if self.is_settled() {
                return Some(self.now);
            }
        }
        None
    }

    fn is_settled(&self) -> bool {
        let running: Vec<GatewayId> = self
            .members()
            .filter(|&member| self.is_running(member))
            .collect();
        let sees = |observer, member| self.liveness(observer, member) == Some(Liveness::Alive);
        running
            .iter()
            .all(|&observer| running.iter().all(|&member| sees(observer, member)))
    }

    /// Runs until this time, delivering datagrams and firing timers in order of time.
    pub fn run_until(&mut self, until: Timestamp) {
        loop {
            let arrival = self
                .in_flight
                .peek()
                .map_or(Timestamp::MAX, |datagram| datagram.0.arrival);
            let due = self.next_due();
            let next = arrival.min(due);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if arrival > due {
                self.advance_due_members();
            } else if let Some(Reverse(datagram)) = self.in_flight.pop() {
                self.deliver(datagram);
            }
        }
    }

    /// When the next running member has work.
    fn next_due(&self) -> Timestamp {
        self.processes
            .iter()
            .filter_map(MemberProcess::running)
            .map(Membership::next_due)
            .min()
            .unwrap_or(Timestamp::MAX)
    }

    fn advance_due_members(&mut self) {
        for member in self.members() {
            let core = self.process(member).and_then(MemberProcess::running);
            if core.is_some_and(|core| core.next_due() <= self.now) {
                self.run_member(member, Membership::advance);
            }
        }
    }

    fn deliver(&mut self, datagram: DatagramInFlight) {
        let member = datagram.to;
        match self.process_mut(member) {
            Some(MemberProcess::Running(_)) => {
                let received =
                    self.run_member(member, |core, now| core.receive(now, &datagram.bytes));
                if let Some(Err(error)) = received {
                    let at = self.now;
                    let rejected = RejectedDatagram { at, member, error };
                    self.record.rejections.push(rejected);
                }
            }
            Some(MemberProcess::Stalled(stalled)) if stalled.socket.len() < SOCKET_CAPACITY => {
                stalled.socket.push(datagram.bytes);
            }
            Some(MemberProcess::Stalled(_) | MemberProcess::Crashed(_)) | None => {}
        }
    }

    /// Runs a call on a member, if it runs, and carries out its actions.
    fn run_member<Output>(
        &mut self,
        member: GatewayId,
        call: impl FnOnce(&mut Membership, Timestamp) -> Output,
    ) -> Option<Output> {
        let now = self.now;
        let core = self.process_mut(member)?.running_mut()?;
        let output = call(core, now);
        let actions: Vec<Action> = core.drain_actions().collect();
        let next_due = core.next_due();
        let decisions = &mut self.record.decisions;
        decisions.add_call(now, member, next_due, &actions);
        for action in actions {
            self.record.record_action(now, member, &action);
            if let Action::Send { to, bytes } = action {
                self.carry(member, to, bytes);
            }
        }
        Some(output)
    }

    /// Carries a datagram, unless it is lost.
    fn carry(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        let length = bytes.len();
        assert!(length <= MAX_DATAGRAM_BYTES, "a datagram of {length} bytes");
        if self.faults.cuts.contains(&Link { from, to }) {
            return;
        }
        if self.rng.random_bool(self.faults.loss.clamp(0.0, 1.0)) {
            return;
        }
        let delay_ms = self.rng.random_range(self.faults.delay_ms.clone());
        self.datagrams_carried += 1;
        self.in_flight.push(Reverse(DatagramInFlight {
            arrival: self.now + Milliseconds(delay_ms),
            order: self.datagrams_carried,
            to,
            bytes,
        }));
    }
}
