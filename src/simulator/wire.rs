//! The simulator's messages as JSON: their keys, without any derived values.

use crate::platform_settings::BootInfo;
use crate::routing::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::HashMap;

/// One member in an endpoint catalog.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct WireEntry {
    pub(super) member: String,
    pub(super) area: String,
    pub(super) db: i64,
    pub(super) status: String,
    pub(super) primary: Option<f64>,
    pub(super) nominal: Option<f64>,
    pub(super) since_ns: Option<Timestamp>,
}

/// The values of a load report by name. A value may be null.
pub(super) type Metrics<'a> = HashMap<Cow<'a, str>, Option<f64>>;

/// An event in the simulation.
#[derive(Deserialize)]
pub(super) enum WireEvent<'a> {
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
        tenant: Option<serde_json::Value>,
        #[serde(rename = "Sess", default, borrow)]
        session: Option<Cow<'a, str>>,
        #[serde(rename = "ClientDeadlineNs")]
        deadline: Timestamp,
        #[serde(rename = "WorkNs", default)]
        work: Option<TimeDelta>,
        #[serde(rename = "Shard")]
        group: i64,
        #[serde(rename = "TokenAgeMs", default)]
        last_write_age_ms: Option<f64>,
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
        elapsed: Option<TimeDelta>,
        #[serde(rename = "DoneFlag", default)]
        finished: Option<bool>,
        #[serde(rename = "Stand", default)]
        status: Option<i64>,
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
        elapsed: Option<TimeDelta>,
        #[serde(rename = "Disposition")]
        outcome: i64,
        #[serde(rename = "Metrics", default, borrow)]
        metrics: Option<Metrics<'a>>,
    },
    Datagram {},
}

impl WireEvent<'_> {
    /// Returns the instance that the event concerns, if it concerns one.
    pub(super) fn instance(&self) -> Option<i64> {
        match self {
            WireEvent::Init { inst, .. }
            | WireEvent::Kill { inst }
            | WireEvent::View { inst, .. }
            | WireEvent::Req { inst, .. }
            | WireEvent::Flowing { inst, .. }
            | WireEvent::ReportBack { inst, .. }
            | WireEvent::Vanished { inst, .. }
            | WireEvent::Alarm { inst }
            | WireEvent::Probed { inst, .. } => Some(*inst),
            WireEvent::Catalog { .. } | WireEvent::Datagram {} => None,
        }
    }
}

/// A line from the simulator: the events at one time.
#[derive(Deserialize)]
pub(super) struct Batch<'a> {
    #[serde(rename = "TNs")]
    pub(super) now: Timestamp,
    pub(super) frame: serde_json::Value,
    #[serde(borrow)]
    pub(super) happened: Vec<WireEvent<'a>>,
}

/// A line to the simulator: the actions for the events of one batch.
#[derive(Serialize)]
pub(super) struct Reply<'a> {
    pub(super) frame: &'a serde_json::Value,
    pub(super) output: Vec<WireAction>,
}

/// An action of an instance.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) enum WireAction {
    #[serde(rename_all = "PascalCase")]
    CallOut {
        i: i64,
        call: String,
        member: String,
        limit_ns: TimeDelta,
    },
    #[serde(rename_all = "PascalCase")]
    Recall { i: i64, call: String, seq_no: u32 },
    #[serde(rename_all = "PascalCase")]
    Bounce {
        i: i64,
        call: String,
        pause_ns: TimeDelta,
    },
    #[serde(rename_all = "PascalCase")]
    DropRequest { i: i64, call: String },
    #[serde(rename_all = "PascalCase")]
    Touch { i: i64, member: String },
    #[serde(rename_all = "PascalCase")]
    After {
        i: i64,
        in_ns: TimeDelta,
        name: &'static str,
    },
    #[serde(rename_all = "PascalCase")]
    Tail { i: i64, active: bool },
    #[serde(rename_all = "PascalCase")]
    Exception { i: i64, msg: String },
}
