//! Measures the resource usage of a process, and limits its share of a processor core.

use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Time between two checks of a process whose share is limited.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Processor time by which a process may exceed its share before it is stopped.
const MAX_EXCESS: Duration = Duration::from_millis(2);
/// Longest time for which a process is stopped at once. Where the limiter itself was late, the rest of the excess is paid
/// back in further stops, so that its lateness does not become one long stop of the process.
const MAX_STOP: Duration = Duration::from_millis(50);
/// Maximum unused processor time that an idle process accumulates; all of it is forfeited when it exceeds this, so
/// that no long burst follows.
const MAX_UNUSED: Duration = Duration::from_millis(10);

/// The resource usage of a process since its start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time that it has used.
    pub processor_time: Duration,
    /// Peak resident memory, in kilobytes.
    pub peak_memory_kb: u64,
    /// Number of file descriptors that are open now.
    pub descriptors: usize,
}

/// Reads the resource usage of a process with one thread; `None` if the process has ended.
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

/// Reads the processor time of a process with one thread; `None` if the process has ended.
fn processor_time(process_id: u32) -> Option<Duration> {
    let statistics = fs::read_to_string(format!("/proc/{process_id}/schedstat")).ok()?;
    let nanoseconds = statistics.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

/// Limits a process to a share of a core until this is dropped: a thread stops the process (SIGSTOP) when it has used
/// more processor time than its share, and continues it (SIGCONT) when its share has caught up.
pub struct ProcessorShare {
    ended: Arc<AtomicBool>,
    limiter: Option<JoinHandle<()>>,
}

impl ProcessorShare {
    /// Starts to limit a process with one thread to this share of a core, 0 to 1.
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

/// The processor time that a process is allowed to use and that it has used since the start of the account.
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

    /// Checks the process once, and stops it for as long as it exceeds its share; `None` if the process has ended.
    fn enforce(&mut self) -> Option<()> {
        let used = processor_time(self.process_id)?.saturating_sub(self.used_before);
        let allowed = self.since.elapsed().mul_f64(self.share);
        if used > allowed + MAX_EXCESS {
            self.signal(Signal::STOP)?;
            sleep((used - allowed).div_f64(self.share).min(MAX_STOP));
            self.signal(Signal::CONT)?;
            return Some(());
        }
        if used + MAX_UNUSED < allowed {
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
