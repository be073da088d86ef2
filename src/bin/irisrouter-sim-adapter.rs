//! Connects the router to the simulator: answers each line of JSON on standard input with one line on standard output.

use irisrouter::simulator::{Adapter, AdapterError};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use thiserror::Error;

/// An error that ends the program before the end of its input.
#[derive(Debug, Error)]
enum Failure {
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    #[error(transparent)]
    Line(#[from] AdapterError),
    #[error("cannot write to standard output: {0}")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("irisrouter-sim-adapter: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Failure> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::new();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(Failure::Read)? == 0 {
            return Ok(());
        }
        let mut reply = adapter.answer_line(line.trim_end())?;
        reply.push('\n');
        output.write_all(reply.as_bytes()).map_err(Failure::Write)?;
        output.flush().map_err(Failure::Write)?;
    }
}
