//! The timeline of a soak: the steps that a plan comes to, in the order of their times.

use super::overload::{SlowCrowd, SoakFlood};
use super::plan::{SoakFault, SoakPlan, TimedFault};

/// Between the first SIGTERM and those that repeat it, in milliseconds.
const REPEATED_SIGNAL_MS: u64 = 60;
/// Changes of a listed host that no client uses, and the time between two of them, in milliseconds.
const LISTED_HOST_CHANGES: u64 = 80;
const LISTED_HOST_CHANGE_INTERVAL_MS: u64 = 100;

/// A step of the run: a fault that begins or ends, or a signal.
#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    CutHost {
        host: usize,
        cut: bool,
    },
    SlowWrites {
        host: usize,
        ms: u64,
    },
    ResetHost {
        host: usize,
    },
    Drain {
        host: usize,
    },
    Reload {
        gateway: usize,
        deadline_percent: u64,
    },
    Signals {
        gateway: usize,
        count: usize,
    },
    Stop {
        gateway: usize,
    },
    Continue {
        gateway: usize,
    },
    RefuseList {
        gateway: usize,
        refuse: bool,
    },
    ChangeListedHost {
        in_service: bool,
    },
    Crowd {
        gateway: usize,
        connections: usize,
    },
    SlowCrowd {
        gateway: usize,
        clients: usize,
    },
    BeginFlood {
        flood: SoakFlood,
    },
    EndFlood,
    Terminate {
        gateway: usize,
        reload_before: bool,
    },
    TerminateAgain {
        gateway: usize,
    },
}

/// The steps of a plan, in the order of their times, in milliseconds since the clients have begun.
pub(super) fn timeline(plan: &SoakPlan) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for timed in &plan.faults {
        steps.extend(fault_steps(timed));
    }
    steps.extend(overload_steps(plan));
    if plan.listed_sets > 0 {
        steps.extend(listed_host_steps());
    }
    steps.extend(termination_steps(plan));
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// The steps of a fault.
fn fault_steps(timed: &TimedFault) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    let at = timed.at_ms;
    match timed.fault {
        SoakFault::HostHangs { host, ms } => {
            steps.push((at, Step::CutHost { host, cut: true }));
            steps.push((at + ms, Step::CutHost { host, cut: false }));
        }
        SoakFault::SlowWrites { host, ms } => steps.push((at, Step::SlowWrites { host, ms })),
        SoakFault::HostResets {
            host,
            count,
            interval_ms,
        } => {
            let times = (0..count as u64).map(|number| at + number * interval_ms);
            steps.extend(times.map(|at| (at, Step::ResetHost { host })));
        }
        SoakFault::Drain { host } => steps.push((at, Step::Drain { host })),
        SoakFault::Reload {
            gateway,
            deadline_percent,
        } => {
            let step = Step::Reload {
                gateway,
                deadline_percent,
            };
            steps.push((at, step));
        }
        SoakFault::Signals { gateway, count } => {
            steps.push((at, Step::Signals { gateway, count }));
        }
        SoakFault::Stall { gateway, ms } => {
            steps.push((at, Step::Stop { gateway }));
            steps.push((at + ms, Step::Continue { gateway }));
        }
        SoakFault::DiscoveryDown { gateway, ms } => {
            let refuse = |refuse| Step::RefuseList { gateway, refuse };
            steps.push((at, refuse(true)));
            steps.push((at + ms, refuse(false)));
        }
        SoakFault::Crowd {
            gateway,
            connections,
        } => {
            let step = Step::Crowd {
                gateway,
                connections,
            };
            steps.push((at, step));
        }
    }
    steps
}

/// The steps of what overloads the gateways.
fn overload_steps(plan: &SoakPlan) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    if let Some(flood) = plan.overload.flood {
        steps.push((flood.at_ms, Step::BeginFlood { flood }));
        steps.push((flood.at_ms + flood.ms, Step::EndFlood));
    }
    if let Some(SlowCrowd {
        at_ms,
        gateway,
        clients,
    }) = plan.overload.slow_crowd
    {
        steps.push((at_ms, Step::SlowCrowd { gateway, clients }));
    }
    steps
}

/// Changes of a listed host that no client uses.
fn listed_host_steps() -> impl Iterator<Item = (u64, Step)> {
    (0..LISTED_HOST_CHANGES).map(|number| {
        let in_service = number % 2 == 1;
        let at = number * LISTED_HOST_CHANGE_INTERVAL_MS;
        (at, Step::ChangeListedHost { in_service })
    })
}

/// The ends of all gateways.
fn termination_steps(plan: &SoakPlan) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for (gateway, termination) in plan.terminations.iter().enumerate() {
        let reload_before = termination.reload_before;
        let step = Step::Terminate {
            gateway,
            reload_before,
        };
        steps.push((termination.at_ms, step));
        if termination.repeated {
            let again = termination.at_ms + REPEATED_SIGNAL_MS;
            steps.push((again, Step::TerminateAgain { gateway }));
        }
    }
    steps
}
