//! One simulated gateway: its router, and the mapping between the simulator's names and the router's numbers.

use super::error::AdapterError;
use super::wire::{Metrics, WireAction, WireEntry};
use crate::platform_settings::{BootInfo, NameTable, PlatformSettings};
use crate::routing::{
    Action, Endpoint, EndpointState, Event, GroupId, LoadReport, MemberId, Outcome,
    ReplicationStatus, RequestId, Role, Router, SessionId, TimeDelta, Timestamp, ZoneId,
};
use std::borrow::Cow;
use std::collections::HashMap;

/// Nanoseconds per millisecond.
const NS_PER_MS: f64 = 1e6;
/// Nanoseconds per second.
const NS_PER_S: f64 = 1e9;
/// Mask of the bits of a replication status that contain the role. The other bits contain the position in milliseconds.
const ROLE_BITS: i64 = 0b11;
/// Number of bits in [`ROLE_BITS`].
const ROLE_BIT_COUNT: u32 = 2;

/// A request that is kept until it has ended and none of its attempts is in flight.
struct OpenRequest {
    name: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// A new request as the simulator sends it.
pub(super) struct NewRequest<'a> {
    pub(super) name: Cow<'a, str>,
    pub(super) class: Cow<'a, str>,
    pub(super) tenant: Option<serde_json::Value>,
    pub(super) session: Option<Cow<'a, str>>,
    pub(super) deadline: Timestamp,
    pub(super) work: Option<TimeDelta>,
    pub(super) group: i64,
    pub(super) last_write_age_ms: Option<f64>,
    pub(super) retry: bool,
}

/// The end of an attempt as the simulator reports it.
pub(super) struct EndedAttempt<'a> {
    pub(super) request: Cow<'a, str>,
    pub(super) attempt: u32,
    pub(super) member: Cow<'a, str>,
    pub(super) outcome: i64,
    pub(super) elapsed: Option<TimeDelta>,
    pub(super) finished: bool,
    pub(super) status: Option<i64>,
    pub(super) metrics: Option<Metrics<'a>>,
}

/// The end of a health check as the simulator reports it.
pub(super) struct EndedHealthCheck<'a> {
    pub(super) member: Cow<'a, str>,
    pub(super) outcome: i64,
    pub(super) elapsed: Option<TimeDelta>,
    pub(super) metrics: Option<Metrics<'a>>,
}

/// One simulated gateway.
pub(super) struct Instance {
    router: Router,
    /// Clock time of position 0.
    position_zero: Timestamp,
    classes: NameTable,
    tenants: NameTable,
    zones: NameTable,
    members: HashMap<String, MemberId>,
    member_names: Vec<String>,
    request_ids: HashMap<String, RequestId>,
    open_requests: HashMap<RequestId, OpenRequest>,
    next_request: u64,
    /// Events of the current batch.
    events: Vec<Event>,
    /// Requests that are removed after the batch has run if they have ended and none of their attempts is in flight.
    removal_candidates: Vec<RequestId>,
}

impl Instance {
    /// Creates an instance with these settings, without members or requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be used.
    pub(super) fn new(seed: u64, info: &BootInfo) -> Result<Self, AdapterError> {
        let platform = PlatformSettings::new(seed, info)?;
        Ok(Instance {
            router: Router::new(platform.settings),
            position_zero: platform.position_zero,
            classes: platform.classes,
            tenants: platform.tenants,
            zones: platform.zones,
            members: HashMap::new(),
            member_names: Vec::new(),
            request_ids: HashMap::new(),
            open_requests: HashMap::new(),
            next_request: 0,
            events: Vec::new(),
            removal_candidates: Vec::new(),
        })
    }

    /// Adds an event to the batch.
    pub(super) fn post(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Adds an endpoint list, or changes to one, to the batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the status of a member is unknown.
    pub(super) fn post_endpoints(
        &mut self,
        complete: bool,
        entries: &[WireEntry],
    ) -> Result<(), AdapterError> {
        let endpoints = (entries.iter())
            .map(|entry| self.endpoint(entry))
            .collect::<Result<_, _>>()?;
        self.post(Event::EndpointList {
            complete,
            endpoints,
        });
        Ok(())
    }

    /// Adds a request to the batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the class of the request is unknown.
    pub(super) fn post_request(&mut self, request: NewRequest) -> Result<(), AdapterError> {
        let class = self.classes.find(&request.class);
        let class = class.ok_or_else(|| AdapterError::UnknownClass(request.class.to_string()))?;
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.request_ids.insert(request.name.to_string(), id);
        let open = OpenRequest {
            name: request.name.into_owned(),
            attempts_in_flight: 0,
            ended: false,
        };
        self.open_requests.insert(id, open);
        let tenant = request.tenant.as_ref().and_then(|tenant| tenant.as_str());
        let last_write_age_ms = request.last_write_age_ms.filter(|&age| age > 0.0);
        let last_write_age =
            last_write_age_ms.map(|age| TimeDelta::from_nanos_f64(age * NS_PER_MS));
        self.post(Event::Request {
            id,
            class,
            tenant: tenant.and_then(|tenant| self.tenants.find(tenant)),
            session: request.session.map(|name| SessionId::of(name.as_bytes())),
            deadline: request.deadline,
            work: request.work,
            group: GroupId(request.group),
            last_write_age,
            retry: request.retry,
        });
        Ok(())
    }

    /// Adds the start of a streamed answer to the batch.
    pub(super) fn post_streaming(&mut self, request: &str) {
        if let Some(&id) = self.request_ids.get(request) {
            self.post(Event::Streaming { id });
        }
    }

    /// Adds the end of an attempt to the batch. Ignores it if the request or the member is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is unknown.
    pub(super) fn post_attempt_ended(&mut self, ended: EndedAttempt) -> Result<(), AdapterError> {
        let id = self.request_ids.get(ended.request.as_ref()).copied();
        let member = self.members.get(ended.member.as_ref()).copied();
        let Some((id, member)) = id.zip(member) else {
            return Ok(());
        };
        if let Some(open) = self.open_requests.get_mut(&id) {
            open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
            open.ended |= ended.finished;
            self.removal_candidates.push(id);
        }
        let outcome = outcome(ended.outcome)?;
        let status = ended.status.and_then(|bits| self.status(bits));
        let report = self.load_report(ended.metrics);
        self.post(Event::AttemptEnded {
            id,
            attempt: ended.attempt,
            member,
            outcome,
            elapsed: ended.elapsed.unwrap_or(TimeDelta::ZERO),
            finished: ended.finished,
            status,
            report,
        });
        Ok(())
    }

    /// Adds the disconnection of a request's client to the batch.
    pub(super) fn post_client_gone(&mut self, request: &str) {
        if let Some(id) = self.request_ids.get(request).copied() {
            self.request_ended(id);
            self.post(Event::ClientGone { id });
        }
    }

    /// Adds the end of a health check to the batch. Ignores it if the member is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is unknown.
    pub(super) fn post_health_checked(
        &mut self,
        ended: EndedHealthCheck,
    ) -> Result<(), AdapterError> {
        let Some(&member) = self.members.get(ended.member.as_ref()) else {
            return Ok(());
        };
        let outcome = outcome(ended.outcome)?;
        let report = self.load_report(ended.metrics);
        self.post(Event::HealthChecked {
            member,
            outcome,
            elapsed: ended.elapsed.unwrap_or(TimeDelta::ZERO),
            report,
        });
        Ok(())
    }

    /// Runs the batch, and appends the router's actions to `output`.
    pub(super) fn run_batch(
        &mut self,
        instance: i64,
        now: Timestamp,
        output: &mut Vec<WireAction>,
    ) {
        let events = std::mem::take(&mut self.events);
        for action in self.router.batch(now, &events) {
            output.extend(self.wire_action(instance, action));
        }
        for id in std::mem::take(&mut self.removal_candidates) {
            self.remove_if_complete(id);
        }
    }

    fn remove_if_complete(&mut self, id: RequestId) {
        let is_complete = |open: &OpenRequest| open.ended && open.attempts_in_flight == 0;
        if self.open_requests.get(&id).is_some_and(is_complete) {
            if let Some(open) = self.open_requests.remove(&id) {
                self.request_ids.remove(&open.name);
            }
        }
    }

    fn request_ended(&mut self, id: RequestId) {
        if let Some(open) = self.open_requests.get_mut(&id) {
            open.ended = true;
            self.removal_candidates.push(id);
        }
    }

    /// Returns the id of a member. A new member gets the next id.
    fn member(&mut self, name: &str) -> MemberId {
        if let Some(&member) = self.members.get(name) {
            return member;
        }
        let id = MemberId(self.member_names.len() as u32);
        self.member_names.push(name.to_string());
        self.members.insert(name.to_string(), id);
        id
    }

    fn member_name(&self, member: MemberId) -> String {
        self.member_names[member.0 as usize].clone()
    }

    fn endpoint(&mut self, entry: &WireEntry) -> Result<Endpoint, AdapterError> {
        let state = match entry.status.as_str() {
            "Ready" => EndpointState::Ready,
            "Terminating" => EndpointState::Draining,
            "Gone" => EndpointState::Removed,
            other => return Err(AdapterError::UnknownStatus(other.to_string())),
        };
        Ok(Endpoint {
            member: self.member(&entry.member),
            group: GroupId(entry.db),
            zone: ZoneId(self.zones.find_or_insert(&entry.area) as u32),
            state,
            primary: entry.primary.unwrap_or(0.0) > 0.5,
            size: entry.nominal.unwrap_or(1.0),
            started: entry.since_ns.filter(|&since| since > Timestamp::ZERO),
        })
    }

    fn load_report(&self, metrics: Option<Metrics>) -> Option<LoadReport> {
        let metrics = metrics?;
        let value = |name: &str| metrics.get(name).copied().flatten();
        let seconds_to_position =
            |seconds: f64| self.position_zero + TimeDelta::from_nanos_f64(seconds * NS_PER_S);
        Some(LoadReport {
            position: value("x0").map(seconds_to_position),
            primary: value("x1").map(|flag| flag > 0.5),
            in_flight: value("concurrent").or(value("depth")),
            cores_in_use: value("load_share").filter(|share| share.is_finite()),
        })
    }

    /// Decodes the replication status of a member, which an answer carries as a number. Returns `None` if the number
    /// contains no role.
    fn status(&self, bits: i64) -> Option<ReplicationStatus> {
        let role = match bits & ROLE_BITS {
            1 => Role::Primary,
            2 => Role::Replica,
            _ => return None,
        };
        let milliseconds = bits >> ROLE_BIT_COUNT;
        let position = self.position_zero + TimeDelta::from_millis(milliseconds);
        Some(ReplicationStatus {
            role,
            position: (milliseconds > 0).then_some(position),
        })
    }

    fn request_name(&self, id: RequestId) -> Option<String> {
        self.open_requests.get(&id).map(|open| open.name.clone())
    }

    /// Converts an action to the simulator's form. Returns `None` if its request is no longer open.
    fn wire_action(&mut self, instance: i64, action: Action) -> Option<WireAction> {
        let i = instance;
        Some(match action {
            Action::StartAttempt {
                id,
                member,
                timeout,
            } => {
                let open = self.open_requests.get_mut(&id)?;
                open.attempts_in_flight += 1;
                WireAction::CallOut {
                    i,
                    call: open.name.clone(),
                    member: self.member_name(member),
                    limit_ns: timeout,
                }
            }
            Action::CancelAttempt { id, attempt } => WireAction::Recall {
                i,
                call: self.request_name(id)?,
                seq_no: attempt,
            },
            Action::Reject { id, retry_after } => {
                self.request_ended(id);
                WireAction::Bounce {
                    i,
                    call: self.request_name(id)?,
                    pause_ns: retry_after,
                }
            }
            Action::Fail { id } => {
                self.request_ended(id);
                WireAction::DropRequest {
                    i,
                    call: self.request_name(id)?,
                }
            }
            Action::HealthCheck { member } => WireAction::Touch {
                i,
                member: self.member_name(member),
            },
            Action::SetTimer { after } => WireAction::After {
                i,
                in_ns: after,
                name: "wake",
            },
            Action::WatchEndpoints => WireAction::Tail { i, active: true },
        })
    }
}

fn outcome(code: i64) -> Result<Outcome, AdapterError> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Ok),
        2 => Ok(Outcome::Full),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        8 => Ok(Outcome::Unsuitable),
        other => Err(AdapterError::UnknownOutcome(other)),
    }
}
