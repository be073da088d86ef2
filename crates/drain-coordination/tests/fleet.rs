//! Whole fleets of [`Drains`] on a simulated network, in virtual time and seeded: who follows a word, who says that a
//! drain is done, and what is left of it when gateways crash, start again, are cut off or lose datagrams.

use irisrouter_drain_coordination::codec::{self, Item, Kind};
use irisrouter_drain_coordination::{
    taken_out, task_id, Action, DrainCommand, DrainCoordinator, Millis, Progress, Settings,
    Surroundings,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const HOST: u32 = 7;

/// What a gateway owns and has open.
#[derive(Clone, Default)]
struct Around {
    token: Option<u64>,
    open: u32,
}

impl Surroundings for Around {
    fn token(&self, _: u32) -> Option<u64> {
        self.token
    }

    fn open(&self, _: u32) -> u32 {
        self.open
    }
}

struct Fleet {
    now: Millis,
    cores: Vec<Option<DrainCoordinator>>,
    around: Vec<Around>,
    generations: Vec<u16>,
    cuts: BTreeSet<(u32, u32)>,
    loss_percent: u32,
    flights: BTreeMap<(Millis, u64), (u32, u32, Vec<u8>)>,
    order: u64,
    rng: SmallRng,
    /// (gateway, action), in order, but for datagrams.
    seen: Vec<(u32, Action)>,
    sent: usize,
}

fn settings(size: usize) -> Settings {
    Settings::paced(size as u32, 1_000)
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let core = |n: usize| Some(DrainCoordinator::new(n as u32, settings(size)));
        Fleet {
            now: 0,
            cores: (0..size).map(core).collect(),
            around: vec![Around::default(); size],
            generations: vec![0; size],
            cuts: BTreeSet::new(),
            loss_percent: 0,
            flights: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            seen: Vec::new(),
            sent: 0,
        }
    }

    fn restart(&mut self, n: usize) {
        self.generations[n] += 1;
        self.cores[n] = Some(DrainCoordinator::new(n as u32, settings(self.cores.len())));
        self.around[n] = Around::default();
    }

    /// One owner, under this epoch.
    fn own(&mut self, owner: usize, epoch: u64) {
        self.around.iter_mut().for_each(|a| a.token = None);
        self.around[owner].token = Some(epoch);
    }

    fn say(&mut self, n: usize, out: bool) {
        let now = self.now;
        self.cores[n]
            .as_mut()
            .expect("up")
            .say(now, 1_000 + now, HOST, out)
            .expect("room");
    }

    fn there(&self, n: usize) -> Vec<(u32, u16)> {
        let up = |&m: &usize| self.cores[m].is_some() && !self.cuts.contains(&(n as u32, m as u32));
        (0..self.cores.len())
            .filter(up)
            .map(|m| (m as u32, self.generations[m]))
            .collect()
    }

    fn with(&mut self, n: usize, step: impl FnOnce(&mut DrainCoordinator, Millis, &Around)) {
        let (there, now, around) = (self.there(n), self.now, self.around[n].clone());
        let Some(core) = self.cores[n].as_mut() else {
            return;
        };
        core.view(there);
        step(core, now, &around);
        let actions: Vec<Action> = core.drain().collect();
        for action in actions {
            let Action::Send { to, bytes } = action else {
                self.seen.push((n as u32, action));
                continue;
            };
            assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
            self.sent += 1;
            if self.cuts.contains(&(n as u32, to))
                || self.rng.random_range(0..100) < self.loss_percent
            {
                continue;
            }
            self.order += 1;
            let at = self.now + 1 + self.rng.random_range(0..5);
            self.flights.insert((at, self.order), (n as u32, to, bytes));
        }
    }

    fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 10;
            while let Some(entry) = self.flights.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, bytes) = entry.remove();
                self.with(to as usize, |core, now, around| {
                    core.receive(now, from, &bytes, around).expect("reads")
                });
            }
            for n in 0..self.cores.len() {
                self.with(n, |core, now, around| core.advance(now, around));
            }
        }
    }

    fn word(&self, n: usize) -> Option<DrainCommand> {
        self.cores[n]
            .as_ref()?
            .words()
            .map(|(w, _)| w)
            .find(|w| w.host == HOST)
    }

    fn progress(&self, n: usize) -> Option<Progress> {
        self.cores[n]
            .as_ref()?
            .words()
            .find(|(w, _)| w.host == HOST)
            .map(|(_, p)| p)
    }

    /// Who found drains done, under which epochs, and how many were not heard.
    fn found(&self) -> Vec<(u32, u64, u32)> {
        let own = |(n, a): &(u32, Action)| match a {
            Action::Done {
                epoch,
                unheard,
                own: true,
                ..
            } => Some((*n, *epoch, *unheard)),
            _ => None,
        };
        self.seen.iter().filter_map(own).collect()
    }

    fn said(&self) -> Option<(usize, bool)> {
        self.seen.iter().rev().find_map(|(_, a)| match a {
            Action::Said { by, majority, .. } => Some((*by, *majority)),
            _ => None,
        })
    }
}

#[test]
fn a_word_is_followed_everywhere_and_done_only_once_nobody_has_anything_open() {
    let mut fleet = Fleet::new(5, 1);
    fleet.around[3].open = 2;
    fleet.say(0, true);
    fleet.run(100);
    assert_eq!(fleet.said(), Some((3, true)));
    assert!((0..5).all(|n| fleet.word(n).is_some_and(|w| w.out && w.by == 0)));
    fleet.own(1, 10);
    fleet.run(2_000);
    assert_eq!(
        (fleet.found(), fleet.progress(1)),
        (
            vec![],
            Some(Progress::Draining {
                open: 2,
                unheard: 0
            })
        )
    );
    fleet.around[3].open = 0;
    fleet.run(500);
    assert_eq!(fleet.found(), [(1, 10, 0)]);
    assert!((0..5).all(|n| fleet.progress(n) == Some(Progress::Done(0))));
}

/// Guards against a drain that ends with its owner, one that two call done, and a verdict by another owner's answers.
#[test]
fn the_next_owner_sees_it_through_and_an_older_one_is_not_heard() {
    let mut fleet = Fleet::new(5, 2);
    fleet.around[4].open = 1;
    fleet.say(0, true);
    fleet.own(1, 10);
    fleet.run(1_000);
    // The owner is cut off, and goes on under its old epoch as if nothing were; another owns it under a later one.
    let cut = |n: u32| {
        (0..5)
            .filter(move |&m| m != n)
            .flat_map(move |m| [(n, m), (m, n)])
    };
    fleet.cuts.extend(cut(1));
    fleet.around[2].token = Some(11);
    fleet.run(1_000);
    assert_eq!(fleet.found(), []);
    fleet.cuts.clear();
    fleet.around[4].open = 0;
    let answered = Item {
        kind: Kind::Done,
        word: fleet.word(0).expect("known"),
        epoch: 10,
        count: 0,
    };
    let late = codec::encode(&[answered]);
    fleet.with(3, |core, now, around| {
        core.receive(now, 1, &late, around).expect("reads")
    });
    assert_ne!(
        fleet.progress(3),
        Some(Progress::Done(0)),
        "an older owner's verdict is not taken"
    );
    fleet.run(1_000);
    assert_eq!(fleet.found(), [(2, 11, 0)]);
}

#[test]
fn one_that_starts_again_follows_within_a_slow_round_and_is_asked_anew() {
    let mut fleet = Fleet::new(4, 3);
    fleet.around[3].open = 1;
    fleet.say(0, true);
    fleet.own(1, 10);
    fleet.run(1_000);
    // The one that had something open dies: it has nothing any more, and its new process has to say so.
    fleet.cores[3] = None;
    fleet.run(500);
    assert_eq!(fleet.found(), [(1, 10, 1)], "what was not heard is said");
    fleet.restart(3);
    assert_eq!(fleet.word(3), None);
    fleet.run(settings(4).slow_ms + 50);
    assert!(fleet.word(3).is_some_and(|w| w.out));
    // All that were to own it start again: whoever still knows tells those.
    let there: Vec<u32> = (0..4).collect();
    let first = irisrouter_leases::rendezvous::candidates(task_id(HOST), &there);
    first[..3].iter().for_each(|&n| fleet.restart(n as usize));
    fleet.run(5 * settings(4).slow_ms);
    assert!((0..4).all(|n| fleet.word(n).is_some_and(|w| w.out)));
}

#[test]
fn a_later_word_wins_whoever_was_cut_off() {
    let mut fleet = Fleet::new(5, 4);
    fleet.say(0, true);
    fleet.own(1, 10);
    fleet.run(500);
    let cut = (0..4u32).flat_map(|m| [(4, m), (m, 4)]);
    fleet.cuts.extend(cut);
    fleet.say(2, false);
    fleet.run(1_000);
    assert!((0..4).all(|n| fleet.word(n).is_some_and(|w| !w.out && w.by == 2)));
    assert!(
        fleet.word(4).is_some_and(|w| w.out),
        "it goes on with what it knows"
    );
    // Its own word, of earlier, is told by whoever owns nothing, and answered with the later one.
    fleet.cuts.clear();
    fleet.run(10_000);
    assert!((0..5).all(|n| fleet.word(n).is_some_and(|w| !w.out)));
}

#[test]
fn without_a_majority_the_operator_is_told_so() {
    let mut fleet = Fleet::new(5, 5);
    fleet.cuts.extend((1..5u32).flat_map(|m| [(0, m), (m, 0)]));
    fleet.say(0, true);
    fleet.run(settings(5).say_ms + 100);
    assert_eq!(fleet.said(), Some((1, false)));
    // It holds here all the same; after the cut those that are to own it hear of it, and one of them tells the others.
    fleet.cuts.clear();
    fleet.run(5 * settings(5).slow_ms);
    let first = irisrouter_leases::rendezvous::candidates(task_id(HOST), &[0, 1, 2, 3, 4])[0];
    assert!(fleet.word(first as usize).is_some_and(|w| w.out));
    fleet.own(first as usize, 1);
    fleet.run(100);
    assert!((0..5).all(|n| fleet.word(n).is_some_and(|w| w.out)));
}

#[test]
fn words_are_bounded_and_only_those_that_are_over_make_way() {
    let mut one = DrainCoordinator::new(0, settings(1));
    for host in 0..256 {
        one.say(0, 1, host, true).expect("room");
    }
    assert!(one.say(0, 2, 999, true).is_err());
    let token = Around {
        token: Some(1),
        open: 0,
    };
    one.say(0, 3, 5, false).expect("known");
    one.advance(10, &token);
    assert!(one.say(20, 4, 999, true).is_ok());
    assert!(!one.words().any(|(w, _)| w.host == 5));
}

/// Guards against two operators who take a set's last two hosts out at once.
#[test]
fn of_a_set_that_words_would_empty_the_last_one_named_stays() {
    let word = |host, at| DrainCommand {
        host,
        out: true,
        at,
        by: 0,
    };
    let words = BTreeMap::from([
        (1, word(1, 10)),
        (2, word(2, 20)),
        (
            3,
            DrainCommand {
                out: false,
                ..word(3, 30)
            },
        ),
    ]);
    let of = |h| words.get(&h).copied();
    assert_eq!(taken_out(&[1, 2], of), BTreeSet::from([1]));
    assert_eq!(taken_out(&[1, 2, 3], of), BTreeSet::from([1, 2]));
    assert_eq!(taken_out(&[2], of), BTreeSet::new());
    assert_eq!(taken_out(&[], of), BTreeSet::new());
}

fn item() -> impl Strategy<Value = Item> {
    let kind = prop_oneof![Just(Kind::Tell), Just(Kind::Holds), Just(Kind::Done)];
    let word = (any::<u32>(), any::<bool>(), any::<u64>(), any::<u32>());
    (kind, word, any::<u64>(), any::<u32>()).prop_map(
        |(kind, (host, out, at, by), epoch, count)| Item {
            kind,
            word: DrainCommand { host, out, at, by },
            epoch,
            count,
        },
    )
}

proptest! {
    #[test]
    fn the_codec_goes_both_ways(items in prop::collection::vec(item(), 0..=codec::ITEMS)) {
        prop_assert_eq!(codec::decode(&codec::encode(&items)), Ok(items));
    }

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), seed in any::<u64>()) {
        let mut core = DrainCoordinator::new(0, settings(3));
        core.view([(0, 0), (1, 0)]);
        let mut marked = bytes.clone();
        marked.insert(0, codec::MAGIC);
        for bytes in [bytes, marked] {
            let _ = core.receive(seed, 1, &bytes, &Around::default());
        }
        prop_assert!(core.words().count() <= 256);
    }

    /// Whatever is lost, restarted and cut meanwhile: once all is well, all follow the last word, and it is found done by
    /// one owner a word at most, never while somebody who was heard has something open.
    #[test]
    fn drawn_faults_leave_one_word_and_one_verdict(
        seed in any::<u64>(),
        steps in prop::collection::vec((0usize..6, 0usize..5, 0u32..40), 1..12),
    ) {
        let mut fleet = Fleet::new(5, seed);
        let mut epoch = 1;
        fleet.say(0, true);
        for (what, n, much) in steps {
            match what {
                0 => fleet.loss_percent = much,
                1 => fleet.restart(n),
                2 => fleet.cuts = (0..5).filter(|&m| m != n as u32).flat_map(|m| [(n as u32, m), (m, n as u32)]).collect(),
                3 => fleet.cuts.clear(),
                4 => { epoch += 1; fleet.own(n, epoch) }
                _ => fleet.say(n, much % 2 == 0),
            }
            fleet.run(300);
        }
        (fleet.loss_percent, epoch) = (0, epoch + 1);
        fleet.cuts.clear();
        fleet.say(2, true);
        let last = fleet.word(2);
        fleet.own(1, epoch);
        fleet.seen.clear();
        fleet.run(6_000);
        prop_assert!((0..5).all(|n| fleet.word(n) == last));
        let found = fleet.found();
        prop_assert_eq!(found, vec![(1, epoch, 0)]);
    }
}
