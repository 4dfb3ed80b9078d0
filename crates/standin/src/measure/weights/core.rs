//! `--core`: runs only the transfer plans in simulated time, and reports their results, CPU time and memory.

use std::time::Instant;

use serde_json::{Value, json};

use weights::RolloutPolicy;

use super::{
    FaultKind, FleetSim, RolloutFigures, RunOptions, cpu_seconds, peak_rss_mb, rounded,
    simulate_rollout,
};

/// Sizes of the simulated rollouts: the number of replicas, and how many of them have to stay ready.
const ROLLOUT_SIZES: [(usize, usize); 2] = [(30, 24), (300, 270)];

/// Simulates the rollout policies, with and without hosts that fail during the rollout.
fn rollouts(seed: u64) -> Vec<RolloutFigures> {
    let policies = [RolloutPolicy::OwnTurn, RolloutPolicy::FixedWaves];
    let mut figures = Vec::new();
    for (hosts, floor) in ROLLOUT_SIZES {
        for deaths in [0, hosts / 30] {
            for policy in policies {
                figures.push(simulate_rollout(policy, hosts, floor, deaths, seed));
            }
        }
    }
    figures
}

/// Runs a simulated fleet and returns the report.
#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
pub(super) fn measure(options: &RunOptions) -> Value {
    let size = options.size_bytes as f64;
    let min_duration = options.min_duration().as_secs_f64();
    let (cpu_before, started) = (cpu_seconds(), Instant::now());
    let figures = FleetSim::new(options.clone()).run();
    let cpu = cpu_seconds() - cpu_before;
    let last = figures.done.last().map_or(0.0, std::time::Duration::as_secs_f64);
    let half =
        figures.done.get(figures.done.len() / 2).map_or(0.0, std::time::Duration::as_secs_f64);
    json!({
        "mode": "core",
        "hosts": options.hosts,
        "chunks": options.chunks,
        "bound_s": rounded(min_duration),
        "half_ratio": rounded(half / min_duration),
        "ratio": rounded(last / min_duration),
        "unfinished": figures.unfinished,
        "origin_copies": rounded(figures.origin_bytes as f64 / size),
        "region_copies": rounded(figures.region_bytes as f64 / size),
        "max_upload_copies": rounded(figures.max_upload_bytes as f64 / size),
        "wasted_copies_per_host": rounded(figures.wasted_bytes as f64 / size / options.hosts as f64),
        "corrupt_served": figures.corrupt_served,
        "decisions_per_host": figures.decisions / options.hosts as u64,
        "control_messages_per_host": figures.control_messages / options.hosts as u64,
        "cpu_ms_per_host": rounded(cpu * 1000.0 / options.hosts as f64),
        "rss_kb_per_host": rounded(peak_rss_mb() * 1000.0 / options.hosts as f64),
        "wall_s": rounded(started.elapsed().as_secs_f64()),
        "fault": options.fault.map_or("none", FaultKind::name),
        "fault_times": options.fault_times,
        "rollouts": rollouts(options.seed),
        "seed": options.seed,
    })
}
