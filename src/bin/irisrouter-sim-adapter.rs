//! Runs the decision module on the simulator's wire: one line in, one line out.

use irisrouter::simulator::Adapter;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("irisrouter-sim-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut adapter = Adapter::new();
    let mut line = String::new();
    loop {
        line.clear();
        let n = input
            .read_line(&mut line)
            .map_err(|e| format!("cannot read: {e}"))?;
        if n == 0 {
            return Ok(());
        }
        let mut reply = adapter.line(line.trim_end())?;
        reply.push('\n');
        (output.write_all(reply.as_bytes()))
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
}
