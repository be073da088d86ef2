//! Plots as SVG.
//!
//! `plotters` draws them. Its colours are replaced by the page's own variables, so that one drawing is right on light and
//! on dark.

use super::text::number;
use super::ReportError;
use crate::results::{HostResults, Mark, RunResults, Second};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Color, IntoDrawingArea, LineSeries, PathElement,
    RGBColor, Rectangle, SVGBackend, SeriesLabelPosition, TRANSPARENT,
};

/// Stand-ins for the page's colours, which no plot uses otherwise.
const INK: RGBColor = RGBColor(1, 2, 3);
const GRID: RGBColor = RGBColor(4, 5, 6);
const LINE_A: RGBColor = RGBColor(7, 8, 9);
const LINE_B: RGBColor = RGBColor(10, 11, 12);
const FAULT: RGBColor = RGBColor(13, 14, 15);
const LINE_C: RGBColor = RGBColor(16, 17, 18);
const LINE_D: RGBColor = RGBColor(19, 20, 21);
const HEAT: RGBColor = RGBColor(22, 23, 24);
/// By stand-in: the page's variable.
const COLOUR_VARIABLES: [(&str, &str); 8] = [
    ("#010203", "var(--ink)"),
    ("#040506", "var(--grid)"),
    ("#070809", "var(--a)"),
    ("#0A0B0C", "var(--b)"),
    ("#0D0E0F", "var(--fault)"),
    ("#101112", "var(--c)"),
    ("#131415", "var(--d)"),
    ("#161718", "var(--heat)"),
];

/// Most hosts of a heat map; those with the highest load are shown.
pub(super) const MAX_HOSTS: usize = 48;
/// Most labels of hosts beside a heat map.
const MAX_HOST_LABELS: usize = 24;
/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (960, 260);
/// Least height of a heat map, in pixels.
const MIN_HEAT_MAP_HEIGHT: u32 = 80;
/// A fault without an end is drawn with this part of the plot's width.
const POINT_FAULT_WIDTH: f64 = 1.0 / 400.0;

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A line of a plot.
struct Line<'a> {
    name: &'a str,
    colour: RGBColor,
    /// Seconds and values.
    points: Vec<(f64, f64)>,
}

/// The middle of a second, where its value is drawn.
fn middle(second: usize) -> f64 {
    second as f64 + 0.5
}

/// The share of worth asked for that was earned in a second; none where none was asked for.
fn service_share(second: &Second) -> Option<f64> {
    (second.asked > 0.0).then(|| second.earned / second.asked)
}

/// The service of each run, second by second. Faults are those of the first run.
pub(super) fn service(runs: &[(&str, &RunResults)]) -> Result<String, ReportError> {
    let colours = [LINE_A, LINE_B];
    let lines: Vec<Line> = (runs.iter().zip(colours))
        .map(|((name, results), colour)| Line {
            name: if name.is_empty() { "service" } else { name },
            colour,
            points: (results.seconds.iter().enumerate())
                .filter_map(|(i, second)| Some((middle(i), service_share(second)?)))
                .collect(),
        })
        .collect();
    let length = runs.iter().map(|(_, results)| results.seconds.len()).max();
    let axes = Axes {
        length: length.unwrap_or(1) as f64,
        top: 1.0,
    };
    line_plot(axes, &lines, &runs[0].1.marks)
}

/// Tries, refusals and new connections of a run, second by second.
pub(super) fn totals(results: &RunResults) -> Result<String, ReportError> {
    let line = |name, colour, value: fn(&Second) -> u64| Line {
        name,
        colour,
        points: (results.seconds.iter().enumerate())
            .map(|(i, second)| (middle(i), value(second) as f64))
            .collect(),
    };
    let lines = [
        line("first tries", LINE_A, |second| second.first_tries),
        line("further tries", LINE_B, |second| second.retries),
        line("refusals", LINE_C, |second| second.refusals),
        line("new connections", LINE_D, |second| second.connections),
    ];
    let max = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|point| point.1)
        .fold(1.0, f64::max);
    let axes = Axes {
        length: results.seconds.len() as f64,
        top: max * 1.05,
    };
    line_plot(axes, &lines, &results.marks)
}

/// The ends of a plot's axes, which begin at 0.
#[derive(Clone, Copy)]
struct Axes {
    /// Of time, in seconds.
    length: f64,
    /// Of values.
    top: f64,
}

fn line_plot(axes: Axes, lines: &[Line], marks: &[Mark]) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..axes.length.max(1.0), 0.0..axes.top)?;
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
            .draw()?;
        draw_marks(&mut chart, axes, marks)?;
        draw_lines(&mut chart, lines)?;
        area.present()?;
    }
    Ok(with_page_colours(svg))
}

/// Draws a band for each mark, over its time and the whole height.
fn draw_marks(chart: &mut Chart<'_, '_>, axes: Axes, marks: &[Mark]) -> Result<(), ReportError> {
    let bands = marks.iter().map(|mark| {
        let until = mark
            .until_s
            .unwrap_or(mark.at_s + axes.length * POINT_FAULT_WIDTH);
        let corners = [(mark.at_s, 0.0), (until.min(axes.length), axes.top)];
        Rectangle::new(corners, FAULT.mix(0.12).filled())
    });
    chart.draw_series(bands)?;
    Ok(())
}

/// Draws lines and their legend.
fn draw_lines<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>, lines: &[Line]) -> Result<(), ReportError> {
    for line in lines {
        let series = LineSeries::new(line.points.iter().copied(), line.colour.stroke_width(2));
        let colour = line.colour;
        let legend =
            move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(3));
        chart.draw_series(series)?.label(line.name).legend(legend);
    }
    chart
        .configure_series_labels()
        .label_font(("sans-serif", 13, &INK))
        .position(SeriesLabelPosition::LowerLeft)
        .margin(4)
        .draw()?;
    Ok(())
}

/// A row for each host, a column for each second: the darker, the higher the value. A second without a value is marked as
/// one in which the host was away.
pub(super) fn heat_map(
    results: &RunResults,
    name: &str,
    value: impl Fn(&HostResults, usize) -> Option<f64>,
) -> Result<String, ReportError> {
    let hosts = busiest_hosts(results);
    let seconds = hosts.iter().map(|host| host.held.len()).max().unwrap_or(0);
    if seconds == 0 {
        return Ok(String::new());
    }
    let max = hosts
        .iter()
        .flat_map(|host| (0..seconds).filter_map(|second| value(host, second)))
        .fold(0.0, f64::max)
        .max(1e-9);
    let mut svg = String::new();
    {
        let height = (40 + 12 * hosts.len() as u32).max(MIN_HEAT_MAP_HEIGHT);
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..hosts.len() as f64)?;
        draw_host_labels(&mut chart, &hosts)?;
        for (row, host) in hosts.iter().enumerate() {
            let bottom = (hosts.len() - 1 - row) as f64;
            let cells = (0..seconds)
                .filter_map(|second| heat_cell(second, bottom, value(host, second), max));
            chart.draw_series(cells)?;
        }
        area.present()?;
    }
    let caption = format!("{name}: up to {}", number(max));
    Ok(format!(
        "<figure>{}<figcaption>{caption}</figcaption></figure>",
        with_page_colours(svg)
    ))
}

/// The hosts with the highest load, in order of their sets.
fn busiest_hosts(results: &RunResults) -> Vec<&HostResults> {
    let mut hosts: Vec<&HostResults> = results.hosts.iter().collect();
    hosts.sort_by(|a, b| {
        b.peak_load
            .total_cmp(&a.peak_load)
            .then(a.host.cmp(&b.host))
    });
    hosts.truncate(MAX_HOSTS);
    hosts.sort_by_key(|host| (host.set, host.host));
    hosts
}

/// Draws the axes, with a label of set and host beside its row.
fn draw_host_labels(chart: &mut Chart<'_, '_>, hosts: &[&HostResults]) -> Result<(), ReportError> {
    let rows = hosts.len();
    let labels: Vec<String> = hosts
        .iter()
        .map(|host| format!("{}/{}", host.set, host.host))
        .collect();
    chart
        .configure_mesh()
        .disable_mesh()
        .axis_style(GRID)
        .label_style(("sans-serif", 11, &INK))
        .x_labels(13)
        .x_label_formatter(&|x| format!("{x:.0} s"))
        .y_labels(rows.min(MAX_HOST_LABELS))
        .y_label_formatter(&|y| {
            let row = rows.saturating_sub(1 + *y as usize);
            labels.get(row).cloned().unwrap_or_default()
        })
        .draw()?;
    Ok(())
}

/// The cell of a second, in the row that begins at `bottom`; none where the value is 0.
fn heat_cell(
    second: usize,
    bottom: f64,
    value: Option<f64>,
    max: f64,
) -> Option<Rectangle<(f64, f64)>> {
    let corners = [
        (second as f64, bottom + 0.05),
        (second as f64 + 1.0, bottom + 0.95),
    ];
    match value {
        Some(value) if value > 0.0 => {
            let opacity = (value / max).sqrt().clamp(0.03, 1.0);
            Some(Rectangle::new(corners, HEAT.mix(opacity).filled()))
        }
        Some(_) => None,
        None => Some(Rectangle::new(corners, FAULT.mix(0.5).filled())),
    }
}

fn with_page_colours(svg: String) -> String {
    COLOUR_VARIABLES
        .iter()
        .fold(svg, |svg, (stand_in, variable)| {
            svg.replace(stand_in, variable)
        })
}
