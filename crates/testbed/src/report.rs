//! What people read: a summary for the terminal, and one self-contained HTML page with its plots inside.
//!
//! Plots are drawn by `plotters` as SVG. Its colours are replaced by the page's own variables, so that one drawing is
//! right on light and on dark.

use crate::compare::{Comparison, Interval};
use crate::results::{HostResults, Mark, RunResults, Second};
use crate::scenario::Scenario;
use minijinja::value::Serde;
use minijinja::{context, Environment, Value};
use plotters::prelude::*;
use std::fmt::Write;

/// Stand-ins for the page's colours, which no plot uses otherwise.
const INK: RGBColor = RGBColor(1, 2, 3);
const GRID: RGBColor = RGBColor(4, 5, 6);
const LINE_A: RGBColor = RGBColor(7, 8, 9);
const LINE_B: RGBColor = RGBColor(10, 11, 12);
const FAULT: RGBColor = RGBColor(13, 14, 15);
const LINE_C: RGBColor = RGBColor(16, 17, 18);
const LINE_D: RGBColor = RGBColor(19, 20, 21);
const HEAT: RGBColor = RGBColor(22, 23, 24);
const VARIABLES: [(&str, &str); 8] = [
    ("#010203", "var(--ink)"),
    ("#040506", "var(--grid)"),
    ("#070809", "var(--a)"),
    ("#0A0B0C", "var(--b)"),
    ("#0D0E0F", "var(--fault)"),
    ("#101112", "var(--c)"),
    ("#131415", "var(--d)"),
    ("#161718", "var(--heat)"),
];
/// Hosts that a plot by host shows, those with the highest load first.
const HOSTS_SHOWN: usize = 48;
const SIZE: (u32, u32) = (960, 260);

const PAGE: &str = include_str!("report.html");

/// A line of a plot.
struct Line<'a> {
    name: &'a str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// A figure as people read it.
fn number(v: f64) -> String {
    match v.abs() {
        0.0 => "0".into(),
        x if x >= 1000.0 => format!("{v:.0}"),
        x if x >= 10.0 => format!("{v:.1}"),
        x if x >= 0.1 => format!("{v:.3}"),
        _ => format!("{v:.4}"),
    }
}

/// The summary of one run.
pub fn text(f: &RunResults) -> String {
    let mut out = String::new();
    let [gateways, hosts, sets] = f.size;
    let _ = writeln!(
        out,
        "{}: {gateways} gateways, {hosts} hosts, {sets} sets, seed {}, {}",
        f.scenario, f.seed, f.mode
    );
    let _ = writeln!(
        out,
        "service {:.4}  worst 10 s {:.4}  worst class {:.4}  goal {:.4}  of {} requests",
        f.service, f.worst_10s, f.worst_class, f.goal, f.requests
    );
    let _ = writeln!(
        out,
        "{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>8}{:>9}{:>9}",
        "class",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "timed",
        "service",
        "p50 ms",
        "p99 ms"
    );
    for c in &f.classes {
        let _ = writeln!(
            out,
            "{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>9}{:>8.4}{:>9.1}{:>9.1}",
            c.name,
            c.asked,
            c.in_time,
            c.late,
            c.refused,
            c.failed + c.unreachable,
            c.timed_out,
            c.service,
            c.p50_ms,
            c.p99_ms
        );
    }
    let _ = writeln!(
        out,
        "per request: {:.3} tries, {:.3} attempts, {:.4} probes, {:.4} connections, {:.1} bytes; wasted work {:.4}",
        f.tries_per_request,
        f.attempts_per_request,
        f.probes_per_request,
        f.connections_per_request,
        f.datagram_bytes_per_request,
        f.wasted_work
    );
    let recovery = f
        .recovery_s
        .map_or("-".to_string(), |s| format!("{s:.1} s"));
    let _ = writeln!(
        out,
        "peak load {:.2}, of cold hosts {:.2}; back at 95 % after {recovery}",
        f.peak_load, f.peak_cold_load
    );
    let broken = f.broken();
    let rules = if broken.is_empty() {
        "kept".to_string()
    } else {
        format!("BROKEN: {}", broken.join(", "))
    };
    let _ = writeln!(out, "rules {rules}");
    out
}

/// The summary of many runs of one choice.
pub fn summary_text(s: &Scenario, seeds: &[u64], rows: &[(&str, Interval)]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}: {} seeds, mean and its 95 % interval",
        s.title,
        seeds.len()
    );
    for (name, i) in rows {
        let _ = writeln!(
            out,
            "{name:<28}{:>10}  [{}, {}]",
            number(i.mean),
            number(i.low),
            number(i.high)
        );
    }
    out
}

/// The summary of a comparison.
pub fn comparison_text(c: &Comparison) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "{}: {} seeds, paired", c.scenario, c.seeds.len());
    let _ = writeln!(out, "A: {}\nB: {}", or_defaults(&c.a), or_defaults(&c.b));
    let _ = writeln!(
        out,
        "{:<28}{:>10}{:>10}{:>12}  95 % interval of the difference",
        "", "A", "B", "B - A"
    );
    for f in &c.figures {
        let d = &f.difference;
        let _ = writeln!(
            out,
            "{:<28}{:>10}{:>10}{:>12}  [{}, {}] {}",
            f.name,
            number(f.a.mean),
            number(f.b.mean),
            number(d.mean),
            number(d.low),
            number(d.high),
            f.verdict
        );
    }
    out
}

fn or_defaults(settings: &str) -> &str {
    if settings.is_empty() {
        "the file's defaults"
    } else {
        settings
    }
}

/// The page of one run.
///
/// # Errors
/// Where a plot or the template fails.
pub fn page(f: &RunResults) -> Result<String, String> {
    render(f, None)
}

/// The page of a comparison: its table, and the first seed's runs beside each other.
///
/// # Errors
/// As [`page`].
pub fn comparison_page(c: &Comparison) -> Result<String, String> {
    let first = c.first_a.as_ref().ok_or("no run to show")?;
    render(first, Some(c))
}

fn render(f: &RunResults, c: Option<&Comparison>) -> Result<String, String> {
    let mut env = Environment::new();
    env.add_filter("number", number);
    env.add_filter("percent", |v: f64| format!("{:.2} %", v * 100.0));
    env.add_template("report.html", PAGE)
        .map_err(|e| e.to_string())?;
    let template = env.get_template("report.html").map_err(|e| e.to_string())?;
    let runs: Vec<(&str, &RunResults)> = match c {
        Some(c) => {
            let b = c.first_b.as_ref().ok_or("no run to show")?;
            vec![("A", f), ("B", b)]
        }
        None => vec![("", f)],
    };
    let shares = service_plot(&runs)?;
    let sides: Vec<Value> = (runs.iter())
        .map(|(name, f)| {
            let sums = totals_plot(f)?;
            let held = heat_plot(f, "requests held", |h, s| {
                h.held.get(s).map(|&n| f64::from(n))
            })?;
            let lag = heat_plot(f, "lag of data, ms", |h, s| {
                h.lag_ms.get(s).copied().flatten()
            })?;
            Ok(context! {
                name => *name,
                figures => Value::from(Serde(f)),
                sums => safe(sums),
                held => safe(held),
                lag => safe(lag),
                hosts_shown => f.hosts.len().min(HOSTS_SHOWN),
                broken => f.broken(),
            })
        })
        .collect::<Result<_, String>>()?;
    template
        .render(context! {
            title => f.scenario.as_str(),
            seed => f.seed,
            mode => f.mode.as_str(),
            size => f.size,
            service => safe(shares),
            sides,
            comparison => c.map(|c| Value::from(Serde(c))),
        })
        .map_err(|e| e.to_string())
}

fn safe(svg: String) -> Value {
    Value::from_safe_string(svg)
}

fn share(s: &Second) -> Option<f64> {
    (s.asked > 0.0).then(|| s.earned / s.asked)
}

fn service_plot(runs: &[(&str, &RunResults)]) -> Result<String, String> {
    let colours = [LINE_A, LINE_B];
    let lines: Vec<Line> = (runs.iter().zip(colours))
        .map(|((name, f), colour)| Line {
            name: if name.is_empty() { "service" } else { name },
            colour,
            points: (f.seconds.iter().enumerate())
                .filter_map(|(i, s)| Some((i as f64 + 0.5, share(s)?)))
                .collect(),
        })
        .collect();
    let length = runs.iter().map(|(_, f)| f.seconds.len()).max().unwrap_or(1);
    lines_plot(length as f64, 1.0, &lines, &runs[0].1.marks)
}

fn totals_plot(f: &RunResults) -> Result<String, String> {
    let line = |name, colour, of: fn(&Second) -> u64| Line {
        name,
        colour,
        points: f
            .seconds
            .iter()
            .enumerate()
            .map(|(i, s)| (i as f64 + 0.5, of(s) as f64))
            .collect(),
    };
    let lines = [
        line("first tries", LINE_A, |s| s.first_tries),
        line("further tries", LINE_B, |s| s.retries),
        line("refusals", LINE_C, |s| s.refusals),
        line("new connections", LINE_D, |s| s.connections),
    ];
    let most = lines
        .iter()
        .flat_map(|l| &l.points)
        .map(|p| p.1)
        .fold(1.0, f64::max);
    lines_plot(f.seconds.len() as f64, most * 1.05, &lines, &f.marks)
}

fn words<E: std::fmt::Display>(e: E) -> String {
    format!("a plot failed: {e}")
}

fn lines_plot(length: f64, top: f64, lines: &[Line], marks: &[Mark]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..length.max(1.0), 0.0..top)
            .map_err(words)?;
        chart
            .configure_mesh()
            .bold_line_style(GRID)
            .light_line_style(TRANSPARENT)
            .axis_style(GRID)
            .label_style(("sans-serif", 13, &INK))
            .x_labels(13)
            .y_labels(6)
            .x_label_formatter(&|x| format!("{x:.0} s"))
            .y_label_formatter(&|y| number(*y))
            .draw()
            .map_err(words)?;
        let bands = marks
            .iter()
            .map(|m| (m.at_s, m.until_s.unwrap_or(m.at_s + length / 400.0)));
        let bands = bands.map(|(from, to)| {
            Rectangle::new(
                [(from, 0.0), (to.min(length), top)],
                FAULT.mix(0.12).filled(),
            )
        });
        chart.draw_series(bands).map_err(words)?;
        for line in lines {
            let series = LineSeries::new(line.points.iter().copied(), line.colour.stroke_width(2));
            let colour = line.colour;
            let key =
                move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(3));
            chart
                .draw_series(series)
                .map_err(words)?
                .label(line.name)
                .legend(key);
        }
        chart
            .configure_series_labels()
            .label_font(("sans-serif", 13, &INK))
            .position(SeriesLabelPosition::LowerLeft)
            .margin(4)
            .draw()
            .map_err(words)?;
        area.present().map_err(words)?;
    }
    Ok(themed(svg))
}

/// A row for each host, a column for each second: the darker, the more.
fn heat_plot(
    f: &RunResults,
    what: &str,
    of: impl Fn(&HostResults, usize) -> Option<f64>,
) -> Result<String, String> {
    let mut hosts: Vec<&HostResults> = f.hosts.iter().collect();
    hosts.sort_by(|a, b| {
        b.peak_load
            .total_cmp(&a.peak_load)
            .then(a.host.cmp(&b.host))
    });
    hosts.truncate(HOSTS_SHOWN);
    hosts.sort_by_key(|h| (h.set, h.host));
    let seconds = hosts.iter().map(|h| h.held.len()).max().unwrap_or(0);
    if seconds == 0 {
        return Ok(String::new());
    }
    let most = (hosts
        .iter()
        .flat_map(|h| (0..seconds).filter_map(|s| of(h, s)))
        .fold(0.0, f64::max))
    .max(1e-9);
    let rows = hosts.len();
    let mut svg = String::new();
    {
        let height = 40 + 12 * rows as u32;
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, height.max(80))).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..rows as f64)
            .map_err(words)?;
        let names: Vec<String> = hosts
            .iter()
            .map(|h| format!("{}/{}", h.set, h.host))
            .collect();
        chart
            .configure_mesh()
            .disable_mesh()
            .axis_style(GRID)
            .label_style(("sans-serif", 11, &INK))
            .x_labels(13)
            .x_label_formatter(&|x| format!("{x:.0} s"))
            .y_labels(rows.min(24))
            .y_label_formatter(&|y| {
                names
                    .get(rows.saturating_sub(1 + *y as usize))
                    .cloned()
                    .unwrap_or_default()
            })
            .draw()
            .map_err(words)?;
        for (row, host) in hosts.iter().enumerate() {
            let bottom = (rows - 1 - row) as f64;
            let cells = (0..seconds).filter_map(|s| {
                let corners = [(s as f64, bottom + 0.05), (s as f64 + 1.0, bottom + 0.95)];
                match of(host, s) {
                    Some(v) if v > 0.0 => Some(Rectangle::new(
                        corners,
                        HEAT.mix((v / most).sqrt().clamp(0.03, 1.0)).filled(),
                    )),
                    Some(_) => None,
                    None => Some(Rectangle::new(corners, FAULT.mix(0.5).filled())),
                }
            });
            chart.draw_series(cells).map_err(words)?;
        }
        area.present().map_err(words)?;
    }
    let caption = format!("{what}: up to {}", number(most));
    Ok(format!(
        "<figure>{}<figcaption>{caption}</figcaption></figure>",
        themed(svg)
    ))
}

fn themed(svg: String) -> String {
    VARIABLES.iter().fold(svg, |svg, (stand_in, variable)| {
        svg.replace(stand_in, variable)
    })
}
