//! Operators: the console and the printed counters.

pub mod console;
mod console_call;
pub mod counter_report;
