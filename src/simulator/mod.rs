//! The simulator's JSON wire to the module's interface and back. Nothing here decides anything.

use crate::platform_settings::{BootInfo, NameTable, PlatformSettings};
use crate::routing::*;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

const NS_PER_MS: i64 = 1_000_000;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    member: String,
    area: String,
    db: i64,
    status: String,
    primary: Option<f64>,
    nominal: Option<f64>,
    since_ns: Option<i64>,
}

type Metrics<'a> = HashMap<Cow<'a, str>, Option<f64>>;

#[derive(Deserialize)]
enum WireEvent<'a> {
    Init {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "InitSeed")]
        seed: serde_json::Number,
        #[serde(rename = "BootInfo")]
        info: Box<BootInfo>,
    },
    Kill {
        #[serde(rename = "I")]
        inst: i64,
    },
    Catalog {
        #[serde(rename = "SetId")]
        set: i64,
        #[serde(rename = "NodesList")]
        entries: Vec<WireEntry>,
    },
    View {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "SetId")]
        set: Option<i64>,
        #[serde(rename = "Form", borrow)]
        form: Cow<'a, str>,
    },
    Req {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "Call", borrow)]
        call: Cow<'a, str>,
        #[serde(rename = "TierClass", borrow)]
        class: Cow<'a, str>,
        #[serde(rename = "Team", default)]
        team: Option<serde_json::Value>,
        #[serde(rename = "Sess", default, borrow)]
        session: Option<Cow<'a, str>>,
        #[serde(rename = "ClientDeadlineNs")]
        deadline: i64,
        #[serde(rename = "WorkNs", default)]
        work: Option<i64>,
        #[serde(rename = "Shard")]
        group: i64,
        #[serde(rename = "TokenAgeMs", default)]
        mark_age_ms: Option<f64>,
        #[serde(rename = "Retry", default)]
        retry: Option<bool>,
    },
    Flowing {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "Call", borrow)]
        call: Cow<'a, str>,
    },
    ReportBack {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "Call", borrow)]
        call: Cow<'a, str>,
        #[serde(rename = "SeqNo")]
        attempt: u32,
        #[serde(rename = "Member", borrow)]
        member: Cow<'a, str>,
        #[serde(rename = "Disposition")]
        outcome: i64,
        #[serde(rename = "LagNs", default)]
        elapsed: Option<i64>,
        #[serde(rename = "DoneFlag", default)]
        finished: Option<bool>,
        #[serde(rename = "Stand", default)]
        stand: Option<i64>,
        #[serde(rename = "Metrics", default, borrow)]
        metrics: Option<Metrics<'a>>,
    },
    Vanished {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "Call", borrow)]
        call: Cow<'a, str>,
    },
    Alarm {
        #[serde(rename = "I")]
        inst: i64,
    },
    Probed {
        #[serde(rename = "I")]
        inst: i64,
        #[serde(rename = "Member", borrow)]
        member: Cow<'a, str>,
        #[serde(rename = "LagNs", default)]
        elapsed: Option<i64>,
        #[serde(rename = "Disposition")]
        outcome: i64,
        #[serde(rename = "Metrics", default, borrow)]
        metrics: Option<Metrics<'a>>,
    },
    Datagram {},
}

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "TNs")]
    now: i64,
    frame: serde_json::Value,
    #[serde(borrow)]
    happened: Vec<WireEvent<'a>>,
}

#[derive(Serialize)]
struct Reply<'a> {
    frame: &'a serde_json::Value,
    output: Vec<WireAction>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
enum WireAction {
    #[serde(rename_all = "PascalCase")]
    CallOut {
        i: i64,
        call: String,
        member: String,
        limit_ns: i64,
    },
    #[serde(rename_all = "PascalCase")]
    Recall { i: i64, call: String, seq_no: u32 },
    #[serde(rename_all = "PascalCase")]
    Bounce { i: i64, call: String, pause_ns: i64 },
    #[serde(rename_all = "PascalCase")]
    DropRequest { i: i64, call: String },
    #[serde(rename_all = "PascalCase")]
    Touch { i: i64, member: String },
    #[serde(rename_all = "PascalCase")]
    After {
        i: i64,
        in_ns: i64,
        name: &'static str,
    },
    #[serde(rename_all = "PascalCase")]
    Tail { i: i64, active: bool },
    #[serde(rename_all = "PascalCase")]
    Exception { i: i64, msg: String },
}

/// A request's name on the wire, kept until it has ended and no attempt of it is out.
struct Open {
    name: String,
    attempts_out: u32,
    ended: bool,
}

/// One instance: its router and the names behind the numbers it knows.
struct Instance {
    router: Router,
    zero: i64,
    classes: NameTable,
    tenants: NameTable,
    zones: NameTable,
    members: HashMap<String, MemberId>,
    member_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    open: HashMap<RequestId, Open>,
    next_request: u64,
    events: Vec<Event>,
    closing: Vec<RequestId>,
}

fn outcome(code: i64) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Ok,
        0 => Outcome::Error,
        2 => Outcome::Full,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Unsuitable,
        other => return Err(format!("unknown outcome {other}")),
    })
}

impl Instance {
    fn new(seed: u64, info: &BootInfo) -> Result<Self, String> {
        let PlatformSettings {
            settings,
            classes,
            tenants,
            zones,
            position_zero,
            ..
        } = PlatformSettings::new(seed, info)?;
        Ok(Instance {
            router: Router::new(settings),
            zero: position_zero,
            classes,
            tenants,
            zones,
            members: HashMap::new(),
            member_names: Vec::new(),
            requests: HashMap::new(),
            open: HashMap::new(),
            next_request: 0,
            events: Vec::new(),
            closing: Vec::new(),
        })
    }

    fn member(&mut self, name: &str) -> MemberId {
        if let Some(&m) = self.members.get(name) {
            return m;
        }
        let id = MemberId(self.member_names.len() as u32);
        self.member_names.push(name.to_string());
        self.members.insert(name.to_string(), id);
        id
    }

    fn report(&self, metrics: Option<Metrics>) -> Option<LoadReport> {
        let m = metrics?;
        let get = |k: &str| m.get(k).copied().flatten();
        let r = LoadReport {
            position: get("x0").map(|s| self.zero + (s * 1e9) as i64),
            primary: get("x1").map(|v| v > 0.5),
            in_flight: get("concurrent").or(get("depth")),
            cores_in_use: get("load_share").filter(|u| u.is_finite()),
        };
        Some(r)
    }

    fn list(&mut self, complete: bool, wire: &[WireEntry]) -> Result<(), String> {
        let mut entries = Vec::with_capacity(wire.len());
        for e in wire {
            let listed = match e.status.as_str() {
                "Ready" => EndpointState::Ready,
                "Terminating" => EndpointState::Draining,
                "Gone" => EndpointState::Removed,
                other => return Err(format!("unknown status {other} of a member")),
            };
            entries.push(Endpoint {
                member: self.member(&e.member),
                group: GroupId(e.db),
                zone: ZoneId(self.zones.number(&e.area) as u32),
                state: listed,
                primary: e.primary.unwrap_or(0.0) > 0.5,
                size: e.nominal.unwrap_or(1.0),
                started: e.since_ns.filter(|&t| t > 0),
            });
        }
        self.events.push(Event::EndpointList {
            complete,
            endpoints: entries,
        });
        Ok(())
    }

    fn ended(&mut self, id: RequestId) {
        if let Some(o) = self.open.get_mut(&id) {
            o.ended = true;
            self.closing.push(id);
        }
    }

    fn flush(&mut self, inst: i64, now: i64, out: &mut Vec<WireAction>) {
        let events = std::mem::take(&mut self.events);
        for a in self.router.batch(now, &events) {
            if let Some(w) = self.action(inst, a) {
                out.push(w);
            }
        }
        for id in std::mem::take(&mut self.closing) {
            if (self.open.get(&id)).is_some_and(|o| o.ended && o.attempts_out == 0) {
                if let Some(o) = self.open.remove(&id) {
                    self.requests.remove(&o.name);
                }
            }
        }
    }

    fn action(&mut self, i: i64, a: Action) -> Option<WireAction> {
        let call = |s: &Self, id: RequestId| s.open.get(&id).map(|o| o.name.clone());
        Some(match a {
            Action::StartAttempt {
                id,
                member,
                timeout: limit,
            } => {
                let o = self.open.get_mut(&id)?;
                o.attempts_out += 1;
                WireAction::CallOut {
                    i,
                    call: o.name.clone(),
                    member: self.member_names[member.0 as usize].clone(),
                    limit_ns: limit,
                }
            }
            Action::CancelAttempt { id, attempt } => WireAction::Recall {
                i,
                call: call(self, id)?,
                seq_no: attempt,
            },
            Action::Reject {
                id,
                retry_after: pause,
            } => {
                self.ended(id);
                WireAction::Bounce {
                    i,
                    call: call(self, id)?,
                    pause_ns: pause,
                }
            }
            Action::Fail { id } => {
                self.ended(id);
                WireAction::DropRequest {
                    i,
                    call: call(self, id)?,
                }
            }
            Action::HealthCheck { member } => WireAction::Touch {
                i,
                member: self.member_names[member.0 as usize].clone(),
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

/// All instances of this process, and the catalogs that they share as messages.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<i64, Instance>,
    catalogs: HashMap<i64, Vec<WireEntry>>,
}

impl Adapter {
    /// An adapter without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers one line of the wire with one line, or says in plain words what is wrong with it.
    pub fn line(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch =
            serde_json::from_str(line).map_err(|e| format!("malformed batch: {e}"))?;
        let mut out = Vec::new();
        // Instances with events, in the order in which they were first named.
        let mut touched: Vec<i64> = Vec::new();
        for event in batch.happened {
            if let Some(inst) = self.take(event, &mut touched)? {
                if !touched.contains(&inst) {
                    touched.push(inst);
                }
            }
        }
        for i in touched {
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            let run = catch_unwind(AssertUnwindSafe(|| instance.flush(i, batch.now, &mut out)));
            if let Err(p) = run {
                let text = (p.downcast_ref::<String>().cloned())
                    .or_else(|| p.downcast_ref::<&str>().map(|s| s.to_string()));
                let msg = text.unwrap_or_else(|| "panic in the decision module".into());
                out.push(WireAction::Exception { i, msg });
            }
        }
        let reply = Reply {
            frame: &batch.frame,
            output: out,
        };
        serde_json::to_string(&reply).map_err(|e| format!("cannot write a reply: {e}"))
    }

    fn take(&mut self, e: WireEvent, touched: &mut Vec<i64>) -> Result<Option<i64>, String> {
        let (i, event) = match e {
            WireEvent::Catalog { set, entries } => {
                self.catalogs.insert(set, entries);
                return Ok(None);
            }
            WireEvent::Init { inst, seed, info } => {
                let seed = seed
                    .as_u64()
                    .or(seed.as_i64().map(|s| s as u64))
                    .unwrap_or_default();
                self.instances.insert(inst, Instance::new(seed, &info)?);
                return Ok(Some(inst));
            }
            WireEvent::Kill { inst } => {
                self.instances.remove(&inst);
                touched.retain(|&t| t != inst);
                return Ok(None);
            }
            WireEvent::View { inst, set, form } => {
                let Some(instance) = self.instances.get_mut(&inst) else {
                    return Ok(None);
                };
                if form == "lost" {
                    instance.events.push(Event::EndpointListLost);
                } else {
                    let entries = (set.and_then(|s| self.catalogs.get(&s)))
                        .ok_or("a view names a catalog that was never sent")?;
                    instance.list(form != "incr", entries)?;
                }
                return Ok(Some(inst));
            }
            WireEvent::Datagram {} => return Ok(None),
            WireEvent::Alarm { inst } => (inst, Some(Event::TimerFired)),
            WireEvent::Req {
                inst,
                call,
                class,
                team,
                session,
                deadline,
                work,
                group,
                mark_age_ms,
                retry,
            } => {
                let Some(s) = self.instances.get_mut(&inst) else {
                    return Ok(None);
                };
                let class = (s.classes.find(&class))
                    .ok_or_else(|| format!("unknown class {class} of a request"))?;
                let id = RequestId(s.next_request);
                s.next_request += 1;
                s.requests.insert(call.to_string(), id);
                let open = Open {
                    name: call.into_owned(),
                    attempts_out: 0,
                    ended: false,
                };
                s.open.insert(id, open);
                let tenant = team.and_then(|t| t.as_str().and_then(|t| s.tenants.find(t)));
                let event = Event::Request {
                    id,
                    class,
                    tenant,
                    session: session.map(|t| SessionId::of(t.as_bytes())),
                    deadline,
                    work,
                    group: GroupId(group),
                    last_write_age: mark_age_ms
                        .filter(|&a| a > 0.0)
                        .map(|a| (a * NS_PER_MS as f64) as i64),
                    retry: retry.unwrap_or(false),
                };
                (inst, Some(event))
            }
            WireEvent::Flowing { inst, call } => {
                let known = self
                    .instances
                    .get(&inst)
                    .and_then(|s| s.requests.get(call.as_ref()));
                (inst, known.map(|&id| Event::Streaming { id }))
            }
            WireEvent::ReportBack {
                inst,
                call,
                attempt,
                member,
                outcome: code,
                elapsed,
                finished,
                stand,
                metrics,
            } => {
                let Some(s) = self.instances.get_mut(&inst) else {
                    return Ok(None);
                };
                let known = s.requests.get(call.as_ref()).copied();
                let Some((id, &member)) = known.zip(s.members.get(member.as_ref())) else {
                    return Ok(Some(inst));
                };
                let finished = finished.unwrap_or(false);
                if let Some(o) = s.open.get_mut(&id) {
                    o.attempts_out = o.attempts_out.saturating_sub(1);
                    o.ended |= finished;
                    s.closing.push(id);
                }
                let zero = s.zero;
                let note = stand.and_then(|v| {
                    let role = match v & 3 {
                        1 => Role::Primary,
                        2 => Role::Replica,
                        _ => return None,
                    };
                    let ms = v >> 2;
                    let position = (ms > 0).then(|| zero + ms * NS_PER_MS);
                    Some(ReplicationStatus { role, position })
                });
                let event = Event::AttemptEnded {
                    id,
                    attempt,
                    member,
                    outcome: outcome(code)?,
                    elapsed: elapsed.unwrap_or(0),
                    finished,
                    status: note,
                    report: s.report(metrics),
                };
                (inst, Some(event))
            }
            WireEvent::Vanished { inst, call } => {
                let s = self.instances.get_mut(&inst);
                let event = s.and_then(|s| {
                    let id = s.requests.get(call.as_ref()).copied()?;
                    s.ended(id);
                    Some(Event::ClientGone { id })
                });
                (inst, event)
            }
            WireEvent::Probed {
                inst,
                member,
                elapsed,
                outcome: code,
                metrics,
            } => {
                let Some(s) = self.instances.get_mut(&inst) else {
                    return Ok(None);
                };
                let Some(&member) = s.members.get(member.as_ref()) else {
                    return Ok(Some(inst));
                };
                let event = Event::HealthChecked {
                    member,
                    outcome: outcome(code)?,
                    elapsed: elapsed.unwrap_or(0),
                    report: s.report(metrics),
                };
                (inst, Some(event))
            }
        };
        let Some(instance) = self.instances.get_mut(&i) else {
            return Ok(None);
        };
        instance.events.extend(event);
        Ok(Some(i))
    }
}
