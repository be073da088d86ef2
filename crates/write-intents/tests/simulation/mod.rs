//! Simulation of a fleet of [`IntentStore`]s on a network, in virtual time and with a seed.

use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::{
    codec, Action, IntentStore, KeyHash, OperationId, Outcome, SequenceNumber, RETENTION,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// Sort key of the datagrams in flight. Datagrams that arrive at the same time are delivered in the order in which they
/// were sent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Timestamp,
    /// Sequence number, assigned in the order of sending.
    sequence_number: u64,
}

/// Identifies an operation within the fleet.
#[derive(PartialEq, Eq, Hash)]
struct FleetOperation {
    gateway: GatewayId,
    operation: OperationId,
}

/// An intent that a gateway has tried to record.
pub struct RecordedIntent {
    pub intent: SequenceNumber,
    pub outcome: Outcome,
}

struct InFlightDatagram {
    from: GatewayId,
    to: GatewayId,
    bytes: Vec<u8>,
}

pub struct Fleet {
    pub now: Timestamp,
    /// The stores of the gateways, indexed by gateway id. `None` for a dead gateway.
    pub stores: Vec<Option<IntentStore>>,
    in_flight: BTreeMap<Arrival, InFlightDatagram>,
    last_sequence_number: u64,
    loss_percent: u64,
    rng: SmallRng,
    outcomes: HashMap<FleetOperation, Outcome>,
}

impl Fleet {
    /// Creates a fleet whose gateways started so long ago that they have all records.
    pub fn new(size: u32, loss_percent: u64, seed: u64) -> Self {
        let store =
            |number| IntentStore::new(GatewayId(number), Timestamp::ZERO, SequenceNumber(1));
        Fleet {
            now: Timestamp::ZERO + RETENTION,
            stores: (0..size).map(|number| Some(store(number))).collect(),
            in_flight: BTreeMap::new(),
            last_sequence_number: 0,
            loss_percent,
            rng: SmallRng::seed_from_u64(seed),
            outcomes: HashMap::new(),
        }
    }

    pub fn all_gateways(&self) -> Vec<GatewayId> {
        (0..self.stores.len() as u32).map(GatewayId).collect()
    }

    /// Calls the store of a gateway and carries out its actions. Returns `None` if the gateway is dead.
    pub fn call<R>(
        &mut self,
        gateway: GatewayId,
        call: impl FnOnce(&mut IntentStore, Timestamp) -> R,
    ) -> Option<R> {
        let now = self.now;
        let store = self.stores[gateway.0 as usize].as_mut()?;
        let result = call(store, now);
        let actions: Vec<Action> = store.drain_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(gateway, to, bytes),
                Action::Ended { operation, outcome } => {
                    let operation = FleetOperation { gateway, operation };
                    let earlier = self.outcomes.insert(operation, outcome);
                    assert!(earlier.is_none(), "two outcomes");
                }
            }
        }
        Some(result)
    }

    fn send(&mut self, from: GatewayId, to: GatewayId, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        if self.random_below(100) < self.loss_percent {
            return;
        }
        self.last_sequence_number += 1;
        let delay = Milliseconds(1 + self.random_below(3));
        let arrival = Arrival {
            at: self.now + delay,
            sequence_number: self.last_sequence_number,
        };
        self.in_flight
            .insert(arrival, InFlightDatagram { from, to, bytes });
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    pub fn run(&mut self, duration: Milliseconds) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Milliseconds(1);
            self.deliver_datagrams();
            self.advance_stores();
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().at > now {
                break;
            }
            let datagram = entry.remove();
            self.call(datagram.to, |store, now| {
                let received = store.receive(now, datagram.from, &datagram.bytes);
                received.expect("decodes");
            });
        }
    }

    fn advance_stores(&mut self) {
        for gateway in self.all_gateways() {
            let store = self.stores[gateway.0 as usize].as_ref();
            if store.is_some_and(|store| store.next_due() <= self.now) {
                self.call(gateway, IntentStore::advance);
            }
        }
    }

    /// Lets a gateway record a write, runs the fleet for 200 ms, and returns the outcome.
    pub fn record(
        &mut self,
        gateway: GatewayId,
        key: KeyHash,
        first_sent_at: UnixMilliseconds,
    ) -> RecordedIntent {
        let all_gateways = self.all_gateways();
        let operation = self.call(gateway, |store, now| {
            let intent = store.new_intent();
            (
                intent,
                store.record(now, intent, key, first_sent_at, &all_gateways),
            )
        });
        let (intent, operation) = operation.expect("the gateway runs");
        RecordedIntent {
            intent,
            outcome: self.outcome(gateway, operation),
        }
    }

    /// Lets a gateway withdraw an intent.
    pub fn withdraw(&mut self, gateway: GatewayId, intent: SequenceNumber, key: KeyHash) {
        let all_gateways = self.all_gateways();
        self.call(gateway, |store, now| {
            store.withdraw(now, intent, key, &all_gateways);
        });
    }

    /// Lets a gateway look a key up, runs the fleet for 200 ms, and returns the outcome.
    pub fn look_up(&mut self, gateway: GatewayId, key: KeyHash) -> Outcome {
        let all_gateways = self.all_gateways();
        let operation = self.call(gateway, |store, now| store.look_up(now, key, &all_gateways));
        self.outcome(gateway, operation.expect("the gateway runs"))
    }

    fn outcome(&mut self, gateway: GatewayId, operation: OperationId) -> Outcome {
        self.run(Milliseconds(200));
        self.outcomes[&FleetOperation { gateway, operation }]
    }
}
