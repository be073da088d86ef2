//! What a process uses of the machine, and a limit on its share of a core.

use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Pause between two looks at a process whose share is limited.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How far a process may be ahead of its share before it is stopped.
const MAX_AHEAD: Duration = Duration::from_millis(2);
/// How much of its share a process may save up while it rests.
const MAX_SAVED: Duration = Duration::from_millis(10);

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Its processor time.
    pub processor_time: Duration,
    /// The most memory that it has had.
    pub peak_memory_kb: u64,
    /// Its open descriptors.
    pub descriptors: usize,
}

/// What a process with one thread has used so far; none where it has ended.
#[must_use]
pub fn usage(process_id: u32) -> Option<ProcessUsage> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    Some(ProcessUsage {
        processor_time: processor_time(process_id)?,
        peak_memory_kb: peak.trim().trim_end_matches(" kB").parse().ok()?,
        descriptors: fs::read_dir(format!("/proc/{process_id}/fd")).ok()?.count(),
    })
}

/// The processor time of a process with one thread; none once it has ended.
fn processor_time(process_id: u32) -> Option<Duration> {
    let statistics = fs::read_to_string(format!("/proc/{process_id}/schedstat")).ok()?;
    let nanoseconds = statistics.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

/// Holds a process to a share of a core until this is dropped: it is stopped and continued by the processor time that
/// it has used.
pub struct ProcessorShare {
    ended: Arc<AtomicBool>,
    limiter: Option<JoinHandle<()>>,
}

impl ProcessorShare {
    /// Limits a process with one thread to this part of a core.
    #[must_use]
    pub fn limit(process_id: u32, share: f64) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let is_ended = Arc::clone(&ended);
        let limiter = spawn(move || {
            let mut account = Account::open(process_id, share);
            while !is_ended.load(Ordering::Relaxed) && account.enforce().is_some() {}
        });
        ProcessorShare {
            ended,
            limiter: Some(limiter),
        }
    }
}

impl Drop for ProcessorShare {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(limiter) = self.limiter.take() {
            let _ = limiter.join();
        }
    }
}

/// The processor time that a process may use, and what it has used.
struct Account {
    process_id: u32,
    share: f64,
    since: Instant,
    used_before: Duration,
}

impl Account {
    fn open(process_id: u32, share: f64) -> Self {
        Account {
            process_id,
            share,
            since: Instant::now(),
            used_before: processor_time(process_id).unwrap_or_default(),
        }
    }

    /// Stops the process for as long as it is ahead of its share; none once it has ended.
    fn enforce(&mut self) -> Option<()> {
        let used = processor_time(self.process_id)?.saturating_sub(self.used_before);
        let allowed = self.since.elapsed().mul_f64(self.share);
        if used > allowed + MAX_AHEAD {
            self.signal(Signal::STOP)?;
            sleep((used - allowed).div_f64(self.share));
            self.signal(Signal::CONT)?;
            return Some(());
        }
        if used + MAX_SAVED < allowed {
            self.since = Instant::now();
            self.used_before += used;
        }
        sleep(SHARE_CHECK_INTERVAL);
        Some(())
    }

    fn signal(&self, signal: Signal) -> Option<()> {
        let process = Pid::from_raw(i32::try_from(self.process_id).ok()?)?;
        kill_process(process, signal).ok()
    }
}
