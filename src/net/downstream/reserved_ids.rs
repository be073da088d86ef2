//! Reservation of the ids of requests that wait behind another one on their connection.
//!
//! Of two requests with the same id, the one that arrived first owns it. A request that waits for its turn would
//! otherwise lose its id to a later one on another connection.

use crate::net::downstream::connection::ClientConnection;
use crate::net::pg;
use crate::net::request::OpenId;
use irisrouter::routing::GroupId;
use std::collections::VecDeque;

/// Maximum number of ids that are reserved for one connection, which bounds their memory. The ids of further requests
/// are reserved in their turn.
const MAX_RESERVED_IDS: usize = 1_024;

/// A request that waits for its turn.
struct WaitingRequest {
    /// Position of its message in the input of the connection, in bytes from the start.
    position: u64,
    id: OpenId,
}

/// The reserved ids of one connection.
#[derive(Default)]
pub(super) struct ReservedIds {
    waiting: VecDeque<WaitingRequest>,
    /// Position up to which the input has been searched for requests.
    searched_to: u64,
    /// Number of complete messages in the searched part of the input.
    messages: usize,
}

impl ReservedIds {
    /// Returns the number of complete messages that wait for their turn.
    pub(super) fn waiting_messages(&self) -> usize {
        self.messages
    }

    /// Records that the message at this position leaves the input.
    pub(super) fn message_consumed(&mut self, position: u64) {
        if position < self.searched_to {
            self.messages -= 1;
        }
    }

    /// Removes and returns the id that was reserved for the request at this position; `None` if there is none. Releases
    /// the ids of requests before it.
    pub(super) fn take(&mut self, position: u64) -> Option<OpenId> {
        while self
            .waiting
            .front()
            .is_some_and(|first| first.position < position)
        {
            self.waiting.pop_front();
        }
        let is_reserved = self
            .waiting
            .front()
            .is_some_and(|first| first.position == position);
        let waiting = is_reserved.then(|| self.waiting.pop_front()).flatten();
        waiting.map(|waiting| waiting.id)
    }
}

impl ClientConnection {
    /// Reserves the ids of the valid requests that have arrived completely since the last call.
    pub(super) fn reserve_ids_ahead(&mut self) {
        let input_position = self.input.position();
        let mut position = self.reserved_ids.searched_to.max(input_position);
        loop {
            let offset = (position - input_position) as usize;
            let Ok(Some(frame)) = pg::frame(&self.input.unprocessed()[offset..]) else {
                break;
            };
            let body = &self.input.unprocessed()[offset..][frame.body.clone()];
            let has_room = self.reserved_ids.waiting.len() < MAX_RESERVED_IDS;
            let is_query = frame.tag == pg::tag::QUERY;
            if let Some(id) = (is_query && has_room)
                .then(|| self.reserve_id_of(body))
                .flatten()
            {
                let waiting = WaitingRequest { position, id };
                self.reserved_ids.waiting.push_back(waiting);
            }
            position += frame.body.end as u64;
            self.reserved_ids.messages += 1;
        }
        self.reserved_ids.searched_to = position;
    }

    /// Reserves the id of a query. Returns `None` if the query is no valid request, or if its id is taken.
    fn reserve_id_of(&self, body: &[u8]) -> Option<OpenId> {
        let statement = pg::statement(pg::query(body).ok()?).ok()?;
        let context = &self.listener.request_context;
        self.listener.classes.find(statement.class)?;
        let is_valid = context.upstream.may_have_group(GroupId(statement.group));
        is_valid
            .then(|| context.open_ids.reserve_waiting(statement.id))
            .flatten()
    }
}
