//! The last check of an attempt, right before its first byte is sent.
//!
//! A member is selected before its connection is ready, and much may change while the connection is
//! established: the member's data age, its role changes, it restarts or drains, the deadline or the
//! resend window ends. Every rule that the decision was based on is therefore checked again, as if
//! the attempt were decided on now.

use super::identifiers::{MemberId, RequestId};
use super::request::Request;
use super::router::Router;
use super::settings::{Freshness, Idempotency, StalenessCheck};
use super::time::{TimeDelta, Timestamp};

/// Permission to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// Time by which the last byte must be sent; `None` if only the attempt's timeout limits it.
    pub send_by: Option<Timestamp>,
}

impl Router {
    /// Returns the permission to send an attempt now, or `None` if a rule has come to forbid it. To
    /// be called when the attempt's connection is ready. An attempt without permission ends with
    /// [`Outcome::NotSent`](super::Outcome::NotSent); the router then selects again.
    pub fn permit_send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: u32,
    ) -> Option<SendPermit> {
        self.fleet.now = self.fleet.now.max(now);
        let request = self.requests.unanswered(id)?;
        let mut undecided = request.clone();
        if attempt as usize >= undecided.attempts.len() {
            return None;
        }
        let pending = undecided.attempts.remove(attempt as usize);
        let member = pending.member;
        let is_known = pending.is_in_flight() && self.fleet.members.contains_key(&member);
        let is_permitted = is_known
            && self.rules_allow(&undecided, member, TimeDelta::ZERO)
            && !self.is_replaced_primary(&undecided, member);
        is_permitted.then(|| SendPermit {
            send_by: self.send_by(&undecided, member),
        })
    }

    /// Returns whether the request requires the primary, and another member is known to be primary.
    fn is_replaced_primary(&self, request: &Request, member: MemberId) -> bool {
        let primary = self.fleet.primary(request.group);
        self.fleet.requires_primary(request.class) && primary.is_some_and(|id| id != member)
    }

    /// Returns the time by which a request has to be sent to this member: while its data are recent
    /// enough, and within the resend window of each earlier attempt.
    fn send_by(&self, request: &Request, member: MemberId) -> Option<Timestamp> {
        let window_end = match self.class(request).idempotency {
            Idempotency::Keyed { window, .. } => {
                let may_have_run = request.attempts.iter().filter(|a| a.may_have_run());
                may_have_run.map(|a| a.sent_at + window).min()
            }
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        let data_expire_at = self.data_expire_at(request, member);
        window_end.into_iter().chain(data_expire_at).min()
    }

    /// Returns the time from which the member's known position is too old for the request. Returns
    /// `None` if the age of its data is not limited, is checked by the member itself, or is always
    /// zero because the member is the primary.
    fn data_expire_at(&self, request: &Request, member: MemberId) -> Option<Timestamp> {
        let Freshness::BoundedStaleness(bound) = self.class(request).freshness else {
            return None;
        };
        let replication = &self.fleet.member(member).replication;
        let is_unlimited =
            self.fleet.settings.staleness_check != StalenessCheck::None || replication.is_primary();
        (!is_unlimited).then(|| replication.position + bound)
    }
}
