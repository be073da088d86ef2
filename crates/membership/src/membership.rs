//! The core of one gateway's membership: its state, the dispatch of received datagrams, and the periodic work.

use crate::action::Action;
use crate::codec::{self, Datagram, Message};
use crate::dissemination::DisseminationQueue;
use crate::error::{MembershipError, ReceiveError};
use crate::failure_detector::FailureDetector;
use crate::partition_side::PartitionSide;
use crate::serial_number::Incarnation;
use crate::settings::Settings;
use crate::timers::Timers;
use crate::view::{Liveness, View};
use irisrouter_cluster_types::{GatewayId, GatewayProcess, Milliseconds, Timestamp};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// The state of this gateway as a member of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct LocalMember {
    /// This gateway and its current generation.
    pub process: GatewayProcess,
    /// The current incarnation; each refutation raises it.
    pub incarnation: Incarnation,
    /// When this process last changed to a later generation; `None` if it never did.
    pub renewed_at: Option<Timestamp>,
    /// Whether this member has announced that it leaves the fleet.
    pub has_left: bool,
}

/// The SWIM state machine of one gateway.
pub struct Membership {
    pub(crate) local: LocalMember,
    pub(crate) view: View,
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) detector: FailureDetector,
    pub(crate) dissemination: DisseminationQueue,
    pub(crate) timers: Timers,
    /// The latest time passed in by the owner.
    pub(crate) now: Timestamp,
    /// Actions that the owner has not taken yet.
    pub(crate) actions: Vec<Action>,
}

impl Membership {
    /// Creates a member that knows only itself, at time `now`; its random numbers are derived from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not pass [`Settings::check`] or if `local` is not in the fleet's list.
    pub fn new(
        local: GatewayProcess,
        settings: Settings,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, MembershipError> {
        settings.check()?;
        if local.gateway.0 >= settings.fleet_size {
            return Err(MembershipError::OutsideFleet {
                gateway: local.gateway,
                fleet_size: settings.fleet_size,
            });
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        // The delay is random because gateways that start at the same time would otherwise send their pings
        // simultaneously in every period.
        let first_ping_delay_ms = rng.random_range(0..settings.protocol_period.0);
        let first_ping = now + Milliseconds(first_ping_delay_ms);
        Ok(Self {
            local: LocalMember {
                process: local,
                incarnation: Incarnation::FIRST,
                renewed_at: None,
                has_left: false,
            },
            view: View::new(local, settings.fleet_size),
            rng,
            detector: FailureDetector::default(),
            dissemination: DisseminationQueue::default(),
            timers: Timers::new(now, first_ping, &settings),
            settings,
            now,
            actions: Vec::new(),
        })
    }

    /// Returns the current view.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the settings that were passed to [`Membership::new`].
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns this gateway and its current generation.
    #[must_use]
    pub const fn local_process(&self) -> GatewayProcess {
        self.local.process
    }

    /// Returns whether this member has announced that it leaves the fleet.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.local.has_left
    }

    /// Returns the counts by which this gateway estimates which side of a network partition it is on.
    #[must_use]
    pub fn partition_side(&self) -> PartitionSide {
        PartitionSide {
            reachable: self.view.alive_count(),
            fleet_size: self.view.fleet_size(),
            answered_pings: self.detector.history.answered(),
            recent_pings: self.detector.history.len(),
        }
    }

    /// Processes a datagram that the owner received.
    ///
    /// No timers fire in this call. After a stall, a process can therefore read the datagrams that arrived in its
    /// socket during the stall before it evaluates the rounds of pings that ended in that time. Rounds that ended more
    /// than one protocol period ago are then not counted as missed.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the view unchanged, if the datagram can't be decoded, if its source is not another
    /// gateway of the fleet's list, or if it is addressed to another gateway.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.advance_clock(now);
        let datagram = codec::decode(bytes)?;
        self.check_addresses(&datagram)?;
        if self.local.has_left {
            return Ok(());
        }
        let trust = self.process_source(datagram.source, datagram.incarnation);
        self.process_updates(&datagram, trust);
        self.process_message(&datagram, trust);
        Ok(())
    }

    fn check_addresses(&self, datagram: &Datagram) -> Result<(), ReceiveError> {
        let source = datagram.source.gateway;
        if source == self.local.process.gateway || source.0 >= self.settings.fleet_size {
            return Err(ReceiveError::UnknownSource(source));
        }
        let destination = datagram.destination.gateway;
        if destination != self.local.process.gateway {
            return Err(ReceiveError::WrongDestination(destination));
        }
        Ok(())
    }

    /// Processes the message of a datagram, after its source and updates were merged into the view.
    fn process_message(&mut self, datagram: &Datagram, trust: SourceTrust) {
        let source = datagram.source;
        let trusted = trust == SourceTrust::Trusted;
        let for_this_process = datagram.destination == self.local.process;
        match datagram.message {
            // A ping is answered even if its source is down in the view. This does not mark the source alive: only its
            // own answers to pings confirm that it is.
            Message::Ping { sequence } => self.send(source.gateway, Message::Ack { sequence }),
            Message::Ack { sequence } if for_this_process => {
                self.process_ack(source, datagram.incarnation, sequence);
            }
            Message::PingRequest { sequence, target } if trusted => {
                self.relay_ping(source.gateway, sequence, target);
            }
            Message::IndirectAck {
                sequence,
                target,
                incarnation,
            } if trusted && for_this_process => {
                self.process_answer(target, incarnation, sequence);
            }
            Message::Join { list_from } => self.send_member_list(source.gateway, list_from),
            Message::MemberList if trusted => {
                self.continue_join(source.gateway, &datagram.updates);
            }
            Message::Leave if trusted => self.process_leave(source, datagram.incarnation),
            Message::Ack { .. }
            | Message::PingRequest { .. }
            | Message::IndirectAck { .. }
            | Message::MemberList
            | Message::Gossip
            | Message::Leave => {}
        }
    }

    /// Performs the periodic work that is due by `now`: pings, gossip and rejoins.
    pub fn advance(&mut self, now: Timestamp) {
        self.advance_clock(now);
        if self.local.has_left {
            return;
        }
        if self.now >= self.timers.ping {
            self.timers.schedule_next_ping(self.now, &self.settings);
            self.start_scheduled_ping();
        }
        self.run_due_ping_steps();
        if self.now >= self.timers.gossip && !self.dissemination.is_empty() {
            self.timers.schedule_next_gossip(self.now, &self.settings);
            self.send_gossip();
        }
        if self.now >= self.timers.rejoin {
            self.timers.schedule_next_rejoin(self.now, &self.settings);
            self.rejoin();
        }
    }

    /// Returns the time at which [`Membership::advance`] next has work; the owner sleeps until then or until a datagram
    /// arrives. Returns [`Timestamp::MAX`] once this member has left.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        if self.local.has_left {
            return Timestamp::MAX;
        }
        let gossip = if self.dissemination.is_empty() {
            Timestamp::MAX
        } else {
            self.timers.gossip
        };
        self.timers
            .ping
            .min(gossip)
            .min(self.timers.rejoin)
            .min(self.detector.pings.next_due(&self.settings))
            .max(self.now)
    }

    /// Takes the pending actions, in the order in which the owner has to carry them out.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Advances the clock to `now`; a `now` before the current time is ignored.
    pub(crate) fn advance_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Returns the members that are alive, except this one and `excluded`, in ascending order.
    pub(crate) fn alive_except(&self, excluded: GatewayId) -> Vec<GatewayId> {
        self.view
            .members()
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| member.process.gateway)
            .filter(|&gateway| gateway != self.local.process.gateway && gateway != excluded)
            .collect()
    }

    /// Returns up to `count` randomly chosen members that are alive, except this one and `excluded`.
    pub(crate) fn random_alive_except(
        &mut self,
        count: usize,
        excluded: GatewayId,
    ) -> Vec<GatewayId> {
        let mut candidates = self.alive_except(excluded);
        let (chosen, _) = candidates.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    /// Sets the row of another member, and adds an [`Action::Changed`] if its liveness changed.
    pub(crate) fn set_member(
        &mut self,
        process: GatewayProcess,
        incarnation: Incarnation,
        to: Liveness,
    ) {
        if let Some(change) = self.view.set(process, incarnation, to, self.now) {
            self.actions.push(Action::Changed(change));
        }
    }
}

/// Whether updates and requests from the source of a datagram are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceTrust {
    Trusted,
    /// The source is down in the view or was replaced by a later process, and has been sent its row of the view.
    Untrusted,
}
