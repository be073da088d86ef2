//! The demonstration: one gateway, one set, its clients, and a primary that dies; on loopback, in under half a minute.

use crate::loopback::environment::Environment;
use crate::loopback::{self, LoopbackError, Options};
use crate::results::{RecentRequests, RunResults};
use crate::scenario::{GatewaySpec, Scenario};
use irisrouter_simulation::spec::{
    Fault, HostSelection, HostSpec, SetSpec, SilentHosts, Spec, TrafficSpec, ValueOrRange,
};
use irisrouter_simulation::SetId;
use std::path::PathBuf;

/// When the primary falls silent, in seconds from the start.
const SILENT_AT_S: f64 = 5.0;
/// For how long it is silent, in seconds.
const SILENT_FOR_S: f64 = 5.0;
/// Load, in requests a second.
const REQUESTS_PER_S: f64 = 100.0;

/// The scenario of the demonstration.
pub fn scenario() -> Scenario {
    let silent = SilentHosts {
        hosts: HostSelection {
            these: Some(vec![0]),
            ..HostSelection::default()
        },
        hang: false,
    };
    Scenario {
        title: "One set, one gateway, and a primary that vanishes".into(),
        about: String::new(),
        world: Spec {
            gateways: 1,
            length_s: 16.0,
            warm_up_s: 0.0,
            hosts: HostSpec {
                count: 4,
                cold_s: ValueOrRange::Value(4.0),
                ..HostSpec::default()
            },
            sets: SetSpec {
                members: 4,
                detect_s: ValueOrRange::Value(1.0),
                elect_s: ValueOrRange::Value(1.0),
                ..SetSpec::default()
            },
            traffic: TrafficSpec {
                requests_per_s: Some(REQUESTS_PER_S),
                ..TrafficSpec::default()
            },
            faults: vec![Fault {
                at_s: ValueOrRange::Value(SILENT_AT_S),
                for_s: ValueOrRange::Value(SILENT_FOR_S),
                silent: Some(silent),
                ..Fault::default()
            }],
            ..Spec::default()
        },
        gateway: GatewaySpec::default(),
    }
}

/// Runs the demonstration, and writes each second what happens.
///
/// # Errors
/// The gateway does not start or ends by itself.
pub fn run(gateway: PathBuf, seed: u64, write: &dyn Fn(&str)) -> Result<RunResults, LoopbackError> {
    let scenario = scenario();
    write(&introduction(&scenario));
    let each_second = |environment: &Environment| {
        let recent = environment.collector.borrow_mut().take_recent();
        let second = environment.elapsed().round();
        if second >= 1.0 {
            write(&line_of_second(environment, second, &recent));
        }
    };
    let options = Options {
        gateway,
        each_second: &each_second,
    };
    loopback::run(&scenario, seed, &options)
}

/// What is shown, and the heads of the columns.
fn introduction(scenario: &Scenario) -> String {
    let world = &scenario.world;
    let (hosts, length_s) = (world.hosts.count, world.length_s);
    let back_at_s = SILENT_AT_S + SILENT_FOR_S;
    let classes: String = world
        .classes
        .iter()
        .map(|class| format!("{:>13}", class.name))
        .collect();
    format!(
        "One gateway in front of one set of {hosts} hosts, {REQUESTS_PER_S} requests a second, for {length_s} s. All on 127.0.0.1.\n\
         At {SILENT_AT_S} s the primary falls silent: no reset, no answer. The set elects another one, and at {back_at_s} s the old one is\n\
         back, cold and behind. What follows is the share of requests answered in time, of those that ended.\n\
         {:>6}{classes}  primary\n",
        ""
    )
}

/// The share of requests answered in time by class, and the set's primary.
fn line_of_second(environment: &Environment, second: f64, recent: &[RecentRequests]) -> String {
    let shares: String = recent
        .iter()
        .map(|class| match class.ended {
            0 => format!("{:>13}", "-"),
            ended => {
                let percent = 100.0 * class.in_time as f64 / ended as f64;
                format!("{percent:>11.0} %")
            }
        })
        .collect();
    let primary = environment.fleet.borrow().primary(SetId(0));
    let primary = primary.map_or("none".to_string(), |host| format!("host {}", host.0));
    format!("{second:>4.0} s{shares}  {primary}\n")
}
