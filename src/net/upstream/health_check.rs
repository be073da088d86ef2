//! Health checks: a host is asked for its load report.

use crate::net::metrics::increment;
use crate::net::pg::{self, code, Reply};
use crate::net::time_delta;
use crate::net::upstream::exchange::{Query, QueryReply};
use crate::net::upstream::load_report::parse_load_report;
use crate::net::upstream::reachability::SentKind;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::response_stream::StreamedAnswer;
use irisrouter::routing::{Event, LoadReport, MemberId, Outcome};
use irisrouter_cluster_types::{Epoch, TaskId};
use tokio::time::Instant;

/// The query that a host answers with its load report.
const HEALTH_CHECK_QUERY: &str = "SHOW usage";

/// The lease under which a gateway checks a host. A host refuses an epoch that is older than the latest one it saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The leased task.
    pub task: TaskId,
    /// The epoch of the lease.
    pub epoch: Epoch,
}

/// A finished health check.
pub struct HealthCheck {
    /// What it says, for the router.
    pub event: Event,
    /// The host has seen a later epoch of the lease.
    pub fenced: bool,
}

/// What a host's reply to a health check says.
struct HealthCheckReply {
    outcome: Outcome,
    report: Option<LoadReport>,
    /// The host has seen a later epoch of the lease.
    fenced: bool,
}

impl From<Outcome> for HealthCheckReply {
    fn from(outcome: Outcome) -> Self {
        HealthCheckReply {
            outcome,
            report: None,
            fenced: false,
        }
    }
}

impl Upstream {
    /// Asks a host for its load report.
    pub async fn health_check(&self, member: MemberId) -> Event {
        self.health_check_with_fence(member, None).await.event
    }

    /// Asks a host for its load report, as the holder of a lease.
    pub async fn health_check_with_fence(
        &self,
        member: MemberId,
        fence: Option<Fence>,
    ) -> HealthCheck {
        increment(&self.metrics.health_checks);
        let start = Instant::now();
        let deadline = start + self.connect_timeout();
        let reply = match self.send_health_check(member, fence, deadline).await {
            Ok(answer) => self.health_check_reply(&answer.reply, fence),
            Err(outcome) => outcome.into(),
        };
        // A check that waited its whole time for a connection counts as unanswered for reachability. For the router it is
        // "not sent", which says nothing of the host.
        let waited_for_connection = reply.outcome == Outcome::NotSent;
        let timed_out = waited_for_connection && start.elapsed() >= self.connect_timeout();
        let reachability = if timed_out {
            Outcome::TimedOut
        } else {
            reply.outcome
        };
        self.record_result(member, reachability, SentKind::HealthCheck);
        let event = Event::HealthChecked {
            member,
            outcome: reply.outcome,
            elapsed: time_delta(start.elapsed()),
            report: reply.report,
        };
        HealthCheck {
            event,
            fenced: reply.fenced,
        }
    }

    async fn send_health_check(
        &self,
        member: MemberId,
        fence: Option<Fence>,
        deadline: Instant,
    ) -> Result<QueryReply, Outcome> {
        let connection = self.connection(member, deadline).await?;
        let Some(_in_flight) = self.begin_request(member) else {
            self.check_in(member, connection);
            return Err(Outcome::NotSent);
        };
        let text = health_check_text(fence);
        let mut message = self.buffers.acquire();
        pg::put_query(&mut message, text.as_bytes());
        let query = Query {
            member,
            connection,
            message,
            deadline,
        };
        // A load report is short: no long value is passed on.
        self.exchange(query, None::<fn(StreamedAnswer)>).await
    }

    fn health_check_reply(&self, reply: &Reply, fence: Option<Fence>) -> HealthCheckReply {
        match reply.error.as_deref() {
            None if reply.served() => {
                let text = reply.value.as_deref();
                HealthCheckReply {
                    outcome: Outcome::Ok,
                    report: text.map(|text| parse_load_report(text, self.clock.now())),
                    fenced: false,
                }
            }
            Some(code::TOO_MANY_CONNECTIONS | code::CANNOT_CONNECT_NOW) => Outcome::Full.into(),
            error => HealthCheckReply {
                outcome: Outcome::Error,
                report: None,
                fenced: fence.is_some() && error == Some(code::SERIALIZATION_FAILURE),
            },
        }
    }
}

/// The query, with the fence in a comment where there is one.
fn health_check_text(fence: Option<Fence>) -> String {
    match fence {
        None => HEALTH_CHECK_QUERY.to_string(),
        Some(Fence {
            task: TaskId(task),
            epoch,
        }) => {
            format!("{HEALTH_CHECK_QUERY} /* duty={task},epoch={epoch} */")
        }
    }
}
