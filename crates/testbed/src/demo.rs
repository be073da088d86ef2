//! The demonstration: one gateway, one set, its clients, and a primary that dies; on loopback, in under half a minute.

use crate::loopback::environment::Environment;
use crate::loopback::{self, Options};
use crate::results::RunResults;
use crate::scenario::{GatewaySpec, Scenario};
use irisrouter_simulation::spec::{
    Fault, HostSelection, HostSpec, SetSpec, SilentHosts, Spec, TrafficSpec, ValueOrRange,
};
use std::path::PathBuf;

/// When the primary vanishes, and for how long, in seconds.
const SILENT: (f64, f64) = (5.0, 5.0);

/// The scenario.
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
                requests_per_s: Some(100.0),
                ..TrafficSpec::default()
            },
            faults: vec![Fault {
                at_s: ValueOrRange::Value(SILENT.0),
                for_s: ValueOrRange::Value(SILENT.1),
                silent: Some(silent),
                ..Fault::default()
            }],
            ..Spec::default()
        },
        gateway: GatewaySpec::default(),
    }
}

/// Runs it, and says each second what happens.
///
/// # Errors
/// Where the gateway does not start or ends by itself.
pub fn run(gateway: PathBuf, seed: u64, say: &dyn Fn(&str)) -> Result<RunResults, String> {
    let scenario = scenario();
    let w = &scenario.world;
    say(&format!(
        "One gateway in front of one set of {} hosts, 100 requests a second, for {} s. All on 127.0.0.1.\n\
         At {} s the primary falls silent: no reset, no answer. The set elects another one, and at {} s the old one is\n\
         back, cold and behind. What follows is the share of requests answered in time, of those that ended.\n",
        w.hosts.count,
        w.length_s,
        SILENT.0,
        SILENT.0 + SILENT.1
    ));
    let names: String = w
        .classes
        .iter()
        .map(|c| format!("{:>13}", c.name))
        .collect();
    say(&format!("{:>6}{names}  primary\n", ""));
    let each_second = |environment: &Environment| {
        let recent = environment.collector.borrow_mut().take_recent();
        let second = environment.elapsed().round();
        if second < 1.0 {
            return;
        }
        let shares: String = (recent.iter())
            .map(|&(asked, served)| match asked {
                0 => format!("{:>13}", "-"),
                _ => format!("{:>11.0} %", 100.0 * served as f64 / asked as f64),
            })
            .collect();
        let primary = environment
            .fleet
            .borrow()
            .primary(irisrouter_simulation::SetId(0));
        let primary = primary.map_or("none".to_string(), |h| format!("host {}", h.0));
        say(&format!("{second:>4.0} s{shares}  {primary}\n"));
    };
    let options = Options {
        gateway,
        each_second: &each_second,
    };
    loopback::run(&scenario, seed, &options)
}
