//! The settings object of a small deployment.

pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub freshness: &'static str,
    pub bound_ms: u64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
}

pub struct Settings {
    pub classes: Vec<Class>,
    pub session_marks: &'static str,
    pub server_checks: &'static str,
    /// The number of this gateway, and how many there are.
    pub gateway: (usize, usize),
}

impl Settings {
    pub fn json(&self) -> String {
        let list = |of: &dyn Fn(&Class) -> String| {
            self.classes.iter().map(of).collect::<Vec<_>>().join(",")
        };
        let classes = list(&|class| {
            format!(
                r#"{{"Name":"{}","Effect":"{}","Group":"cell","AimNs":{}000000,"DeadlineNs":{}000000,"LateWorth":0.0,"Streamed":false,"WindowNs":1200000000,"Worth":1.0}}"#,
                class.name, class.effect, class.aim_ms, class.deadline_ms
            )
        });
        let freshness = list(&|class| format!("\"{}\"", class.freshness));
        let bounds = list(&|class| (class.bound_ms * 1_000_000).to_string());
        format!(
            r#"{{"Balancers":{},"Me":{},"MyZone":"a","Zones":["a"],"Kinds":["std-5"],"Classes":[{classes}],
"Bounds":{{"Cancel":true,"ConnectTimeoutNs":250000000,"IdleCloseNs":30000000000,"MaxRetryAfterNs":1000000000,"MostTries":6,"Peers":{},"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1,"MostHeld":10000}},
"Clients":{{"MarksRetry":true}},
"Domain":{{"CatchUpWaitNs":50000000,"ClassBoundNs":[{bounds}],"Freshness":[{freshness}],"PositionZeroNs":0,"RoleInList":"none","ServerChecks":"{}","SessionMarks":"{}","Stamps":true,"Synchronous":false}},
"LoadInfo":{{"Fields":["x0","x1","load_share"],"How":"probe"}},"MembershipMode":"push","OverShareWorth":0.1,
"Penalties":{{"Probe":0.04}},"RoundNs":5000000,
"Rules":{{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":14000000000,"DrainGraceNs":500000000,"OverloadFactor":2.0,"StartCapacity":0.15,"TipAfterNs":3000000000}},
"Tenants":[],"Weights":"nominal","WorthBy":"request"}}"#,
            self.gateway.1,
            self.gateway.0,
            self.gateway.1 > 1,
            self.server_checks,
            self.session_marks
        )
    }
}
