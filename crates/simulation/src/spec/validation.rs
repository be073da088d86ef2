//! Checks of settings that the schema cannot express: ranges, sums and references between settings.

use super::{ClassSpec, Fault, HostSelection, Need, Spec, ValueOrRange};

/// One day in seconds: the upper limit of settings in seconds.
const DAY_S: f64 = 86_400.0;
/// One hour in milliseconds: the highest upper limit of settings in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct SpecProblem {
    /// The path of the setting within the [`Spec`], as a JSON pointer.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Problems found so far, in the order of the checks.
#[derive(Default)]
struct Problems(Vec<SpecProblem>);

impl Problems {
    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(SpecProblem {
            path: path.into(),
            reason: reason.into(),
        });
    }

    /// Checks that the lower end of a range is not above the upper end, and that both lie within `least` to `most`.
    fn check_range(&mut self, path: &str, range: ValueOrRange, least: f64, most: f64) {
        let [low, high] = range.bounds();
        if !(low.is_finite() && high.is_finite()) || low < least || high > most {
            self.add(
                path,
                format!("{low} to {high} is outside the allowed range {least} to {most}"),
            );
        } else if low > high {
            self.add(
                path,
                format!("the lower end {low} is above the upper end {high}"),
            );
        }
    }
}

impl Spec {
    /// Returns the settings that the schema accepts but that cannot be used, in a fixed order.
    pub fn problems(&self) -> Vec<SpecProblem> {
        let mut problems = Problems::default();
        self.check_host_and_set_ranges(&mut problems);
        self.check_traffic_and_client_ranges(&mut problems);
        self.check_network_ranges(&mut problems);
        for (index, class) in self.classes.iter().enumerate() {
            let path = format!("/classes/{index}/work_ms");
            problems.check_range(&path, class.work_ms, 0.001, HOUR_MS);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            check_fault_ranges(&mut problems, index, fault);
        }
        self.check_totals(&mut problems);
        for (index, class) in self.classes.iter().enumerate() {
            self.check_class(&mut problems, index, class);
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(&mut problems, index, fault);
        }
        problems.0
    }

    fn check_host_and_set_ranges(&self, problems: &mut Problems) {
        let hosts = &self.hosts;
        problems.check_range(
            "/hosts/connect_work_ms",
            hosts.connect_work_ms,
            0.0,
            10_000.0,
        );
        problems.check_range("/hosts/probe_work_ms", hosts.probe_work_ms, 0.0, 10_000.0);
        problems.check_range("/hosts/cold_start", hosts.cold_start, 0.01, 1.0);
        problems.check_range("/hosts/cold_s", hosts.cold_s, 0.001, DAY_S);
        problems.check_range("/hosts/report_ms", hosts.report_ms, 0.1, 60_000.0);
        let sets = &self.sets;
        problems.check_range("/sets/ship_ms", sets.ship_ms, 0.0, 60_000.0);
        problems.check_range("/sets/apply_use", sets.apply_use, 0.0, 0.99);
        problems.check_range("/sets/detect_s", sets.detect_s, 0.0, DAY_S);
        problems.check_range("/sets/elect_s", sets.elect_s, 0.0, DAY_S);
        problems.check_range("/sets/switch_s", sets.switch_s, 0.0, DAY_S);
    }

    fn check_traffic_and_client_ranges(&self, problems: &mut Problems) {
        let traffic = &self.traffic;
        problems.check_range("/traffic/load", traffic.load, 0.001, 100.0);
        problems.check_range("/traffic/follows", traffic.follows, 0.0, 1.0);
        problems.check_range("/traffic/gap_ms", traffic.gap_ms, 0.0, HOUR_MS);
        problems.check_range("/traffic/roams", traffic.roams, 0.0, 1.0);
        let clients = &self.clients;
        problems.check_range("/clients/patience", clients.patience, 0.01, 1.0);
        problems.check_range("/clients/backoff_ms", clients.backoff_ms, 0.0, HOUR_MS);
        problems.check_range("/clients/honour", clients.honour, 0.0, 1.0);
        problems.check_range("/clients/notice_s", clients.notice_s, 0.0, DAY_S);
    }

    fn check_network_ranges(&self, problems: &mut Problems) {
        let list = &self.list;
        problems.check_range("/list/notice_s", list.notice_s, 0.0, DAY_S);
        problems.check_range("/list/silent_notice_s", list.silent_notice_s, 0.0, DAY_S);
        problems.check_range("/list/spread_ms", list.spread_ms, 0.0, HOUR_MS);
        let net = &self.net;
        problems.check_range("/net/host_ms", net.host_ms, 0.0, 10_000.0);
        problems.check_range("/net/client_ms", net.client_ms, 0.0, 10_000.0);
        problems.check_range("/net/datagram_ms", net.datagram_ms, 0.0, 10_000.0);
        problems.check_range("/net/jitter", net.jitter, 0.0, 10.0);
    }

    fn check_totals(&self, problems: &mut Problems) {
        let hosts = self.hosts.count;
        let members = self.sets.members;
        if hosts < members {
            problems.add(
                "/hosts/count",
                format!("{hosts} hosts are too few for one set of {members} members"),
            );
        }
        if self.warm_up_s >= self.length_s {
            problems.add("/warm_up_s", "must be less than /length_s");
        }
        if self.classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            problems.add("/classes", "the sum of the shares must be over 0");
        }
    }

    fn check_class(&self, problems: &mut Problems, index: usize, class: &ClassSpec) {
        let path = format!("/classes/{index}");
        let earlier = &self.classes[..index];
        if earlier.iter().any(|other| other.name == class.name) {
            problems.add(
                format!("{path}/name"),
                format!("duplicate class name {}", class.name),
            );
        }
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !class.name.chars().all(is_plain) {
            problems.add(
                format!("{path}/name"),
                "only ASCII letters, digits, - and _ are allowed",
            );
        }
        if class.aim_ms > class.deadline_ms {
            problems.add(format!("{path}/aim_ms"), "must not exceed deadline_ms");
        }
        if (class.need == Need::Bounded) != (class.bound_ms > 0.0) {
            problems.add(
                format!("{path}/bound_ms"),
                "must be over 0 with need 'bounded', and 0 otherwise",
            );
        }
    }

    fn check_fault(&self, problems: &mut Problems, index: usize, fault: &Fault) {
        let path = format!("/faults/{index}");
        let kinds = fault.kinds();
        if kinds.len() != 1 {
            let found = if kinds.is_empty() {
                "none".to_string()
            } else {
                kinds.join(" and ")
            };
            problems.add(
                path.clone(),
                format!("exactly one kind of fault is expected, not {found}"),
            );
        }
        for (place, selection) in fault.host_selections() {
            self.check_selection(problems, &format!("{path}/{place}"), selection);
        }
        let surge_sets = fault.flood.as_ref().map_or(0, |flood| flood.sets);
        if surge_sets > self.set_count() {
            problems.add(
                format!("{path}/flood/sets"),
                format!("must not exceed the number of sets, {}", self.set_count()),
            );
        }
    }

    fn check_selection(&self, problems: &mut Problems, path: &str, selection: &HostSelection) {
        let ways = [
            selection.share.is_some(),
            selection.count.is_some(),
            selection.these.is_some(),
        ];
        if ways.iter().filter(|given| **given).count() != 1 {
            problems.add(path, "exactly one of share, count and these is expected");
        }
        for &host in selection.these.iter().flatten() {
            if host >= self.hosts.count {
                problems.add(format!("{path}/these"), format!("there is no host {host}"));
            }
        }
    }
}

fn check_fault_ranges(problems: &mut Problems, index: usize, fault: &Fault) {
    let path = format!("/faults/{index}");
    problems.check_range(&format!("{path}/at_s"), fault.at_s, 0.0, DAY_S);
    problems.check_range(&format!("{path}/for_s"), fault.for_s, 0.0, DAY_S);
    let slowdowns = [
        ("slow_apply", &fault.slow_apply),
        ("slowdown", &fault.slowdown),
    ];
    for (name, slowdown) in slowdowns {
        if let Some(slowdown) = slowdown {
            let path = format!("{path}/{name}/times");
            problems.check_range(&path, slowdown.times, 1.0, 1000.0);
        }
    }
    if let Some(flood) = &fault.flood {
        problems.check_range(&format!("{path}/flood/part"), flood.part, 0.0, 10.0);
    }
    if let Some(restarts) = &fault.gateways_killed {
        let path = format!("{path}/gateways_killed/down_s");
        problems.check_range(&path, restarts.down_s, 0.0, DAY_S);
    }
}
