//! The timings of membership, derived from the size of the fleet.
//!
//! The defaults follow SWIM with the parameters of the LAN profile of HashiCorp's memberlist. The default suspicion
//! time is at least three protocol periods longer than `max_stall`, the longest stall of a process that must not lead
//! to a verdict. A process that was paused for that long therefore becomes suspect and then answers, and is not
//! declared down. Suspicion is counted in rounds without an answer, one per period, and not in elapsed time, because an
//! observer that was paused itself has sent no pings during its pause.

use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// Protocol periods that the detection bound allows for the first round of pings to a crashed member: five until the
/// round starts, and one for the round itself.
const DETECTION_PERIODS: u64 = 6;
/// Protocol periods that the detection bound allows for the dissemination of a verdict, for each decimal digit of the
/// fleet's size.
const DISSEMINATION_PERIODS_PER_DIGIT: u64 = 3;

/// Settings of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of gateways in the fleet's list, this one included. [`Settings::for_fleet`] derives the suspicion time
    /// from it, and the number of transmissions of each change depends on it.
    pub fleet_size: u32,
    /// The protocol period: one member is pinged in each.
    pub protocol_period: Milliseconds,
    /// Time from the first ping of a round until the second one, if no ack has arrived; other members are then asked to
    /// ping too. The third ping is sent after the same time again.
    pub ping_timeout: Milliseconds,
    /// Number of members that are asked to ping a member that did not ack.
    pub indirect_pings: usize,
    /// The longest pause of a process that must not lead to a verdict: the process may become suspect, and the suspicion
    /// ends when it answers after the pause.
    pub max_stall: Milliseconds,
    /// Time from the suspicion of a member until it is declared down. The defaults are at least
    /// `4 * max(1, log10 fleet_size)` protocol periods, and at least `max_stall` plus three protocol periods;
    /// [`Settings::check`] requires only that the time is longer than `max_stall`.
    pub suspicion: Milliseconds,
    /// Interval at which a join is sent to one member that is unknown or down in the view. This heals partitions and
    /// finds restarted members.
    pub rejoin_interval: Milliseconds,
    /// Interval at which updates are sent to `gossip_fanout` members, in addition to those piggybacked on other
    /// messages.
    pub gossip_interval: Milliseconds,
    /// Number of members to which each gossip is sent.
    pub gossip_fanout: usize,
    /// Number of times that each member transmits a change, for each decimal digit of the fleet's size.
    pub transmissions_per_digit: u8,
}

/// Error of [`Settings::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// Name of the setting, as operators know it.
    pub field: &'static str,
    /// Why its value is invalid.
    pub reason: SettingsErrorReason,
}

/// Why the value of a setting is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsErrorReason {
    /// The value is zero.
    #[error("must be greater than zero")]
    Zero,
    /// The ping timeout is not shorter than the protocol period.
    #[error("must be shorter than probe_period_ms, or probes overlap")]
    TimeoutNotShorterThanPeriod,
    /// The gossip interval is longer than the rejoin interval.
    #[error(
        "must not be longer than rejoin_ms, because joins back off from gossip_ms to rejoin_ms"
    )]
    GossipLongerThanRejoin,
    /// The suspicion time is not longer than the longest stall, `max_stall`.
    #[error("must be longer than stall_ms, or a stalled gateway is declared down")]
    SuspicionNotLongerThanStall,
}

impl Settings {
    /// Returns the settings for a fleet of `fleet_size` gateways, with a protocol period of one second. A stall of up
    /// to 2 s leads to a suspicion, not to a verdict.
    #[must_use]
    pub fn for_fleet(fleet_size: u32) -> Self {
        let protocol_period = Milliseconds(1_000);
        let max_stall = Milliseconds(2_000);
        let log = f64::from(fleet_size.max(1)).log10().max(1.0);
        // The cast can't overflow: log10 of a u32 is at most 9.7, so the product is small and finite.
        let suspicion_by_size_ms = (4.0 * log * protocol_period.0 as f64).round() as u64;
        let min_suspicion = max_stall + protocol_period * 3;
        Self {
            fleet_size: fleet_size.max(1),
            protocol_period,
            ping_timeout: Milliseconds(300),
            indirect_pings: 3,
            max_stall,
            suspicion: Milliseconds(suspicion_by_size_ms).max(min_suspicion),
            rejoin_interval: Milliseconds(2_000),
            gossip_interval: Milliseconds(200),
            gossip_fanout: 3,
            transmissions_per_digit: 8,
        }
    }

    /// Returns settings with the given protocol period and `max_stall`. All other times are scaled in proportion to the
    /// protocol period; `suspicion` is then raised to `max_stall` plus three protocol periods if it is shorter.
    #[must_use]
    pub fn with_protocol_period(
        fleet_size: u32,
        protocol_period: Milliseconds,
        max_stall: Milliseconds,
    ) -> Self {
        let defaults = Self::for_fleet(fleet_size);
        let scale = |duration: Milliseconds| {
            duration.saturating_mul(protocol_period.0) / defaults.protocol_period.0
        };
        let min_suspicion = max_stall.saturating_add(protocol_period.saturating_mul(3));
        let shortest = Milliseconds(1);
        Self {
            ping_timeout: scale(defaults.ping_timeout).max(shortest),
            gossip_interval: scale(defaults.gossip_interval).max(shortest),
            rejoin_interval: scale(defaults.rejoin_interval).max(shortest),
            suspicion: scale(defaults.suspicion).max(min_suspicion),
            protocol_period,
            max_stall,
            ..defaults
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting found that is zero although it must not be, or that conflicts with
    /// another setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_positive()?;
        self.check_order()
    }

    fn check_positive(&self) -> Result<(), SettingsError> {
        let must_be_positive = [
            ("fleet", u64::from(self.fleet_size)),
            ("probe_period_ms", self.protocol_period.0),
            ("probe_rtt_ms", self.ping_timeout.0),
            ("indirect_probes", self.indirect_pings as u64),
            ("suspicion_ms", self.suspicion.0),
            ("rejoin_ms", self.rejoin_interval.0),
            ("gossip_ms", self.gossip_interval.0),
            ("gossip_fanout", self.gossip_fanout as u64),
        ];
        match must_be_positive.iter().find(|(_, value)| *value == 0) {
            Some((field, _)) => Err(SettingsError {
                field,
                reason: SettingsErrorReason::Zero,
            }),
            None => Ok(()),
        }
    }

    fn check_order(&self) -> Result<(), SettingsError> {
        if self.ping_timeout >= self.protocol_period {
            return Err(SettingsError {
                field: "probe_rtt_ms",
                reason: SettingsErrorReason::TimeoutNotShorterThanPeriod,
            });
        }
        if self.gossip_interval > self.rejoin_interval {
            return Err(SettingsError {
                field: "gossip_ms",
                reason: SettingsErrorReason::GossipLongerThanRejoin,
            });
        }
        if self.suspicion <= self.max_stall {
            return Err(SettingsError {
                field: "suspicion_ms",
                reason: SettingsErrorReason::SuspicionNotLongerThanStall,
            });
        }
        Ok(())
    }

    /// Returns the upper bound on the time from a crash until all running members consider the crashed member down:
    /// `suspicion + (6 + 3 * digits(fleet_size)) * protocol_period`.
    ///
    /// Some member pings the crashed one within five periods: the probability that no member does is `1/e` in each
    /// period, so five periods are exceeded in about one of 150 runs. The first round of pings takes one more period.
    /// Then the suspicion time elapses, and the verdict spreads in a number of steps that grows with log10 of the
    /// fleet's size; each step includes the period in which the receiving member verifies the verdict by a ping of its
    /// own. Tests and measurements check the core against this bound.
    #[must_use]
    pub fn detection_bound(&self) -> Milliseconds {
        let dissemination_periods = DISSEMINATION_PERIODS_PER_DIGIT * u64::from(self.digits());
        let periods = DETECTION_PERIODS + dissemination_periods;
        self.suspicion + self.protocol_period * periods
    }

    /// Returns the upper bound on the time from the end of a partition until the views of both sides agree: in each
    /// `rejoin_interval` a member sends a join to one member that is unknown or down in its view, and the answer is
    /// then disseminated in the same way as a verdict.
    #[must_use]
    pub fn heal_bound(&self) -> Milliseconds {
        self.rejoin_interval * 4 + self.protocol_period * 5
    }

    /// Returns how many more consecutive rounds a suspect member must leave unanswered to be declared down, not
    /// counting the round that made it suspect. One round takes one protocol period.
    #[must_use]
    pub fn suspicion_rounds(&self) -> u32 {
        let rounds = self.suspicion.0.div_ceil(self.protocol_period.0.max(1));
        u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Returns the number of times that a member transmits a change: `transmissions_per_digit` for each decimal digit
    /// of the fleet's size, so that a change reaches all members of a large fleet as reliably as those of a small one.
    #[must_use]
    pub fn max_transmissions(&self) -> u32 {
        u32::from(self.transmissions_per_digit.max(1)) * self.digits()
    }

    /// Returns the number of decimal digits of the fleet's size.
    fn digits(&self) -> u32 {
        self.fleet_size.max(1).ilog10() + 1
    }
}
