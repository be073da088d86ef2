//! The making of plans, by the one gateway whose duty it is.

use crate::{Millis, Plan, Settings, SitePlan};

/// How a site stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// As usual.
    Up,
    /// Its hosts are silent.
    Lost,
    /// They are back, and led in along the ramp.
    Returning,
}

/// What the fleet's findings say of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SiteSeen {
    /// Its hosts.
    pub hosts: u32,
    /// Of those, the silent ones.
    pub silent: u32,
    /// What its hosts bear when warm, a second.
    pub capacity: f64,
    /// What comes for it, a second: what its own gateways and clients send, wherever that goes now.
    pub load: f64,
    /// Part of what it was sent that it answered.
    pub answered: f64,
}

#[derive(Debug, Clone)]
struct Site {
    state: State,
    /// Since when what is seen speaks for another state.
    doubt: Option<Millis>,
    /// How far its return has come, in milliseconds in which it answered.
    ramp: u64,
    seen: SiteSeen,
}

/// Decides how each site stands, and makes plans.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    sites: Vec<Site>,
    last: Option<Millis>,
    number: u32,
}

impl Planner {
    /// All sites up, and nothing seen.
    ///
    /// # Errors
    /// The settings do not pass their check.
    pub fn new(settings: Settings) -> Result<Self, String> {
        settings.check()?;
        let none = SiteSeen {
            hosts: 0,
            silent: 0,
            capacity: 0.0,
            load: 0.0,
            answered: 1.0,
        };
        let site = Site {
            state: State::Up,
            doubt: None,
            ramp: 0,
            seen: none,
        };
        let sites = vec![site; settings.prefer.len()];
        Ok(Self {
            settings,
            sites,
            last: None,
            number: 0,
        })
    }

    /// Goes on from a plan that another gateway made: a duty that changes hands must not begin every ramp again, nor take a
    /// returning site for a warm one.
    pub fn resume(&mut self, plan: &Plan) {
        for (site, told) in self.sites.iter_mut().zip(&plan.sites) {
            site.state = told.state;
            // What of the ramp is done is not told; from its beginning is the safe side.
            site.ramp = 0;
        }
    }

    /// How a site stands.
    #[must_use]
    pub fn state(&self, site: usize) -> Option<State> {
        self.sites.get(site).map(|s| s.state)
    }

    /// What is seen of each site now. Returns the sites whose state changed.
    pub fn observe(&mut self, now: Millis, seen: &[SiteSeen]) -> Vec<(usize, State)> {
        let passed = self.last.map_or(0, |last| now.saturating_sub(last));
        self.last = Some(now);
        let s = &self.settings;
        let mut changed = Vec::new();
        for (n, (site, seen)) in self.sites.iter_mut().zip(seen).enumerate() {
            site.seen = *seen;
            let silent = if seen.hosts == 0 {
                0.0
            } else {
                f64::from(seen.silent) / f64::from(seen.hosts)
            };
            let (wanted, after) = match site.state {
                State::Up | State::Returning if silent >= s.lost_part => {
                    (State::Lost, s.lost_after_ms)
                }
                State::Lost if silent < s.lost_part / 2.0 => (State::Returning, s.back_after_ms),
                same => (same, 0),
            };
            if wanted == site.state {
                site.doubt = None;
            } else if now >= site.doubt.get_or_insert(now).saturating_add(after) {
                (site.state, site.doubt, site.ramp) = (wanted, None, 0);
                changed.push((n, wanted));
                continue;
            }
            // The ramp goes on only while what is sent is answered, and not while the site may be lost again.
            if site.state == State::Returning
                && seen.answered >= s.ramp_answers
                && site.doubt.is_none()
            {
                site.ramp = (site.ramp + passed).min(s.ramp_ms);
                if site.ramp == s.ramp_ms {
                    site.state = State::Up;
                    changed.push((n, State::Up));
                }
            }
        }
        changed
    }

    /// The part of its usual reads that a site gets.
    fn ramp(&self, site: &Site) -> f64 {
        let s = &self.settings;
        match site.state {
            State::Up => 1.0,
            // Whoever comes back before that is seen is led in all the same.
            State::Lost => s.ramp_from,
            State::Returning => {
                s.ramp_from + (1.0 - s.ramp_from) * site.ramp as f64 / s.ramp_ms as f64
            }
        }
    }

    /// What may be sent to a site by all gateways together.
    fn budget(&self, site: &Site) -> f64 {
        let s = &self.settings;
        let part = if site.state == State::Lost {
            0.0
        } else {
            self.ramp(site)
        };
        (site.seen.capacity * s.budget * part).max(0.0)
    }

    /// The plan for what was last seen: `classes` are the rates of all classes over all sites, `gateways` how many share
    /// the budgets, `epoch` the token under which this gateway may plan.
    pub fn plan(&mut self, epoch: u64, classes: &[f64], gateways: u32) -> Plan {
        self.number = self.number.wrapping_add(1);
        let budgets: Vec<f64> = self.sites.iter().map(|s| self.budget(s)).collect();
        let usual = self.sites.iter().all(|s| s.state == State::Up);
        let mut left = budgets.clone();
        let mut goes = vec![vec![0.0; self.sites.len()]; self.sites.len()];
        // Each site keeps what it bears of its own load first; only then is room given to others.
        for (n, site) in self.sites.iter().enumerate() {
            let load = site.seen.load;
            if usual || load <= 0.0 {
                // Nothing is lost: a plan takes no part in what a busy day is.
                goes[n][n] = 1.0;
                continue;
            }
            let own = load.min(left[n]);
            goes[n][n] = own / load;
            left[n] -= own;
        }
        if !usual {
            for (n, goes) in goes.iter_mut().enumerate() {
                self.spread(n, goes, &mut left);
            }
        }
        let kept: f64 = self
            .sites
            .iter()
            .zip(&goes)
            .map(|(s, g)| s.seen.load * g.iter().sum::<f64>())
            .sum();
        let load: f64 = self.sites.iter().map(|s| s.seen.load).sum();
        let admitted = self.admitted(classes, if usual { 0.0 } else { (load - kept).max(0.0) });
        let sites = self.sites.iter().zip(budgets).zip(goes);
        Plan {
            epoch,
            number: self.number,
            gateways: gateways.max(1),
            sites: sites
                .map(|((s, budget), goes)| SitePlan {
                    budget,
                    state: s.state,
                    ramp: self.ramp(s),
                    goes,
                })
                .collect(),
            admitted,
            pause_ms: self.pause(),
        }
    }

    /// Sends what a site can't bear to the others, by preference, as far as they have room.
    fn spread(&self, from: usize, goes: &mut [f64], left: &mut [f64]) {
        let load = self.sites[from].seen.load;
        let mut rest = load * (1.0 - goes.iter().sum::<f64>());
        if load <= 0.0 || rest <= 0.0 {
            return;
        }
        let named = &self.settings.prefer[from];
        let others = (0..left.len()).filter(|o| *o != from && !named.contains(o));
        for to in named.iter().copied().chain(others) {
            let part = rest.min(left[to]);
            goes[to] += part / load;
            left[to] -= part;
            rest -= part;
        }
    }

    /// The part of each class that is admitted where so much has to be refused: all of the first class in the order before
    /// any of the second.
    fn admitted(&self, classes: &[f64], excess: f64) -> Vec<f64> {
        let mut admitted = vec![1.0; classes.len()];
        let mut rest = excess;
        for &class in &self.settings.refuse {
            let Some(&rate) = classes.get(class).filter(|&&r| r > 0.0) else {
                continue;
            };
            let cut = rest.min(rate);
            admitted[class] = 1.0 - cut / rate;
            rest -= cut;
        }
        admitted
    }

    /// Those that are refused come again when more can be served: soon while a site is led in, later while one is lost.
    fn pause(&self) -> u32 {
        let longest = self.settings.lost_after_ms.max(self.settings.back_after_ms);
        let lost = self.sites.iter().any(|s| s.state == State::Lost);
        u32::try_from(if lost { 2 * longest } else { longest }).unwrap_or(u32::MAX)
    }
}
