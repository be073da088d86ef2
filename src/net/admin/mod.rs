//! Interfaces for operators: the console and the counter report.

pub mod console;
mod console_call;
pub mod counter_report;
