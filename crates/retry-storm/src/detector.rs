//! Whether a storm is on, for one set or over all: from the tries that come and what becomes of them.
//!
//! Counts fade with time, so that a look costs nothing and no second is special. A storm begins above one mark and ends
//! below a lower one after a while: what hovers between the two changes nothing.

use crate::{Ns, SECOND};

/// Half of what was counted is forgotten in this time.
const HALF_LIFE: Ns = SECOND;
/// A storm begins where repeats are this part of all tries ...
const BEGINS: f64 = 0.2;
/// ... and ends where they are less than this one ...
const ENDS: f64 = 0.07;
/// ... for so long.
const CALM_FOR: Ns = 2 * SECOND;
/// Fewer tries than this, faded, say nothing.
const LEAST: f64 = 8.0;
/// Repeats at which a storm has its full strength, as a part of all tries.
const FULL: f64 = 0.6;
/// A set that is this many times slower than usual is slowed down.
const SLOWED: f64 = 1.6;

/// A count that fades.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faded {
    value: f64,
    at: Ns,
}

impl Faded {
    /// One more, or more.
    pub fn add(&mut self, now: Ns, n: f64) {
        self.value = self.at(now) + n;
        self.at = self.at.max(now);
    }

    /// What is left of it. A clock that goes back changes nothing.
    pub fn at(&self, now: Ns) -> f64 {
        let age = (now - self.at).max(0) as f64 / HALF_LIFE as f64;
        self.value * (-age * std::f64::consts::LN_2).exp()
    }
}

/// Why clients try again, as far as it can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Nothing shows.
    Unknown,
    /// This gateway has just started, and sees what others were sent before.
    Restart,
    /// Every host is slower: all look guilty, and none is.
    Slowdown,
    /// Hosts have come back cold.
    ColdReturn,
    /// The primary says nothing, or there is none.
    SilentPrimary,
}

impl Cause {
    /// Its name, in the log and on the console.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Unknown => "unknown",
            Cause::Restart => "restart",
            Cause::Slowdown => "slowdown",
            Cause::ColdReturn => "cold-return",
            Cause::SilentPrimary => "silent-primary",
        }
    }
}

/// What is known of a set beside its tries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signs {
    /// It has no primary that speaks.
    pub no_primary: bool,
    /// Members that have started and are not warm.
    pub cold: u32,
    /// How many times slower than usual its members answer.
    pub slower: f64,
    /// Since this gateway's start.
    pub up_for: Ns,
}

/// A change, which is told once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A storm begins.
    Began {
        /// Why.
        cause: Cause,
        /// From 0 to 1.
        strength: f64,
    },
    /// It goes on for another reason.
    Turned {
        /// The new one.
        cause: Cause,
    },
    /// It is over.
    Ended {
        /// How long it was.
        lasted: Ns,
        /// Its highest strength.
        peak: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Storm {
    since: Ns,
    cause: Cause,
    peak: f64,
    /// Since when it has been under the lower mark.
    calm_since: Option<Ns>,
}

/// Watches the tries of one set, or of all.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    first: Faded,
    repeats: Faded,
    early: Faded,
    connects: Faded,
    storm: Option<Storm>,
}

impl Detector {
    /// A try comes: a repeat, marked or recognised, or a first one; before the moment that was told, or not.
    pub fn tried(&mut self, now: Ns, repeat: bool, early: bool) {
        (if repeat {
            &mut self.repeats
        } else {
            &mut self.first
        })
        .add(now, 1.0);
        if early {
            self.early.add(now, 1.0);
        }
    }

    /// A client connects.
    pub fn connected(&mut self, now: Ns) {
        self.connects.add(now, 1.0);
    }

    /// Repeats as a part of all tries lately; nothing where there were too few to tell.
    pub fn repeats(&self, now: Ns) -> Option<f64> {
        let (first, repeats) = (self.first.at(now), self.repeats.at(now));
        (first + repeats >= LEAST).then(|| repeats / (first + repeats))
    }

    /// Connects for each try lately.
    pub fn connects(&self, now: Ns) -> f64 {
        self.connects.at(now) / (self.first.at(now) + self.repeats.at(now)).max(1.0)
    }

    /// Repeats that come early, as a part of the repeats.
    pub fn early(&self, now: Ns) -> f64 {
        self.early.at(now) / self.repeats.at(now).max(1.0)
    }

    /// How strong the storm is, from 0 for none to 1.
    pub fn strength(&self, now: Ns) -> f64 {
        match (&self.storm, self.repeats(now)) {
            (Some(_), Some(part)) => (part / FULL).clamp(0.05, 1.0),
            (Some(_), None) => 0.05,
            (None, _) => 0.0,
        }
    }

    /// A storm is on.
    pub fn on(&self) -> bool {
        self.storm.is_some()
    }

    /// Why, and since when.
    pub fn storm(&self) -> Option<(Cause, Ns)> {
        self.storm.as_ref().map(|s| (s.cause, s.since))
    }

    /// Looks at what has come, and says what has changed.
    pub fn look(&mut self, now: Ns, signs: &Signs) -> Option<Change> {
        let part = self.repeats(now);
        let cause = cause(signs);
        let strength = part.map_or(0.0, |p| (p / FULL).clamp(0.0, 1.0));
        match &mut self.storm {
            None => {
                part.filter(|p| *p >= BEGINS)?;
                self.storm = Some(Storm {
                    since: now,
                    cause,
                    peak: strength,
                    calm_since: None,
                });
                Some(Change::Began { cause, strength })
            }
            Some(s) => {
                s.peak = s.peak.max(strength);
                if part.unwrap_or(0.0) >= ENDS {
                    s.calm_since = None;
                } else {
                    let since = *s.calm_since.get_or_insert(now);
                    if now - since >= CALM_FOR {
                        let change = Change::Ended {
                            lasted: now - s.since,
                            peak: s.peak,
                        };
                        self.storm = None;
                        return Some(change);
                    }
                }
                // A cause once seen stays while nothing stronger shows: a primary that is back has left cold members.
                if cause > s.cause {
                    s.cause = cause;
                    return Some(Change::Turned { cause });
                }
                None
            }
        }
    }
}

fn cause(signs: &Signs) -> Cause {
    if signs.no_primary {
        Cause::SilentPrimary
    } else if signs.cold > 0 {
        Cause::ColdReturn
    } else if signs.slower >= SLOWED {
        Cause::Slowdown
    } else if signs.up_for < 3 * SECOND {
        Cause::Restart
    } else {
        Cause::Unknown
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MS;

    fn old() -> Signs {
        Signs {
            up_for: 60 * SECOND,
            ..Signs::default()
        }
    }

    /// So many tries a second for so long, every nth a repeat; looks each 50 ms.
    fn run(d: &mut Detector, from: Ns, long: Ns, nth: u64, signs: &Signs) -> Vec<(Ns, Change)> {
        let mut changes = Vec::new();
        let mut n = 0;
        for t in (from..from + long).step_by(5 * MS as usize) {
            n += 1;
            d.tried(t, nth > 0 && n % nth == 0, false);
            if n % 10 == 0 {
                changes.extend(d.look(t, signs).map(|c| (t, c)));
            }
        }
        changes
    }

    #[test]
    fn it_begins_names_its_cause_and_ends_once() {
        let mut d = Detector::default();
        assert!(
            run(&mut d, 0, 5 * SECOND, 20, &old()).is_empty(),
            "one in twenty is no storm"
        );
        let silent = Signs {
            no_primary: true,
            ..old()
        };
        let began = run(&mut d, 5 * SECOND, 3 * SECOND, 2, &silent);
        assert_eq!(began.len(), 1);
        assert!(
            matches!(began[0], (t, Change::Began { cause: Cause::SilentPrimary, .. }) if t < 6 * SECOND),
            "{began:?}"
        );
        assert!(d.strength(8 * SECOND) > 0.6);
        let ended = run(
            &mut d,
            8 * SECOND,
            10 * SECOND,
            0,
            &Signs { cold: 1, ..old() },
        );
        assert_eq!(ended.len(), 1);
        assert!(
            matches!(ended[0].1, Change::Ended { peak, .. } if peak > 0.6),
            "{ended:?}"
        );
        assert_eq!(d.strength(18 * SECOND), 0.0);
    }

    #[test]
    fn what_hovers_between_the_marks_does_not_flap() {
        let mut d = Detector::default();
        assert_eq!(run(&mut d, 0, 2 * SECOND, 3, &old()).len(), 1);
        let mut t = 2 * SECOND;
        for nth in [7, 12, 7, 12, 7, 12] {
            assert!(run(&mut d, t, SECOND, nth, &old()).is_empty(), "{nth}");
            t += SECOND;
        }
        assert!(d.on());
    }

    #[test]
    fn a_flood_of_first_tries_is_no_storm() {
        let mut d = Detector::default();
        for t in (0..5 * SECOND).step_by(MS as usize) {
            d.tried(t, false, false);
            assert_eq!(
                d.look(
                    t,
                    &Signs {
                        slower: 3.0,
                        ..old()
                    }
                ),
                None
            );
        }
    }

    #[test]
    fn causes_are_told_by_what_shows_and_a_stronger_one_takes_over() {
        let signs = |s: Signs| {
            cause(&Signs {
                up_for: 60 * SECOND,
                ..s
            })
        };
        assert_eq!(
            signs(Signs {
                cold: 2,
                slower: 2.0,
                ..old()
            }),
            Cause::ColdReturn
        );
        assert_eq!(
            signs(Signs {
                slower: 2.0,
                ..old()
            }),
            Cause::Slowdown
        );
        assert_eq!(cause(&Signs::default()), Cause::Restart);
        assert_eq!(signs(old()), Cause::Unknown);
        let mut d = Detector::default();
        run(
            &mut d,
            0,
            2 * SECOND,
            2,
            &Signs {
                slower: 2.0,
                ..old()
            },
        );
        let turned = run(
            &mut d,
            2 * SECOND,
            SECOND,
            2,
            &Signs {
                no_primary: true,
                ..old()
            },
        );
        assert!(
            matches!(
                turned[..],
                [(
                    _,
                    Change::Turned {
                        cause: Cause::SilentPrimary
                    }
                )]
            ),
            "{turned:?}"
        );
        let back = run(&mut d, 3 * SECOND, SECOND, 2, &Signs { cold: 1, ..old() });
        assert!(back.is_empty(), "it stays the same storm");
    }

    #[test]
    fn few_tries_say_nothing_and_a_clock_that_goes_back_changes_nothing() {
        let mut d = Detector::default();
        (0..5).for_each(|_| d.tried(SECOND, true, true));
        assert_eq!((d.repeats(SECOND), d.look(SECOND, &old())), (None, None));
        assert!((d.early(SECOND) - 1.0).abs() < 1e-9);
        let mut f = Faded::default();
        f.add(10 * SECOND, 4.0);
        f.add(5 * SECOND, 4.0);
        assert_eq!(f.at(10 * SECOND), 8.0);
        assert!((f.at(11 * SECOND) - 4.0).abs() < 1e-9);
    }
}
