//! Figures of one run.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::node::HostTrack;

/// Last line of the output.
#[derive(Clone, Debug, Serialize)]
pub struct ControlReport {
    /// Nodes that ran.
    pub nodes: usize,
    /// Good configurations that were published.
    pub changes: usize,
    /// Median over the changes of the time until a change was in force on every node.
    pub in_force_p50_s: f64,
    /// Longest of these times.
    pub in_force_max_s: f64,
    /// Changes that were not in force everywhere 10 s after the last publication.
    pub not_in_force: usize,
    /// Adoptions of a revision below an earlier one of the same host.
    pub reverts: u64,
    /// Nodes that put the faulty document in force.
    pub faulty_in_force: usize,
    /// Reports of a refused document.
    pub refused: u64,
    /// Calls of the configuration service and of the host list, as the service counted them.
    pub reads_per_s: f64,
    /// Most calls within one second, start included.
    pub peak_reads_per_s: u64,
    /// Bytes sent and received by a node.
    pub bytes_per_node_s: f64,
    /// The same for the median node; it is no reader if more than 28 nodes run.
    pub median_node_bytes_s: f64,
    /// The same for the node with most bytes, which is a reader.
    pub max_node_bytes_s: f64,
    /// Processor time of a node in percent of a core.
    pub cpu_pct_per_node: f64,
    /// Memory of a node: growth of this process while the nodes started and ran.
    pub rss_mb_per_node: f64,
    /// Requests and answers sent by a node.
    pub messages_per_node_s: f64,
    /// Time until every node held the first configuration and was fresh.
    pub start_s: f64,
    /// Size of the last configuration.
    pub config_bytes: usize,
    /// Hosts in the host list.
    pub listed_hosts: usize,
    /// Rate of publications.
    pub changes_a_day: u64,
    /// Fault, or `none`.
    pub fault: &'static str,
    /// Seed.
    pub seed: u64,
}

/// Times until the changes were in force everywhere.
pub(super) struct InForce {
    pub(super) p50: Duration,
    pub(super) max: Duration,
    pub(super) missing: usize,
}

/// Evaluates what the hosts recorded about these changes.
pub(super) fn evaluate(changes: &[(u64, Instant)], tracks: &[HostTrack]) -> InForce {
    let everywhere = |(revision, published): &(u64, Instant)| {
        let latencies = tracks.iter().map(|track| track.latency(*revision, *published));
        latencies.collect::<Option<Vec<_>>>().map(|all| all.into_iter().max().unwrap_or_default())
    };
    let mut times: Vec<_> = changes.iter().filter_map(everywhere).collect();
    let missing = changes.len() - times.len();
    times.sort_unstable();
    let p50 = times.get(times.len() / 2).copied().unwrap_or_default();
    InForce { p50, max: times.last().copied().unwrap_or_default(), missing }
}
