//! The loss of a whole site: where its load goes, what is refused first, and how its return is paced.
//!
//! One gateway makes the plan (a duty of `irisrouter-leases`, so there is one at a time, and its epoch orders plans): from
//! what the fleet's findings say of each site it decides which sites are lost or returning ([`Planner::observe`]), where a
//! lost site's load goes, and what has to be refused ([`Planner::plan`]). All gateways follow the latest plan that they
//! heard ([`Follower`]), also one that is cut off: it acts on the last agreed plan, not on its own guess, until that is too
//! old to be true.
//!
//! Rates are requests of mean work a second. No I/O, no clock; hands inputs to the decision module and decides no server.

#![forbid(unsafe_code)]

pub mod codec;
mod follower;
pub mod load_report;
mod planner;

pub use codec::recognizes;
pub use follower::Follower;
pub use planner::{Planner, SiteSeen, State};

/// Milliseconds on the caller's monotonic clock.
pub type Millis = u64;

/// The planning's number as a duty: beyond any set's that a platform gives out.
pub const TASK_ID: u64 = 0x5349_5445_0000_0000;

/// Sites and classes that a plan speaks of, at most: it fits one datagram.
pub const MOST_SITES: usize = 8;
/// Likewise.
pub const MOST_CLASSES: usize = 16;

/// What operators set.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// For each site, the sites that take its load, in order; those that are not named come last, in theirs.
    pub prefer: Vec<Vec<usize>>,
    /// Classes in the order in which they are refused; those that are not named are never refused by a plan.
    pub refuse: Vec<usize>,
    /// Part of a site's capacity that a plan gives out, 0 to 1: the rest is for what is not foreseen.
    pub budget: f64,
    /// A site is lost once this part of its hosts has been silent for `lost_after_ms`.
    pub lost_part: f64,
    /// See there.
    pub lost_after_ms: u64,
    /// It returns once fewer than half of that part have been silent for so long: no flapping between the two.
    pub back_after_ms: u64,
    /// A returning site begins with this part of its budget.
    pub ramp_from: f64,
    /// And has all of it after so long in which its hosts answered.
    pub ramp_ms: u64,
    /// Part of what a returning site is sent that it has to answer for its ramp to go on.
    pub ramp_answers: f64,
    /// A plan is followed for so long without word of it; then as if there were none.
    pub stale_ms: u64,
}

impl Settings {
    /// For so many sites, with the platform's figures for cold hosts (0.15 of their capacity, 14 s).
    #[must_use]
    pub fn for_sites(sites: usize) -> Self {
        Self {
            prefer: vec![Vec::new(); sites],
            refuse: Vec::new(),
            budget: 0.85,
            lost_part: 0.6,
            lost_after_ms: 1_000,
            back_after_ms: 1_000,
            ramp_from: 0.15,
            ramp_ms: 14_000,
            ramp_answers: 0.9,
            stale_ms: 60_000,
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The field, with the reason.
    pub fn check(&self) -> Result<(), String> {
        let sites = self.prefer.len();
        if sites == 0 || sites > MOST_SITES {
            return Err(format!("prefer: 1 to {MOST_SITES} sites, not {sites}"));
        }
        for (site, others) in self.prefer.iter().enumerate() {
            if others.iter().any(|&o| o >= sites || o == site) {
                return Err(format!(
                    "prefer: site {site} names itself, or one that is not there"
                ));
            }
        }
        if let Some(class) = self.refuse.iter().find(|&&c| c >= MOST_CLASSES) {
            return Err(format!("refuse: class {class} is beyond {MOST_CLASSES}"));
        }
        let parts = [
            ("budget", self.budget),
            ("lost_part", self.lost_part),
            ("ramp_from", self.ramp_from),
            ("ramp_answers", self.ramp_answers),
        ];
        match parts
            .iter()
            .find(|(_, part)| !(*part > 0.0 && *part <= 1.0))
        {
            Some((name, _)) => Err(format!("{name}: over 0, at most 1")),
            None if self.ramp_ms == 0 => Err("ramp_ms: must be greater than zero".into()),
            None => Ok(()),
        }
    }
}

/// What a plan says of one site.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePlan {
    /// What may be sent to it by all gateways together, a second.
    pub budget: f64,
    /// How it stands.
    pub state: State,
    /// The part of its usual reads that its hosts get, 0 to 1: all while it is up, the beginning of its ramp while it is lost.
    pub ramp: f64,
    /// Where its own load goes: a part for each site, itself included; together at most 1, and what lacks is refused.
    pub goes: Vec<f64>,
}

/// A plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Later plans win: the fencing epoch of the duty under which it was made.
    pub epoch: u64,
    /// And its number under that epoch.
    pub number: u32,
    /// Gateways that share the budgets.
    pub gateways: u32,
    /// By site.
    pub sites: Vec<SitePlan>,
    /// By class: the part that is admitted, 0 to 1.
    pub admitted: Vec<f64>,
    /// Refused clients are told to come again after this and up to twice as long, spread by chance.
    pub pause_ms: u32,
}

impl Plan {
    /// Some site is not as usual, or something is refused: the plan has to be followed.
    #[must_use]
    pub fn in_force(&self) -> bool {
        self.sites.iter().any(|s| s.state != State::Up) || self.admitted.iter().any(|&a| a < 1.0)
    }
}
