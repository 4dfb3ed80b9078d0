//! Transfers of a simulated fleet under each fault by name: everyone ends with the published bytes, within the budgets.

use standin::measure::weights::{FaultKind, FleetSim, RunOptions, SimFigures};

const SIZE: usize = 1 << 20;

fn run(fault: Option<FaultKind>, fault_times: usize, seed: u64) -> (SimFigures, f64) {
    let options = RunOptions {
        hosts: 24,
        size_bytes: SIZE,
        link_bytes_per_s: (SIZE / 4) as u64,
        chunks: 128,
        seed,
        fault,
        fault_times,
    };
    let bound = options.bound().as_secs_f64();
    let figures = FleetSim::new(options).run();
    let ratio = figures.done.last().map_or(f64::MAX, |last| last.as_secs_f64() / bound);
    (figures, ratio)
}

fn check(fault: FaultKind) {
    for times in [1, 2] {
        let (figures, ratio) = run(Some(fault), times, 5);
        let context = format!("{fault} {times} times: ratio {ratio} {figures:?}");
        let dead = if fault == FaultKind::PeerDies { times } else { 0 };
        assert_eq!((figures.unfinished, figures.corrupt_served), (0, 0), "{context}");
        assert_eq!(figures.done.len(), 24 - dead, "{context}");
        // One fault may cost 0.6 of the shortest duration; a second one is allowed the same again.
        assert!(ratio <= 1.0 + 0.6 * times as f64, "{context}");
        assert!(figures.origin_bytes <= 4 * SIZE as u64, "{context}");
        // Two versions are transferred under some faults, each with its own budget of two copies.
        let versions = match fault {
            FaultKind::VersionChange => 1 + times as u64,
            FaultKind::Rollback => 2,
            _ => 1,
        };
        assert!(figures.max_upload_bytes <= 2 * versions * SIZE as u64, "{context}");
    }
}

/// Guards against a slow or greedy transfer while nothing fails.
#[test]
fn no_fault() {
    for seed in 1..4 {
        let (figures, ratio) = run(None, 0, seed);
        assert!(ratio <= 1.25, "ratio {ratio}");
        assert!(figures.origin_bytes * 10 <= 12 * SIZE as u64, "{}", figures.origin_bytes);
        assert_eq!((figures.unfinished, figures.corrupt_served), (0, 0));
    }
}

/// Guards against serving corrupted chunks or being held up by their sender.
#[test]
fn corrupted_chunks() {
    check(FaultKind::Corrupt);
}

/// Guards against accepting truncated chunks.
#[test]
fn truncated_chunks() {
    check(FaultKind::Truncate);
}

/// Guards against waiting for a stalled link.
#[test]
fn stalled_link() {
    check(FaultKind::Stall);
}

/// Guards against waiting for a dead peer, designated fetchers included.
#[test]
fn peer_dies() {
    check(FaultKind::PeerDies);
}

/// Guards against trusting a peer about what it holds.
#[test]
fn peer_lies_about_what_it_holds() {
    check(FaultKind::PeerLies);
}

/// Guards against needing the origin while peers hold everything.
#[test]
fn origin_down_with_peers_holding_everything() {
    check(FaultKind::OriginDown);
}

/// Guards against depending on a store that refuses.
#[test]
fn store_refuses() {
    check(FaultKind::StoreRefuses);
}

/// Guards against finishing an old version before a newer one.
#[test]
fn version_changes_in_mid_flight() {
    check(FaultKind::VersionChange);
}

/// Guards against losing the chunks of a version that returns.
#[test]
fn rollback_in_mid_flight() {
    check(FaultKind::Rollback);
}

/// Guards against a restarted or replaced host that cannot join a running transfer.
#[test]
fn host_restarts_in_mid_fetch() {
    check(FaultKind::Restart);
}

/// Guards against a pause that makes all timeouts expire at once.
#[test]
fn pause_longer_than_every_timeout() {
    check(FaultKind::Pause);
}

/// Guards against a region that waits for others it cannot reach.
#[test]
fn partition_for_part_of_the_fetch() {
    check(FaultKind::Partition);
}
