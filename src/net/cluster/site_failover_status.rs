//! Formats failover plans for the console and the log.
//!
//! Operators' tools parse the console's answer. The log uses the same labels for site states, so
//! that the two can be compared.

use crate::net::cluster::site_failover::SiteNames;
use irisrouter_site_failover::{Plan, SitePlan, SiteState};

/// Returns the label of a site state.
pub const fn state_label(state: SiteState) -> &'static str {
    match state {
        SiteState::Up => "up",
        SiteState::Lost => "lost",
        SiteState::Recovering => "returning",
    }
}

/// Formats the plan in force as one line for the console: the plan's version; the state, budget,
/// recovery ramp and load distribution of each site; the admitted share of each class that is not
/// admitted in full; and the retry delay.
pub fn console_line(plan: Option<&Plan>, names: &SiteNames) -> String {
    let Some(plan) = plan else {
        return "plan none in force".into();
    };
    let sites: Vec<String> = names
        .zones
        .iter()
        .zip(&plan.sites)
        .map(|(zone, site)| site_status(zone, site, names))
        .collect();
    let classes: Vec<String> = shed_classes(plan, names)
        .map(|(class, share)| format!("{class}:{share:.2}"))
        .collect();
    format!(
        "plan {}.{} {} admits={} pause={}ms",
        plan.version.epoch,
        plan.version.sequence,
        sites.join(" "),
        classes.join("+"),
        plan.retry_after
    )
}

fn site_status(zone: &str, site: &SitePlan, names: &SiteNames) -> String {
    let targets: Vec<String> = names
        .zones
        .iter()
        .zip(&site.load_distribution)
        .filter(|(_, &share)| share > 0.0)
        .map(|(target, share)| format!("{target}:{share:.2}"))
        .collect();
    format!(
        "{zone}={},budget={:.0},ramp={:.2},goes={}",
        state_label(site.state),
        site.budget_per_s,
        site.recovery_ramp,
        targets.join("+")
    )
}

/// Formats the plan in force for the log: its epoch, the states of the sites and the classes that
/// are shed. The text changes only when one of these changes, although a new plan arrives every
/// period.
pub fn log_line(plan: Option<&Plan>, names: &SiteNames) -> String {
    let Some(plan) = plan else {
        return "no plan in force".into();
    };
    let sites: Vec<String> = names
        .zones
        .iter()
        .zip(&plan.sites)
        .map(|(zone, site)| format!("{zone} {}", state_label(site.state)))
        .collect();
    let classes: Vec<&str> = shed_classes(plan, names).map(|(class, _)| class).collect();
    let shed = if classes.is_empty() {
        "none".into()
    } else {
        classes.join(", ")
    };
    format!(
        "plan in force, epoch {}: {}; load shedding: {shed}",
        plan.version.epoch,
        sites.join(", ")
    )
}

/// Returns the classes that are not admitted in full, each with the share that is admitted.
fn shed_classes<'a>(
    plan: &'a Plan,
    names: &'a SiteNames,
) -> impl Iterator<Item = (&'a str, f64)> + 'a {
    names
        .classes
        .iter()
        .zip(&plan.admitted_share)
        .map(|(class, &share)| (class.as_str(), share))
        .filter(|&(_, share)| share < 1.0)
}
