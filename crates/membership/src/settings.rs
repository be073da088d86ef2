//! The timings of membership, derived from the size of the fleet.
//!
//! Defaults follow SWIM as memberlist's LAN profile sets it. The suspicion time has a floor of three protocol periods
//! beyond the longest stall that must not count as death (`max_stall`), so a process that was paused for that long is
//! suspected and answers, rather than being declared down. Suspicion is counted in rounds without an answer, one for
//! each period, and not in time: a process that was paused itself has pinged nobody meanwhile.

use irisrouter_cluster_types::Milliseconds;
use thiserror::Error;

/// Periods that the detection bound allows for the first round of pings to a crashed member: five until it starts, and
/// one for the round.
const DETECTION_PERIODS: u64 = 6;
/// Periods in which the report of a crash spreads, for each digit of the fleet's size.
const DISSEMINATION_PERIODS_PER_DIGIT: u64 = 3;

/// Settings of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of gateways in the fleet's list, this one included; determines suspicion and dissemination.
    pub fleet_size: u32,
    /// The protocol period: one member is pinged in each.
    pub protocol_period: Milliseconds,
    /// How long to wait for an ack before other members are asked to ping; after as long again a third ping is sent.
    pub ping_timeout: Milliseconds,
    /// How many members are asked to ping indirectly.
    pub indirect_pings: usize,
    /// A pause of a process this long must end in suspicion and refutation, not in a verdict.
    pub max_stall: Milliseconds,
    /// How long a suspect member stays suspect before it is declared down: at least `4 * max(1, log10 fleet_size)`
    /// periods, and at least `max_stall` plus three periods.
    pub suspicion: Milliseconds,
    /// The interval at which one member that is not alive in the view is sent a join: this heals partitions and finds
    /// restarted members.
    pub rejoin_interval: Milliseconds,
    /// The interval at which updates are sent to `gossip_fanout` members, besides those carried on pings.
    pub gossip_interval: Milliseconds,
    /// How many members each gossip goes to.
    pub gossip_fanout: usize,
    /// How often each member transmits a change, for each digit of the fleet's size.
    pub transmissions_per_digit: u8,
}

/// Why settings do not pass [`Settings::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The setting, by the name that operators know.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: SettingsErrorReason,
}

/// What is wrong with the value of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsErrorReason {
    /// The value is zero.
    #[error("must be greater than zero")]
    Zero,
    /// The ping timeout is not shorter than the protocol period.
    #[error("must be shorter than probe_period_ms, or probes overlap")]
    TimeoutNotShorterThanPeriod,
    /// The gossip interval is longer than the rejoin interval.
    #[error("must not be longer than rejoin_ms, to which joins back off")]
    GossipLongerThanRejoin,
    /// The suspicion time does not outlast a stall.
    #[error("must be longer than stall_ms, or a stall is taken for death")]
    SuspicionNotLongerThanStall,
}

impl Settings {
    /// Settings for a fleet of this many gateways, with a protocol period of one second that survive stalls up to 2 s.
    #[must_use]
    pub fn for_fleet(fleet_size: u32) -> Self {
        let protocol_period = Milliseconds(1_000);
        let max_stall = Milliseconds(2_000);
        let log = f64::from(fleet_size.max(1)).log10().max(1.0);
        // Rounded to whole milliseconds; log10 of a u32 is at most 9.7, so the product is small and finite.
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

    /// Settings with this protocol period, every other time scaled with it, that survive stalls up to `max_stall`.
    #[must_use]
    pub fn paced(fleet_size: u32, protocol_period: Milliseconds, max_stall: Milliseconds) -> Self {
        let defaults = Self::for_fleet(fleet_size);
        let scale = |length: Milliseconds| {
            length.saturating_mul(protocol_period.0) / defaults.protocol_period.0
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
    /// A setting is zero, or two times are not in the order that they must have: the first such setting found.
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

    /// The time within which every running member has seen a crash:
    /// `suspicion + (6 + 3 * digits(fleet_size)) * protocol_period`.
    ///
    /// Some member pings the crashed one within five periods (each member misses it with a chance of `1/e` in a period,
    /// all together for longer in one of 150 runs), and its first round takes one. Then the suspicion runs out, and the
    /// report spreads in steps that grow with log10 of the fleet's size, each with the period in which a member pings
    /// for itself. Tests and measurements hold the core to this bound.
    #[must_use]
    pub fn detection_bound(&self) -> Milliseconds {
        let dissemination_periods = DISSEMINATION_PERIODS_PER_DIGIT * u64::from(self.digits());
        let periods = DETECTION_PERIODS + dissemination_periods;
        self.suspicion + self.protocol_period * periods
    }

    /// The time within which the two sides of a healed partition come to one view: every
    /// `rejoin_interval` a join is sent to a member that is not alive, and its answer then spreads as the report of a
    /// crash does.
    #[must_use]
    pub fn heal_bound(&self) -> Milliseconds {
        self.rejoin_interval * 4 + self.protocol_period * 5
    }

    /// How many rounds in a row without an answer, after the first, declare a suspect member down; one round takes a
    /// period.
    #[must_use]
    pub fn suspicion_rounds(&self) -> u32 {
        let rounds = self.suspicion.0.div_ceil(self.protocol_period.0.max(1));
        u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// How often a member transmits a change: `transmissions_per_digit` for each digit of the fleet's size, so that a
    /// change reaches all members of a larger fleet as surely.
    #[must_use]
    pub fn max_transmissions(&self) -> u32 {
        u32::from(self.transmissions_per_digit.max(1)) * self.digits()
    }

    /// The number of decimal digits of the fleet's size.
    fn digits(&self) -> u32 {
        self.fleet_size.max(1).ilog10() + 1
    }
}
