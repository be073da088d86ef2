//! The state of one site as the planner judges it: up, lost or recovering, and how far its recovery
//! ramp has advanced.

use crate::{Settings, SiteState};
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// What the load reports of all gateways say about a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteObservation {
    /// The site's hosts that gateways observed lately. Each gateway counts its own observations, so
    /// this is a sum over gateways.
    pub hosts: u32,
    /// Of those, the silent ones.
    pub silent_hosts: u32,
    /// What the site's hosts bear when warm, in requests per second.
    pub capacity_per_s: f64,
    /// The site's own load, in requests per second: what arrives at the site's gateways, wherever
    /// it is served now.
    pub load_per_s: f64,
    /// The share of the requests sent to the site that its hosts answered, 0 to 1.
    pub answered_share: f64,
}

impl SiteObservation {
    /// A site of which nothing has been reported yet.
    const NONE: Self = Self {
        hosts: 0,
        silent_hosts: 0,
        capacity_per_s: 0.0,
        load_per_s: 0.0,
        answered_share: 1.0,
    };

    /// The share of the hosts that are silent; 0 where no host was reported.
    fn silent_share(&self) -> f64 {
        if self.hosts == 0 {
            0.0
        } else {
            f64::from(self.silent_hosts) / f64::from(self.hosts)
        }
    }
}

/// A change of state that the observations call for.
struct Transition {
    to: SiteState,
    /// How long the observations have to call for it.
    after: Milliseconds,
}

/// Tracks the state of one site.
#[derive(Debug, Clone)]
pub struct SiteTracker {
    state: SiteState,
    /// Since when the observations have called for another state.
    transition_pending_since: Option<Timestamp>,
    /// How far the recovery ramp has advanced.
    ramp_progress: Milliseconds,
    observation: SiteObservation,
}

impl SiteTracker {
    /// A site that is up and has not been observed.
    pub const fn new() -> Self {
        Self {
            state: SiteState::Up,
            transition_pending_since: None,
            ramp_progress: Milliseconds::ZERO,
            observation: SiteObservation::NONE,
        }
    }

    /// The state of the site.
    pub const fn state(&self) -> SiteState {
        self.state
    }

    /// Whether the site serves normally.
    pub fn is_up(&self) -> bool {
        self.state == SiteState::Up
    }

    /// The site's own load, in requests per second.
    pub const fn load_per_s(&self) -> f64 {
        self.observation.load_per_s
    }

    /// Takes the state over from the plan of another planner. A plan does not carry how far the
    /// ramp has advanced, so a ramp starts over: sending too little load to a cold site is the safe
    /// side.
    pub fn resume(&mut self, state: SiteState) {
        self.state = state;
        self.ramp_progress = Milliseconds::ZERO;
    }

    /// Records an observation made `elapsed` after the one before. Returns the new state if the
    /// state changed.
    pub fn observe(
        &mut self,
        now: Timestamp,
        elapsed: Milliseconds,
        observation: SiteObservation,
        settings: &Settings,
    ) -> Option<SiteState> {
        self.observation = observation;
        self.confirm_transition(now, settings)
            .or_else(|| self.advance_ramp(elapsed, settings))
    }

    /// Changes the state once the observations have called for another one long enough.
    fn confirm_transition(&mut self, now: Timestamp, settings: &Settings) -> Option<SiteState> {
        let Some(transition) = self.indicated_transition(settings) else {
            self.transition_pending_since = None;
            return None;
        };
        let pending_since = *self.transition_pending_since.get_or_insert(now);
        if now < pending_since.saturating_add(transition.after) {
            return None;
        }
        self.state = transition.to;
        self.transition_pending_since = None;
        self.ramp_progress = Milliseconds::ZERO;
        Some(transition.to)
    }

    /// The transition that the latest observation calls for.
    fn indicated_transition(&self, settings: &Settings) -> Option<Transition> {
        let silent_share = self.observation.silent_share();
        match self.state {
            SiteState::Up | SiteState::Recovering if silent_share >= settings.lost_host_share => {
                Some(Transition {
                    to: SiteState::Lost,
                    after: settings.lost_after,
                })
            }
            SiteState::Lost if silent_share < settings.lost_host_share / 2.0 => Some(Transition {
                to: SiteState::Recovering,
                after: settings.recovering_after,
            }),
            SiteState::Up | SiteState::Recovering | SiteState::Lost => None,
        }
    }

    /// Advances the recovery ramp; at its end the site is up. The ramp advances only while the site
    /// answers what it is sent, and not while the observations call for it to be lost again.
    fn advance_ramp(&mut self, elapsed: Milliseconds, settings: &Settings) -> Option<SiteState> {
        let recovering = self.state == SiteState::Recovering;
        let answers = self.observation.answered_share >= settings.recovery_min_answered_share;
        if !recovering || !answers || self.transition_pending_since.is_some() {
            return None;
        }
        let progress = self.ramp_progress + elapsed;
        self.ramp_progress = progress.min(settings.recovery_ramp_duration);
        if self.ramp_progress < settings.recovery_ramp_duration {
            return None;
        }
        self.state = SiteState::Up;
        Some(SiteState::Up)
    }

    /// The share of their usual reads that the site's hosts take.
    pub fn recovery_ramp(&self, settings: &Settings) -> f64 {
        let start = settings.recovery_ramp_start;
        match self.state {
            SiteState::Up => 1.0,
            // Hosts that are back before the planner has seen them begin at the start of the ramp,
            // too.
            SiteState::Lost => start,
            SiteState::Recovering => {
                let progress_ms = self.ramp_progress.0 as f64;
                let duration_ms = settings.recovery_ramp_duration.0 as f64;
                start + (1.0 - start) * progress_ms / duration_ms
            }
        }
    }

    /// The load that all gateways together may send to the site, in requests per second; none while
    /// it is lost.
    pub fn budget_per_s(&self, settings: &Settings) -> f64 {
        let ramp = if self.state == SiteState::Lost {
            0.0
        } else {
            self.recovery_ramp(settings)
        };
        (self.observation.capacity_per_s * settings.capacity_share * ramp).max(0.0)
    }
}
