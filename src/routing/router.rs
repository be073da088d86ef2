//! Every decision of the proxy, and nothing else. The interface (settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path: filter a group's members by role and last known position, keep those inside the window
//! of the best round trip, pick one at random, hold when none is suitable. The rest are exceptions.
//! Order: values, state, batch, selection, sending (the one chokepoint), requests, answers, news, probes.

use super::member::*;
use crate::routing::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Share of a new sample in a smoothed round trip, as the design has it.
const SMOOTHING: f64 = 0.2;
/// The window: averages (of answers, against their class's usual time) up to this multiple of the best.
const WINDOW: f64 = 2.0;
/// How strongly the random pick inside the window leans to members with room (1 = in proportion).
const LEAN: f64 = 3.0;
/// The own zone is used alone while its emptiest member carries up to this multiple of the emptiest anywhere.
const ZONE_SLACK: f64 = 1.5;
/// Weight of a new sample in the usual time of a class.
const CLASS_SMOOTHING: f64 = 0.05;
/// Share of its aim that is a class's usual time until answers tell it.
const FIRST_GUESS: f64 = 0.25;
/// Further attempts and second copies for each first try (more would feed an overload), and most saved up.
const EXTRA_SHARE: f64 = 0.1;
const EXTRA_MOST: f64 = 10.0;
/// Least part of such an attempt that a failed one costs.
const QUICK: f64 = 0.1;
/// A second copy leaves once an answer has taken this share of the time to its aim.
const COPY_AFTER: f64 = 0.5;
/// Requests that a member may hold from all proxies together before answers say more.
const LIMIT_START: f64 = 6.0;
/// A late answer takes this share of the limit away; one within this part of the aim (one in so many) adds
/// LIMIT_RISE, for a limit of one, less by this power of the proxies. Sparse ones share a larger limit.
const LIMIT_CUT: f64 = 0.15;
const PROMPT: Nanos = 2;
const LIMIT_RISE: f64 = 0.2;
const SHARING: f64 = 1.25;
const SHARED_RISE: f64 = 0.8;
/// Lowest limit (below one, sends are spaced out) and highest (a bound on memory of better days).
const LIMIT_LEAST: f64 = 0.1;
const LIMIT_MOST: f64 = 64.0;
/// Part of the primary's room for reads whose replicas are merely full: writes have nowhere else to go.
const READ_PART: f64 = 0.5;
/// Part of a cold member's budget that is used: the other proxies' shares are guessed.
const COLD_SAFETY: f64 = 0.4;
/// One cold member gets so much of its part by warmth at most, as when the others are full or behind.
const COLD_ALONE: f64 = 2.0;
/// Too long for a cold member from this part (one in so many) of that on: slow links lengthen all answers.
const COLD_SHORT: f64 = 2.0;
/// A held request needs this many usual times left to be worth sending.
const TIME_TO_ANSWER: f64 = 1.5;
/// A read that no member has been sent is held for this share of its client's patience at most.
const HOLD_SHARE: f64 = 0.45;
/// Silence of so many usual times makes a member suspect.
const SILENCE: f64 = 4.0;
/// Long is this multiple of the shortest class; for this part of its aim it waits for the furthest behind.
const LONG: f64 = 4.0;
const LONG_WAIT: Nanos = 4;
/// A fair part of a member's first limit below which limits of one proxy say nothing (they round to none).
const SPARSE: f64 = 0.2;
/// Probes that each request pays for: as many as take this part of the worth, but two at most; in calm times.
const PROBE_SPEND: f64 = 0.04;
const NEED_MOST: f64 = 2.0;
const CALM_SHARE: f64 = 0.1;
/// Probes that may be saved up.
const PROBES_MOST: f64 = 12.0;
/// Parts of a connect time-out (one in so many) between probes: for a primary, and for proof or room.
const SEEK_GAP: Nanos = 5;
const PROOF_GAP: Nanos = 4;
/// That a member is full is news for so many connect time-outs.
const FULL_NEWS: Nanos = 4;
/// News of a member's load is good for so many usual times of the shortest class.
const NEWS: f64 = 2.0;
/// That share of cores in use is good for so many, and means so many requests for each core.
const USE_NEWS: f64 = 12.0;
const SATURATED: f64 = 1.1;
/// Reads whose replicas are too far behind leave the primary this part of its cores.
const SPARE: f64 = 0.3;
/// A member is spared a share of its requests: it moves by this part of its cores in use beyond that.
const SHED_GAIN: f64 = 0.15;
const BUSY: f64 = 0.8;
const SHED_MOST: f64 = 0.9;
/// Findings of gateways are news for so many connect time-outs.
const FOUND_NEWS: Nanos = 4;
/// News of a member counts for so many connect time-outs: as long as a failed connection takes several times.
const MEMORY: f64 = 8.0;
/// A member is shunned once errors are this smoothed share of its answers: three in a row.
const ERRORS: f64 = 0.45;
/// Its pause doubles so many times at most.
const SHUNS_MOST: u32 = 4;
/// Answers that an average needs to count half: one answer of a sparse proxy says little of its member.
const PRIOR: f64 = 2.0;
/// Share of the aim that a read waits for a probe to prove a replica recent before it takes the primary.
const PROOF_WAIT: f64 = 0.03;

/// The decisions of one proxy.
pub struct Router {
    s: Settings,
    rng: oorandom::Rand64,
    now: Nanos,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: HashMap<RequestId, Request>,
    /// When a request must be looked at again.
    reviews: BTreeSet<(Nanos, RequestId)>,
    /// Usual time of an answer, by class, and the answers behind it.
    usual: Vec<f64>,
    told: Vec<f64>,
    /// Sparse proxies: requests that a member of size one may hold from all proxies, learnt from all answers.
    limit: f64,
    /// How old reports are when they come, by those of primaries.
    report_age: f64,
    /// Requests that members hold for their size, by all reports lately.
    held_usual: f64,
    need_probes: f64,
    calm_probes: f64,
    /// Last commit of each session, where the proxy must remember it.
    commits: HashMap<SessionId, Nanos>,
    extra: f64,
    planned: FailoverDirectives,
    next_wake: Nanos,
    out: Vec<Action>,
}

impl Router {
    /// A router that knows its settings and nothing else.
    pub fn new(s: Settings) -> Self {
        let usual: Vec<f64> = s
            .classes
            .iter()
            .map(|c| c.latency_objective as f64 * FIRST_GUESS)
            .collect();
        let first = s
            .endpoint_list_on_request
            .then_some(Action::WatchEndpoints)
            .into_iter()
            .collect();
        Router {
            rng: oorandom::Rand64::new(u128::from(s.seed)),
            s,
            now: 0,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: HashMap::new(),
            reviews: BTreeSet::new(),
            told: vec![0.0; usual.len()],
            usual,
            limit: LIMIT_START,
            held_usual: 1.0,
            report_age: 0.0,
            need_probes: PROBES_MOST,
            calm_probes: PROBES_MOST,
            commits: HashMap::new(),
            extra: EXTRA_MOST,
            planned: FailoverDirectives::default(),
            next_wake: 0,
            out: first,
        }
    }

    /// Takes what happened, all of it first, then decides.
    pub fn batch(&mut self, now: Nanos, events: &[Event]) -> Vec<Action> {
        self.now = now;
        events.iter().for_each(|e| self.observe(e));
        let groups: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(_, g)| g.dirty || g.waiting())
            .map(|(&g, _)| g)
            .collect();
        for g in groups {
            self.release(g);
            self.probe_group(g);
        }
        self.review();
        self.plan_wake();
        std::mem::take(&mut self.out)
    }

    /// One wake-up is out at a time: soon while requests are held, else when something is due. Danger: with
    /// hundreds of proxies, timers that run whatever comes outnumber the requests.
    fn plan_wake(&mut self) {
        let step = self.s.tick * 2;
        let held = self.groups.values().any(Group::waiting);
        let due = self.reviews.first().map(|r| r.0.max(self.now + step));
        let Some(at) = (if held { Some(self.now + step) } else { due }) else {
            return;
        };
        if self.next_wake <= self.now || self.next_wake > at {
            self.next_wake = at;
            self.out.push(Action::SetTimer {
                after: at - self.now,
            });
        }
    }

    fn observe(&mut self, e: &Event) {
        match e {
            Event::EndpointList {
                complete,
                endpoints: entries,
            } => self.on_list(*complete, entries),
            Event::EndpointListLost => self.out.push(Action::WatchEndpoints),
            Event::Request { .. } => self.on_request(e),
            Event::Streaming { .. } | Event::TimerFired => {}
            Event::AttemptEnded { .. } => self.on_ended(e),
            Event::ClientGone { id } => self.close(*id),
            Event::HealthChecked {
                member,
                outcome,
                report,
                ..
            } => self.on_probed(*member, *outcome, *report),
            Event::SharedHealthChecks(found) => found.iter().for_each(|f| self.on_found(f)),
            Event::FailoverDirectivesChanged(p) => self.planned = p.clone(),
            Event::SnapshotReceived(l) => {
                l.teach(self.now, &mut self.members, &mut self.usual, &mut self.told)
            }
            Event::SettingsChanged {
                settings,
                measurements_from: from,
            } => self.retune(settings, from),
        }
    }

    /// New settings hold from the next decision on. A class that has changed goes on from what was learnt.
    fn retune(&mut self, s: &Settings, from: &[Option<usize>]) {
        self.usual = carried(&self.usual, from, |i| {
            s.classes[i].latency_objective as f64 * FIRST_GUESS
        });
        self.told = carried(&self.told, from, |_| 0.0);
        self.s = s.clone();
    }

    /// What this router has learnt.
    pub fn snapshot(&self) -> RoutingSnapshot {
        RoutingSnapshot::new(&self.members, &self.usual, &self.told)
    }

    /// How long news of a member counts: longer with so many proxies that each hears of it more rarely.
    fn memory(&self) -> Nanos {
        let few = (f64::from(self.s.gateway_count) * SPARSE / LIMIT_START).max(1.0);
        (MEMORY * few * self.s.limits.connect_timeout as f64) as Nanos
    }

    /// Limits on what one proxy holds at a member mean nothing.
    fn sparse(&self) -> bool {
        LIMIT_START < SPARSE * f64::from(self.s.gateway_count)
    }

    /// A sparse proxy asks for word of a member's load, where reports tell it.
    fn asks(&self) -> bool {
        self.sparse() && self.s.in_flight_reported
    }

    /// Gateways that share their findings have lately been heard on this group: no probes beside theirs.
    fn informed(&self, g: GroupId) -> bool {
        self.groups
            .get(&g)
            .is_some_and(|g| self.now - g.found_at < FOUND_NEWS * self.s.limits.connect_timeout)
    }

    // ---- Selection: the ordinary path ----

    /// Selects again for the held requests of a group, worthiest for its time first.
    fn release(&mut self, gid: GroupId) {
        let Some(g) = self.groups.get_mut(&gid) else {
            return;
        };
        g.seek_since = g.seek_since.filter(|_| g.wants_primary);
        (g.dirty, g.wants_proof, g.wants_primary, g.wants_spare) = (false, 0, false, 0);
        let mut order: Vec<usize> = (0..g.held.len())
            .filter(|&c| !g.held[c].is_empty())
            .collect();
        let density = |c: usize| self.s.classes[c].priority_weight / self.usual[c];
        order.sort_by(|&a, &b| density(b).total_cmp(&density(a)).then(a.cmp(&b)));
        for c in order {
            let queue = std::mem::take(&mut self.groups.get_mut(&gid).expect("group").held[c]);
            let mut left = VecDeque::new();
            let mut stuck = false;
            // Newest first: in an overload the oldest would be sent with too little time left.
            for id in queue.into_iter().rev() {
                let Some(r) = self.requests.get(&id).filter(|r| r.held) else {
                    continue;
                };
                // All of a class wait for the same thing, but for session reads and long ones.
                let own = self.s.classes[c].freshness == Freshness::Session || self.blocks(c);
                let waits = stuck && !own;
                if waits || !self.select(r, None).is_some_and(|m| self.send(id, m)) {
                    if !waits {
                        self.want(id);
                    }
                    stuck = true;
                    left.push_front(id);
                }
            }
            self.groups.get_mut(&gid).expect("group").held[c] = left;
        }
    }

    /// Notes what a held request waits for, so that probes are spent on it.
    fn want(&mut self, id: RequestId) {
        let r = &self.requests[&id];
        let waited = self.now - r.arrived + 1;
        let room = self.asks() && (self.to_primary(r.class) || self.now >= r.proof_by);
        let no_primary = self.primary(r.group).is_none_or(|p| self.suspect(p));
        let age = if self.to_primary(r.class) {
            0
        } else {
            self.now.saturating_sub(self.need(r)).max(0)
        };
        let g = self.groups.get_mut(&r.group).expect("group");
        g.wants_proof = g.wants_proof.max(age);
        g.wants_primary |= no_primary;
        // The youngest counts: those that have waited long are asked for more rarely.
        if room && (g.wants_spare == 0 || waited < g.wants_spare) {
            g.wants_spare = waited;
        }
    }

    /// The member that a request goes to now, or none: hold.
    fn select(&self, r: &Request, not: Option<MemberId>) -> Option<MemberId> {
        let primary = self.primary(r.group);
        if self.to_primary(r.class) {
            // Danger: an unsafe write sent to a silent primary can only fail.
            let open = |p: MemberId| Some(p) != not && self.open_to(p, r) && !self.suspect(p);
            let word = |p: MemberId| !self.asks() || self.age(p) < 1.0 || self.now >= r.proof_by;
            return primary.filter(|&p| open(p) && word(p) && self.admits(p, r, 1.0));
        }
        let members = &self.groups.get(&r.group)?.members;
        let other = |m: MemberId| Some(m) != primary && Some(m) != not && self.open_to(m, r);
        let replicas: Vec<MemberId> = members.iter().copied().filter(|&m| other(m)).collect();
        let mut suitable: Vec<MemberId> = replicas
            .iter()
            .copied()
            .filter(|&m| self.proven(m, r) && !self.suspect(m))
            .collect();
        // Danger: the few that were asked last are proven, and all gateways would choose the same ones.
        let informed = self.informed(r.group);
        if (suitable.is_empty() || informed) && self.s.staleness_check != StalenessCheck::None {
            suitable = self.most_advanced(&replicas, r);
        }
        // Danger: one that answers with errors does so at once: it always has room, and draws all reads.
        if suitable.iter().any(|&m| !self.shunned(m)) {
            suitable.retain(|&m| !self.shunned(m));
        }
        if self.blocks(r.class) && !suitable.is_empty() {
            // Danger: a long read may stop its replica from applying the log, and many all replicas: they
            // gather on the one furthest behind, and on one more with each such part of their aim.
            let mut behind = suitable;
            behind.sort_by_key(|m| std::cmp::Reverse((self.members[m].lag, *m)));
            let more = (self.now - r.arrived) * LONG_WAIT
                / self.s.classes[r.class].latency_objective.max(1);
            let open = |&(i, _): &(usize, &MemberId)| i as Nanos <= more;
            return behind
                .iter()
                .enumerate()
                .filter(open)
                .map(|(_, &m)| m)
                .find(|&m| self.admits(m, r, 1.0));
        }
        if self.asks() && self.now < r.proof_by && !suitable.iter().any(|&m| self.age(m) < 1.0) {
            return None;
        }
        if !suitable.is_empty() {
            let admitted = |from: &[MemberId]| -> Vec<MemberId> {
                from.iter()
                    .copied()
                    .filter(|&m| self.admits(m, r, 1.0))
                    .collect()
            };
            if let Some(m) = self.pick(&admitted(&suitable)) {
                return Some(m);
            }
            if self.s.staleness_check != StalenessCheck::None {
                let mut likely = self.most_advanced(&replicas, r);
                likely.retain(|&m| !self.shunned(m));
                if let Some(m) = self.pick(&admitted(&likely)) {
                    return Some(m);
                }
            }
        } else if self.now < r.proof_by {
            return None;
        }
        // secondaryPreferred: no replica, so the primary, while it has room beyond its own work.
        let part = if suitable.is_empty() && !self.asks() && !informed {
            1.0
        } else {
            READ_PART
        };
        let spare = !self.asks() || primary.is_some_and(|p| self.age(p) < 1.0);
        let primary_ok = primary
            .filter(|&p| spare && Some(p) != not && self.open_to(p, r) && self.admits(p, r, part));
        if let Some(p) = primary_ok.filter(|&p| !self.suspect(p) && !self.shunned(p)) {
            return Some(p);
        }
        // All suspect: the plain mechanism decides among them rather than nobody being served.
        let lost = replicas.iter().all(|&m| self.suspect(m));
        let fit = |&m: &MemberId| lost && self.proven(m, r) && self.admits(m, r, 1.0);
        let any: Vec<MemberId> = replicas.iter().copied().filter(fit).collect();
        self.pick(&any).or(primary_ok.filter(|_| lost))
    }

    /// Only the primary will do.
    fn to_primary(&self, class: usize) -> bool {
        matches!(
            self.s.classes[class].freshness,
            Freshness::Write | Freshness::Strong
        )
    }

    /// Reads of this class are long, and may stop a replica from applying the log.
    fn blocks(&self, class: usize) -> bool {
        self.s.classes[class].freshness == Freshness::Any && self.usual[class] > self.short()
    }

    /// The usual time up to which a class counts as short.
    fn short(&self) -> f64 {
        LONG * self.usual.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Where replicas check reads: those that are probably far enough by now; with no primary known, all.
    fn most_advanced(&self, replicas: &[MemberId], r: &Request) -> Vec<MemberId> {
        let need = self.need(r);
        let calm: Vec<MemberId> = replicas
            .iter()
            .copied()
            .filter(|&m| !self.suspect(m))
            .collect();
        let likely: Vec<MemberId> = calm
            .iter()
            .copied()
            .filter(|&m| self.now - self.lag(m) >= need)
            .collect();
        if likely.is_empty() && self.primary(r.group).is_none() {
            calm
        } else {
            likely
        }
    }

    /// How far it was behind when last heard, where that is not long ago.
    fn lag(&self, m: MemberId) -> Nanos {
        let m = &self.members[&m];
        m.lag * Nanos::from(self.now - m.lag_at < self.memory())
    }

    /// Inside the window of the best, at random by size, leaning to those with room.
    fn pick(&self, from: &[MemberId]) -> Option<MemberId> {
        let best = from
            .iter()
            .map(|m| self.slowness(*m))
            .fold(f64::INFINITY, f64::min);
        let window: Vec<MemberId> = from
            .iter()
            .copied()
            .filter(|&m| self.slowness(m) <= best.max(0.1) * WINDOW)
            .collect();
        let full = |m: MemberId| self.load(m) / self.warmth(m);
        let least = |ms: &[MemberId]| ms.iter().map(|&m| full(m)).fold(f64::INFINITY, f64::min);
        let own: Vec<MemberId> = window
            .iter()
            .copied()
            .filter(|m| self.members[m].zone == self.s.zone)
            .collect();
        let tagged = if !own.is_empty() && least(&own) <= least(&window) * ZONE_SLACK {
            own
        } else {
            window
        };
        let weight = |m: MemberId| {
            // Danger: a report of nothing held may be untrue: in sparse proxies it shuns, and does not draw.
            let load = self.load(m).max(f64::from(self.sparse()));
            self.members[&m].size * self.warmth(m) / (load * self.slowness(m).max(0.1)).powf(LEAN)
        };
        let total: f64 = tagged.iter().map(|&m| weight(m)).sum();
        let mut at = self.rng.clone().rand_float() * total;
        let passed = |m: &MemberId| {
            at -= weight(*m);
            at <= 0.0
        };
        tagged
            .iter()
            .copied()
            .find(passed)
            .or(tagged.last().copied())
    }

    /// Its average, drawn to the usual by few answers and by time.
    fn slowness(&self, m: MemberId) -> f64 {
        let m = &self.members[&m];
        let fade = m.fade(self.now, self.memory());
        let answers = m.answers * fade;
        1.0 + (m.slowness - 1.0) * fade.sqrt() * answers / (answers + PRIOR)
    }

    /// Age of a member's report of load, against the time in which members answer.
    fn age(&self, m: MemberId) -> f64 {
        let news = if self.s.in_flight_reported {
            NEWS
        } else {
            USE_NEWS
        };
        (self.now - self.members[&m].told_at) as f64 / (news * self.short() / LONG)
    }

    /// Requests held, ours and the others', against what is usual for its size.
    fn load(&self, m: MemberId) -> f64 {
        let usual = self.held_usual * self.members[&m].size;
        (1.0 + f64::from(self.members[&m].outstanding) + self.others(m)) / (1.0 + usual)
    }

    /// Requests that others hold at a member: by its last report, and as that ages, what is usual.
    fn others(&self, m: MemberId) -> f64 {
        let usual = self.held_usual * self.members[&m].size;
        usual + (self.members[&m].others - usual) * (-self.age(m)).exp()
    }

    /// The member last seen to be primary, unless it drains, is gone, or has said since that it is none.
    fn primary(&self, g: GroupId) -> Option<MemberId> {
        let members = &self.groups.get(&g)?.members;
        (members.iter().copied())
            .filter(|m| {
                self.members[m].primary_at > self.members[m].replica_at && self.in_service(*m)
            })
            .max_by_key(|m| self.members[m].primary_at)
    }

    fn in_service(&self, m: MemberId) -> bool {
        let m = &self.members[&m];
        !m.drained && (!m.gone || self.s.rules.only_listed_drains_bind)
    }

    /// It may be asked: in service, and not asked yet or just now.
    fn open_to(&self, m: MemberId, r: &Request) -> bool {
        let lately = |a: &Attempt| self.now - a.sent < self.s.limits.connect_timeout;
        let asked = |a: &Attempt| a.outcome.is_none_or(|o| never_ran(o) && lately(a));
        self.in_service(m) && !r.attempts.iter().any(|a| a.member == m && asked(a))
    }

    /// Position that a member must have reached to answer a read sent now.
    fn need(&self, r: &Request) -> Nanos {
        match self.s.classes[r.class].freshness {
            Freshness::Any => Nanos::MIN,
            Freshness::BoundedStaleness(bound) => self.now - bound,
            Freshness::Session => r.mark,
            Freshness::Strong | Freshness::Write => r.arrived,
        }
    }

    fn proven(&self, m: MemberId, r: &Request) -> bool {
        self.members[&m].position >= self.need(r)
    }

    /// It has room for one more: under its limit, and able to bear it while it is cold.
    fn admits(&self, m: MemberId, r: &Request, part: f64) -> bool {
        let at = &self.members[&m];
        let out = f64::from(at.outstanding);
        if self.sparse() {
            if !self.s.in_flight_reported {
                // Danger: a member that is sent more than it can do serves all too late. Writes come last.
                let write = self.s.classes[r.class].freshness == Freshness::Write;
                let shed = if write { 2.0 * at.shed - 1.0 } else { at.shed }
                    * f64::from(self.informed(r.group));
                let room = part >= 1.0 || r.draw < (1.0 - at.cores_in_use) / SPARE;
                return self.bears(m, r) && room && r.draw < 1.0 - shed;
            }
            // One that said lately that it is full stays so until it says otherwise.
            let lately = self.now - at.told_at < FULL_NEWS * self.s.limits.connect_timeout;
            let held = self.others(m).max(if lately { at.others } else { 0.0 });
            return self.bears(m, r) && held + out + 1.0 <= (self.limit * at.size * part).max(1.0);
        }
        // Less than one at a time: after each, a pause in proportion to its work.
        let spaced = at.limit * part < 1.0 && out == 0.0 && self.now >= at.free_at;
        self.bears(m, r) && (spaced || out + 1.0 <= at.limit * part)
    }

    // ---- Sending: the one chokepoint, where the rules are checked ----

    /// Sends a request to a member if every rule allows it.
    fn send(&mut self, id: RequestId, to: MemberId) -> bool {
        let r = &self.requests[&id];
        if !self.allowed(r, to) {
            return false;
        }
        let (class, limit) = (r.class, self.end(r) - self.now);
        let usual = self.usual[class];
        let m = self.members.get_mut(&to).expect("member");
        m.outstanding += 1;
        m.free_at = self.now + (usual / m.limit.min(1.0)) as Nanos;
        if m.silent_since.is_none() {
            m.silent_since = Some(self.now);
            m.patience = self.s.limits.connect_timeout;
        }
        m.patience = m.patience.max((usual * SILENCE) as Nanos);
        let r = self.requests.get_mut(&id).expect("request");
        r.held = false;
        r.attempts.push(Attempt {
            member: to,
            sent: self.now,
            outcome: None,
        });
        let left = r.arrived + self.s.classes[class].latency_objective - self.now;
        let copy_at = self.now + (COPY_AFTER * left as f64) as Nanos;
        if self.s.classes[class].idempotency == Idempotency::Idempotent
            && self.s.limits.hedged_requests
            && copy_at > self.now
        {
            self.reviews.insert((copy_at, id));
        }
        self.rng.rand_u64();
        self.out.push(Action::StartAttempt {
            id,
            member: to,
            timeout: limit,
        });
        true
    }

    /// The five rules, for one send.
    fn allowed(&self, r: &Request, to: MemberId) -> bool {
        let class = &self.s.classes[r.class];
        let m = &self.members[&to];
        // Rule 1: nothing after the final answer, nothing that cannot be answered in time.
        let open = !r.ended
            && self.now < self.end(r)
            && (r.attempts.len() as u32) < self.s.limits.max_attempts;
        // Rule 2: no effect twice.
        let copies =
            self.s.limits.hedged_requests || r.attempts.iter().all(|a| a.outcome.is_some());
        let idempotency = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => !may_have_run(r),
            Idempotency::Keyed { scope, window } => {
                let risky = || {
                    r.attempts
                        .iter()
                        .filter(|a| a.outcome.is_none_or(|o| !never_ran(o)))
                };
                // Danger: a connection may have to come up first, and what counts is when the repeat arrives.
                risky().all(|a| self.now - a.sent + self.s.limits.connect_timeout < window)
                    && (scope != DeduplicationScope::Zone
                        || risky().all(|a| {
                            self.members
                                .get(&a.member)
                                .is_some_and(|o| o.zone == m.zone)
                        }))
            }
        };
        // Rule 3: drains are kept, at once rather than at the end of the grace.
        let drain = self.in_service(to) && m.group == r.group;
        // Rule 4: a cold member's budget.
        let cold = self.bears(to, r);
        // Rule 5: no stale read. Proof, or was primary and has not said otherwise, or it checks by itself.
        let unchecked =
            self.s.staleness_check == StalenessCheck::None && class.freshness != Freshness::Write;
        let current = !unchecked || self.proven(to, r) || m.primary_at > m.replica_at;
        open && copies && idempotency && drain && cold && current
    }

    /// When an attempt stops being of use to its client.
    fn end(&self, r: &Request) -> Nanos {
        let c = &self.s.classes[r.class];
        // A safe read with no worth left after its aim should hold no capacity.
        if c.late_weight == 0.0
            && c.idempotency == Idempotency::Idempotent
            && c.objective_stretch == 0.0
        {
            return r.deadline.min(r.arrived + c.latency_objective);
        }
        r.deadline
    }

    /// A request still held then is given up: no member could answer it in time any more.
    fn latest_send(&self, r: &Request) -> Nanos {
        (self.end(r) - (self.usual[r.class] * TIME_TO_ANSWER) as Nanos)
            .min(r.deadline - 2 * self.s.tick)
    }

    /// When a request that is held now is given up.
    fn give_up_at(&self, r: &Request) -> Nanos {
        self.latest_send(r).min(r.hold_until)
    }

    /// Whether a member that may be cold bears this request. Its budget is the rule's multiple of its present
    /// capacity; any number of proxies keep it together when each lets through that part of the requests, by
    /// a draw that is made once for each. Danger: what has piled up while it was away must not come all at
    /// once, and a long request fills the budget alone. A zone that is led in gets its part of the reads.
    fn bears(&self, to: MemberId, r: &Request) -> bool {
        let m = &self.members[&to];
        let writes = self.to_primary(r.class);
        let led = self
            .planned
            .recovery_ramps
            .iter()
            .all(|z| z.0 != m.zone || r.draw < z.1 || writes);
        if self.warmth(to) >= 1.0 || !led {
            return led;
        }
        // Reads are shared with the other members by warmth; what only a primary takes is not. Those that
        // died or were drained count as missing: their part of the requests comes here too.
        let g = &self.groups[&m.group];
        let open = g
            .members
            .iter()
            .filter(|&&o| o == to || !self.suspect(o) && self.open_to(o, r));
        let sum = open.map(|&o| self.warmth(o)).sum::<f64>();
        let part = if writes {
            self.warmth(to)
        } else {
            sum / g.most.max(1) as f64
        };
        let chance = self.s.rules.overload_multiple * COLD_SAFETY * part;
        let turn = (r.draw / chance * self.s.rules.overload_window as f64) as Nanos;
        let piled_up = r.arrived < m.well_since && self.now - m.well_since < turn;
        // Each read is for some of the cold ones only, and least for a primary, lest one alone gets all.
        let alone = COLD_ALONE
            * if self.primary(m.group) == Some(to) {
                READ_PART
            } else {
                1.0
            };
        let its = writes || g.place(to, r.draw / chance) < alone * self.warmth(to) / sum;
        let short = writes || self.usual[r.class] * COLD_SHORT <= self.short();
        its && short && r.draw < chance && !piled_up
    }

    /// Share of its capacity that a member has by now at least.
    fn warmth(&self, m: MemberId) -> f64 {
        let rules = &self.s.rules;
        let age = self.members[&m]
            .started
            .map_or(rules.warm_up_time, |t| (self.now - t).max(0));
        let part = (age as f64 / rules.warm_up_time.max(1) as f64).min(1.0);
        rules.initial_capacity + (1.0 - rules.initial_capacity) * part
    }

    // ---- Requests ----

    fn on_request(&mut self, e: &Event) {
        let Event::Request {
            id,
            class,
            session,
            deadline,
            group,
            last_write_age,
            ..
        } = e
        else {
            return;
        };
        let mark = match (self.s.last_write_age_carried, session) {
            // Commits are rounded up and positions down: a millisecond on the safe side.
            (true, _) => last_write_age.map_or(Nanos::MIN, |age| self.now - age + 1_000_000),
            (false, Some(s)) => self.commits.get(s).copied().unwrap_or(Nanos::MIN),
            (false, None) => Nanos::MIN,
        };
        let c = &self.s.classes[*class];
        let ask = !self.s.positions_in_answers
            && self.s.staleness_check == StalenessCheck::None
            && self.s.limits.health_checks;
        let ask = ask || self.asks();
        let wait = if ask {
            (c.latency_objective as f64 * PROOF_WAIT) as Nanos
        } else {
            0
        };
        let r = Request {
            class: *class,
            group: *group,
            session: *session,
            arrived: self.now,
            deadline: *deadline,
            mark,
            proof_by: self.now + wait,
            draw: self.rng.rand_float(),
            ..Request::default()
        };
        let share = (PROBE_SPEND / self.s.health_check_price.max(f64::EPSILON)).min(NEED_MOST);
        self.need_probes = (self.need_probes + share).min(PROBES_MOST);
        self.calm_probes = (self.calm_probes + CALM_SHARE).min(PROBES_MOST);
        self.calm_probes();
        self.requests.insert(*id, r);
        self.extra = (self.extra + EXTRA_SHARE).min(EXTRA_MOST);
        // The plan for a lost site leaves a part of each class out: at once, and with a time to come again.
        if self
            .planned
            .admitted_share
            .get(*class)
            .is_some_and(|&p| p < 1.0 && self.rng.rand_float() >= p)
        {
            return self.give_up(*id);
        }
        self.hold(*id);
    }

    fn hold(&mut self, id: RequestId) {
        let classes = self.s.classes.len();
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.held = true;
        // Danger: a client that is turned away late without a try has waited for nothing, and has too
        // little time left to come back. Once half of its patience is spent, that is so whenever it hears.
        // A write is held to its end: an election outlasts any shorter hold, and would fail them all.
        let read = self.s.classes[r.class].freshness != Freshness::Write;
        let patient = r.arrived + ((r.deadline - r.arrived) as f64 * HOLD_SHARE) as Nanos;
        r.hold_until = if read && r.unsent() && self.now < patient {
            patient
        } else {
            Nanos::MAX
        };
        let g = self.groups.entry(r.group).or_default();
        g.held.resize(classes, VecDeque::new());
        g.held[r.class].push_back(id);
        g.dirty = true;
        let at = self.give_up_at(&self.requests[&id]).max(self.now + 1);
        self.reviews.insert((at, id));
    }

    /// Requests whose time has come: to be given up, or to get a second copy.
    fn review(&mut self) {
        while let Some(&(at, id)) = self.reviews.first() {
            if at > self.now {
                break;
            }
            self.reviews.pop_first();
            let Some(r) = self.requests.get(&id).filter(|r| !r.ended) else {
                continue;
            };
            if r.held && self.now >= self.give_up_at(r) {
                self.give_up(id);
            } else if r.held {
                self.reviews
                    .insert((self.give_up_at(r).max(self.now + 1), id));
            } else {
                self.second_copy(id);
            }
        }
    }

    /// A safe read at a member that has fallen silent gets one copy elsewhere; one that speaks is slow.
    fn second_copy(&mut self, id: RequestId) {
        let r = &self.requests[&id];
        let out = r.out();
        if out.len() != 1 || self.extra < 1.0 || self.now >= self.latest_send(r) {
            return;
        }
        if !self.suspect(out[0]) {
            self.reviews
                .insert((self.now + self.members[&out[0]].patience / 2, id));
            return;
        }
        if self
            .select(r, Some(out[0]))
            .is_some_and(|m| self.send(id, m))
        {
            self.extra -= 1.0;
        }
    }

    /// The final answer of a request that is given up, at once.
    fn give_up(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended) else {
            return;
        };
        let c = &self.s.classes[r.class];
        let dropped = matches!(
            c.idempotency,
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            }
        );
        if c.idempotency == Idempotency::Idempotent || dropped || !may_have_run(r) {
            let wish = self.planned.retry_after.map_or(c.latency_objective, |p| {
                (p as f64 * (1.0 + r.draw)) as Nanos
            });
            let pause = if self.s.limits.retry_after {
                wish.min(self.s.limits.max_retry_after)
            } else {
                0
            };
            self.out.push(Action::Reject {
                id,
                retry_after: pause,
            });
        } else {
            self.out.push(Action::Fail { id });
        }
        self.close(id);
    }

    /// Nothing more for this request; attempts still out are cancelled, so that they free their places.
    fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut r.ended, true);
        r.held = false;
        let out: Vec<u32> = (0..r.attempts.len())
            .filter(|&i| r.attempts[i].outcome.is_none())
            .map(|i| i as u32)
            .collect();
        if out.is_empty() {
            self.requests.remove(&id);
        } else if first && self.s.limits.cancellation {
            self.out.extend(
                out.into_iter()
                    .map(|attempt| Action::CancelAttempt { id, attempt }),
            );
        }
    }

    // ---- Answers ----

    fn on_ended(&mut self, e: &Event) {
        let Event::AttemptEnded {
            id,
            attempt,
            member,
            outcome,
            elapsed,
            finished,
            status: note,
            report,
        } = e
        else {
            return;
        };
        let Some(r) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = r.attempts.get_mut(*attempt as usize);
        let Some(a) = attempt.filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(*outcome);
        let (class, group, session) = (r.class, r.group, r.session);
        let write = self.s.classes[class].freshness == Freshness::Write;
        self.groups.get_mut(&group).expect("group").dirty = true;
        self.hear(*member, class, *outcome, *elapsed);
        note.iter()
            .for_each(|&n| self.on_note(*member, n, write, session));
        report.iter().for_each(|&r| self.on_report(*member, r));
        if *outcome == Outcome::Unsuitable {
            let need = self.requests.get(id).map_or(Nanos::MIN, |r| self.need(r));
            let known = self.lag(*member);
            let m = self.members.get_mut(member).expect("member");
            if write {
                // A write turned away: whatever was believed, it is no primary now.
                m.replica_at = self.now;
            } else if need > 0 {
                // A read turned away: it is further behind than the read allows.
                (m.lag, m.lag_at) = (known.max(self.now - need + 1), self.now);
            }
        }
        if *finished {
            self.close(*id);
        } else {
            self.after_failure(*id, *outcome, *elapsed);
        }
        if self
            .requests
            .get(id)
            .is_some_and(|r| r.ended && r.attempts.iter().all(|a| a.outcome.is_some()))
        {
            self.requests.remove(id);
        }
    }

    /// An attempt failed: another is out, or one more is worth it, or the request is given up.
    fn after_failure(&mut self, id: RequestId, outcome: Outcome, elapsed: Nanos) {
        let r = &self.requests[&id];
        if r.ended || r.attempts.iter().any(|a| a.outcome.is_none()) {
            return;
        }
        let again =
            self.s.classes[r.class].idempotency != Idempotency::NotIdempotent || !may_have_run(r);
        let in_time = self.now < self.latest_send(r)
            && (r.attempts.len() as u32) < self.s.limits.max_attempts;
        // Attempts that cost no work are free; the others draw on a budget, so that retries feed no storm.
        let free = never_ran(outcome) && outcome != Outcome::Full;
        let work = (elapsed as f64 / self.usual[r.class]).clamp(QUICK, 1.0);
        let cost = if free || outcome == Outcome::Full {
            f64::from(!free)
        } else {
            work
        };
        if !again || !in_time || self.extra < cost {
            return self.give_up(id);
        }
        self.extra -= cost;
        self.hold(id);
    }

    /// What the end of an attempt says of the member's health and speed.
    fn hear(&mut self, id: MemberId, class: usize, outcome: Outcome, elapsed: Nanos) {
        let (latency_objective, usual) =
            (self.s.classes[class].latency_objective, self.usual[class]);
        let gateway_count = f64::from(self.s.gateway_count.max(1));
        let memory = self.memory();
        let m = self.members.get_mut(&id).expect("member");
        let fade = m.fade(self.now, memory);
        m.outstanding = m.outstanding.saturating_sub(1);
        let spoke = matches!(
            outcome,
            Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Unsuitable
        );
        if spoke {
            m.heard = self.now;
            m.silent_since = (m.outstanding > 0).then_some(self.now);
        } else if m.outstanding == 0 {
            m.silent_since = None;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            m.errors += SMOOTHING * (f64::from(outcome == Outcome::Error) - m.errors);
        }
        match outcome {
            Outcome::Error if m.errors > ERRORS => {
                m.shuns = (m.shuns + 1).min(SHUNS_MOST);
                m.shun_until = self.now + self.s.limits.connect_timeout * (1 << m.shuns);
            }
            Outcome::Ok => {
                m.shuns -= u32::from(m.shuns > 0 && m.errors < ERRORS / 2.0);
                m.recover(self.now);
                let ratio = elapsed as f64 / usual.max(1.0);
                let last = 1.0 + (m.slowness - 1.0) * fade.sqrt();
                m.slowness = SMOOTHING * ratio + (1.0 - SMOOTHING) * last;
                m.answers = m.answers * fade + 1.0;
                self.told[class] += 1.0;
                self.usual[class] +=
                    CLASS_SMOOTHING.max(1.0 / (1.0 + self.told[class])) * (elapsed as f64 - usual);
                if elapsed > latency_objective {
                    self.cut(id, class);
                } else if elapsed * PROMPT < latency_objective {
                    m.limit = (m.limit
                        + (LIMIT_RISE / m.limit / gateway_count.powf(SHARING)).min(m.limit))
                    .min(LIMIT_MOST);
                    self.limit = (self.limit + SHARED_RISE / self.limit).min(LIMIT_MOST);
                }
            }
            Outcome::Full => self.cut(id, class),
            Outcome::TimedOut => {
                if elapsed * PROMPT > latency_objective {
                    self.cut(id, class);
                }
                let m = &self.members[&id];
                if m.heard + self.s.limits.connect_timeout < self.now {
                    self.doubt(id);
                }
            }
            Outcome::ConnectFailed | Outcome::Reset => self.doubt(id),
            Outcome::Error | Outcome::Cancelled | Outcome::NotSent | Outcome::Unsuitable => {}
        }
    }

    /// Late or turned away: the member gets fewer at a time, one cut in a usual answer's time.
    fn cut(&mut self, id: MemberId, class: usize) {
        let m = self.members.get_mut(&id).expect("member");
        if (self.now - m.cut_at) as f64 > self.usual[class] {
            m.cut_at = self.now;
            // A late answer of a member that held few says nothing of how many it can hold.
            if 2.0 * m.others >= self.limit * m.size {
                self.limit = (self.limit * (1.0 - LIMIT_CUT)).max(1.0);
            }
            m.limit = (m.limit * (1.0 - LIMIT_CUT)).max(LIMIT_LEAST);
        }
    }

    /// No connection any more: suspect for a time that doubles with each further failure.
    fn doubt(&mut self, id: MemberId) {
        let timeout = self.s.limits.connect_timeout;
        let m = self.members.get_mut(&id).expect("member");
        m.fails += 1;
        m.suspect_until = self.now + timeout * (1 << m.fails.min(3));
    }

    /// Failing to connect, or silent for longer than usual.
    fn suspect(&self, id: MemberId) -> bool {
        let m = &self.members[&id];
        m.suspect_until > self.now || m.silent_since.is_some_and(|t| self.now - t > m.patience)
    }

    /// It answers, but mostly with errors: left alone for a time that doubles while that goes on.
    fn shunned(&self, id: MemberId) -> bool {
        self.members[&id].shun_until > self.now
    }

    // ---- News of members ----

    fn on_list(&mut self, complete: bool, entries: &[Endpoint]) {
        self.members.values_mut().for_each(|m| m.gone |= complete);
        entries.iter().for_each(|e| self.on_entry(e));
        let now = self.now;
        self.members.values_mut().for_each(|m| {
            m.gone_at = if m.gone {
                m.gone_at.min(now)
            } else {
                Nanos::MAX
            }
        });
        self.forget();
        self.groups
            .values_mut()
            .for_each(|g| g.relisted(&self.members));
    }

    /// Members that are gone are forgotten; one that went without a drain once those that took over are warm.
    fn forget(&mut self) {
        let long_ago = self.now - 2 * self.s.rules.warm_up_time;
        let over = |id: MemberId, m: &Member| !self.in_service(id) && m.over(long_ago);
        let gone: BTreeSet<MemberId> = self
            .members
            .iter()
            .filter(|(&id, m)| over(id, m))
            .map(|(&id, _)| id)
            .collect();
        self.members.retain(|id, _| !gone.contains(id));
        self.groups
            .values_mut()
            .for_each(|g| g.members.retain(|id| !gone.contains(id)));
    }

    fn on_entry(&mut self, e: &Endpoint) {
        if !self.members.contains_key(&e.member) {
            self.groups
                .entry(e.group)
                .or_default()
                .members
                .push(e.member);
        }
        let start = LIMIT_START / f64::from(self.s.gateway_count.max(1));
        let m = self
            .members
            .entry(e.member)
            .or_insert_with(|| Member::listed(e, start));
        if m.take_entry(e, self.now) {
            m.limit = m.limit.min(start);
        }
    }

    fn on_note(
        &mut self,
        id: MemberId,
        n: ReplicationStatus,
        write: bool,
        session: Option<SessionId>,
    ) {
        self.members
            .get_mut(&id)
            .expect("member")
            .take_note(n, self.now);
        let Some(p) = n.position else { return };
        if let (true, Some(s), false) = (write, session, self.s.last_write_age_carried) {
            self.commits
                .entry(s)
                .and_modify(|c| *c = (*c).max(p))
                .or_insert(p);
        }
    }

    /// Word of gateways on a member. Danger: where members check nothing, a gateway that is wrong would have
    /// stale reads served.
    fn on_found(&mut self, f: &SharedHealthCheck) {
        let member = self.members.get_mut(&f.member);
        let Some(m) = member.filter(|_| self.s.staleness_check != StalenessCheck::None) else {
            return;
        };
        let g = self.groups.get_mut(&m.group).expect("group");
        (g.dirty, g.found_at) = (true, g.found_at.max(f.at));
        if let Some(u) = f
            .report
            .cores_in_use
            .filter(|_| f.at >= m.told_at && !self.s.in_flight_reported)
        {
            (m.cores_in_use, m.told_at) = (u, f.at);
            m.shed = (m.shed + SHED_GAIN * (u - BUSY)).clamp(0.0, SHED_MOST);
            m.others = m.size * u / (SATURATED - u).max(SATURATED - 1.0);
            self.held_usual += CLASS_SMOOTHING * (m.others / m.size.max(0.01) - self.held_usual);
        }
        // A primary is where the present was when it made its report: that is how old reports are.
        match f.report.position.filter(|_| m.take_report(f.report, f.at)) {
            Some(p) if f.report.primary == Some(true) => {
                self.report_age += SMOOTHING * ((f.at - p) as f64 - self.report_age);
            }
            Some(_) => m.lag = (m.lag - self.report_age as Nanos).max(0),
            None => {}
        }
    }

    fn on_report(&mut self, id: MemberId, r: LoadReport) {
        let m = self.members.get_mut(&id).expect("member");
        m.take_report(r, self.now);
        if let Some(n) = r.in_flight {
            m.others = (n - f64::from(m.outstanding)).max(0.0);
            m.told_at = self.now;
            self.held_usual += CLASS_SMOOTHING * (m.others / m.size.max(0.01) - self.held_usual);
        }
    }

    // ---- Probes ----

    fn on_probed(&mut self, id: MemberId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(m) = self.members.get_mut(&id) else {
            return;
        };
        m.probe_out = false;
        self.groups.get_mut(&m.group).expect("group").dirty = true;
        if outcome == Outcome::Ok {
            m.recover(self.now);
        } else if matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut
        ) {
            self.doubt(id);
        }
        report.into_iter().for_each(|r| self.on_report(id, r));
    }

    /// Probes for what held requests need: a primary that speaks, or proof of a replica's position.
    fn probe_group(&mut self, gid: GroupId) {
        let timeout = self.s.limits.connect_timeout;
        let informed = self.informed(gid);
        let Some(g) = self.groups.get_mut(&gid).filter(|_| !informed) else {
            return;
        };
        let mut due: Vec<MemberId> = Vec::new();
        let rested = |m: &Member, every: Nanos| !m.probe_out && self.now - m.probe_at >= every;
        if g.wants_primary {
            let since = *g.seek_since.get_or_insert(self.now);
            let every = (timeout / SEEK_GAP).max((self.now - since) / 2);
            due.extend(g.members.iter().filter(|m| rested(&self.members[m], every)));
        } else if g.wants_proof > 0 && self.now - g.proof_at >= timeout / PROOF_GAP {
            // One whose reports last came too old to prove anything is not asked again so soon.
            let age = g.wants_proof;
            let fit =
                |m: &MemberId| rested(&self.members[m], timeout / PROOF_GAP) && age >= self.lag(*m);
            let members = &self.groups[&gid].members;
            let primary = self.primary(gid);
            let fit: Vec<MemberId> = (members.iter().copied())
                .filter(|m| {
                    fit(m) && Some(*m) != primary && self.in_service(*m) && !self.suspect(*m)
                })
                .collect();
            due.extend(self.pick(&fit));
            self.groups.get_mut(&gid).expect("group").proof_at = self.now;
        }
        // Nothing came of the replicas: has the primary room?
        let waited = self.groups[&gid].wants_spare;
        let every = (timeout / PROOF_GAP).max(waited / 2);
        due.extend(
            self.primary(gid)
                .filter(|p| waited > 0 && rested(&self.members[p], every)),
        );
        for id in due {
            if self.in_service(id) && self.need_probes >= 1.0 {
                self.need_probes -= 1.0;
                self.probe(id);
            }
        }
    }

    /// In calm times: suspects each connect time-out, the others more rarely, as far as the budget goes.
    fn calm_probes(&mut self) {
        if self.calm_probes < 1.0 {
            return;
        }
        let timeout = self.s.limits.connect_timeout;
        let every = |id: MemberId| {
            if self.suspect(id) {
                timeout
            } else {
                timeout * MEMORY as Nanos
            }
        };
        let due = |id: MemberId, m: &Member| {
            let late = self.now - m.probe_at >= every(id);
            late && self.in_service(id) && !m.probe_out && !self.informed(m.group)
        };
        let mut due: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(&id, m)| due(id, m))
            .map(|(&id, _)| id)
            .collect();
        due.sort_by_key(|id| (!self.suspect(*id), self.members[id].probe_at));
        for id in due {
            if self.calm_probes >= 1.0 {
                self.calm_probes -= 1.0;
                self.probe(id);
            }
        }
    }

    fn probe(&mut self, id: MemberId) {
        if self.s.limits.health_checks {
            let m = self.members.get_mut(&id).expect("member");
            (m.probe_at, m.probe_out) = (self.now, true);
            self.out.push(Action::HealthCheck { member: id });
        }
    }
}
