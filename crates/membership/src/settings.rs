//! The timings of membership, derived from the size of the fleet.
//!
//! Defaults follow SWIM as memberlist's LAN profile sets it (through foca's `Config::new_lan`), with two changes for
//! gateways: datagrams are at most 256 bytes (the platform's bound), and the suspicion timeout has a floor of three
//! probe periods beyond the longest stall that must not count as death (`stall_ms`), so a process paused for that long
//! is suspected and refutes, rather than being declared down.

use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The platform's longest datagram between gateways, in bytes.
pub const DATAGRAM: usize = 256;

/// Settings of one member. All times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways in the fleet's list, this one included; sets suspicion and dissemination.
    pub fleet: u32,
    /// One member is probed each period.
    pub probe_period_ms: u64,
    /// Wait for a direct ack before asking others to probe.
    pub probe_rtt_ms: u64,
    /// How many peers are asked to probe indirectly.
    pub indirect_probes: usize,
    /// A pause of a process this long must end in suspicion and refutation, not death.
    pub stall_ms: u64,
    /// How long a suspect stays suspect before it is declared down: at least `4 * max(1, log10 fleet)` periods, and
    /// at least `stall_ms` plus three periods.
    pub suspicion_ms: u64,
    /// Every this often, one peer that is not alive in the view is announced to: heals partitions and rejoins
    /// restarted peers.
    pub rejoin_ms: u64,
    /// Every this often, updates are gossiped to `gossip_fanout` members besides those carried on probes.
    pub gossip_ms: u64,
    /// Members a gossip round reaches.
    pub gossip_fanout: usize,
    /// How often each member passes on an update it learnt, at least.
    pub transmissions: u8,
}

impl Settings {
    /// Settings for a fleet of `fleet` gateways, with a probe each second and stalls up to 2 s survived.
    #[must_use]
    pub fn for_fleet(fleet: u32) -> Self {
        let probe_period_ms = 1_000;
        let stall_ms = 2_000;
        let log = f64::from(fleet.max(1)).log10().max(1.0);
        // Rounded to whole milliseconds; log10 of a u32 is at most 9.7, so the product is small and finite.
        let by_size = (4.0 * log * probe_period_ms as f64).round() as u64;
        Self {
            fleet: fleet.max(1),
            probe_period_ms,
            probe_rtt_ms: 300,
            indirect_probes: 3,
            stall_ms,
            suspicion_ms: by_size.max(stall_ms + 3 * probe_period_ms),
            rejoin_ms: 2_000,
            gossip_ms: 200,
            gossip_fanout: 3,
            transmissions: 4,
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// A field that is zero, or a round trip not shorter than the probe period, with the field's name and the reason.
    pub fn check(&self) -> Result<(), String> {
        let positive = [
            ("fleet", u64::from(self.fleet)),
            ("probe_period_ms", self.probe_period_ms),
            ("probe_rtt_ms", self.probe_rtt_ms),
            ("indirect_probes", self.indirect_probes as u64),
            ("suspicion_ms", self.suspicion_ms),
            ("rejoin_ms", self.rejoin_ms),
            ("gossip_ms", self.gossip_ms),
            ("gossip_fanout", self.gossip_fanout as u64),
        ];
        if let Some((name, _)) = positive.iter().find(|(_, v)| *v == 0) {
            return Err(format!("{name}: must be greater than zero"));
        }
        if self.probe_rtt_ms >= self.probe_period_ms {
            return Err("probe_rtt_ms: must be shorter than probe_period_ms, or probes overlap".into());
        }
        if self.suspicion_ms <= self.stall_ms {
            return Err("suspicion_ms: must be longer than stall_ms, or a stall is taken for death".into());
        }
        Ok(())
    }

    /// The bound within which every running member has seen a crash: the crashed member is probed by one of the
    /// others within a few periods, indirect probes take one more, then the suspicion runs out and the news spreads by
    /// gossip in rounds that grow with log10 of the fleet: `suspicion_ms + (4 + 2 * digits(fleet)) * probe_period_ms`.
    /// Tests and measurements hold the core to it (measured most: 9.6 s of 11 at 5, 11.4 of 14.8 at 50, 15.6 of 19.9
    /// at 300).
    #[must_use]
    pub fn detection_bound_ms(&self) -> u64 {
        let spread = 4 + 2 * u64::from(self.fleet.max(1).ilog10() + 1);
        self.suspicion_ms + spread * self.probe_period_ms
    }

    /// The bound within which a healed partition comes to one view: a rejoin is tried every `rejoin_ms` towards a
    /// member not alive, and the news then spreads as a crash's does.
    #[must_use]
    pub const fn heal_bound_ms(&self) -> u64 {
        4 * self.rejoin_ms + 5 * self.probe_period_ms
    }

    /// Foca's configuration for these settings.
    pub(crate) fn foca(&self) -> Config {
        let size = NonZeroU32::new(self.fleet).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(size);
        config.probe_period = Duration::from_millis(self.probe_period_ms);
        config.probe_rtt = Duration::from_millis(self.probe_rtt_ms);
        config.num_indirect_probes = NonZeroUsize::new(self.indirect_probes).unwrap_or(NonZeroUsize::MIN);
        config.suspect_to_down_after = Duration::from_millis(self.suspicion_ms);
        config.max_packet_size = NonZeroUsize::new(DATAGRAM).unwrap_or(NonZeroUsize::MIN);
        // Down members are kept long enough for a healed partition to be told of them again.
        config.remove_down_after = Some(Duration::from_secs(120));
        config.max_transmissions =
            config.max_transmissions.max(NonZeroU8::new(self.transmissions).unwrap_or(NonZeroU8::MIN));
        config.periodic_gossip = Some(PeriodicParams {
            frequency: Duration::from_millis(self.gossip_ms),
            num_members: NonZeroUsize::new(self.gossip_fanout).unwrap_or(NonZeroUsize::MIN),
        });
        config.periodic_announce =
            Some(PeriodicParams { frequency: Duration::from_secs(10), num_members: NonZeroUsize::MIN });
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            frequency: Duration::from_millis(self.rejoin_ms * 2),
            num_members: NonZeroUsize::MIN.saturating_add(1),
        });
        config
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suspicion_grows_with_the_log_of_the_fleet_and_outlasts_a_stall() {
        let small = Settings::for_fleet(5);
        let large = Settings::for_fleet(300);
        assert_eq!(small.suspicion_ms, 5_000);
        assert_eq!(large.suspicion_ms, 9_908);
        assert!(small.check().is_ok() && large.check().is_ok());
        let mut bad = small.clone();
        bad.suspicion_ms = bad.stall_ms;
        assert!(bad.check().unwrap_err().starts_with("suspicion_ms"));
    }
}
