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

/// Interval at which [`SimulatedNetwork::settle`] compares the views.
const SETTLE_STEP: Milliseconds = Milliseconds(100);

/// A datagram in flight. The derived order, by arrival and then by sending, is the order of delivery.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DatagramInFlight {
    arrival: Timestamp,
    send_order: u64,
    to: GatewayId,
    bytes: Vec<u8>,
}

/// The path of datagrams from one member to another, in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: GatewayId,
    to: GatewayId,
}

/// The faults of the network.
#[derive(Debug, Clone)]
pub struct NetworkFaults {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Delay of a datagram in milliseconds, drawn uniformly from this range.
    pub delay_ms: RangeInclusive<u64>,
    /// The links whose datagrams are dropped.
    cuts: BTreeSet<Link>,
}

/// The fleet and the network between its members.
pub struct SimulatedNetwork {
    processes: Vec<MemberProcess>,
    in_flight: BinaryHeap<Reverse<DatagramInFlight>>,
    datagrams_sent: u64,
    rng: SmallRng,
    seed: u64,
    settings: Settings,
    now: Timestamp,
    /// The faults in force.
    pub faults: NetworkFaults,
    /// The record of the run so far.
    pub record: NetworkRecord,
}

impl SimulatedNetwork {
    /// Starts `fleet_size` members with the default settings for that size. Each sends a join to member 0 and to a
    /// random member.
    ///
    /// # Panics
    ///
    /// Does not panic for a `fleet_size` of at least 1, because the default settings pass their own check.
    #[must_use]
    pub fn start(fleet_size: u32, seed: u64) -> Self {
        let network = Self::with_settings(Settings::for_fleet(fleet_size), seed);
        network.expect("settings for a fleet pass their check")
    }

    /// Starts a fleet like [`SimulatedNetwork::start`], but with the given settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not pass [`Settings::check`].
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
            datagrams_sent: 0,
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

    /// Returns the current virtual time.
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

    /// Returns all gateways of the fleet, in ascending order.
    fn members(&self) -> impl Iterator<Item = GatewayId> {
        (0..self.settings.fleet_size).map(GatewayId)
    }

    /// Returns the view of a running or stalled member; `None` if it has crashed.
    #[must_use]
    pub fn view(&self, member: GatewayId) -> Option<&View> {
        self.process(member)?.core().map(Membership::view)
    }

    /// Returns a running or stalled member's estimate of the side of a partition that it is on; `None` if it has
    /// crashed.
    #[must_use]
    pub fn partition_side(&self, member: GatewayId) -> Option<PartitionSide> {
        self.process(member)?.core().map(Membership::partition_side)
    }

    /// Returns whether a member is running: it is neither stalled nor crashed.
    #[must_use]
    pub fn is_running(&self, member: GatewayId) -> bool {
        let process = self.process(member);
        process.is_some_and(|process| process.running().is_some())
    }

    /// Returns the liveness of `member` in the view of `observer`; `None` if `observer` has crashed.
    #[must_use]
    pub fn liveness(&self, observer: GatewayId, member: GatewayId) -> Option<Liveness> {
        let row = self.view(observer)?.member(member)?;
        Some(row.liveness)
    }

    /// Returns the digest of all decisions so far, the current views, and the counts of the record.
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

    /// Drops all further datagrams from one member to another, in this direction only.
    pub fn cut(&mut self, from: GatewayId, to: GatewayId) {
        self.faults.cuts.insert(Link { from, to });
    }

    /// Drops all further datagrams between the two sides, in both directions.
    pub fn partition(&mut self, left: &[GatewayId], right: &[GatewayId]) {
        for &left_member in left {
            for &right_member in right {
                self.cut(left_member, right_member);
                self.cut(right_member, left_member);
            }
        }
    }

    /// Restores all links that were cut.
    pub fn heal(&mut self) {
        self.faults.cuts.clear();
    }

    /// Suspends a member, as SIGSTOP does.
    pub fn stall(&mut self, member: GatewayId) {
        if let Some(process) = self.process_mut(member) {
            process.stall();
        }
    }

    /// Resumes a stalled member: it reads the datagrams that are buffered in its socket, then its overdue timers fire.
    pub fn resume(&mut self, member: GatewayId) {
        let Some(socket) = self.process_mut(member).and_then(MemberProcess::resume) else {
            return;
        };
        for bytes in socket {
            self.run_member(member, |core, now| {
                // The record holds rejections only of datagrams that were delivered to a running member.
                let _ = core.receive(now, &bytes);
            });
        }
        self.run_member(member, Membership::advance);
    }

    /// Ends a member immediately; datagrams in flight to it are lost.
    pub fn crash(&mut self, member: GatewayId) {
        if let Some(process) = self.process_mut(member) {
            process.crash();
        }
    }

    /// Makes a member announce that it leaves the fleet, and ends it.
    pub fn leave(&mut self, member: GatewayId) {
        self.run_member(member, Membership::leave);
        self.crash(member);
    }

    /// Restarts a crashed member as its next generation; it sends a join to the given peers.
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

    /// Restarts a member with the generation of `process`; it sends a join to the given peers.
    pub fn restart_as(&mut self, process: GatewayProcess, peers: &[GatewayId]) {
        let member = process.gateway;
        let seed = self.seed ^ (u64::from(member.0) << 32) ^ u64::from(process.generation.0);
        let Ok(core) = Membership::new(process, self.settings.clone(), seed, self.now) else {
            return;
        };
        self.processes[member.0 as usize] = MemberProcess::Running(Box::new(core));
        self.run_member(member, |core, now| core.join(now, peers));
    }

    /// Runs until all running members are alive in the views of all running members, and returns the time of the check
    /// that found this; `None` if it does not happen within `limit`.
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

    /// Runs until the given time, delivering datagrams and firing timers in chronological order.
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

    /// Returns the earliest time at which a running member has work.
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

    /// Calls the core of a member, if it is running, and carries out the actions that result.
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
                self.transmit(member, to, bytes);
            }
        }
        Some(output)
    }

    /// Puts a datagram in flight, unless its link is cut or it is lost.
    fn transmit(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        let length = bytes.len();
        assert!(
            length <= MAX_DATAGRAM_BYTES,
            "datagram of {length} bytes, expected at most {MAX_DATAGRAM_BYTES}"
        );
        if self.faults.cuts.contains(&Link { from, to }) {
            return;
        }
        if self.rng.random_bool(self.faults.loss.clamp(0.0, 1.0)) {
            return;
        }
        let delay_ms = self.rng.random_range(self.faults.delay_ms.clone());
        self.datagrams_sent += 1;
        self.in_flight.push(Reverse(DatagramInFlight {
            arrival: self.now + Milliseconds(delay_ms),
            send_order: self.datagrams_sent,
            to,
            bytes,
        }));
    }
}
