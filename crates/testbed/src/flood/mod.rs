//! Floods: clients that send messages at full speed to a gateway with a share of a processor core, while other clients
//! send reads whose answers are timed.

mod kind;
mod sender;

pub use kind::{FloodKind, UNANSWERED_READ};
pub use sender::{FloodSenders, FloodTotals, SenderPlan};

use crate::cluster::processor::{usage, ProcessorShare};
use crate::cluster::timed_reads::{ReadCounts, TimedReads};
use crate::cluster::{Cluster, ClusterError, EndpointListMode, GatewayLimits, Plan, COUNTERS_LINE};
use serde::Serialize;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Time for which the reads go on before the flood begins, and after it has ended.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Number of clients that send reads, and the time between two reads of a client.
const READERS: u64 = 40;
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the gateway's last counters are awaited.
const COUNTERS_WAIT: Duration = Duration::from_millis(500);
/// The beginning of the gateway's line about its event loop.
const EVENT_LOOP_LINE: &str = "event loop ";

/// The parameters of a run.
#[derive(Debug, Clone, Serialize)]
pub struct FloodPlan {
    /// The messages that the flooding clients send; `None` for an undisturbed run.
    pub kind: Option<FloodKind>,
    /// Number of flooding clients.
    pub clients: usize,
    /// Whether the flooding clients read their answers.
    pub reads_answers: bool,
    /// Duration of the flood, in milliseconds.
    pub flood_ms: u64,
    /// Share of a processor core that the gateway has, 0 to 1.
    pub core_share: f64,
    /// Every read of a reader whose number is a multiple of this is one that its host does not answer, so that its answer
    /// depends on the gateway's timers; 0 for none.
    pub unanswered_every: u64,
    /// The seed of the flood's random names.
    pub seed: u64,
    /// Resource limits of the gateway.
    pub limits: GatewayLimits,
}

impl FloodPlan {
    /// What the flooding clients do; `None` for an undisturbed run.
    fn senders(&self) -> Option<SenderPlan> {
        self.kind.map(|kind| SenderPlan {
            kind,
            clients: self.clients,
            reads_answers: self.reads_answers,
            seed: self.seed,
        })
    }
}

/// The results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct FloodResults {
    /// The parameters of the run.
    pub plan: FloodPlan,
    /// The reads of the other clients.
    pub reads: ReadCounts,
    /// Number of bytes that the flooding clients wrote.
    pub flood_bytes: u64,
    /// Number of connections that the flooding clients opened.
    pub flood_connections: u64,
    /// Processor time of the gateway, in milliseconds.
    pub processor_ms: u64,
    /// Peak resident memory of the gateway, in kilobytes.
    pub peak_memory_kb: u64,
    /// The last counters that the gateway printed.
    pub counters: String,
}

/// Runs a flood against one gateway in front of a primary and a replica.
///
/// # Errors
/// The gateway, a stand-in or a runtime cannot be started.
pub fn run(plan: FloodPlan, program: PathBuf) -> Result<FloodResults, ClusterError> {
    let cluster = Cluster::start(Plan {
        gateways: 1,
        sets: 1,
        listed_sets: 0,
        zones: vec!["a".into()],
        seed: plan.seed,
        program,
        operators: String::new(),
        endpoint_list: EndpointListMode::Pushed,
        deadline_percent: 100,
        limits: plan.limits,
    })?;
    let Some(process) = cluster.process(0) else {
        return Err(ClusterError::Panicked);
    };
    let (address, process_id) = (process.address, process.system_id());
    let _share =
        (plan.core_share < 1.0).then(|| ProcessorShare::limit(process_id, plan.core_share));
    let flood = Duration::from_millis(plan.flood_ms);
    let reads = TimedReads {
        clients: READERS,
        interval: READ_INTERVAL,
        duration: flood + 2 * QUIET_TIME,
        sets: 1,
        unanswered_every: plan.unanswered_every,
    };
    let (reads, totals) = thread::scope(|scope| {
        let readers = scope.spawn(|| reads.run(address));
        thread::sleep(QUIET_TIME);
        let senders = plan
            .senders()
            .map(|senders| FloodSenders::start(address, senders));
        thread::sleep(flood);
        let totals = senders.map(FloodSenders::stop).unwrap_or_default();
        (readers.join(), totals)
    });
    let reads = reads.map_err(|_| ClusterError::Panicked)??;
    let used = usage(process_id);
    cluster.signal(0, "-USR1");
    thread::sleep(COUNTERS_WAIT);
    Ok(FloodResults {
        reads,
        flood_bytes: totals.bytes,
        flood_connections: totals.connections,
        processor_ms: used.map_or(0, |used| used.processor_time.as_millis() as u64),
        peak_memory_kb: used.map_or(0, |used| used.peak_memory_kb),
        counters: last_counters(&cluster),
        plan,
    })
}

/// The last two lines that the gateway printed when it was asked for its counters: of the event loop, and of the counters.
fn last_counters(cluster: &Cluster) -> String {
    let last_line = |text: &str| {
        cluster.history.inspect_lines(|lines| {
            let last = lines.iter().rev().find(|line| line.text.contains(text));
            last.map_or_else(String::new, |line| line.text.clone())
        })
    };
    format!(
        "{}; {}",
        last_line(EVENT_LOOP_LINE),
        last_line(COUNTERS_LINE)
    )
}
