//! Simulation of a fleet of [`IntentStore`]s on a network, in virtual time and with a seed.

use irisrouter_cluster_types::{GatewayId, Milliseconds, Timestamp, UnixMilliseconds};
use irisrouter_write_intents::{
    codec, Action, IntentStore, KeyHash, OperationId, Outcome, RETENTION,
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
    number: u64,
}

/// Identifies an operation within the fleet.
#[derive(PartialEq, Eq, Hash)]
struct FleetOperation {
    gateway: GatewayId,
    operation: OperationId,
}

struct Flight {
    from: GatewayId,
    to: GatewayId,
    bytes: Vec<u8>,
}

pub struct Fleet {
    pub now: Timestamp,
    /// The stores of the gateways, indexed by gateway id. `None` for a dead gateway.
    pub stores: Vec<Option<IntentStore>>,
    flights: BTreeMap<Arrival, Flight>,
    sent_in_order: u64,
    loss_percent: u64,
    rng: SmallRng,
    ended: HashMap<FleetOperation, Outcome>,
}

impl Fleet {
    /// Creates a fleet whose gateways started so long ago that they have all records.
    pub fn new(size: u32, loss_percent: u64, seed: u64) -> Self {
        let store = |number| IntentStore::new(GatewayId(number), Timestamp::ZERO);
        Fleet {
            now: Timestamp::ZERO + RETENTION,
            stores: (0..size).map(|number| Some(store(number))).collect(),
            flights: BTreeMap::new(),
            sent_in_order: 0,
            loss_percent,
            rng: SmallRng::seed_from_u64(seed),
            ended: HashMap::new(),
        }
    }

    pub fn all(&self) -> Vec<GatewayId> {
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
                    let earlier = self.ended.insert(operation, outcome);
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
        self.sent_in_order += 1;
        let delay = Milliseconds(1 + self.random_below(3));
        let arrival = Arrival {
            at: self.now + delay,
            number: self.sent_in_order,
        };
        self.flights.insert(arrival, Flight { from, to, bytes });
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    pub fn run(&mut self, length: Milliseconds) {
        let end = self.now + length;
        while self.now < end {
            self.now += Milliseconds(1);
            self.deliver_datagrams();
            self.advance_stores();
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.flights.first_entry() {
            if entry.key().at > now {
                break;
            }
            let flight = entry.remove();
            self.call(flight.to, |store, now| {
                let received = store.receive(now, flight.from, &flight.bytes);
                received.expect("decodes");
            });
        }
    }

    fn advance_stores(&mut self) {
        for gateway in self.all() {
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
    ) -> Outcome {
        let all = self.all();
        let operation = self.call(gateway, |store, now| {
            store.record(now, key, first_sent_at, &all)
        });
        self.outcome(gateway, operation)
    }

    /// Lets a gateway look a key up, runs the fleet for 200 ms, and returns the outcome.
    pub fn look_up(&mut self, gateway: GatewayId, key: KeyHash) -> Outcome {
        let all = self.all();
        let operation = self.call(gateway, |store, now| store.look_up(now, key, &all));
        self.outcome(gateway, operation)
    }

    fn outcome(&mut self, gateway: GatewayId, operation: Option<OperationId>) -> Outcome {
        self.run(Milliseconds(200));
        let operation = operation.expect("the gateway runs");
        self.ended[&FleetOperation { gateway, operation }]
    }
}
