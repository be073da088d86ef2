//! Runs several seeds in parallel.

use super::ClusterError;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Calls `run` for each seed on `workers` threads, and returns the results grouped by thread; those of a thread are in
/// the order in which it obtained them.
///
/// # Errors
/// The error of a run that failed, or that a worker thread panicked.
pub fn run_in_parallel<T: Send>(
    seeds: &[u64],
    workers: usize,
    run: impl Fn(u64) -> Result<T, ClusterError> + Sync,
) -> Result<Vec<T>, ClusterError> {
    let next = AtomicUsize::new(0);
    let work = || -> Result<Vec<T>, ClusterError> {
        let mut results = Vec::new();
        while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
            results.push(run(seed)?);
        }
        Ok(results)
    };
    let results: Result<Vec<Vec<T>>, ClusterError> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..workers.max(1)).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().map_err(|_| ClusterError::Panicked)?)
            .collect()
    });
    Ok(results?.into_iter().flatten().collect())
}
