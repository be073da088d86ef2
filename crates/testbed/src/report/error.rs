//! Why a report could not be made.

use plotters::drawing::DrawingAreaErrorKind;

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A comparison has no first run of one of its choices.
    #[error("no run to show")]
    NoRun,
    /// The page's template could not be read or rendered.
    #[error(transparent)]
    Template(#[from] minijinja::Error),
    /// A plot could not be drawn.
    #[error("a plot failed: {0}")]
    Plot(#[from] DrawingAreaErrorKind<std::io::Error>),
}
