//! What sessions wrote, among the processes of the gateway: a session may write through one process and read through
//! another.

use crate::net::request::context::{ClientRequest, RequestContext};
use irisrouter::routing::{
    latest_commit_position, Freshness, ReplicationStatus, RequestClass, SessionId, Timestamp,
};

impl RequestContext {
    /// Returns whether the gateway knows what sessions wrote from the answers of hosts, and not from its clients.
    fn keeps_session_writes(&self) -> bool {
        !self.classes.settings().last_write_age_carried
    }

    /// Returns a position that no write of the request's session at another process of the gateway is later than, if
    /// the request has to see the writes of its session.
    pub(super) fn session_writes_elsewhere(
        &self,
        request: &ClientRequest,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let is_needed = request.class.class.freshness == Freshness::Session
            && request.session.is_some()
            && self.keeps_session_writes();
        is_needed.then(|| self.claims.session_writes_elsewhere(now))?
    }

    /// Tells the other processes of the gateway of a session's write that may have run. Called before the client is
    /// told, because another process may then be asked for the session's next read.
    pub(super) fn share_session_write(
        &self,
        class: &RequestClass,
        session: Option<SessionId>,
        status: Option<ReplicationStatus>,
    ) {
        let is_write = class.freshness == Freshness::Write;
        if is_write && session.is_some() && self.keeps_session_writes() {
            let position = latest_commit_position(status, self.clock.now());
            self.claims.record_session_write(position);
        }
    }
}
