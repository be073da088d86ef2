//! Health checks, each of which requests the load report of a host.

use crate::net::metrics::increment;
use crate::net::pg::{self, code, Reply};
use crate::net::time_delta;
use crate::net::upstream::exchange::{Query, QueryReply};
use crate::net::upstream::load_report::parse_load_report;
use crate::net::upstream::reachability::ExchangeKind;
use crate::net::upstream::registry::Upstream;
use crate::net::upstream::response_stream::StreamedAnswer;
use irisrouter::routing::{Event, LoadReport, MemberId, Outcome};
use irisrouter_cluster_types::{Epoch, TaskId};
use tokio::time::Instant;

/// Query that a host answers with its load report.
const HEALTH_CHECK_QUERY: &str = "SHOW usage";

/// The lease under which a gateway sends health checks to a host. A host refuses a check whose epoch is older than the
/// latest one that it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Task that the lease is for.
    pub task: TaskId,
    /// Epoch of the lease.
    pub epoch: Epoch,
}

/// The result of a health check.
pub struct HealthCheck {
    /// Event that reports the result to the router.
    pub event: Event,
    /// Whether the host refused the check because it has received a later epoch of the lease.
    pub fenced: bool,
}

/// A host's reply to a health check.
struct HealthCheckReply {
    outcome: Outcome,
    report: Option<LoadReport>,
    /// Whether the host refused the check because it has received a later epoch of the lease.
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
    /// Requests the load report of a host.
    pub async fn health_check(&self, member: MemberId) -> Event {
        self.health_check_with_fence(member, None).await.event
    }

    /// Requests the load report of a host, with the epoch of the lease in `fence` if there is one.
    pub async fn health_check_with_fence(
        &self,
        member: MemberId,
        fence: Option<Fence>,
    ) -> HealthCheck {
        increment(&self.metrics.health_checks);
        let start = Instant::now();
        let deadline = start + self.connect_timeout();
        let reply = match self.send_health_check(member, fence, deadline).await {
            Ok(query_reply) => self.health_check_reply(&query_reply.reply, fence),
            Err(outcome) => outcome.into(),
        };
        // A check that timed out while it waited for a connection counts as unanswered for reachability.
        // The router gets the outcome "not sent", which says nothing about the host.
        let waited_for_connection = reply.outcome == Outcome::NotSent;
        let timed_out = waited_for_connection && start.elapsed() >= self.connect_timeout();
        let reachability = if timed_out {
            Outcome::TimedOut
        } else {
            reply.outcome
        };
        self.record_result(member, reachability, ExchangeKind::HealthCheck);
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
        let Some(_in_flight) = self.begin_request(member, connection.incarnation) else {
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
            write_deadline: deadline,
            deadline,
        };
        // A load report is short, so there is no long value to stream.
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

/// Builds the query of a health check, with the fence, if there is one, in an SQL comment.
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
