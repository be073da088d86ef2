//! A small world for module tests: settings, members and a router driven by hand.
#![allow(dead_code)]

use irisrouter::api::*;
use irisrouter::decide::Router;

pub const MS: Ns = 1_000_000;
pub const S: Ns = 1_000 * MS;
pub const G: GroupId = GroupId(1);

/// Indices of the classes in `settings`.
pub const BOUNDED: usize = 0;
pub const SESSION: usize = 1;
pub const FRESH: usize = 2;
pub const ANY: usize = 3;
pub const WRITE: usize = 4;
pub const KEYED: usize = 5;

fn class(freshness: Freshness, repeat: Repeat, late_worth: f64) -> Class {
    Class {
        aim: 500 * MS,
        aim_stretch: 0.0,
        deadline: 2 * S,
        worth: 1.0,
        late_worth,
        repeat,
        freshness,
    }
}

pub fn settings(checks: ServerChecks) -> Settings {
    let keyed = Repeat::Keyed {
        scope: RepeatScope::Group,
        window: S,
    };
    Settings {
        seed: 7,
        proxies: 3,
        zone: ZoneId(0),
        tick: 5 * MS,
        classes: vec![
            class(Freshness::Bounded(300 * MS), Repeat::Safe, 0.0),
            class(Freshness::Session, Repeat::Safe, 0.0),
            class(Freshness::Fresh, Repeat::Safe, 0.0),
            class(Freshness::Any, Repeat::Safe, 0.0),
            class(Freshness::Write, Repeat::Unsafe, 0.5),
            class(Freshness::Write, keyed, 0.5),
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        probe_price: 0.01,
        limits: Limits {
            attempts: 6,
            probes: true,
            cancel: true,
            second_copies: true,
            pauses: true,
            max_pause: 2 * S,
            connect_timeout: 250 * MS,
        },
        rules: Rules {
            drain_grace: S,
            drain_binds_alone: false,
            cold_for: 15 * S,
            start_capacity: 0.2,
            overload_multiple: 4.0,
            overload_window: S,
        },
        checks,
        list_role: ListRole::None,
        positions_in_answers: checks != ServerChecks::None,
        marks_carried: true,
        reports: Reports::Probes,
        load_told: true,
        list_on_request: false,
    }
}

/// A router at a clock, with the ids it will hand out next.
pub struct World {
    pub router: Router,
    pub now: Ns,
    pub next: u64,
}

pub fn entry(member: u32, listed: Listed) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        group: G,
        zone: ZoneId(member % 2),
        listed,
        primary: false,
        size: 1.0,
        started: None,
    }
}

impl World {
    /// Members 0 (primary), 1 and 2 (replicas), their positions fresh.
    pub fn new(s: Settings) -> Self {
        let mut w = World {
            router: Router::new(s),
            now: 1_000 * S,
            next: 0,
        };
        let entries = (0..3).map(|m| entry(m, Listed::Ready)).collect();
        w.step(&[Event::List {
            complete: true,
            entries,
        }]);
        w.report(0, true, w.now);
        w.report(1, false, w.now);
        w.report(2, false, w.now);
        w
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        self.router.batch(self.now, events)
    }

    pub fn after(&mut self, time: Ns) -> Vec<Action> {
        self.now += time;
        self.step(&[Event::Wake])
    }

    /// Time passes in steps of 10 ms; all actions of it.
    pub fn pass(&mut self, time: Ns) -> Vec<Action> {
        (0..time / (10 * MS))
            .flat_map(|_| self.after(10 * MS))
            .collect()
    }

    pub fn report(&mut self, m: u32, primary: bool, position: Ns) -> Vec<Action> {
        let report = Report {
            position: Some(position),
            primary: Some(primary),
            inflight: Some(0.0),
            in_use: None,
        };
        let member = MemberId(m);
        self.step(&[Event::Probed {
            member,
            outcome: Outcome::Ok,
            elapsed: MS,
            report: Some(report),
        }])
    }

    pub fn request(&mut self, class: usize, mark_age: Option<Ns>) -> (RequestId, Event) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + 2 * S;
        let session = Some(SessionId(5));
        let e = Event::Request {
            id,
            class,
            tenant: None,
            session,
            deadline,
            work: None,
            group: G,
            mark_age,
            retry: false,
        };
        (id, e)
    }

    /// Brings a request in and returns the actions on it.
    pub fn ask(&mut self, class: usize, mark_age: Option<Ns>) -> (RequestId, Vec<Action>) {
        let (id, e) = self.request(class, mark_age);
        let out = self.step(&[e]);
        (id, out)
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        m: u32,
        outcome: Outcome,
        role: Role,
    ) -> Vec<Action> {
        let spoke = matches!(
            outcome,
            Outcome::Ok | Outcome::Miss | Outcome::Full | Outcome::Error
        );
        let note = spoke.then_some(Note {
            role,
            position: None,
        });
        self.step(&[Event::Ended {
            id,
            attempt,
            member: MemberId(m),
            outcome,
            elapsed: 50 * MS,
            finished: outcome == Outcome::Ok,
            note,
            report: None,
        }])
    }
}

/// The member that a request is sent to among these actions.
pub fn sent(id: RequestId, out: &[Action]) -> Option<u32> {
    out.iter().find_map(|a| match a {
        Action::Send { id: i, member, .. } if *i == id => Some(member.0),
        _ => None,
    })
}

pub fn refused(id: RequestId, out: &[Action]) -> bool {
    out.iter()
        .any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(id: RequestId, out: &[Action]) -> bool {
    out.contains(&Action::Fail { id })
}
