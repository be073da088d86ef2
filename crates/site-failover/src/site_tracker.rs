//! Tracker of the state of one site for the planner: whether the site is up, lost or recovering,
//! and the progress of its recovery ramp.

use crate::{Settings, SiteState};
use irisrouter_cluster_types::{Milliseconds, Timestamp};

/// Sums of the load reports of all gateways for one site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteObservation {
    /// Number of the site's hosts with a recent result, summed over all gateways: a host that two
    /// gateways observe counts twice.
    pub hosts: u32,
    /// Number of silent hosts among `hosts`, summed in the same way.
    pub silent_hosts: u32,
    /// Capacity of the site's hosts when none of them is in slow start, in requests per second.
    pub capacity_per_s: f64,
    /// The site's own load, in requests per second: the requests that arrive at the site's
    /// gateways, whichever site serves them.
    pub load_per_s: f64,
    /// Share of the requests sent to the site that its hosts answered, 0 to 1; 1 if none was sent.
    pub answered_share: f64,
}

impl SiteObservation {
    /// Observation of a site for which there is no report yet.
    const NONE: Self = Self {
        hosts: 0,
        silent_hosts: 0,
        capacity_per_s: 0.0,
        load_per_s: 0.0,
        answered_share: 1.0,
    };

    /// Returns the share of the hosts that are silent; 0 if no host was reported.
    fn silent_share(&self) -> f64 {
        if self.hosts == 0 {
            0.0
        } else {
            f64::from(self.silent_hosts) / f64::from(self.hosts)
        }
    }
}

/// Change of state that the latest observation indicates.
struct Transition {
    to: SiteState,
    /// Time for which the observations have to indicate the change before it takes place.
    after: Milliseconds,
}

/// Tracks the state of one site.
#[derive(Debug, Clone)]
pub struct SiteTracker {
    state: SiteState,
    /// Time since which the observations have indicated a change of state; `None` if they do not.
    transition_pending_since: Option<Timestamp>,
    /// Position on the recovery ramp, as time from its start, at most `recovery_ramp_duration`.
    /// The time during which the ramp did not advance is not included.
    ramp_progress: Milliseconds,
    observation: SiteObservation,
}

impl SiteTracker {
    /// Creates the tracker of a site that is up and has not been observed yet.
    pub const fn new() -> Self {
        Self {
            state: SiteState::Up,
            transition_pending_since: None,
            ramp_progress: Milliseconds::ZERO,
            observation: SiteObservation::NONE,
        }
    }

    /// Returns the state of the site.
    pub const fn state(&self) -> SiteState {
        self.state
    }

    /// Returns whether the site is up.
    pub fn is_up(&self) -> bool {
        self.state == SiteState::Up
    }

    /// Returns the site's own load, in requests per second.
    pub const fn load_per_s(&self) -> f64 {
        self.observation.load_per_s
    }

    /// Adopts the state from a plan of another planner. A recovery ramp starts over, because a plan
    /// does not carry the time from the start of the ramp, and too little load for a recovering
    /// site is safer than too much.
    pub fn resume(&mut self, state: SiteState) {
        self.state = state;
        self.ramp_progress = Milliseconds::ZERO;
    }

    /// Records an observation that was made `elapsed` after the previous one. Returns the new state
    /// if the state changed.
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

    /// Changes the state once the observations have indicated the change for the required time.
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

    /// Returns the transition that the latest observation indicates.
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
    /// answers at least `recovery_min_answered_share` of its requests, and not while the
    /// observations indicate that it is lost again.
    fn advance_ramp(&mut self, elapsed: Milliseconds, settings: &Settings) -> Option<SiteState> {
        let is_recovering = self.state == SiteState::Recovering;
        let answers_enough =
            self.observation.answered_share >= settings.recovery_min_answered_share;
        if !is_recovering || !answers_enough || self.transition_pending_since.is_some() {
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

    /// Returns the share of their usual reads that the site's hosts take, 0 to 1.
    pub fn recovery_ramp(&self, settings: &Settings) -> f64 {
        let start = settings.recovery_ramp_start;
        match self.state {
            SiteState::Up => 1.0,
            // Hosts that answer again before the planner has observed it also start at the
            // beginning of the ramp.
            SiteState::Lost => start,
            SiteState::Recovering => {
                let progress_ms = self.ramp_progress.0 as f64;
                let duration_ms = settings.recovery_ramp_duration.0 as f64;
                start + (1.0 - start) * progress_ms / duration_ms
            }
        }
    }

    /// Returns the maximum load that all gateways together may send to the site, in requests per
    /// second; 0 while the site is lost.
    pub fn budget_per_s(&self, settings: &Settings) -> f64 {
        let ramp = if self.state == SiteState::Lost {
            0.0
        } else {
            self.recovery_ramp(settings)
        };
        (self.observation.capacity_per_s * settings.capacity_share * ramp).max(0.0)
    }
}
