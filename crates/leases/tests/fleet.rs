//! Whole fleets of [`Duties`] on a simulated network, in virtual time and seeded: crashes, restarts, stalls, cuts and loss,
//! with views that lag behind. At every step no duty has two owners, epochs only grow, and a dead owner's duty has
//! another within the bound.

use irisrouter_leases::{codec, Action, Holder, LeaseManager, Millis, Settings};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: Millis = 1_000;

struct Gateway {
    core: LeaseManager,
    generation: u16,
    up: bool,
    stalled: bool,
}

struct Fleet {
    now: Millis,
    gateways: Vec<Gateway>,
    duties: Vec<u64>,
    flights: BTreeMap<(Millis, u64), (u32, u32, Vec<u8>)>,
    order: u64,
    rng: SmallRng,
    loss_percent: u64,
    cuts: BTreeSet<(u32, u32)>,
    /// By duty: the latest epoch that anybody owned it under, and who.
    latest: BTreeMap<u64, (u64, Holder)>,
    /// By duty: when it last had an owner.
    owned: BTreeMap<u64, Millis>,
    /// The longest time that a duty had no owner.
    longest: Millis,
    sent: u64,
}

fn settings(size: u32) -> Settings {
    Settings {
        fleet: size,
        lease_ms: LEASE,
    }
}

impl Fleet {
    fn new(size: u32, duties: u64, seed: u64) -> Self {
        let gateways = (0..size)
            .map(|number| {
                let core = LeaseManager::new(
                    Holder {
                        number,
                        generation: 0,
                    },
                    settings(size),
                    0,
                )
                .expect("settings");
                Gateway {
                    core,
                    generation: 0,
                    up: true,
                    stalled: false,
                }
            })
            .collect();
        let mut fleet = Fleet {
            now: 0,
            gateways,
            duties: (0..duties).collect(),
            flights: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            loss_percent: 0,
            cuts: BTreeSet::new(),
            latest: BTreeMap::new(),
            owned: BTreeMap::new(),
            longest: 0,
            sent: 0,
        };
        fleet.views();
        for g in 0..size {
            fleet.gateways[g as usize]
                .core
                .duties(0, &(0..duties).collect::<Vec<_>>());
        }
        fleet
    }

    /// Everybody learns who is up and on its side of a cut.
    fn views(&mut self) {
        let up: Vec<u32> = (0..self.gateways.len() as u32)
            .filter(|&g| self.gateways[g as usize].up)
            .collect();
        for &g in &up {
            let alive: Vec<u32> = up
                .iter()
                .copied()
                .filter(|&o| o == g || !self.cuts.contains(&(g, o)))
                .collect();
            let majority = 2 * alive.len() > self.gateways.len();
            let now = self.now;
            self.gateways[g as usize].core.view(now, &alive, majority);
        }
    }

    fn crash(&mut self, g: u32) {
        self.gateways[g as usize].up = false;
    }

    fn restart(&mut self, g: u32) {
        let (now, size, duties) = (self.now, self.gateways.len() as u32, self.duties.clone());
        let gateway = &mut self.gateways[g as usize];
        gateway.generation += 1;
        let me = Holder {
            number: g,
            generation: gateway.generation,
        };
        gateway.core = LeaseManager::new(me, settings(size), now).expect("settings");
        gateway.core.duties(now, &duties);
        (gateway.up, gateway.stalled) = (true, false);
    }

    fn carry_out(&mut self, g: u32) {
        let actions: Vec<Action> = self.gateways[g as usize].core.drain().collect();
        let me = Holder {
            number: g,
            generation: self.gateways[g as usize].generation,
        };
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
                    self.sent += 1;
                    if self.cuts.contains(&(g, to))
                        || self.rng.random_range(0..100) < self.loss_percent
                    {
                        continue;
                    }
                    self.order += 1;
                    let at = self.now + 1 + self.rng.random_range(0..5);
                    self.flights.insert((at, self.order), (g, to, bytes));
                }
                Action::Owned { duty, epoch, .. } => {
                    let last = self.latest.insert(duty, (epoch, me));
                    assert!(
                        last.is_none_or(|(e, _)| e < epoch),
                        "duty {duty}: {epoch} after {last:?}"
                    );
                }
                Action::Lost { .. } => {}
            }
        }
    }

    fn run(&mut self, length: Millis) {
        let end = self.now + length;
        while self.now < end {
            self.now += 5;
            let now = self.now;
            while let Some(entry) = self.flights.first_entry().filter(|e| e.key().0 <= now) {
                let (from, to, bytes) = entry.remove();
                let gateway = &mut self.gateways[to as usize];
                if gateway.up && !gateway.stalled {
                    gateway.core.receive(now, from, &bytes).expect("reads");
                    self.carry_out(to);
                }
            }
            for g in 0..self.gateways.len() as u32 {
                let gateway = &mut self.gateways[g as usize];
                if gateway.up && !gateway.stalled && gateway.core.next_due() <= now {
                    gateway.core.advance(now, 1_000_000 + now);
                    self.carry_out(g);
                }
            }
            self.check();
        }
    }

    fn check(&mut self) {
        for &duty in &self.duties {
            let owners: Vec<usize> = (0..self.gateways.len())
                .filter(|&g| {
                    self.gateways[g].up && self.gateways[g].core.token(self.now, duty).is_some()
                })
                .collect();
            assert!(
                owners.len() <= 1,
                "at {} ms duty {duty} is owned by {owners:?}",
                self.now
            );
            // One that is stalled owns it and does nothing.
            let acts = owners.first().is_some_and(|&g| !self.gateways[g].stalled);
            let last = self.owned.entry(duty).or_insert(self.now);
            if acts {
                *last = self.now;
            }
            self.longest = self.longest.max(self.now - *last);
        }
    }
}

#[test]
fn every_duty_gets_an_owner_and_the_first_in_its_order_in_the_end() {
    let mut fleet = Fleet::new(7, 40, 1);
    fleet.run(20_000);
    for duty in 0..40 {
        let first = irisrouter_leases::rendezvous::candidates(duty, &(0..7).collect::<Vec<_>>())[0];
        assert!(
            fleet.gateways[first as usize]
                .core
                .token(fleet.now, duty)
                .is_some(),
            "duty {duty}"
        );
    }
    assert!(
        fleet.longest <= 3 * LEASE,
        "{} ms without an owner at the start",
        fleet.longest
    );
}

#[test]
fn a_dead_owner_s_duties_have_another_within_the_bound_though_nobody_saw_the_death() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(5, 10, seed);
        fleet.run(15_000);
        fleet.longest = 0;
        fleet.crash((seed % 5) as u32);
        fleet.run(10_000);
        let bound = settings(5).takeover_bound_ms();
        assert!(
            fleet.longest <= bound,
            "seed {seed}: {} ms without an owner, bound {bound}",
            fleet.longest
        );
    }
}

#[test]
fn a_stalled_owner_comes_back_to_nothing() {
    let mut fleet = Fleet::new(5, 1, 3);
    fleet.run(15_000);
    let owner = fleet.latest[&0].1.number;
    fleet.gateways[owner as usize].stalled = true;
    fleet.run(5_000);
    assert_ne!(fleet.latest[&0].1.number, owner, "nobody took it over");
    fleet.gateways[owner as usize].stalled = false;
    // Before it has read or done anything.
    assert_eq!(
        fleet.gateways[owner as usize].core.token(fleet.now, 0),
        None
    );
    fleet.run(2_000);
}

#[test]
fn a_voter_that_hears_others_only_from_later_on_grants_nothing_for_a_lease_from_then() {
    let mut core = LeaseManager::new(
        Holder {
            number: 0,
            generation: 1,
        },
        settings(3),
        0,
    )
    .expect("settings");
    core.opened(10 * LEASE);
    let ask = codec::Item {
        kind: codec::Kind::Ask,
        duty: 1,
        epoch: 50,
        round: 1,
        holder: None,
        left: 0,
    };
    let mut answer = |at: Millis| {
        core.receive(at, 1, &codec::encode(0, &[ask]))
            .expect("reads");
        let sent = core.drain().find_map(|a| match a {
            Action::Send { bytes, .. } => Some(codec::decode(&bytes).expect("reads").1[0].kind),
            _ => None,
        });
        sent.expect("an answer")
    };
    assert_eq!(answer(10 * LEASE + 1), codec::Kind::Refused);
    assert_eq!(answer(11 * LEASE), codec::Kind::Granted);
}

#[test]
fn the_small_side_of_a_cut_gives_up_and_the_large_side_takes_over() {
    let mut fleet = Fleet::new(5, 12, 4);
    fleet.run(15_000);
    for (a, b) in [(0, 3), (0, 4), (1, 3), (1, 4), (2, 3), (2, 4)] {
        fleet.cuts.extend([(a, b), (b, a)]);
    }
    // For a while nobody has noticed.
    fleet.run(2_000);
    fleet.views();
    fleet.run(8_000);
    for duty in 0..12 {
        let by = |g: usize| fleet.gateways[g].core.token(fleet.now, duty).is_some();
        assert!((0..3).any(by) && !(3..5).any(by), "duty {duty}");
    }
    fleet.cuts.clear();
    fleet.views();
    fleet.run(10_000);
}

#[test]
fn what_leases_cost_does_not_grow_with_the_fleet() {
    let mut costs = Vec::new();
    for size in [60, 300] {
        let mut fleet = Fleet::new(size, 20, 5);
        fleet.run(15_000);
        let before = fleet.sent;
        fleet.run(10_000);
        costs.push((fleet.sent - before) as f64 / 20.0 / 10.0);
    }
    eprintln!("datagrams a duty a second, at a lease of 1 s: {costs:?}");
    assert!(
        costs[1] < 1.2 * costs[0],
        "datagrams a duty a second: {costs:?}"
    );
}

#[derive(Clone, Debug)]
enum Fault {
    Crash(u32),
    Restart(u32),
    Stall(u32),
    Resume(u32),
    Cut(u32, u32),
    Heal,
    Loss(u64),
    Views,
}

fn fault() -> impl Strategy<Value = Fault> {
    let g = 0u32..5;
    prop_oneof![
        g.clone().prop_map(Fault::Crash),
        g.clone().prop_map(Fault::Restart),
        g.clone().prop_map(Fault::Stall),
        g.clone().prop_map(Fault::Resume),
        (g.clone(), g).prop_map(|(a, b)| Fault::Cut(a, b)),
        Just(Fault::Heal),
        (0u64..60).prop_map(Fault::Loss),
        Just(Fault::Views),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// No sequence of faults ever gives a duty two owners, or an owner an older epoch; and once all are well again, every
    /// duty has one.
    #[test]
    fn never_two_owners_and_none_lost(
        seed in any::<u64>(),
        faults in proptest::collection::vec((fault(), 50u64..1_500), 1..25),
    ) {
        let mut fleet = Fleet::new(5, 4, seed);
        for (fault, lasts) in faults {
            match fault {
                Fault::Crash(g) => fleet.crash(g),
                Fault::Restart(g) => {
                    // Its predecessor is gone, or was killed for it.
                    fleet.crash(g);
                    fleet.restart(g);
                }
                Fault::Stall(g) => fleet.gateways[g as usize].stalled = true,
                Fault::Resume(g) => fleet.gateways[g as usize].stalled = false,
                Fault::Cut(a, b) => fleet.cuts.extend([(a, b)]),
                Fault::Heal => fleet.cuts.clear(),
                Fault::Loss(percent) => fleet.loss_percent = percent,
                Fault::Views => fleet.views(),
            }
            fleet.run(lasts);
        }
        fleet.cuts.clear();
        fleet.loss_percent = 0;
        for g in 0..5 {
            fleet.gateways[g].stalled = false;
            if !fleet.gateways[g].up {
                fleet.restart(g as u32);
            }
        }
        fleet.views();
        fleet.run(6 * LEASE);
        fleet.longest = 0;
        fleet.run(4 * LEASE);
        prop_assert!(fleet.longest <= 2 * LEASE, "{} ms without an owner, all being well", fleet.longest);
        for duty in 0..4 {
            prop_assert!(fleet.gateways.iter().any(|g| g.core.token(fleet.now, duty).is_some()), "duty {duty}");
        }
    }

    #[test]
    fn any_bytes_are_read_or_refused_and_change_nothing_when_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..300), magic in any::<bool>(),
    ) {
        let mut bytes = bytes;
        if let (true, Some(first)) = (magic, bytes.first_mut()) {
            *first = codec::MAGIC;
        }
        let mut core = LeaseManager::new(Holder { number: 0, generation: 0 }, settings(5), 0).expect("settings");
        if core.receive(10, 1, &bytes).is_err() {
            prop_assert_eq!(core.drain().count(), 0);
        }
    }

    #[test]
    fn items_come_back_as_they_were(
        generation in any::<u16>(),
        items in proptest::collection::vec(
            (0usize..7, any::<u64>(), any::<u64>(), any::<u16>(),
             prop_oneof![Just(None), (0..u32::MAX, any::<u16>()).prop_map(Some)], 0u32..0x100_0000),
            0..=codec::ITEMS,
        ),
    ) {
        use codec::Kind::{Ask, Free, Granted, Look, Offered, Refused, Released};
        let items: Vec<codec::Item> = items
            .into_iter()
            .map(|(kind, duty, epoch, round, holder, left)| codec::Item {
                kind: [Ask, Granted, Refused, Released, Offered, Look, Free][kind],
                duty,
                epoch,
                round,
                holder: holder.map(|(number, generation)| Holder { number, generation }),
                left,
            })
            .collect();
        let bytes = codec::encode(generation, &items);
        prop_assert!(bytes.len() <= codec::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec::decode(&bytes), Ok((generation, items)));
    }
}

/// Two that stood by, each with the grant of a voter that had just started again, outbid every owner in turn, and the duty
/// had none for six leases. Found by the property above. So nothing is asked for before a majority would grant it.
#[test]
fn one_free_voter_is_no_reason_to_claim() {
    let (size, duty) = (5, 3);
    let me = irisrouter_leases::rendezvous::candidates(duty, &[0, 1, 2, 3, 4])[1];
    let mut core = LeaseManager::new(
        Holder {
            number: me,
            generation: 0,
        },
        settings(size),
        0,
    )
    .expect("settings");
    core.opened(0);
    core.view(0, &[0, 1, 2, 3, 4], true);
    core.duties(0, &[duty]);
    let said = |core: &mut LeaseManager, at: Millis| {
        core.advance(at, 1_000 + at);
        let mut items: Vec<(u32, codec::Item)> = Vec::new();
        for action in core.drain() {
            if let Action::Send { to, bytes } = action {
                items.extend(
                    codec::decode(&bytes)
                        .expect("reads")
                        .1
                        .into_iter()
                        .map(|i| (to, i)),
                );
            }
        }
        items
    };
    let looks = said(&mut core, LEASE / 5);
    assert_eq!(looks.len(), 4);
    assert!(
        looks.iter().all(|(_, i)| i.kind == codec::Kind::Look),
        "{looks:?}"
    );
    // Its own voice is no word yet: it has just started. Two of the four others are not a majority of five.
    for (n, (voter, look)) in looks.iter().enumerate() {
        let free = codec::Item {
            kind: codec::Kind::Free,
            epoch: 7,
            ..*look
        };
        core.receive(LEASE / 5 + 1, *voter, &codec::encode(0, &[free]))
            .expect("reads");
        let asks = said(&mut core, LEASE / 5 + 1);
        let asked = asks
            .iter()
            .filter(|(_, i)| i.kind == codec::Kind::Ask)
            .count();
        assert_eq!(
            asked,
            if n == 2 { 4 } else { 0 },
            "after {} free voters",
            n + 1
        );
    }
}
