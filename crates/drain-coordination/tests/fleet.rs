//! Whole fleets of [`DrainCoordinator`]s on a simulated network, in virtual time and seeded: which gateways follow a command,
//! which one completes it, and what is left of it when gateways crash, start again, are cut off or lose datagrams.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, HostId, Milliseconds, Timestamp, UnixMilliseconds,
};
use irisrouter_drain_coordination::codec::{self, Message, MessageKind};
use irisrouter_drain_coordination::{
    task_id, Action, CommandStatus, Completion, CompletionOrigin, DesiredState, DrainCommand,
    DrainCoordinator, LocalState, Progress, ReplicationProgress, Settings,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const HOST: HostId = HostId(7);
/// Virtual time between two steps of the simulation.
const STEP: Milliseconds = Milliseconds(10);

/// The lease that a gateway holds, and its requests in flight at [`HOST`].
#[derive(Clone, Default)]
struct SimulatedState {
    fencing_token: Option<Epoch>,
    requests_in_flight: u32,
}

impl LocalState for SimulatedState {
    fn fencing_token(&self, _: HostId) -> Option<Epoch> {
        self.fencing_token
    }

    fn requests_in_flight(&self, _: HostId) -> u32 {
        self.requests_in_flight
    }
}

struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A completion that a gateway found as the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FoundCompletion {
    gateway: usize,
    epoch: Epoch,
    unacknowledged: u32,
}

struct Gateway {
    /// None while the gateway is down.
    coordinator: Option<DrainCoordinator>,
    local: SimulatedState,
    generation: Generation,
}

struct Fleet {
    now: Timestamp,
    gateways: Vec<Gateway>,
    /// Pairs (from, to) between which nothing is delivered.
    cuts: BTreeSet<(usize, usize)>,
    loss_percent: u32,
    /// Datagrams on their way, by the time of their arrival and the order in which they were sent.
    in_transit: BTreeMap<(Timestamp, u64), Datagram>,
    sent: u64,
    rng: SmallRng,
    /// All actions but the sending of datagrams, in order, with the gateways that took them.
    actions: Vec<(usize, Action)>,
}

fn settings(fleet_size: usize) -> Settings {
    Settings::for_lease(fleet_size as u32, Milliseconds(1_000))
}

/// The id of the gateway with this index in [`Fleet::gateways`].
fn id(number: usize) -> GatewayId {
    GatewayId(number as u32)
}

/// Both directions between a gateway and all others of a fleet of five.
fn isolation_of(gateway: usize) -> BTreeSet<(usize, usize)> {
    (0..5)
        .filter(|&other| other != gateway)
        .flat_map(|other| [(gateway, other), (other, gateway)])
        .collect()
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let gateway = |number: usize| Gateway {
            coordinator: Some(DrainCoordinator::new(id(number), settings(size))),
            local: SimulatedState::default(),
            generation: Generation(0),
        };
        Fleet {
            now: Timestamp::ZERO,
            gateways: (0..size).map(gateway).collect(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            in_transit: BTreeMap::new(),
            sent: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    fn restart(&mut self, number: usize) {
        let settings = settings(self.gateways.len());
        let gateway = &mut self.gateways[number];
        gateway.generation.0 += 1;
        gateway.coordinator = Some(DrainCoordinator::new(id(number), settings));
        gateway.local = SimulatedState::default();
    }

    /// Gives the lease of the drain to one gateway, under this epoch.
    fn grant_lease(&mut self, holder: usize, epoch: Epoch) {
        for gateway in &mut self.gateways {
            gateway.local.fencing_token = None;
        }
        self.gateways[holder].local.fencing_token = Some(epoch);
    }

    fn issue(&mut self, number: usize, desired_state: DesiredState) {
        let now = self.now;
        let wall_clock = UnixMilliseconds(1_000 + now.as_millis());
        let coordinator = self.gateways[number].coordinator.as_mut();
        coordinator
            .expect("the gateway is up")
            .issue(now, wall_clock, HOST, desired_state)
            .expect("room for the command");
    }

    /// The processes of the gateways that one of them can reach.
    fn reachable_from(&self, number: usize) -> Vec<GatewayProcess> {
        self.gateways
            .iter()
            .enumerate()
            .filter(|(_, gateway)| gateway.coordinator.is_some())
            .filter(|(other, _)| !self.cuts.contains(&(number, *other)))
            .map(|(other, gateway)| GatewayProcess {
                gateway: id(other),
                generation: gateway.generation,
            })
            .collect()
    }

    /// One step of a gateway's coordinator, and its actions.
    fn step(
        &mut self,
        number: usize,
        operation: impl FnOnce(&mut DrainCoordinator, Timestamp, &SimulatedState),
    ) {
        let reachable = self.reachable_from(number);
        let gateway = &mut self.gateways[number];
        let Some(coordinator) = gateway.coordinator.as_mut() else {
            return;
        };
        coordinator.update_fleet(reachable);
        operation(coordinator, self.now, &gateway.local);
        let actions: Vec<Action> = coordinator.take_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(number, to.0 as usize, bytes),
                other => self.actions.push((number, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        if self.cuts.contains(&(from, to)) || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        self.sent += 1;
        let arrives_at = self.now + Milliseconds(1 + self.rng.random_range(0..5));
        let datagram = Datagram { from, to, bytes };
        self.in_transit.insert((arrives_at, self.sent), datagram);
    }

    fn receive(&mut self, datagram: &Datagram) {
        self.step(datagram.to, |coordinator, now, local| {
            coordinator
                .receive(now, id(datagram.from), &datagram.bytes, local)
                .expect("the datagram can be read");
        });
    }

    fn run(&mut self, duration: Milliseconds) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while let Some(entry) = self.in_transit.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let datagram = entry.remove();
                self.receive(&datagram);
            }
            for number in 0..self.gateways.len() {
                self.step(number, |coordinator, now, local| {
                    coordinator.advance(now, local);
                });
            }
        }
    }

    fn status(&self, number: usize) -> Option<CommandStatus> {
        self.gateways[number]
            .coordinator
            .as_ref()?
            .commands()
            .find(|status| status.command.host == HOST)
    }

    fn command(&self, number: usize) -> Option<DrainCommand> {
        self.status(number).map(|status| status.command)
    }

    fn progress(&self, number: usize) -> Option<Progress> {
        self.status(number).map(|status| status.progress)
    }

    fn drains(&self, number: usize) -> bool {
        self.command(number).is_some_and(|command| command.drains())
    }

    fn all_drain(&self) -> bool {
        (0..self.gateways.len()).all(|number| self.drains(number))
    }

    /// The completions that coordinators found, in order.
    fn found_completions(&self) -> Vec<FoundCompletion> {
        self.actions
            .iter()
            .filter_map(|(gateway, action)| match action {
                Action::Completed {
                    completion,
                    origin: CompletionOrigin::ThisGateway,
                    ..
                } => Some(FoundCompletion {
                    gateway: *gateway,
                    epoch: completion.epoch,
                    unacknowledged: completion.unacknowledged,
                }),
                _ => None,
            })
            .collect()
    }

    /// The latest answer to an operator.
    fn latest_replication(&self) -> Option<ReplicationProgress> {
        self.actions
            .iter()
            .rev()
            .find_map(|(_, action)| match action {
                Action::Replicated { progress, .. } => Some(*progress),
                _ => None,
            })
    }
}

#[test]
fn drain_completes_only_after_every_gateway_has_no_requests_in_flight() {
    let mut fleet = Fleet::new(5, 1);
    fleet.gateways[3].local.requests_in_flight = 2;
    fleet.issue(0, DesiredState::Drained);
    fleet.run(Milliseconds(100));
    assert_eq!(
        fleet.latest_replication(),
        Some(ReplicationProgress {
            followers: 3,
            majority: true
        })
    );
    assert!((0..5).all(|number| {
        let command = fleet.command(number);
        command.is_some_and(|command| command.drains() && command.issued_by == GatewayId(0))
    }));
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(2_000));
    assert_eq!(fleet.found_completions(), []);
    assert_eq!(
        fleet.progress(1),
        Some(Progress::Draining {
            requests_in_flight: 2,
            unacknowledged: 0
        })
    );
    fleet.gateways[3].local.requests_in_flight = 0;
    fleet.run(Milliseconds(500));
    let found = FoundCompletion {
        gateway: 1,
        epoch: Epoch(10),
        unacknowledged: 0,
    };
    assert_eq!(fleet.found_completions(), [found]);
    let completed = Progress::Completed(Completion {
        epoch: Epoch(10),
        unacknowledged: 0,
    });
    assert!((0..5).all(|number| fleet.progress(number) == Some(completed)));
}

/// Guards against a drain that ends with its coordinator, one that two gateways complete, and a completion by the reports
/// that another coordinator received.
#[test]
fn drain_is_completed_by_next_coordinator_and_older_epoch_is_ignored() {
    let mut fleet = Fleet::new(5, 2);
    fleet.gateways[4].local.requests_in_flight = 1;
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(1_000));
    // The coordinator is cut off and goes on under its old epoch; another gateway holds the lease under a later one.
    fleet.cuts = isolation_of(1);
    fleet.gateways[2].local.fencing_token = Some(Epoch(11));
    fleet.run(Milliseconds(1_000));
    assert_eq!(fleet.found_completions(), []);
    fleet.cuts.clear();
    fleet.gateways[4].local.requests_in_flight = 0;
    let late_completion = Message {
        kind: MessageKind::Completion,
        command: fleet.command(0).expect("a command that is known"),
        epoch: Epoch(10),
        count: 0,
    };
    fleet.receive(&Datagram {
        from: 1,
        to: 3,
        bytes: codec::encode(&[late_completion]),
    });
    assert!(
        !matches!(fleet.progress(3), Some(Progress::Completed(_))),
        "the completion of an older coordinator is ignored"
    );
    fleet.run(Milliseconds(1_000));
    let found = FoundCompletion {
        gateway: 2,
        epoch: Epoch(11),
        unacknowledged: 0,
    };
    assert_eq!(fleet.found_completions(), [found]);
}

#[test]
fn restarted_gateway_follows_within_a_refresh_interval_and_is_asked_again() {
    let mut fleet = Fleet::new(4, 3);
    fleet.gateways[3].local.requests_in_flight = 1;
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(1_000));
    // The gateway with a request in flight dies: its request is gone, and its new process has to report that.
    fleet.gateways[3].coordinator = None;
    fleet.run(Milliseconds(500));
    let found = FoundCompletion {
        gateway: 1,
        epoch: Epoch(10),
        unacknowledged: 1,
    };
    assert_eq!(
        fleet.found_completions(),
        [found],
        "the completion counts the gateway that is down"
    );
    fleet.restart(3);
    assert_eq!(fleet.command(3), None);
    fleet.run(settings(4).refresh_interval + Milliseconds(50));
    assert!(fleet.drains(3));
    // All candidates for the lease start again: a gateway that still knows the command announces it to them.
    let gateways: Vec<GatewayId> = (0..4).map(GatewayId).collect();
    let candidates = irisrouter_leases::rendezvous::candidates(task_id(HOST), &gateways);
    for &candidate in &candidates[..3] {
        fleet.restart(candidate.0 as usize);
    }
    fleet.run(settings(4).refresh_interval * 5);
    assert!(fleet.all_drain());
}

#[test]
fn later_command_wins_at_gateway_that_was_cut_off() {
    let mut fleet = Fleet::new(5, 4);
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(500));
    fleet.cuts = isolation_of(4);
    fleet.issue(2, DesiredState::InService);
    fleet.run(Milliseconds(1_000));
    assert!((0..4).all(|number| {
        let command = fleet.command(number);
        command.is_some_and(|command| !command.drains() && command.issued_by == GatewayId(2))
    }));
    assert!(
        fleet.drains(4),
        "the gateway that is cut off follows what it knows"
    );
    // After the partition it announces its older command as any gateway without the lease does, and gets the later one.
    fleet.cuts.clear();
    fleet.run(Milliseconds(10_000));
    assert!((0..5).all(|number| {
        let command = fleet.command(number);
        command.is_some_and(|command| !command.drains())
    }));
}

#[test]
fn command_without_quorum_is_reported_to_operator_and_spreads_after_partition() {
    let mut fleet = Fleet::new(5, 5);
    fleet.cuts = isolation_of(0);
    fleet.issue(0, DesiredState::Drained);
    fleet.run(settings(5).replication_timeout + Milliseconds(100));
    assert_eq!(
        fleet.latest_replication(),
        Some(ReplicationProgress {
            followers: 1,
            majority: false
        })
    );
    // It holds at its gateway all the same. After the partition the lease candidates learn of it, and the one that gets
    // the lease announces it to all others.
    fleet.cuts.clear();
    fleet.run(settings(5).refresh_interval * 5);
    let gateways: Vec<GatewayId> = (0..5).map(GatewayId).collect();
    let candidates = irisrouter_leases::rendezvous::candidates(task_id(HOST), &gateways);
    let first = candidates[0].0 as usize;
    assert!(fleet.drains(first));
    fleet.grant_lease(first, Epoch(1));
    fleet.run(Milliseconds(100));
    assert!(fleet.all_drain());
}

/// A step of a random sequence of faults at a fleet of five.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Loss { percent: u32 },
    Restart(usize),
    Isolate(usize),
    Heal,
    MoveLease(usize),
    Issue(usize, DesiredState),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let desired_state = prop_oneof![Just(DesiredState::Drained), Just(DesiredState::InService)];
    prop_oneof![
        (0u32..40).prop_map(|percent| Fault::Loss { percent }),
        (0usize..5).prop_map(Fault::Restart),
        (0usize..5).prop_map(Fault::Isolate),
        Just(Fault::Heal),
        (0usize..5).prop_map(Fault::MoveLease),
        (0usize..5, desired_state).prop_map(|(number, state)| Fault::Issue(number, state)),
    ]
}

proptest! {
    /// Whatever is lost, restarted and cut off meanwhile: once all gateways reach each other, all follow the last command,
    /// and one coordinator completes it once, never while a gateway that reported has requests in flight.
    #[test]
    fn random_faults_leave_one_command_and_one_completion(
        seed in any::<u64>(),
        faults in prop::collection::vec(any_fault(), 1..12),
    ) {
        let mut fleet = Fleet::new(5, seed);
        let mut epoch = 1;
        fleet.issue(0, DesiredState::Drained);
        for fault in faults {
            match fault {
                Fault::Loss { percent } => fleet.loss_percent = percent,
                Fault::Restart(number) => fleet.restart(number),
                Fault::Isolate(number) => fleet.cuts = isolation_of(number),
                Fault::Heal => fleet.cuts.clear(),
                Fault::MoveLease(number) => {
                    epoch += 1;
                    fleet.grant_lease(number, Epoch(epoch));
                }
                Fault::Issue(number, desired_state) => fleet.issue(number, desired_state),
            }
            fleet.run(Milliseconds(300));
        }
        epoch += 1;
        fleet.loss_percent = 0;
        fleet.cuts.clear();
        fleet.issue(2, DesiredState::Drained);
        let last_command = fleet.command(2);
        fleet.grant_lease(1, Epoch(epoch));
        fleet.actions.clear();
        fleet.run(Milliseconds(6_000));
        prop_assert!((0..5).all(|number| fleet.command(number) == last_command));
        let found = FoundCompletion { gateway: 1, epoch: Epoch(epoch), unacknowledged: 0 };
        prop_assert_eq!(fleet.found_completions(), vec![found]);
    }
}
