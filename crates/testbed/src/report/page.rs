//! The HTML page of a run or of a comparison.

use super::plots;
use super::text::number;
use super::ReportError;
use crate::compare::Comparison;
use crate::results::RunResults;
use minijinja::value::Serde;
use minijinja::{context, Environment, Value};

const TEMPLATE: &str = include_str!("report.html");

/// The page of one run.
///
/// # Errors
/// A plot or the template fails.
pub fn page(results: &RunResults) -> Result<String, ReportError> {
    render(results, None)
}

/// The page of a comparison: its table, and the first seed's runs beside each other.
///
/// # Errors
/// As [`page`]; and the comparison has no run.
pub fn comparison_page(comparison: &Comparison) -> Result<String, ReportError> {
    let first = comparison.first_a.as_ref().ok_or(ReportError::NoRun)?;
    render(first, Some(comparison))
}

fn render(results: &RunResults, comparison: Option<&Comparison>) -> Result<String, ReportError> {
    let mut environment = Environment::new();
    environment.add_filter("number", number);
    environment.add_filter("percent", |v: f64| format!("{:.2} %", v * 100.0));
    environment.add_template("report.html", TEMPLATE)?;
    let template = environment.get_template("report.html")?;
    let runs: Vec<(&str, &RunResults)> = match comparison {
        Some(comparison) => {
            let b = comparison.first_b.as_ref().ok_or(ReportError::NoRun)?;
            vec![("A", results), ("B", b)]
        }
        None => vec![("", results)],
    };
    let service = plots::service(&runs)?;
    let sides = runs
        .iter()
        .map(|(name, results)| side(name, results))
        .collect::<Result<Vec<Value>, ReportError>>()?;
    Ok(template.render(context! {
        title => results.scenario.as_str(),
        seed => results.seed,
        mode => results.mode.as_str(),
        size => results.size,
        service => safe(service),
        sides,
        comparison => comparison.map(|c| Value::from(Serde(c))),
    })?)
}

/// The part of the page about one run.
fn side(name: &str, results: &RunResults) -> Result<Value, ReportError> {
    let totals = plots::totals(results)?;
    let held = plots::heat_map(results, "requests held", |host, second| {
        host.held.get(second).map(|&count| f64::from(count))
    })?;
    let lag = plots::heat_map(results, "lag of data, ms", |host, second| {
        host.lag_ms.get(second).copied().flatten()
    })?;
    Ok(context! {
        name => name,
        figures => Value::from(Serde(results)),
        sums => safe(totals),
        held => safe(held),
        lag => safe(lag),
        hosts_shown => results.hosts.len().min(plots::MAX_HOSTS),
        broken => results.violations(),
    })
}

/// A value that the template does not escape.
fn safe(svg: String) -> Value {
    Value::from_safe_string(svg)
}
