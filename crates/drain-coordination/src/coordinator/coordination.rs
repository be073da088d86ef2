//! The coordinator's part: the holder of a drain's lease asks all gateways for their requests in flight until none is left.

use super::{DrainCoordinator, LocalState};
use crate::action::{Action, CompletionOrigin};
use crate::codec::{Message, NO_COORDINATOR};
use crate::command::DrainCommand;
use crate::fleet::Fleet;
use crate::progress::Completion;
use crate::settings::Settings;
use crate::task_id;
use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, HostId, TaskId, Timestamp,
};
use irisrouter_leases::rendezvous;
use std::collections::BTreeMap;

/// Gateways that claim the lease of a drain, as in `irisrouter-leases`: the others need not know of it.
const LEASE_CANDIDATES: usize = 3;
/// Refresh intervals without a message of a coordinator after which a command is announced to the candidates again.
const REFRESHES_WITHOUT_COORDINATOR: u64 = 4;

/// What one process of a gateway reported.
struct Report {
    generation: Generation,
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
    epoch: Epoch,
    next_round_at: Timestamp,
    next_refresh_at: Timestamp,
    /// The latest report of each gateway.
    reports: BTreeMap<GatewayId, Report>,
}

impl Coordination {
    const fn new(epoch: Epoch, now: Timestamp) -> Self {
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
            .filter(|&process| self.report_of(process).is_none())
            .count()
    }

    /// The report of this process of a gateway; a report of an earlier process does not count.
    fn report_of(&self, process: GatewayProcess) -> Option<&Report> {
        self.reports
            .get(&process.gateway)
            .filter(|report| report.generation == process.generation)
    }

    /// Whether this process reported that it has no requests in flight.
    fn is_idle(&self, process: GatewayProcess) -> bool {
        self.report_of(process)
            .is_some_and(|report| report.requests_in_flight == 0)
    }

    /// Forgets the reports of gateways that are held to be down by now.
    fn forget_down_gateways(&mut self, fleet: &Fleet) {
        self.reports.retain(|&gateway, _| fleet.contains(gateway));
    }

    /// Gateways that have not reported "no requests in flight", in ascending order.
    fn pending_gateways(&self, fleet: &Fleet) -> Vec<GatewayId> {
        fleet
            .processes()
            .filter(|&process| !self.is_idle(process))
            .map(|process| process.gateway)
            .collect()
    }

    /// Whether no gateway has requests in flight. A majority of the fleet has to have reported: a coordinator that a network
    /// partition left alone must not speak for all.
    fn is_complete(&self, fleet: &Fleet, quorum: usize) -> bool {
        self.reports.len() >= quorum && self.pending_gateways(fleet).is_empty()
    }

    /// Which gateways are to get an announcement now; sets the times of the next round and the next refresh.
    fn next_recipients(&mut self, now: Timestamp, settings: &Settings) -> Recipients {
        let refresh = now >= self.next_refresh_at;
        let round = now >= self.next_round_at;
        if refresh {
            self.next_refresh_at = now + settings.refresh_interval;
        }
        if round {
            self.next_round_at = now + settings.round_interval;
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
        now: Timestamp,
        from: GatewayId,
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
    pub(super) fn coordinate(&mut self, now: Timestamp, host: HostId, local: &impl LocalState) {
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
        self.report_locally(&mut coordination, local.requests_in_flight(host));
        coordination.forget_down_gateways(&self.fleet);
        self.complete(now, host, &mut coordination);
        self.announce(now, host, &mut coordination);
        if let Some(state) = self.commands.state_mut(host) {
            state.coordination = Some(coordination);
        }
    }

    /// Records the coordinator's own requests in flight, as other gateways report theirs.
    fn report_locally(&self, coordination: &mut Coordination, requests_in_flight: u32) {
        let report = Report {
            generation: self.fleet.local_generation(),
            requests_in_flight,
        };
        coordination
            .reports
            .insert(self.fleet.local_gateway(), report);
    }

    /// Completes a host's command, where no gateway has requests in flight and that has not been found under this epoch.
    fn complete(&mut self, now: Timestamp, host: HostId, coordination: &mut Coordination) {
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
    fn announce(&mut self, now: Timestamp, host: HostId, coordination: &mut Coordination) {
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
                let all: Vec<GatewayId> = self.fleet.gateways().collect();
                self.announce_to(&all, command, coordination.epoch, completion);
            }
        }
    }

    fn announce_to(
        &mut self,
        gateways: &[GatewayId],
        command: DrainCommand,
        epoch: Epoch,
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
    pub(super) fn announce_to_candidates(&mut self, now: Timestamp, host: HostId) {
        let longest_silence = self.settings.refresh_interval * REFRESHES_WITHOUT_COORDINATOR;
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        if now < state.coordinator_seen_at + longest_silence || !state.needs_coordinator() {
            return;
        }
        state.coordinator_seen_at = now;
        let announcement = Message::announcement(state.command, NO_COORDINATOR);
        for candidate in lease_candidates(task_id(host), &self.fleet) {
            self.outgoing.push(candidate, announcement);
        }
    }
}

/// The gateways that are to claim the lease on a task, the first one first.
fn lease_candidates(task: TaskId, fleet: &Fleet) -> impl Iterator<Item = GatewayId> {
    let gateways: Vec<GatewayId> = fleet.gateways().collect();
    rendezvous::candidates(task, &gateways)
        .into_iter()
        .take(LEASE_CANDIDATES)
}
