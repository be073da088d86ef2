//! The coordinator's part: the holder of a drain's lease asks all gateways for their requests in flight until none is left.

use super::{DrainCoordinator, LocalState};
use crate::action::{Action, CompletionOrigin};
use crate::codec::{Message, NO_COORDINATOR};
use crate::command::DrainCommand;
use crate::fleet::Fleet;
use crate::progress::Completion;
use crate::settings::Settings;
use crate::{task_id, Millis};
use std::collections::BTreeMap;

/// Gateways that claim the lease of a drain, as `irisrouter-leases` has it: the others need not know of it.
const LEASE_CANDIDATES: usize = 3;
/// Refresh intervals without a message of a coordinator after which a command is announced to the candidates again.
const REFRESHES_WITHOUT_COORDINATOR: u64 = 4;

/// What one process of a gateway reported.
struct Report {
    generation: u16,
    requests_in_flight: u32,
}

/// Which gateways a round of announcements goes to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    None,
    /// Those that have not reported "no requests in flight".
    Pending,
    All,
}

/// What the coordinator of a command knows under its epoch.
pub(crate) struct Coordination {
    epoch: u64,
    next_round_at: Millis,
    next_refresh_at: Millis,
    /// The latest report of each gateway.
    reports: BTreeMap<u32, Report>,
}

impl Coordination {
    const fn new(epoch: u64, now: Millis) -> Self {
        Self {
            epoch,
            next_round_at: now,
            next_refresh_at: now,
            reports: BTreeMap::new(),
        }
    }

    /// Requests in flight at the host, by all reports.
    pub(crate) fn requests_in_flight(&self) -> u32 {
        self.reports.values().fold(0, |sum: u32, report| {
            sum.saturating_add(report.requests_in_flight)
        })
    }

    /// Gateways that have yet to report.
    pub(crate) fn unacknowledged(&self, fleet: &Fleet) -> usize {
        fleet
            .processes()
            .filter(|&(gateway, generation)| self.report_of(gateway, generation).is_none())
            .count()
    }

    /// The report of this process of a gateway; a report of an earlier process does not count.
    fn report_of(&self, gateway: u32, generation: u16) -> Option<&Report> {
        self.reports
            .get(&gateway)
            .filter(|report| report.generation == generation)
    }

    /// Forgets the reports of gateways that are held to be down by now.
    fn forget_down_gateways(&mut self, fleet: &Fleet) {
        self.reports.retain(|&gateway, _| fleet.contains(gateway));
    }

    /// Gateways that have not reported "no requests in flight", in ascending order.
    fn pending_gateways(&self, fleet: &Fleet) -> Vec<u32> {
        let idle = |gateway, generation| {
            self.report_of(gateway, generation)
                .is_some_and(|report| report.requests_in_flight == 0)
        };
        fleet
            .processes()
            .filter(|&(gateway, generation)| !idle(gateway, generation))
            .map(|(gateway, _)| gateway)
            .collect()
    }

    /// Whether no gateway has requests in flight. A majority of the fleet has to have reported: a coordinator that a network
    /// partition left alone must not speak for all.
    fn is_complete(&self, fleet: &Fleet, quorum: usize) -> bool {
        self.reports.len() >= quorum && self.pending_gateways(fleet).is_empty()
    }

    /// Which gateways are to get an announcement now; sets the times of the next round and the next refresh.
    fn next_recipients(&mut self, now: Millis, settings: &Settings) -> Recipients {
        let refresh = now >= self.next_refresh_at;
        let round = now >= self.next_round_at;
        if refresh {
            self.next_refresh_at = now + settings.refresh_interval_ms;
        }
        if round {
            self.next_round_at = now + settings.round_interval_ms;
        }
        match (refresh, round) {
            (true, _) => Recipients::All,
            (false, true) => Recipients::Pending,
            (false, false) => Recipients::None,
        }
    }
}

impl DrainCoordinator {
    /// A gateway follows a command and reports how many requests it has in flight.
    pub(super) fn receive_report(
        &mut self,
        now: Millis,
        from: u32,
        message: Message,
        local: &impl LocalState,
    ) {
        let Some(generation) = self.fleet.generation(from) else {
            return;
        };
        let Some(state) = self.commands.state_of(message.command) else {
            return;
        };
        if let Some(replication) = &mut state.replication {
            replication.record_follower(from);
        }
        let coordination = state
            .coordination
            .as_mut()
            .filter(|coordination| coordination.epoch == message.epoch);
        if let Some(coordination) = coordination {
            let report = Report {
                generation,
                requests_in_flight: message.count,
            };
            coordination.reports.insert(from, report);
            self.coordinate(now, message.command.host, local);
        }
        self.replicate(now, message.command.host);
    }

    /// Coordinates a host's command, where this gateway holds the lease.
    pub(super) fn coordinate(&mut self, now: Millis, host: u32, local: &impl LocalState) {
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        // Checked in every step: a coordinator that was stalled, and lost its lease meanwhile, must not complete a drain
        // by reports of another time.
        let token = local.fencing_token(host);
        let Some(epoch) = token.filter(|&token| token >= state.latest_epoch) else {
            state.coordination = None;
            return;
        };
        state.record_coordinator(now, epoch);
        let mut coordination = state
            .coordination
            .take()
            .filter(|coordination| coordination.epoch == epoch)
            .unwrap_or(Coordination::new(epoch, now));
        let report = Report {
            generation: self.fleet.local_generation(),
            requests_in_flight: local.requests_in_flight(host),
        };
        coordination
            .reports
            .insert(self.fleet.local_gateway(), report);
        coordination.forget_down_gateways(&self.fleet);
        self.complete(now, host, &mut coordination);
        self.announce(now, host, &mut coordination);
        if let Some(state) = self.commands.state_mut(host) {
            state.coordination = Some(coordination);
        }
    }

    /// Completes a host's command, where no gateway has requests in flight and that has not been found under this epoch.
    fn complete(&mut self, now: Millis, host: u32, coordination: &mut Coordination) {
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        let epoch = coordination.epoch;
        let found_before = state
            .completion
            .is_some_and(|completion| completion.epoch >= epoch);
        if found_before || !coordination.is_complete(&self.fleet, self.settings.quorum()) {
            return;
        }
        let gateways_up = self.fleet.len() as u32;
        let completion = Completion {
            epoch,
            unacknowledged: self.settings.fleet_size.saturating_sub(gateways_up),
        };
        // Where an earlier coordinator has found it, the same completion is not logged again.
        if state.completion.replace(completion).is_none() {
            self.actions.push(Action::Completed {
                command: state.command,
                completion,
                origin: CompletionOrigin::ThisGateway,
            });
        }
        // All gateways are to learn of it in this step.
        coordination.next_refresh_at = now;
    }

    /// Sends the announcements that are due for a host's command, and its completion where it is complete.
    fn announce(&mut self, now: Millis, host: u32, coordination: &mut Coordination) {
        let Some(state) = self.commands.state(host) else {
            return;
        };
        let command = state.command;
        let completion = state.completion;
        match coordination.next_recipients(now, &self.settings) {
            Recipients::None => {}
            Recipients::Pending => {
                let pending = coordination.pending_gateways(&self.fleet);
                self.announce_to(&pending, command, coordination.epoch, None);
            }
            Recipients::All => {
                let all: Vec<u32> = self.fleet.gateways().collect();
                self.announce_to(&all, command, coordination.epoch, completion);
            }
        }
    }

    fn announce_to(
        &mut self,
        gateways: &[u32],
        command: DrainCommand,
        epoch: u64,
        completion: Option<Completion>,
    ) {
        for &gateway in gateways {
            self.outgoing
                .push(gateway, Message::announcement(command, epoch));
            if let Some(completion) = completion {
                let message = Message::completion(command, epoch, completion);
                self.outgoing.push(gateway, message);
            }
        }
    }

    /// Announces a command to the gateways that are to claim its lease, where no coordinator has sent a message for long.
    /// If all of them have started again since the command was issued, none of them knows that there is a lease to claim.
    pub(super) fn announce_to_candidates(&mut self, now: Millis, host: u32) {
        let silence_ms = REFRESHES_WITHOUT_COORDINATOR * self.settings.refresh_interval_ms;
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        if now < state.coordinator_seen_at + silence_ms || !state.needs_coordinator() {
            return;
        }
        state.coordinator_seen_at = now;
        let announcement = Message::announcement(state.command, NO_COORDINATOR);
        let gateways: Vec<u32> = self.fleet.gateways().collect();
        let candidates = irisrouter_leases::rendezvous::candidates(task_id(host), &gateways);
        for candidate in candidates.into_iter().take(LEASE_CANDIDATES) {
            self.outgoing.push(candidate, announcement);
        }
    }
}
