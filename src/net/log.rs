//! Logging: lines on standard error through one macro that limits their rate.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Largest number of log lines in a period. A failing host causes a line for each request, and a reader that is slow would then block
/// the gateway's thread on the pipe.
const MAX_LINES_PER_PERIOD: u32 = 20;
/// The period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// The lines of the current period.
struct LineCount {
    started: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

thread_local! {
    static LINE_COUNT: LineCount = const { LineCount { started: Cell::new(None), lines: Cell::new(0) } };
}

/// Counts one more line. `None` if it may not be written; else the number of lines that the last period suppressed,
/// which is not 0 at most once a period.
pub fn admit() -> Option<u32> {
    LINE_COUNT.with(|count| {
        let now = Instant::now();
        let mut suppressed = 0;
        let is_over = |started| now - started >= PERIOD;
        if count.started.get().is_none_or(is_over) {
            suppressed = count.lines.get().saturating_sub(MAX_LINES_PER_PERIOD);
            count.started.set(Some(now));
            count.lines.set(0);
        }
        count.lines.set(count.lines.get().saturating_add(1));
        (count.lines.get() <= MAX_LINES_PER_PERIOD).then_some(suppressed)
    })
}

/// Writes a line to standard error, unless the period has reached its limit. The first line of the next period is preceded
/// by the number of lines that were left out.
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
