//! Tests of whole fleets of [`DrainCoordinator`]s on a simulated network, with virtual time and a seed: which gateways
//! follow a command, which gateway completes it, and how it survives crashes, restarts, partitions and lost datagrams.

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

/// State of a gateway: the lease that it holds, and its number of requests in flight at [`HOST`].
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

/// Completion that a gateway determined as the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CoordinatorCompletion {
    gateway: usize,
    epoch: Epoch,
    unacknowledged: u32,
}

struct Gateway {
    /// `None` while the gateway is down.
    coordinator: Option<DrainCoordinator>,
    local: SimulatedState,
    generation: Generation,
}

struct Fleet {
    now: Timestamp,
    gateways: Vec<Gateway>,
    /// Pairs (sender, recipient) between which all datagrams are lost.
    blocked_links: BTreeSet<(usize, usize)>,
    loss_percent: u32,
    /// Datagrams in transit, by their arrival time and their sequence number.
    in_transit: BTreeMap<(Timestamp, u64), Datagram>,
    sent_count: u64,
    rng: SmallRng,
    /// All actions except `Send`, in order, with the gateways that carried them out.
    actions: Vec<(usize, Action)>,
}

fn settings(fleet_size: usize) -> Settings {
    Settings::for_lease(fleet_size as u32, Milliseconds(1_000))
}

/// Returns the id of the gateway with this index in [`Fleet::gateways`].
fn gateway_id(index: usize) -> GatewayId {
    GatewayId(index as u32)
}

/// Returns the links, in both directions, between a gateway and all others of a fleet of five.
fn gateway_links(gateway: usize) -> BTreeSet<(usize, usize)> {
    (0..5)
        .filter(|&other| other != gateway)
        .flat_map(|other| [(gateway, other), (other, gateway)])
        .collect()
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let gateway = |index: usize| Gateway {
            coordinator: Some(DrainCoordinator::new(gateway_id(index), settings(size))),
            local: SimulatedState::default(),
            generation: Generation(0),
        };
        Fleet {
            now: Timestamp::ZERO,
            gateways: (0..size).map(gateway).collect(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            in_transit: BTreeMap::new(),
            sent_count: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize) {
        let settings = settings(self.gateways.len());
        let gateway = &mut self.gateways[index];
        gateway.generation.0 += 1;
        gateway.coordinator = Some(DrainCoordinator::new(gateway_id(index), settings));
        gateway.local = SimulatedState::default();
    }

    /// Grants the lease of the drain to one gateway under this epoch, and revokes it from all others.
    fn grant_lease(&mut self, holder: usize, epoch: Epoch) {
        for gateway in &mut self.gateways {
            gateway.local.fencing_token = None;
        }
        self.gateways[holder].local.fencing_token = Some(epoch);
    }

    fn issue(&mut self, index: usize, desired_state: DesiredState) {
        let now = self.now;
        let wall_clock = UnixMilliseconds(1_000 + now.as_millis());
        let coordinator = self.gateways[index].coordinator.as_mut();
        coordinator
            .expect("the gateway is up")
            .issue(now, wall_clock, HOST, desired_state)
            .expect("the command log is not full");
    }

    /// Returns the processes of the gateways that are up and reachable from one of them.
    fn reachable_from(&self, index: usize) -> Vec<GatewayProcess> {
        self.gateways
            .iter()
            .enumerate()
            .filter(|(_, gateway)| gateway.coordinator.is_some())
            .filter(|(other, _)| !self.blocked_links.contains(&(index, *other)))
            .map(|(other, gateway)| GatewayProcess {
                gateway: gateway_id(other),
                generation: gateway.generation,
            })
            .collect()
    }

    /// Runs one operation of a gateway's coordinator, and carries out the resulting actions.
    fn step(
        &mut self,
        index: usize,
        operation: impl FnOnce(&mut DrainCoordinator, Timestamp, &SimulatedState),
    ) {
        let reachable = self.reachable_from(index);
        let gateway = &mut self.gateways[index];
        let Some(coordinator) = gateway.coordinator.as_mut() else {
            return;
        };
        coordinator.update_fleet(reachable);
        operation(coordinator, self.now, &gateway.local);
        let actions: Vec<Action> = coordinator.take_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(index, to.0 as usize, bytes),
                other => self.actions.push((index, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        if self.blocked_links.contains(&(from, to))
            || self.rng.random_range(0..100) < self.loss_percent
        {
            return;
        }
        self.sent_count += 1;
        let arrives_at = self.now + Milliseconds(1 + self.rng.random_range(0..5));
        let datagram = Datagram { from, to, bytes };
        self.in_transit
            .insert((arrives_at, self.sent_count), datagram);
    }

    fn receive(&mut self, datagram: &Datagram) {
        self.step(datagram.to, |coordinator, now, local| {
            coordinator
                .receive(now, gateway_id(datagram.from), &datagram.bytes, local)
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
            for index in 0..self.gateways.len() {
                self.step(index, |coordinator, now, local| {
                    coordinator.advance(now, local);
                });
            }
        }
    }

    fn status(&self, index: usize) -> Option<CommandStatus> {
        self.gateways[index]
            .coordinator
            .as_ref()?
            .commands()
            .find(|status| status.command.host == HOST)
    }

    fn command(&self, index: usize) -> Option<DrainCommand> {
        self.status(index).map(|status| status.command)
    }

    fn progress(&self, index: usize) -> Option<Progress> {
        self.status(index).map(|status| status.progress)
    }

    fn drains(&self, index: usize) -> bool {
        self.command(index).is_some_and(|command| command.drains())
    }

    fn all_drain(&self) -> bool {
        (0..self.gateways.len()).all(|index| self.drains(index))
    }

    /// Returns the completions that coordinators determined, in order.
    fn coordinator_completions(&self) -> Vec<CoordinatorCompletion> {
        self.actions
            .iter()
            .filter_map(|(gateway, action)| match action {
                Action::Completed {
                    completion,
                    origin: CompletionOrigin::ThisGateway,
                    ..
                } => Some(CoordinatorCompletion {
                    gateway: *gateway,
                    epoch: completion.epoch,
                    unacknowledged: completion.unacknowledged,
                }),
                _ => None,
            })
            .collect()
    }

    /// Returns the latest answer to an operator.
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
    assert!((0..5).all(|index| {
        let command = fleet.command(index);
        command.is_some_and(|command| command.drains() && command.issued_by == GatewayId(0))
    }));
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(2_000));
    assert_eq!(fleet.coordinator_completions(), []);
    assert_eq!(
        fleet.progress(1),
        Some(Progress::Draining {
            requests_in_flight: 2,
            unacknowledged: 0
        })
    );
    fleet.gateways[3].local.requests_in_flight = 0;
    fleet.run(Milliseconds(500));
    let expected = CoordinatorCompletion {
        gateway: 1,
        epoch: Epoch(10),
        unacknowledged: 0,
    };
    assert_eq!(fleet.coordinator_completions(), [expected]);
    let completed = Progress::Completed(Completion {
        epoch: Epoch(10),
        unacknowledged: 0,
    });
    assert!((0..5).all(|index| fleet.progress(index) == Some(completed)));
}

/// Guards against three failures after a change of the coordinator: the drain is never completed, two gateways complete
/// it, or it is completed on the basis of reports to the previous coordinator.
#[test]
fn drain_is_completed_by_next_coordinator_and_older_epoch_is_ignored() {
    let mut fleet = Fleet::new(5, 2);
    fleet.gateways[4].local.requests_in_flight = 1;
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(1_000));
    // The coordinator is isolated and continues under its old epoch, while another gateway holds the lease under a
    // later epoch.
    fleet.blocked_links = gateway_links(1);
    fleet.gateways[2].local.fencing_token = Some(Epoch(11));
    fleet.run(Milliseconds(1_000));
    assert_eq!(fleet.coordinator_completions(), []);
    fleet.blocked_links.clear();
    fleet.gateways[4].local.requests_in_flight = 0;
    let late_completion = Message {
        kind: MessageKind::Completion,
        command: fleet.command(0).expect("the gateway knows the command"),
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
        "a completion with an older epoch is ignored"
    );
    fleet.run(Milliseconds(1_000));
    let expected = CoordinatorCompletion {
        gateway: 2,
        epoch: Epoch(11),
        unacknowledged: 0,
    };
    assert_eq!(fleet.coordinator_completions(), [expected]);
}

#[test]
fn restarted_gateway_follows_within_a_refresh_interval_and_is_asked_again() {
    let mut fleet = Fleet::new(4, 3);
    fleet.gateways[3].local.requests_in_flight = 1;
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(1_000));
    // The gateway with a request in flight crashes, and its request is lost. Its new process has to report again,
    // because the reports of the earlier process no longer count.
    fleet.gateways[3].coordinator = None;
    fleet.run(Milliseconds(500));
    let expected = CoordinatorCompletion {
        gateway: 1,
        epoch: Epoch(10),
        unacknowledged: 1,
    };
    assert_eq!(
        fleet.coordinator_completions(),
        [expected],
        "the completion counts the gateway that is down as unacknowledged"
    );
    fleet.restart(3);
    assert_eq!(fleet.command(3), None);
    fleet.run(settings(4).refresh_interval + Milliseconds(50));
    assert!(fleet.drains(3));
    // All candidates for the lease restart. A gateway that still knows the command announces it to them.
    let gateways: Vec<GatewayId> = (0..4).map(GatewayId).collect();
    let candidates = irisrouter_leases::rendezvous::candidates(task_id(HOST), &gateways);
    for &candidate in &candidates[..3] {
        fleet.restart(candidate.0 as usize);
    }
    fleet.run(settings(4).refresh_interval * 5);
    assert!(fleet.all_drain());
}

#[test]
fn later_command_wins_at_gateway_that_was_isolated() {
    let mut fleet = Fleet::new(5, 4);
    fleet.issue(0, DesiredState::Drained);
    fleet.grant_lease(1, Epoch(10));
    fleet.run(Milliseconds(500));
    fleet.blocked_links = gateway_links(4);
    fleet.issue(2, DesiredState::InService);
    fleet.run(Milliseconds(1_000));
    assert!((0..4).all(|index| {
        let command = fleet.command(index);
        command.is_some_and(|command| !command.drains() && command.issued_by == GatewayId(2))
    }));
    assert!(
        fleet.drains(4),
        "the isolated gateway continues to follow the earlier command"
    );
    // After the partition the gateway receives the later command: from the coordinator, or in reply to its own
    // announcement of the earlier command. It sends this announcement if it has received no message from a coordinator
    // for some time.
    fleet.blocked_links.clear();
    fleet.run(Milliseconds(10_000));
    assert!((0..5).all(|index| {
        let command = fleet.command(index);
        command.is_some_and(|command| !command.drains())
    }));
}

#[test]
fn command_without_quorum_is_reported_to_operator_and_replicated_after_partition() {
    let mut fleet = Fleet::new(5, 5);
    fleet.blocked_links = gateway_links(0);
    fleet.issue(0, DesiredState::Drained);
    fleet.run(settings(5).replication_timeout + Milliseconds(100));
    assert_eq!(
        fleet.latest_replication(),
        Some(ReplicationProgress {
            followers: 1,
            majority: false
        })
    );
    // The gateway at which the command was issued follows it nevertheless. After the partition it announces the command
    // to the lease candidates, and the candidate that acquires the lease announces it to all others.
    fleet.blocked_links.clear();
    fleet.run(settings(5).refresh_interval * 5);
    let gateways: Vec<GatewayId> = (0..5).map(GatewayId).collect();
    let candidates = irisrouter_leases::rendezvous::candidates(task_id(HOST), &gateways);
    let first = candidates[0].0 as usize;
    assert!(fleet.drains(first));
    fleet.grant_lease(first, Epoch(1));
    fleet.run(Milliseconds(100));
    assert!(fleet.all_drain());
}

/// Step of a random sequence of faults and commands in a fleet of five.
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
        (0usize..5, desired_state).prop_map(|(index, state)| Fault::Issue(index, state)),
    ]
}

proptest! {
    /// After any sequence of losses, restarts and partitions: once all gateways reach each other again, all of them
    /// follow the last command, and one coordinator completes it exactly once.
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
                Fault::Restart(index) => fleet.restart(index),
                Fault::Isolate(index) => fleet.blocked_links = gateway_links(index),
                Fault::Heal => fleet.blocked_links.clear(),
                Fault::MoveLease(index) => {
                    epoch += 1;
                    fleet.grant_lease(index, Epoch(epoch));
                }
                Fault::Issue(index, desired_state) => fleet.issue(index, desired_state),
            }
            fleet.run(Milliseconds(300));
        }
        epoch += 1;
        fleet.loss_percent = 0;
        fleet.blocked_links.clear();
        fleet.issue(2, DesiredState::Drained);
        let last_command = fleet.command(2);
        fleet.grant_lease(1, Epoch(epoch));
        fleet.actions.clear();
        fleet.run(Milliseconds(6_000));
        prop_assert!((0..5).all(|index| fleet.command(index) == last_command));
        let expected = CoordinatorCompletion { gateway: 1, epoch: Epoch(epoch), unacknowledged: 0 };
        prop_assert_eq!(fleet.coordinator_completions(), vec![expected]);
    }
}
