//! A fleet of [`IntentStore`]s on a simulated network, in virtual time and seeded.

use irisrouter_write_intents::{
    codec, Action, IntentStore, Millis, OperationId, Outcome, RETENTION,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// When a datagram arrives, and its number among all that were sent.
type Arrival = (Millis, u64);

struct Flight {
    from: u32,
    to: u32,
    bytes: Vec<u8>,
}

pub struct Fleet {
    pub now: Millis,
    /// The gateways by their numbers; none for a dead one.
    pub stores: Vec<Option<IntentStore>>,
    flights: BTreeMap<Arrival, Flight>,
    sent_in_order: u64,
    loss_percent: u64,
    rng: SmallRng,
    ended: HashMap<(u32, OperationId), Outcome>,
}

impl Fleet {
    /// Gateways that were started long enough ago to have lost no records.
    pub fn new(size: u32, loss_percent: u64, seed: u64) -> Self {
        let stores = (0..size).map(|number| Some(IntentStore::new(number, 0)));
        Fleet {
            now: RETENTION,
            stores: stores.collect(),
            flights: BTreeMap::new(),
            sent_in_order: 0,
            loss_percent,
            rng: SmallRng::seed_from_u64(seed),
            ended: HashMap::new(),
        }
    }

    pub fn all(&self) -> Vec<u32> {
        (0..self.stores.len() as u32).collect()
    }

    /// Calls the store of a gateway and carries out its actions; none where the gateway is dead.
    pub fn call<R>(
        &mut self,
        number: u32,
        call: impl FnOnce(&mut IntentStore, Millis) -> R,
    ) -> Option<R> {
        let now = self.now;
        let store = self.stores[number as usize].as_mut()?;
        let result = call(store, now);
        let actions: Vec<Action> = store.drain_actions().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(number, to, bytes),
                Action::Ended { operation, outcome } => {
                    let earlier = self.ended.insert((number, operation), outcome);
                    assert!(earlier.is_none(), "two outcomes");
                }
            }
        }
        Some(result)
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        if self.random_below(100) < self.loss_percent {
            return;
        }
        self.sent_in_order += 1;
        let arrives_at = self.now + 1 + self.random_below(3);
        let flight = Flight { from, to, bytes };
        self.flights
            .insert((arrives_at, self.sent_in_order), flight);
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    pub fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 1;
            self.deliver_datagrams();
            self.advance_stores();
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.flights.first_entry().filter(|e| e.key().0 <= now) {
            let flight = entry.remove();
            self.call(flight.to, |store, now| {
                let received = store.receive(now, flight.from, &flight.bytes);
                received.expect("decodes");
            });
        }
    }

    fn advance_stores(&mut self) {
        for number in self.all() {
            let store = self.stores[number as usize].as_ref();
            if store.is_some_and(|store| store.next_due() <= self.now) {
                self.call(number, IntentStore::advance);
            }
        }
    }

    /// Records a write at a gateway, and waits for the outcome.
    pub fn record(&mut self, number: u32, key: u64, first_sent_at: u64) -> Outcome {
        let all = self.all();
        let operation = self.call(number, |store, now| {
            store.record(now, key, first_sent_at, &all)
        });
        self.outcome(number, operation)
    }

    /// Looks a key up at a gateway, and waits for the outcome.
    pub fn look_up(&mut self, number: u32, key: u64) -> Outcome {
        let all = self.all();
        let operation = self.call(number, |store, now| store.look_up(now, key, &all));
        self.outcome(number, operation)
    }

    fn outcome(&mut self, number: u32, operation: Option<OperationId>) -> Outcome {
        self.run(200);
        self.ended[&(number, operation.expect("the gateway runs"))]
    }
}
