//! Model check of the leases of a recovering host's budget, exhaustive at small sizes: every order of clock ticks,
//! grants, restarts, and messages that arrive late, twice or never. The amounts that all gateways may send never add up
//! to more than the budget.

use irisrouter_retry_storm::budget_lease::{
    BudgetShare, GatewayId, Lease, CLOCK_ERROR_MARGIN, MAX_LEASE_DURATION,
};
use irisrouter_retry_storm::{Nanos, MILLISECOND};
use stateright::{Checker, Model, Property};

/// The property that must always hold.
const WITHIN_BUDGET: &str = "the sum stays within the budget";
/// Time on the clock in the initial state.
const START: Nanos = 10_000 * MILLISECOND;
/// The share of each gateway.
const SHARE: u32 = 2;
/// Maximum number of states that are explored. A check that reaches it fails, because it is not exhaustive.
const MAX_STATES: usize = 3_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Nanos,
    gateways: Vec<BudgetShare>,
    /// Messages in flight: leases with their owners. A message is kept after its delivery, because it may be delivered
    /// again. A lost message is one that is never delivered, so that loss needs no action of its own. Expired leases
    /// are removed, because every gateway rejects them.
    messages: Vec<(GatewayId, Lease)>,
    restarts: u8,
    leases: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Grant {
        owner: GatewayId,
        holder: GatewayId,
        amount: u32,
        duration: Nanos,
    },
    Deliver(usize),
    Restart(GatewayId),
}

struct Fleet {
    gateway_count: u16,
    /// Length of a clock tick.
    tick: Nanos,
    /// Time from the initial state after which the clock does not tick any more.
    duration: Nanos,
    /// Maximum number of leases that are granted.
    max_leases: u8,
    /// A deliberate fault that the check must find: a restarted gateway uses its share at once.
    restart_without_waiting: bool,
}

impl State {
    fn gateway(&mut self, gateway: GatewayId) -> &mut BudgetShare {
        &mut self.gateways[usize::from(gateway.0)]
    }

    /// Returns the total amount that all gateways may send.
    fn total_usable(&self) -> u32 {
        self.gateways
            .iter()
            .map(|gateway| gateway.usable(self.now))
            .sum()
    }
}

impl Fleet {
    fn gateway_ids(&self) -> impl Iterator<Item = GatewayId> {
        (0..self.gateway_count).map(GatewayId)
    }

    fn budget(&self) -> u32 {
        SHARE * u32::from(self.gateway_count)
    }

    /// Appends all leases that an owner may grant: to each other gateway, of two durations, of part or all of its
    /// share.
    fn push_grants(&self, owner: GatewayId, actions: &mut Vec<Action>) {
        for holder in self.gateway_ids().filter(|&holder| holder != owner) {
            for duration in [MAX_LEASE_DURATION, MAX_LEASE_DURATION / 2] {
                actions.extend([1, SHARE].map(|amount| Action::Grant {
                    owner,
                    holder,
                    amount,
                    duration,
                }));
            }
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gateways = self
            .gateway_ids()
            .map(|gateway| BudgetShare::for_new_host(gateway, SHARE, START, 0))
            .collect();
        vec![State {
            now: START,
            gateways,
            messages: Vec::new(),
            restarts: 0,
            leases: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < START + self.duration {
            actions.push(Action::Tick);
        }
        for owner in self.gateway_ids() {
            if state.leases < self.max_leases {
                self.push_grants(owner, actions);
            }
            if state.restarts < 1 && state.leases > 0 {
                actions.push(Action::Restart(owner));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.now += self.tick;
                let now = state.now;
                state.messages.retain(|(_, lease)| now < lease.expires_at);
            }
            Action::Grant {
                owner,
                holder,
                amount,
                duration,
            } => {
                let now = state.now;
                let lease = state.gateway(owner).grant(now, holder, amount, duration)?;
                state.messages.push((owner, lease));
                state.messages.sort();
                state.leases += 1;
            }
            Action::Deliver(index) => {
                let now = state.now;
                let (owner, lease) = state.messages[index];
                state.gateway(lease.holder).accept(now, owner, lease).ok()?;
            }
            Action::Restart(gateway) => {
                // The gateway restarts without its earlier state, and reuses lease numbers of its previous process.
                let restart = if self.restart_without_waiting {
                    BudgetShare::for_new_host
                } else {
                    BudgetShare::after_restart
                };
                *state.gateway(gateway) = restart(gateway, SHARE, last.now, 0);
                state.restarts += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_BUDGET, |fleet: &Fleet, state: &State| {
                state.total_usable() <= fleet.budget()
            }),
            Property::sometimes("a lease is used", |_, state: &State| {
                state
                    .gateways
                    .iter()
                    .any(|gateway| gateway.usable(state.now) > SHARE)
            }),
            Property::sometimes(
                "all of the budget is used",
                |fleet: &Fleet, state: &State| {
                    state.leases > 0 && state.total_usable() == fleet.budget()
                },
            ),
        ]
    }
}

/// Explores all states. Returns the number of states, and whether the budget is exceeded in any of them.
fn check(fleet: Fleet) -> (usize, bool) {
    let checker = fleet
        .checker()
        .threads(4)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let violated = checker.discovery(WITHIN_BUDGET).is_some();
    if !violated {
        checker.assert_properties();
    }
    let states = checker.unique_state_count();
    eprintln!("{states} states");
    assert!(
        violated || states < MAX_STATES,
        "the check is not exhaustive: it reached its limit with {states} states"
    );
    (states, violated)
}

#[test]
fn budget_is_kept_by_two_gateways_with_three_leases() {
    let (states, violated) = check(Fleet {
        gateway_count: 2,
        tick: MAX_LEASE_DURATION / 4 + CLOCK_ERROR_MARGIN / 2,
        duration: 2 * MAX_LEASE_DURATION,
        max_leases: 3,
        restart_without_waiting: false,
    });
    assert!(!violated && states > 1_000, "{states} states");
}

#[test]
fn budget_is_kept_by_three_gateways_with_two_leases() {
    let (states, violated) = check(Fleet {
        gateway_count: 3,
        tick: MAX_LEASE_DURATION / 2,
        duration: MAX_LEASE_DURATION + MAX_LEASE_DURATION / 2,
        max_leases: 2,
        restart_without_waiting: false,
    });
    assert!(!violated && states > 1_000, "{states} states");
}

/// Shows that the check can fail: a gateway that forgets its leases and uses its share at once exceeds the budget.
#[test]
fn check_finds_a_gateway_that_does_not_wait_after_its_restart() {
    let (_, violated) = check(Fleet {
        gateway_count: 2,
        tick: MAX_LEASE_DURATION / 2,
        duration: MAX_LEASE_DURATION,
        max_leases: 1,
        restart_without_waiting: true,
    });
    assert!(violated);
}
