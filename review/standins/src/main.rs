//! The drivers of the review's cases, with their stand-ins.

mod agent;
mod case_cut;
mod case_pipeline;
mod case_stale;
mod client;
mod host;
mod settings;
mod util;

use std::path::PathBuf;
use std::time::Duration;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let path = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".into()));
    if let Err(error) = util::open_record(&path) {
        eprintln!("{}: {error}", path.display());
        std::process::exit(2);
    }
    util::watchdog(Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    rec!("case {case}, trouble {trouble}");
    std::panic::set_hook(Box::new(|panic| {
        util::finish(2, &format!("the driver failed: {panic}"));
    }));
    match case.as_str() {
        "cut" => case_cut::run(trouble),
        "pipeline" => case_pipeline::run(trouble),
        "stale" => case_stale::run(trouble),
        _ => util::finish(2, "no such case"),
    }
}
