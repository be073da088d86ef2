//! The events of a run in virtual time.

use irisrouter::routing::RequestId;
use irisrouter_simulation::clients::{Try, TryOutcome};
use irisrouter_simulation::fleet::{Answer, ProbeResult, Query, ReplicaStatus};
use irisrouter_simulation::{GatewayId, HostId, Ns};

/// One process of a gateway: an event for an earlier one is void.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatewayProcess {
    pub(super) gateway: GatewayId,
    pub(super) incarnation: u32,
}

/// An attempt of a gateway's process at a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptId {
    pub(super) process: GatewayProcess,
    pub(super) request: RequestId,
    /// Its number among the request's attempts.
    pub(super) number: u32,
    pub(super) host: HostId,
}

/// A health check of a gateway's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    pub(super) process: GatewayProcess,
    pub(super) host: HostId,
    pub(super) sent: Ns,
}

/// A host's answer to a statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostAnswer {
    pub(super) answer: Answer,
    pub(super) status: ReplicaStatus,
    /// The work that it took.
    pub(super) work: Ns,
}

/// What happens at one moment.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The next request of the day is sent.
    Arrival,
    /// A client tries its call again.
    Retry { call: u64 },
    /// A try reaches its gateway.
    TryReachesGateway(Try),
    /// The outcome of a try reaches its client.
    OutcomeReachesClient {
        client_try: Try,
        outcome: TryOutcome,
    },
    /// A client's deadline is over.
    ClientDeadline(Try),
    /// A client leaves early.
    ClientLeaves(Try),
    /// A gateway learns that a client has left.
    ClientGone {
        process: GatewayProcess,
        client_try: Try,
    },
    /// A gateway hands its events to its router.
    Batch(GatewayProcess),
    /// The timer of a gateway's router fires.
    Timer(GatewayProcess),
    /// A request on which the router has not decided by now is ended.
    DecisionGuard {
        process: GatewayProcess,
        request: RequestId,
    },
    /// The opening of a connection reaches its host.
    ConnectReachesHost(AttemptId),
    /// A connection to this process of the host is up, at the gateway.
    ConnectionUp { attempt: AttemptId, epoch: u32 },
    /// A statement, on a connection to this process of the host, reaches it.
    QueryReachesHost {
        attempt: AttemptId,
        epoch: u32,
        query: Query,
    },
    /// An answer reaches the gateway.
    AnswerReachesGateway {
        attempt: AttemptId,
        answer: HostAnswer,
    },
    /// A connection is reset or refused, at the gateway.
    ResetReachesGateway(AttemptId),
    /// A gateway stops waiting for an attempt.
    AttemptTimeout(AttemptId),
    /// A gateway stops waiting for a connection.
    ConnectTimeout(AttemptId),
    /// A health check reaches its host.
    HealthCheckReachesHost(HealthCheck),
    /// The result of a health check reaches the gateway; none where its time is over.
    HealthCheckAnswered {
        check: HealthCheck,
        result: Option<ProbeResult>,
    },
    /// A datagram reaches a gateway, whatever process of it runs then.
    Datagram {
        to: GatewayId,
        from: GatewayId,
        body: Vec<u8>,
    },
    /// A gateway's exchange with its peers is due.
    PeerTimer(GatewayProcess),
    /// All hosts are sampled.
    Sample,
}
