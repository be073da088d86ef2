//! Role of the coordinator: the holder of a drain's lease asks all gateways for their number of requests in flight at
//! the host until none has any.

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

/// Number of gateways that are candidates for a lease; the same as in `irisrouter-leases`. Only the candidates claim
/// the lease of a drain.
const LEASE_CANDIDATES: usize = 3;
/// Number of refresh intervals without a message from a coordinator after which a command is announced to the lease
/// candidates.
const REFRESHES_WITHOUT_COORDINATOR: u64 = 4;

/// Latest report from one gateway, with the generation of the process that sent it.
struct Report {
    generation: Generation,
    requests_in_flight: u32,
}

/// Recipients of the announcements that are due.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    None,
    /// Gateways that have not reported zero requests in flight.
    Pending,
    All,
}

/// State of the coordinator of a command under one epoch.
pub(crate) struct Coordination {
    epoch: Epoch,
    next_round_at: Timestamp,
    next_refresh_at: Timestamp,
    /// Latest report from each gateway.
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

    /// Returns the sum of the requests in flight at the host over all reports.
    pub(crate) fn requests_in_flight(&self) -> u32 {
        self.reports.values().fold(0, |sum: u32, report| {
            sum.saturating_add(report.requests_in_flight)
        })
    }

    /// Returns the number of gateways that have not reported yet.
    pub(crate) fn unacknowledged(&self, fleet: &Fleet) -> usize {
        fleet
            .processes()
            .filter(|&process| self.report_of(process).is_none())
            .count()
    }

    /// Returns the report from this process of a gateway; `None` if only an earlier process of the gateway has
    /// reported.
    fn report_of(&self, process: GatewayProcess) -> Option<&Report> {
        self.reports
            .get(&process.gateway)
            .filter(|report| report.generation == process.generation)
    }

    /// Returns whether this process has reported zero requests in flight.
    fn is_idle(&self, process: GatewayProcess) -> bool {
        self.report_of(process)
            .is_some_and(|report| report.requests_in_flight == 0)
    }

    /// Removes the reports from gateways that membership now reports as down.
    fn remove_down_gateways(&mut self, fleet: &Fleet) {
        self.reports.retain(|&gateway, _| fleet.contains(gateway));
    }

    /// Returns the gateways that have not reported zero requests in flight, in ascending order.
    fn pending_gateways(&self, fleet: &Fleet) -> Vec<GatewayId> {
        fleet
            .processes()
            .filter(|&process| !self.is_idle(process))
            .map(|process| process.gateway)
            .collect()
    }

    /// Returns whether no gateway has requests in flight. A majority of the fleet has to have reported, so that a
    /// coordinator in the smaller part of a partitioned network cannot complete a command without the other gateways.
    fn is_complete(&self, fleet: &Fleet, quorum: usize) -> bool {
        self.reports.len() >= quorum && self.pending_gateways(fleet).is_empty()
    }

    /// Returns which gateways are due an announcement, and schedules the next round and the next refresh.
    fn next_recipients(&mut self, now: Timestamp, settings: &Settings) -> Recipients {
        let refresh_due = now >= self.next_refresh_at;
        let round_due = now >= self.next_round_at;
        if refresh_due {
            self.next_refresh_at = now + settings.refresh_interval;
        }
        if round_due {
            self.next_round_at = now + settings.round_interval;
        }
        match (refresh_due, round_due) {
            (true, _) => Recipients::All,
            (false, true) => Recipients::Pending,
            (false, false) => Recipients::None,
        }
    }
}

impl DrainCoordinator {
    /// Processes a report: its sender follows a command, and reports its number of requests in flight.
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

    /// Coordinates a host's command if this gateway holds the lease.
    pub(super) fn coordinate(&mut self, now: Timestamp, host: HostId, local: &impl LocalState) {
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        // The lease is checked in every step, because a coordinator that was paused, and lost its lease during the
        // pause, must not complete a drain on the basis of reports from before the pause.
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
        self.record_local_report(&mut coordination, local.requests_in_flight(host));
        coordination.remove_down_gateways(&self.fleet);
        self.complete(now, host, &mut coordination);
        self.announce(now, host, &mut coordination);
        if let Some(state) = self.commands.state_mut(host) {
            state.coordination = Some(coordination);
        }
    }

    /// Records the coordinator's own number of requests in flight in the same way as a report from another gateway.
    fn record_local_report(&self, coordination: &mut Coordination, requests_in_flight: u32) {
        let report = Report {
            generation: self.fleet.local_generation(),
            requests_in_flight,
        };
        coordination
            .reports
            .insert(self.fleet.local_gateway(), report);
    }

    /// Records the completion of a host's command if no gateway has requests in flight and no completion is known under
    /// this epoch or a later one.
    fn complete(&mut self, now: Timestamp, host: HostId, coordination: &mut Coordination) {
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        let epoch = coordination.epoch;
        let is_recorded = state
            .completion
            .is_some_and(|completion| completion.epoch >= epoch);
        if is_recorded || !coordination.is_complete(&self.fleet, self.settings.quorum()) {
            return;
        }
        let gateways_up = self.fleet.len() as u32;
        let completion = Completion {
            epoch,
            unacknowledged: self.settings.fleet_size.saturating_sub(gateways_up),
        };
        // A command that an earlier coordinator completed is not logged as completed again.
        if state.completion.replace(completion).is_none() {
            self.actions.push(Action::Completed {
                command: state.command,
                completion,
                origin: CompletionOrigin::ThisGateway,
            });
        }
        // Sends the completion to all gateways in this step, because a completion is sent with a refresh only.
        coordination.next_refresh_at = now;
    }

    /// Sends the announcements that are due for a host's command. A refresh includes the completion if the command is
    /// complete.
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

    /// Announces a command to the candidates for its lease if no coordinator has sent a message for
    /// [`REFRESHES_WITHOUT_COORDINATOR`] refresh intervals. If all candidates have restarted since the command was
    /// issued, they do not know the command, and without the announcement none of them would claim the lease.
    pub(super) fn announce_to_candidates(&mut self, now: Timestamp, host: HostId) {
        let max_silence = self.settings.refresh_interval * REFRESHES_WITHOUT_COORDINATOR;
        let Some(state) = self.commands.state_mut(host) else {
            return;
        };
        if now < state.coordinator_seen_at + max_silence || !state.needs_coordinator() {
            return;
        }
        state.coordinator_seen_at = now;
        let announcement = Message::announcement(state.command, NO_COORDINATOR);
        for candidate in lease_candidates(task_id(host), &self.fleet) {
            self.outgoing.push(candidate, announcement);
        }
    }
}

/// Returns the candidates for the lease on a task, in descending order of preference.
fn lease_candidates(task: TaskId, fleet: &Fleet) -> impl Iterator<Item = GatewayId> {
    let gateways: Vec<GatewayId> = fleet.gateways().collect();
    rendezvous::candidates(task, &gateways)
        .into_iter()
        .take(LEASE_CANDIDATES)
}
