//! Merges the updates that datagrams carry into the view, by the rules of [`crate::merge_rules`].

use crate::action::Action;
use crate::codec::{Datagram, Message};
use crate::member_update::MemberUpdate;
use crate::membership::{Membership, SourceTrust};
use crate::merge_rules::{self, ContactOutcome, PingReason, SelfUpdateOutcome, UpdateOutcome};
use crate::serial_number::Incarnation;
use crate::view::{Liveness, MemberState};
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Generation};

/// Whether the sender of an update has older information about a member than this gateway has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SenderKnowledge {
    UpToDate,
    Outdated,
}

impl Membership {
    /// Merges the source of a datagram into the view, and returns whether its updates and requests are accepted.
    pub(crate) fn process_source(
        &mut self,
        source: GatewayProcess,
        incarnation: Incarnation,
    ) -> SourceTrust {
        let Some(&row) = self.view.member(source.gateway) else {
            return SourceTrust::Untrusted;
        };
        match merge_rules::merge_contact(&row, source, incarnation) {
            ContactOutcome::Unchanged => {}
            ContactOutcome::Alive => {
                self.detector.pings.end(source.gateway);
                self.set_member(source, incarnation, Liveness::Alive);
                self.dissemination.add(source.gateway);
            }
            ContactOutcome::NotifySender => {
                self.notify_outranked(&row);
                return SourceTrust::Untrusted;
            }
        }
        self.view.record_received(source.gateway, self.now);
        SourceTrust::Trusted
    }

    /// Sends a member its own row of this view, so that it learns that the fleet knows a later process or considers it
    /// down.
    fn notify_outranked(&mut self, row: &MemberState) {
        let update = MemberUpdate {
            process: row.process,
            incarnation: row.incarnation,
            down: row.liveness == Liveness::Down,
        };
        self.send_with_updates(row.process.gateway, Message::Gossip, vec![update]);
    }

    /// Merges the updates of a datagram, and sends back the rows of those members about which the source has outdated
    /// information.
    pub(crate) fn process_updates(&mut self, datagram: &Datagram, trust: SourceTrust) {
        let source = datagram.source.gateway;
        let mut corrections = Vec::new();
        for update in &datagram.updates {
            // Updates about this member itself are accepted from any source, so that it can refute the report of every
            // member that considers it down.
            let is_about_self = update.process.gateway == self.local.process.gateway;
            if !is_about_self && trust == SourceTrust::Untrusted {
                continue;
            }
            if self.process_update(update, source) == SenderKnowledge::Outdated {
                corrections.extend(self.update_about(update.process.gateway));
            }
        }
        if !corrections.is_empty() {
            self.send_with_updates(source, Message::Gossip, corrections);
        }
    }

    /// Merges an update about this member or another one.
    fn process_update(&mut self, update: &MemberUpdate, sender: GatewayId) -> SenderKnowledge {
        let gateway = update.process.gateway;
        if gateway == self.local.process.gateway {
            self.process_update_about_self(update, sender);
            return SenderKnowledge::UpToDate;
        }
        let Some(row) = self.view.member(gateway) else {
            return SenderKnowledge::UpToDate;
        };
        match merge_rules::merge_update(row, update) {
            UpdateOutcome::Stale => {}
            UpdateOutcome::SenderOutdated => return SenderKnowledge::Outdated,
            UpdateOutcome::Apply => self.apply_update(update),
            UpdateOutcome::Verify => {
                self.set_member(update.process, update.incarnation, Liveness::Suspect);
                self.detector.pings.start(gateway, PingReason::ReportedDown);
            }
        }
        SenderKnowledge::UpToDate
    }

    /// Sets the row of another member to the state that the update reports.
    fn apply_update(&mut self, update: &MemberUpdate) {
        let liveness = if update.down {
            Liveness::Down
        } else {
            Liveness::Alive
        };
        self.detector.pings.end(update.process.gateway);
        self.set_member(update.process, update.incarnation, liveness);
        self.dissemination.add(update.process.gateway);
    }

    /// Processes an update about this member itself: ignores it, refutes it or changes to a later generation, as the
    /// merge rules decide.
    fn process_update_about_self(&mut self, update: &MemberUpdate, sender: GatewayId) {
        let local = &self.local;
        match merge_rules::merge_update_about_self(local.process, local.incarnation, update) {
            SelfUpdateOutcome::Ignore => return,
            SelfUpdateOutcome::Refute(incarnation) => {
                self.local.incarnation = incarnation;
                self.actions.push(Action::Refuted(incarnation));
            }
            SelfUpdateOutcome::Renew(generation) => {
                if self.renewed_recently() {
                    return;
                }
                self.renew(generation);
            }
        }
        self.dissemination.add(self.local.process.gateway);
        // The sender receives the refutation immediately, without waiting for the next gossip.
        self.send(sender, Message::Gossip);
    }

    /// Returns whether this member changed to a later generation within the last suspicion time. Without this pause,
    /// two processes that were started with the same gateway number would outrank each other endlessly.
    fn renewed_recently(&self) -> bool {
        let pause = self.settings.suspicion;
        let renewed_at = self.local.renewed_at;
        renewed_at.is_some_and(|renewed_at| self.now < renewed_at + pause)
    }

    /// Changes this member to a later generation, in its first incarnation.
    fn renew(&mut self, generation: Generation) {
        self.local.renewed_at = Some(self.now);
        self.local.process.generation = generation;
        self.local.incarnation = Incarnation::FIRST;
        self.view.set_local(self.local.process, self.now);
        self.actions.push(Action::Renewed(self.local.process));
    }

    /// Returns the update that this member sends about a member, or about itself. A suspect member is reported alive in
    /// its last known incarnation, which does not outrank any other update. Returns `None` for an unknown member.
    pub(crate) fn update_about(&self, gateway: GatewayId) -> Option<MemberUpdate> {
        if gateway == self.local.process.gateway {
            return Some(MemberUpdate {
                process: self.local.process,
                incarnation: self.local.incarnation,
                down: false,
            });
        }
        let row = self.view.member(gateway)?;
        let down = match row.liveness {
            Liveness::Alive | Liveness::Suspect => false,
            Liveness::Down => true,
            Liveness::Unknown => return None,
        };
        Some(MemberUpdate {
            process: row.process,
            incarnation: row.incarnation,
            down,
        })
    }
}
