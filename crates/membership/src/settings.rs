//! The timings of membership, derived from the size of the fleet.
//!
//! Defaults follow SWIM as memberlist's LAN profile sets it, with a suspicion that has a floor of three probe periods
//! beyond the longest stall that must not count as death (`stall_ms`), so a process paused for that long is suspected
//! and answers, rather than being declared down. Suspicion is counted in asks without an answer, one a period, and not
//! in time: a process that was paused itself has asked nobody meanwhile.

/// Settings of one member. All times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways in the fleet's list, this one included; sets suspicion and dissemination.
    pub fleet: u32,
    /// One member is probed each period.
    pub probe_period_ms: u64,
    /// Wait for a direct ack before asking others to probe; as long again, and the member is pinged a third time.
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
    /// How often each member passes on a change it learnt, for each digit of the fleet's size.
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
            transmissions: 8,
        }
    }

    /// Settings with a probe each so many milliseconds, every time scaled with it, and stalls up to `stall_ms` survived.
    #[must_use]
    pub fn paced(fleet: u32, probe_period_ms: u64, stall_ms: u64) -> Self {
        let s = Self::for_fleet(fleet);
        let scale = |ms: u64| ms.saturating_mul(probe_period_ms) / s.probe_period_ms;
        let outlasts = stall_ms.saturating_add(probe_period_ms.saturating_mul(3));
        Self {
            probe_rtt_ms: scale(s.probe_rtt_ms).max(1),
            gossip_ms: scale(s.gossip_ms).max(1),
            rejoin_ms: scale(s.rejoin_ms).max(1),
            suspicion_ms: scale(s.suspicion_ms).max(outlasts),
            probe_period_ms,
            stall_ms,
            ..s
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
            return Err(
                "probe_rtt_ms: must be shorter than probe_period_ms, or probes overlap".into(),
            );
        }
        if self.gossip_ms > self.rejoin_ms {
            return Err(
                "gossip_ms: must not be longer than rejoin_ms, to which joins back off".into(),
            );
        }
        if self.suspicion_ms <= self.stall_ms {
            return Err(
                "suspicion_ms: must be longer than stall_ms, or a stall is taken for death".into(),
            );
        }
        Ok(())
    }

    /// The bound within which every running member has seen a crash: some member probes the crashed one within five
    /// periods (each misses it with a chance of `1/e` a period, all together in one of 150 runs for longer), its first
    /// ask takes one, then the suspicion runs out, and the word goes round in steps that grow with log10 of the fleet,
    /// each with the period in which a member asks for itself:
    /// `suspicion_ms + (6 + 3 * digits(fleet)) * probe_period_ms`. Tests and measurements hold the core to it.
    #[must_use]
    pub fn detection_bound_ms(&self) -> u64 {
        let spread = 6 + 3 * u64::from(self.fleet.max(1).ilog10() + 1);
        self.suspicion_ms + spread * self.probe_period_ms
    }

    /// The bound within which a healed partition comes to one view: a rejoin is tried every `rejoin_ms` towards a
    /// member not alive, and the news then spreads as a crash's does.
    #[must_use]
    pub const fn heal_bound_ms(&self) -> u64 {
        4 * self.rejoin_ms + 5 * self.probe_period_ms
    }

    /// Asks in a row without an answer, after the first, that make a suspect down: one a period.
    #[must_use]
    pub fn rounds(&self) -> u32 {
        u32::try_from(self.suspicion_ms.div_ceil(self.probe_period_ms.max(1))).unwrap_or(u32::MAX)
    }

    /// How often a member passes on what it learnt: `transmissions` for each digit of the fleet, so that the word of a
    /// change reaches all members of a larger fleet as surely.
    #[must_use]
    pub fn tellings(&self) -> u32 {
        u32::from(self.transmissions.max(1)) * (self.fleet.max(1).ilog10() + 1)
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
