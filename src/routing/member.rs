//! What a router remembers of members, requests and groups. Nothing here decides anything, and no value is tuned.

use crate::routing::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What is known of a member.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Member {
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) size: f64,
    /// The list's last word; a drain counts until it is listed as ready again.
    pub(crate) gone: bool,
    pub(crate) drained: bool,
    /// Since when it has been gone; for ever in the future while it is not.
    pub(crate) gone_at: Nanos,
    pub(crate) started: Option<Nanos>,
    /// It has applied all commits up to here; it never regresses.
    pub(crate) position: Nanos,
    /// How far the position was behind when last heard.
    pub(crate) lag: Nanos,
    pub(crate) lag_at: Nanos,
    /// Latest times at which it was known to be primary, and known to be none; 0 for never.
    pub(crate) primary_at: Nanos,
    pub(crate) replica_at: Nanos,
    /// Smoothed time of an answer, as a multiple of the usual time of its class.
    pub(crate) slowness: f64,
    /// Recent answers behind it.
    pub(crate) answers: f64,
    pub(crate) heard: Nanos,
    pub(crate) outstanding: u32,
    /// Requests held there that are not ours, by its last report.
    pub(crate) others: f64,
    /// When that was told.
    pub(crate) told_at: Nanos,
    /// Share of its cores in use, by its last report.
    #[serde(rename = "in_use")]
    pub(crate) cores_in_use: f64,
    /// Share of the requests that it is spared, as it has been too busy.
    pub(crate) shed: f64,
    pub(crate) limit: f64,
    pub(crate) cut_at: Nanos,
    /// While its limit is below one: the next send not before then.
    pub(crate) free_at: Nanos,
    /// Sent since then, with no word from it since; and how long that is still usual.
    pub(crate) silent_since: Option<Nanos>,
    pub(crate) patience: Nanos,
    pub(crate) fails: u32,
    pub(crate) suspect_until: Nanos,
    /// Smoothed share of errors among its answers, and what followed from it.
    pub(crate) errors: f64,
    pub(crate) shuns: u32,
    pub(crate) shun_until: Nanos,
    pub(crate) probe_at: Nanos,
    pub(crate) probe_out: bool,
    /// Since when it answers again after it had not.
    pub(crate) well_since: Nanos,
}

/// What a router has learnt, for another one of the same gateway.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RoutingSnapshot {
    /// The members, and what is known of them.
    pub members: Vec<(MemberId, Member)>,
    /// Usual time of an answer, by class, and the answers behind it.
    pub(crate) usual: Vec<f64>,
    pub(crate) told: Vec<f64>,
}

impl RoutingSnapshot {
    pub(crate) fn new(members: &BTreeMap<MemberId, Member>, usual: &[f64], told: &[f64]) -> Self {
        let members = members.iter().map(|(&id, m)| (id, m.clone())).collect();
        RoutingSnapshot {
            members,
            usual: usual.to_vec(),
            told: told.to_vec(),
        }
    }

    /// Numbers its members and classes anew, each by the number that it had, or leaves them out.
    pub fn renumber(&mut self, members: Vec<Option<MemberId>>, classes: Vec<Option<usize>>) {
        let known = std::mem::take(&mut self.members).into_iter().zip(members);
        self.members = known
            .filter_map(|((_, m), id)| id.map(|id| (id, m)))
            .collect();
        let size = classes.iter().flatten().max().map_or(0, |most| most + 1);
        let (mut usual, mut told) = (vec![0.0; size], vec![0.0; size]);
        for (i, slot) in classes.iter().enumerate() {
            let Some((slot, (&u, &t))) = slot.zip(self.usual.get(i).zip(self.told.get(i))) else {
                continue;
            };
            (usual[slot], told[slot]) = (u, t);
        }
        (self.usual, self.told) = (usual, told);
    }

    /// Adds to what is known here: news of members, but not what this router has out there itself.
    pub(crate) fn teach(
        &self,
        now: Nanos,
        members: &mut BTreeMap<MemberId, Member>,
        usual: &mut [f64],
        told: &mut [f64],
    ) {
        for (id, theirs) in &self.members {
            let Some(own) = members.get_mut(id).filter(|m| m.started == theirs.started) else {
                continue;
            };
            // Danger: a time that is not there yet would count for ever.
            if [
                theirs.position,
                theirs.lag_at,
                theirs.primary_at,
                theirs.replica_at,
                theirs.heard,
            ]
            .iter()
            .any(|&t| t > now)
            {
                continue;
            }
            let theirs = theirs.clone();
            *own = Member {
                group: own.group,
                zone: own.zone,
                size: own.size,
                gone: own.gone,
                drained: own.drained,
                gone_at: own.gone_at,
                outstanding: own.outstanding,
                free_at: own.free_at,
                silent_since: own.silent_since,
                patience: own.patience,
                probe_at: own.probe_at,
                probe_out: own.probe_out,
                ..theirs
            };
        }
        for (slot, (&u, &t)) in self.usual.iter().zip(&self.told).enumerate() {
            if slot < usual.len() && t > told[slot] && u.is_finite() && u > 0.0 {
                (usual[slot], told[slot]) = (u, t);
            }
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Nanos,
    pub(crate) outcome: Option<Outcome>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionId>,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    /// Position that a member must have reached (session reads).
    pub(crate) mark: Nanos,
    pub(crate) held: bool,
    /// Held with nothing sent, it is given up then.
    pub(crate) hold_until: Nanos,
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// A read may wait until then for proof of a replica's position.
    pub(crate) proof_by: Nanos,
    /// Its own random number, which decides whether a cold member takes it.
    pub(crate) draw: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<MemberId>,
    /// Held requests by class, oldest first; entries of requests no longer held are skipped.
    pub(crate) held: Vec<VecDeque<RequestId>>,
    /// So many members the list has had in service at once. Danger: while a release replaces them a few are left, and their
    /// part of the requests is still that of all.
    pub(crate) most: usize,
    /// Something changed: select again.
    pub(crate) dirty: bool,
    /// Age of data that some held read without a proven replica would take; 0 for none such.
    pub(crate) wants_proof: Nanos,
    pub(crate) proof_at: Nanos,
    /// When gateways that share their findings were last heard on it.
    pub(crate) found_at: Nanos,
    pub(crate) wants_primary: bool,
    /// How long a held request has waited to hear whether the primary has room; 0 for none such.
    pub(crate) wants_spare: Nanos,
    /// Since when its primary has been sought.
    pub(crate) seek_since: Option<Nanos>,
}

impl Group {
    /// The list has changed.
    pub(crate) fn relisted(&mut self, members: &BTreeMap<MemberId, Member>) {
        let serves = |m: &&MemberId| members.get(m).is_some_and(|m| !m.gone && !m.drained);
        (self.most, self.dirty) = (
            self.most.max(self.members.iter().filter(serves).count()),
            true,
        );
    }

    /// Where a number stands as seen from a member: from 0 to 1, with the members' own points evenly apart.
    pub(crate) fn place(&self, member: MemberId, number: f64) -> f64 {
        let own = self.members.iter().position(|&m| m == member).unwrap_or(0);
        (number - own as f64 / self.most.max(1) as f64).rem_euclid(1.0)
    }

    /// Some request is held.
    pub(crate) fn waiting(&self) -> bool {
        self.held.iter().any(|q| !q.is_empty())
    }
}

impl Request {
    /// No member has been handed it.
    pub(crate) fn unsent(&self) -> bool {
        let never_left = |o| matches!(o, Outcome::ConnectFailed | Outcome::NotSent);
        self.attempts
            .iter()
            .all(|a| a.outcome.is_some_and(never_left))
    }

    /// The members at which it has an attempt out.
    pub(crate) fn out(&self) -> Vec<MemberId> {
        self.attempts
            .iter()
            .filter(|a| a.outcome.is_none())
            .map(|a| a.member)
            .collect()
    }
}

impl Member {
    /// What is left of old news, 1 for none too old, when it fades by this time.
    pub(crate) fn fade(&self, now: Nanos, memory: Nanos) -> f64 {
        (-((now - self.heard) as f64) / memory as f64).exp()
    }

    /// It is gone, with nothing out there, after a drain or since so long ago.
    pub(crate) fn over(&self, long_ago: Nanos) -> bool {
        let idle = self.outstanding == 0 && !self.probe_out;
        self.gone && idle && (self.drained || self.gone_at < long_ago)
    }

    /// One that the list has just named.
    pub(crate) fn listed(e: &Endpoint, limit: f64) -> Self {
        let (group, zone) = (e.group, e.zone);
        Member {
            group,
            zone,
            limit,
            slowness: 1.0,
            gone_at: Nanos::MAX,
            ..Member::default()
        }
    }

    /// Takes the list's word, and tells whether its process is a new one.
    pub(crate) fn take_entry(&mut self, e: &Endpoint, now: Nanos) -> bool {
        self.gone = e.state == EndpointState::Removed;
        self.size = e.size;
        self.drained = e.state == EndpointState::Draining || self.drained && self.gone;
        let anew = e.started > self.started;
        if anew {
            self.started = e.started;
            // A new process: cold, and a replica whatever it was; old failures say nothing of it.
            self.replica_at = self.replica_at.max(e.started.unwrap_or(0));
            (self.errors, self.shuns, self.shun_until, self.shed) = (0.0, 0, 0, 0.0);
            self.recover(now);
        }
        // The list's word on roles is late: a hint for members that have shown nothing themselves.
        if e.primary && self.primary_at == 0 && self.replica_at == 0 {
            self.primary_at = 1;
        }
        anew
    }

    /// Takes what an answer tells. A commit that the primary has answered is a position it has reached.
    pub(crate) fn take_note(&mut self, n: ReplicationStatus, now: Nanos) {
        match n.role {
            Role::Primary => self.primary_at = self.primary_at.max(now),
            Role::Replica => self.replica_at = self.replica_at.max(now),
        }
        if let Some(p) = n.position {
            self.position = self.position.max(p);
            (self.lag, self.lag_at) = (now - p, now);
        }
    }

    /// Takes the role and the position of a report that was had then, and tells whether the position is news.
    ///
    /// A primary's position is the time of its report, and positions never regress: that orders reports among
    /// themselves and against answers, however late they come.
    pub(crate) fn take_report(&mut self, r: LoadReport, at: Nanos) -> bool {
        let Some(p) = r.position else { return false };
        match r.primary {
            Some(true) => self.primary_at = self.primary_at.max(p),
            Some(false) if p >= self.primary_at => self.replica_at = self.replica_at.max(p + 1),
            _ => {}
        }
        let news = p >= self.position;
        if news {
            self.position = p;
            (self.lag, self.lag_at) = (at - p, at);
        }
        news
    }

    /// It answers: nothing is held against it any more.
    pub(crate) fn recover(&mut self, now: Nanos) {
        if self.fails > 0 || self.well_since == 0 {
            self.well_since = now;
        }
        self.fails = 0;
        self.suspect_until = 0;
    }
}

/// What was learnt of classes, each from the one that it goes on from, or anew.
pub(crate) fn carried(
    learnt: &[f64],
    from: &[Option<usize>],
    anew: impl Fn(usize) -> f64,
) -> Vec<f64> {
    let kept = |f: &Option<usize>| f.and_then(|f| learnt.get(f).copied());
    from.iter()
        .enumerate()
        .map(|(i, f)| kept(f).unwrap_or_else(|| anew(i)))
        .collect()
}

/// An outcome that proves that nothing ran.
pub(crate) fn never_ran(o: Outcome) -> bool {
    matches!(
        o,
        Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unsuitable
    )
}

/// Some attempt is out or ended without proof that it never ran.
pub(crate) fn may_have_run(r: &Request) -> bool {
    r.attempts
        .iter()
        .any(|a| a.outcome.is_none_or(|o| !never_ran(o)))
}
