//! The record of a run: what was sent, answered and run, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path)
            .unwrap_or_else(|error| crate::cannot_run(&format!("{path}: {error}")));
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let elapsed = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{elapsed:9.4} {text}");
    }
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
