//! The core of one gateway's membership: its state, the datagrams that it receives and the work that is due.

use crate::action::Action;
use crate::codec::{self, Datagram, Message};
use crate::dissemination::DisseminationQueue;
use crate::error::{MembershipError, ReceiveError};
use crate::failure_detector::FailureDetector;
use crate::node::Node;
use crate::partition_side::PartitionSide;
use crate::settings::Settings;
use crate::timers::Timers;
use crate::view::{Liveness, Millis, View};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// This gateway as a member.
#[derive(Debug, Clone)]
pub(crate) struct LocalMember {
    pub node: Node,
    pub incarnation: u16,
    /// When it last continued as a later generation, if it did.
    pub renewed_at: Option<Millis>,
    /// Whether it has announced that it stops.
    pub has_left: bool,
}

/// The membership of one gateway.
pub struct Membership {
    pub(crate) local: LocalMember,
    pub(crate) view: View,
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) detector: FailureDetector,
    pub(crate) dissemination: DisseminationQueue,
    pub(crate) timers: Timers,
    /// The latest time that the owner passed in.
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
}

impl Membership {
    /// A member that knows only itself, at time `now`; `seed` is that of its random numbers.
    ///
    /// # Errors
    ///
    /// The settings do not pass [`Settings::check`], or `local` lies outside the fleet's list.
    pub fn new(
        local: Node,
        settings: Settings,
        seed: u64,
        now: Millis,
    ) -> Result<Self, MembershipError> {
        settings.check()?;
        if local.number >= settings.fleet_size {
            return Err(MembershipError::OutsideFleet {
                number: local.number,
                fleet_size: settings.fleet_size,
            });
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        // Random, as gateways that are started at the same time would otherwise ping and gossip in step.
        let first_ping = now + rng.random_range(0..settings.protocol_period_ms);
        Ok(Self {
            local: LocalMember {
                node: local,
                incarnation: 0,
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

    /// The current view.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// The settings in force.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// This process, with its current generation.
    #[must_use]
    pub const fn local_node(&self) -> Node {
        self.local.node
    }

    /// Whether this member has announced that it stops.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.local.has_left
    }

    /// Which side of a network partition this gateway is on.
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
    /// No timers fire here: a process that resumes after a stall reads what has arrived in its socket meanwhile, and
    /// rounds that ended during the stall count for nothing.
    ///
    /// # Errors
    ///
    /// The datagram can't be decoded, comes from outside the list, or is addressed to another member; the view is
    /// unchanged then.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), ReceiveError> {
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
        let source = datagram.source.number;
        if source == self.local.node.number || source >= self.settings.fleet_size {
            return Err(ReceiveError::UnknownSource(source));
        }
        let destination = datagram.destination.number;
        if destination != self.local.node.number {
            return Err(ReceiveError::WrongDestination(destination));
        }
        Ok(())
    }

    /// Does what the message of a datagram asks for.
    fn process_message(&mut self, datagram: &Datagram, trust: SourceTrust) {
        let source = datagram.source;
        let trusted = trust == SourceTrust::Trusted;
        let for_this_process = datagram.destination == self.local.node;
        match datagram.message {
            // A member that is held down is answered too: its own answers are what proves it alive.
            Message::Ping { sequence } => self.send(source.number, Message::Ack { sequence }),
            Message::Ack { sequence } if for_this_process => {
                self.process_ack(source, datagram.incarnation, sequence);
            }
            Message::PingRequest { sequence, target } if trusted => {
                self.relay_ping(source.number, sequence, target);
            }
            Message::IndirectAck {
                sequence,
                target,
                incarnation,
            } if trusted && for_this_process => {
                self.process_answer(target, incarnation, sequence);
            }
            Message::Join { list_from } => self.send_member_list(source.number, list_from),
            Message::MemberList if trusted => {
                self.continue_join(source.number, &datagram.updates);
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

    /// Does the periodic work that is due by `now`.
    pub fn advance(&mut self, now: Millis) {
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

    /// When [`Membership::advance`] next has work: the owner sleeps until then or until a datagram arrives.
    /// [`Millis::MAX`] once this member has left.
    #[must_use]
    pub fn next_due(&self) -> Millis {
        if self.local.has_left {
            return Millis::MAX;
        }
        let gossip = if self.dissemination.is_empty() {
            Millis::MAX
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

    /// Takes what the owner is to do, in order.
    pub fn drain_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Moves the clock on; it never goes back.
    pub(crate) fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// The members alive but this one and `excluded`, in order of their numbers.
    pub(crate) fn alive_except(&self, excluded: u32) -> Vec<u32> {
        self.view
            .members()
            .filter(|(number, member)| {
                *number != self.local.node.number
                    && *number != excluded
                    && member.liveness == Liveness::Alive
            })
            .map(|(number, _)| number)
            .collect()
    }

    /// Up to `count` members alive but this one and `excluded`, chosen at random.
    pub(crate) fn random_alive_except(&mut self, count: usize, excluded: u32) -> Vec<u32> {
        let mut candidates = self.alive_except(excluded);
        let (chosen, _) = candidates.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    /// Sets the row of another member and reports the change of its liveness, if there is one.
    pub(crate) fn set_member(&mut self, node: Node, incarnation: u16, to: Liveness) {
        if let Some(change) = self.view.set(node, incarnation, to, self.now) {
            self.actions.push(Action::Changed(change));
        }
    }
}

/// Whether the updates and requests of a datagram's source are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SourceTrust {
    Trusted,
    /// The source is held down or was replaced by a later process; it has been notified.
    Untrusted,
}
