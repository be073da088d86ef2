//! Writers, keepers and repeats on a simulated network: whatever one gateway's death and lost datagrams do, a repeat is
//! never taken for a write that was not sent when it was.

use irisrouter_write_intents::{codec, Action, IntentStore, Millis, Outcome, KEPT};
use proptest::prelude::{any, prop_assert_eq, prop_assert_ne, prop_assume, proptest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

struct Fleet {
    now: Millis,
    cores: Vec<Option<IntentStore>>,
    flights: BTreeMap<(Millis, u64), (u32, u32, Vec<u8>)>,
    order: u64,
    loss_percent: u64,
    rng: SmallRng,
    ended: HashMap<(u32, u64), Outcome>,
}

impl Fleet {
    fn new(size: u32, loss_percent: u64, seed: u64) -> Self {
        let cores = (0..size).map(|n| Some(IntentStore::new(n, 0))).collect();
        let (flights, ended) = (BTreeMap::new(), HashMap::new());
        Fleet {
            now: KEPT,
            cores,
            flights,
            order: 0,
            loss_percent,
            rng: SmallRng::seed_from_u64(seed),
            ended,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    fn with<R>(&mut self, g: u32, act: impl FnOnce(&mut IntentStore, Millis) -> R) -> Option<R> {
        let now = self.now;
        let core = self.cores[g as usize].as_mut()?;
        let result = act(core, now);
        let actions: Vec<Action> = core.drain().collect();
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
                    if self.draw(100) >= self.loss_percent {
                        self.order += 1;
                        let at = self.now + 1 + self.draw(3);
                        self.flights.insert((at, self.order), (g, to, bytes));
                    }
                }
                Action::Ended { ticket, outcome } => {
                    assert!(
                        self.ended.insert((g, ticket), outcome).is_none(),
                        "two outcomes"
                    );
                }
            }
        }
        Some(result)
    }

    fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            while let Some(entry) = self.flights.first_entry().filter(|e| e.key().0 <= now) {
                let (from, to, bytes) = entry.remove();
                self.with(to, |core, now| {
                    core.receive(now, from, &bytes).expect("reads")
                });
            }
            for g in 0..self.cores.len() as u32 {
                if self.cores[g as usize]
                    .as_ref()
                    .is_some_and(|c| c.next_due() <= now)
                {
                    self.with(g, IntentStore::advance);
                }
            }
        }
    }

    fn all(&self) -> Vec<u32> {
        (0..self.cores.len() as u32).collect()
    }

    fn note(&mut self, g: u32, key: u64, at: u64) -> Outcome {
        let all = self.all();
        let ticket = self
            .with(g, |core, now| core.note(now, key, at, &all))
            .expect("runs");
        self.run(200);
        self.ended[&(g, ticket)]
    }

    fn ask(&mut self, g: u32, key: u64) -> Outcome {
        let all = self.all();
        let ticket = self
            .with(g, |core, now| core.ask(now, key, &all))
            .expect("runs");
        self.run(200);
        self.ended[&(g, ticket)]
    }
}

#[test]
fn a_write_noted_before_its_gateway_died_is_known_to_every_other() {
    for size in 2..9 {
        for writer in 0..size {
            let mut fleet = Fleet::new(size, 0, 1);
            assert_eq!(fleet.note(writer, 77, 1_000), Outcome::Noted);
            fleet.cores[writer as usize] = None;
            for other in (0..size).filter(|&o| o != writer) {
                assert_eq!(
                    fleet.ask(other, 77),
                    Outcome::Known(1_000),
                    "{size} gateways, {writer}, {other}"
                );
            }
        }
    }
}

#[test]
fn one_that_never_ran_is_unknown_again_and_an_earlier_writer_is_not_forgotten() {
    let mut fleet = Fleet::new(5, 0, 1);
    assert_eq!(fleet.note(0, 7, 1_000), Outcome::Noted);
    assert_eq!(fleet.note(1, 7, 1_400), Outcome::Noted);
    let all = fleet.all();
    fleet.with(1, |core, _| core.forget(7, &all));
    fleet.run(50);
    assert_eq!(fleet.ask(3, 7), Outcome::Known(1_000));
    fleet.with(0, |core, _| core.forget(7, &all));
    fleet.run(50);
    assert_eq!(fleet.ask(3, 7), Outcome::Unknown);
}

#[test]
fn without_the_word_of_two_nothing_is_noted_and_nothing_is_proven() {
    let mut fleet = Fleet::new(4, 100, 1);
    assert_eq!(fleet.note(0, 7, 1_000), Outcome::NotNoted);
    assert_eq!(fleet.ask(1, 7), Outcome::Unproven);
    // Alone there is nobody to note with, and nobody who could take it over.
    let mut alone = Fleet::new(1, 100, 1);
    assert_eq!(alone.note(0, 7, 1_000), Outcome::Noted);
    assert_eq!(alone.ask(0, 7), Outcome::Known(1_000));
}

#[test]
fn keepers_that_started_again_are_not_taken_to_know_that_nothing_was_sent() {
    let mut fleet = Fleet::new(5, 0, 1);
    assert_eq!(fleet.note(0, 9, 1_000), Outcome::Noted);
    // The writer and every keeper go, and all but the writer come back: nobody knows, and nobody says that it was unsent.
    fleet.cores[0] = None;
    for g in 1..5 {
        fleet.cores[g] = Some(IntentStore::new(g as u32, fleet.now));
    }
    assert_eq!(fleet.ask(2, 9), Outcome::Unproven);
    // By then no client repeats it any more.
    fleet.now += KEPT;
    assert_eq!(fleet.ask(2, 9), Outcome::Unknown);
}

#[test]
fn a_dead_keeper_is_replaced_by_the_next() {
    for dead in 1..6 {
        let mut fleet = Fleet::new(6, 0, 1);
        fleet.cores[dead] = None;
        assert_eq!(fleet.note(0, 5, 900), Outcome::Noted, "{dead}");
    }
}

#[test]
fn notes_are_bounded_and_go_after_their_time() {
    let mut fleet = Fleet::new(2, 0, 1);
    let items: Vec<codec::Item> = (0..codec::ITEMS as u64)
        .map(|key| codec::Item {
            kind: codec::Kind::Note,
            key,
            at: 5,
        })
        .collect();
    fleet.with(1, |core, now| {
        core.receive(now, 0, &codec::encode(&items)).expect("reads")
    });
    let kept = |f: &Fleet| f.cores[1].as_ref().map_or(0, IntentStore::kept);
    assert_eq!(kept(&fleet), codec::ITEMS);
    fleet.now += KEPT;
    fleet.run(5);
    assert_eq!(kept(&fleet), 0);
    let mut core = IntentStore::new(1, 0);
    for part in 0..(irisrouter_write_intents::MOST as u64 / 10 + 10) {
        let items: Vec<codec::Item> = (0..10)
            .map(|k| codec::Item {
                kind: codec::Kind::Note,
                key: part * 10 + k,
                at: 5,
            })
            .collect();
        core.receive(0, 0, &codec::encode(&items)).expect("reads");
        core.drain().for_each(drop);
    }
    assert_eq!(core.kept(), irisrouter_write_intents::MOST);
}

proptest! {
    /// A write that was noted (and so may have left) is never unknown to a gateway that still runs, whoever one dead gateway
    /// is, the writer or a keeper, and whatever is lost.
    #[test]
    fn what_may_have_run_is_never_taken_for_unsent(
        size in 2u32..9, writer in 0u32..9, dead in 0u32..9, asker in 0u32..9, key: u64,
        loss in 0u64..70, seed: u64,
    ) {
        let (writer, dead, asker) = (writer % size, dead % size, asker % size);
        prop_assume!(asker != dead);
        let mut fleet = Fleet::new(size, loss, seed);
        let noted = fleet.note(writer, key, 1_000);
        fleet.cores[dead as usize] = None;
        let found = fleet.ask(asker, key);
        if noted == Outcome::Noted {
            prop_assert_ne!(found, Outcome::Unknown);
        }
        if noted == Outcome::Noted && loss == 0 {
            prop_assert_eq!(found, Outcome::Known(1_000));
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300), magic: bool) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        let mut core = IntentStore::new(0, 0);
        if core.receive(10, 1, &bytes).is_err() {
            prop_assert_eq!((core.drain().count(), core.kept()), (0, 0));
        }
    }

    #[test]
    fn items_come_back_as_they_were(items in proptest::collection::vec((0usize..6, any::<u64>(), any::<u64>()), 0..=codec::ITEMS)) {
        use codec::Kind::{Ask, Forget, Known, Note, Noted, Unknown};
        let items: Vec<codec::Item> = items
            .into_iter()
            .map(|(k, key, at)| codec::Item { kind: [Note, Noted, Ask, Known, Unknown, Forget][k], key, at })
            .collect();
        prop_assert_eq!(codec::decode(&codec::encode(&items)), Ok(items));
    }
}
