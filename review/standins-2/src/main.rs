//! The cases of the second review: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod cases;
mod discovery;
mod gateway;
mod peers;
mod record;
mod set;
mod settings;
mod wire;

use record::Record;

/// Ends all processes that the case has started, and the case.
pub fn cannot_run(reason: &str) -> ! {
    gateway::kill_all();
    eprintln!("the case cannot run: {reason}");
    std::process::exit(2);
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        cannot_run("usage: review-2 CASE RECORD");
    };
    let record = Record::create(path);
    // Whatever hangs, the case ends in time. The processes that it started get a signal from the script then.
    std::thread::spawn(|| {
        record::sleep_ms(110_000);
        cannot_run("the case takes too long");
    });
    let run = match case.as_str() {
        "long-write" => cases::long_write,
        "upgrade-session" => cases::upgrade_session,
        "upgrade-value" => cases::upgrade_value,
        "upgrade-request" => cases::upgrade_request,
        "shutdown-value" => cases::shutdown_value,
        "upgrade-id" => cases::upgrade_id,
        "upgrade-intent" => cases::upgrade_intent,
        _ => cannot_run("no such case"),
    };
    let verdict = run(&record);
    let broken = match &verdict {
        Ok(text) => {
            record.line(&format!("the rule held: {text}"));
            println!("held: {text}");
            0
        }
        Err(text) => {
            record.line(&format!("THE RULE WAS BROKEN: {text}"));
            println!("broken: {text}");
            1
        }
    };
    std::process::exit(broken);
}
