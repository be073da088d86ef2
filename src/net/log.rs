//! Logging to standard error, with a limit on the rate of lines.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Maximum number of log lines in a period. Without a limit, a failing host causes a line for each request, and a slow
/// reader of the pipe then blocks the gateway's thread.
const MAX_LINES_PER_PERIOD: u32 = 20;
/// Duration of the period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// The number of lines in the current period.
struct LineCount {
    started: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

thread_local! {
    static LINE_COUNT: LineCount = const { LineCount { started: Cell::new(None), lines: Cell::new(0) } };
}

/// Counts one more line. Returns `None` if the line must not be written. Otherwise returns, for the first line of a
/// period, the number of lines suppressed in the previous period, and 0 for every other line.
pub fn admit() -> Option<u32> {
    LINE_COUNT.with(|count| {
        let now = Instant::now();
        let mut suppressed = 0;
        let has_ended = |started| now - started >= PERIOD;
        if count.started.get().is_none_or(has_ended) {
            suppressed = count.lines.get().saturating_sub(MAX_LINES_PER_PERIOD);
            count.started.set(Some(now));
            count.lines.set(0);
        }
        count.lines.set(count.lines.get().saturating_add(1));
        (count.lines.get() <= MAX_LINES_PER_PERIOD).then_some(suppressed)
    })
}

/// Writes a line to standard error unless the limit of the period has been reached. If lines were suppressed, the first
/// line of the next period is preceded by their number.
macro_rules! log {
    ($($arg:tt)*) => {
        if let Some(suppressed) = $crate::net::log::admit() {
            if suppressed > 0 {
                eprintln!("irisrouter: {suppressed} lines left out");
            }
            eprintln!("irisrouter: {}", format_args!($($arg)*));
        }
    };
}
pub(crate) use log;

#[cfg(test)]
#[path = "../../tests/unit/log.rs"]
mod tests;
