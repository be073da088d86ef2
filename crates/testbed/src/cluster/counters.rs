//! Reads the counters that a gateway logs.

use super::{Cluster, PATIENCE};
use std::collections::BTreeMap;

/// The text that precedes the counters in the log line of a gateway's counters.
pub const COUNTERS_LINE: &str = ": counters ";

impl Cluster {
    /// Makes a gateway log its counters (SIGUSR1) and returns them; `None` if it has not logged them within
    /// [`PATIENCE`].
    #[must_use]
    pub fn counters(&self, gateway: usize) -> Option<BTreeMap<String, u64>> {
        let lines_before = self.history.inspect_lines(<[_]>::len);
        self.signal(gateway, "-USR1");
        self.history.wait(PATIENCE, |lines| {
            let new = lines
                .iter()
                .skip(lines_before)
                .filter(|line| line.gateway == gateway);
            let printed = new.filter_map(|line| line.text.split_once(COUNTERS_LINE));
            printed.map(|(_, counters)| parse(counters)).next()
        })
    }
}

fn parse(counters: &str) -> BTreeMap<String, u64> {
    let pairs = counters
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect()
}
