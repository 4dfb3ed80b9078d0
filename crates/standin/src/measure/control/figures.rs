//! Report of one run of `measure control`.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::node::AdoptionLog;

/// Report that is printed as JSON on the last line of output.
#[derive(Clone, Debug, Serialize)]
pub struct ControlReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of valid configurations that were published.
    pub changes: usize,
    /// Median time in seconds from the publication of a change until it is active on every node.
    pub in_force_p50_s: f64,
    /// Maximum time in seconds from the publication of a change until it is active on every node.
    pub in_force_max_s: f64,
    /// Number of changes that were not active on every node 10 s after the last publication.
    pub not_in_force: usize,
    /// Number of times a host adopted a lower revision than it had adopted before.
    pub reverts: u64,
    /// Number of nodes that adopted the invalid document.
    pub faulty_in_force: usize,
    /// Number of rejected documents that the nodes reported.
    pub refused: u64,
    /// Requests per second for the configuration and the host list, as counted by the service.
    pub reads_per_s: f64,
    /// Maximum number of requests within one second, including the start of the nodes.
    pub peak_reads_per_s: u64,
    /// Mean number of bytes that a node sends and receives per second.
    pub bytes_per_node_s: f64,
    /// Bytes per second of the median node. With more than 28 nodes, that node does not read from the service itself.
    pub median_node_bytes_s: f64,
    /// Bytes per second of the node with the most traffic, which is one that reads from the service.
    pub max_node_bytes_s: f64,
    /// Mean CPU time of a node, in percent of a core.
    pub cpu_pct_per_node: f64,
    /// Memory of a node in MB: growth of this process while the nodes start and run, divided by the number of nodes.
    pub rss_mb_per_node: f64,
    /// Mean number of requests and responses that a node sends per second.
    pub messages_per_node_s: f64,
    /// Seconds until every node has adopted the first configuration and considers it up to date.
    pub start_s: f64,
    /// Size of the last configuration in bytes.
    pub config_bytes: usize,
    /// Number of hosts in the host list.
    pub listed_hosts: usize,
    /// Configured number of published changes per day.
    pub changes_a_day: u64,
    /// Name of the injected fault, or `none`.
    pub fault: &'static str,
    /// Seed of the run.
    pub seed: u64,
}

/// Times from the publication of a change until it is active on every node.
pub(super) struct InForceTimes {
    pub(super) p50: Duration,
    pub(super) max: Duration,
    /// Number of changes that never became active on every node.
    pub(super) missing: usize,
}

/// Computes the activation times of `changes`, given as revision and time of publication.
pub(super) fn in_force_times(changes: &[(u64, Instant)], logs: &[AdoptionLog]) -> InForceTimes {
    let time_to_all = |(revision, published): &(u64, Instant)| {
        let latencies = logs.iter().map(|log| log.latency(*revision, *published));
        latencies.collect::<Option<Vec<_>>>().map(|all| all.into_iter().max().unwrap_or_default())
    };
    let mut times: Vec<_> = changes.iter().filter_map(time_to_all).collect();
    let missing = changes.len() - times.len();
    times.sort_unstable();
    let p50 = times.get(times.len() / 2).copied().unwrap_or_default();
    InForceTimes { p50, max: times.last().copied().unwrap_or_default(), missing }
}
