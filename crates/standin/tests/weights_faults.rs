//! Transfers of a simulated fleet under each fault: every host ends up with the published bytes, within the time and
//! traffic limits.

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
    let min_duration = options.min_duration().as_secs_f64();
    let figures = FleetSim::new(options).run();
    let ratio = figures.done.last().map_or(f64::MAX, |last| last.as_secs_f64() / min_duration);
    (figures, ratio)
}

fn check(fault: FaultKind) {
    for times in [1, 2] {
        let (figures, ratio) = run(Some(fault), times, 5);
        let context = format!("{fault} {times} times: ratio {ratio} {figures:?}");
        let dead = if fault == FaultKind::PeerDies { times } else { 0 };
        assert_eq!((figures.unfinished, figures.corrupt_served), (0, 0), "{context}");
        assert_eq!(figures.done.len(), 24 - dead, "{context}");
        // Each injection may add 0.6 of the minimum transfer time.
        assert!(ratio <= 1.0 + 0.6 * times as f64, "{context}");
        assert!(figures.origin_bytes <= 4 * SIZE as u64, "{context}");
        // Some faults cause several versions to be transferred; each version may add an upload of two copies per host.
        let versions = match fault {
            FaultKind::VersionChange => 1 + times as u64,
            FaultKind::Rollback => 2,
            _ => 1,
        };
        assert!(figures.max_upload_bytes <= 2 * versions * SIZE as u64, "{context}");
    }
}

/// Guards against a slow transfer, or one that loads the origin too much, when nothing fails.
#[test]
fn no_fault() {
    for seed in 1..4 {
        let (figures, ratio) = run(None, 0, seed);
        assert!(ratio <= 1.25, "ratio {ratio}");
        assert!(figures.origin_bytes * 10 <= 12 * SIZE as u64, "{}", figures.origin_bytes);
        assert_eq!((figures.unfinished, figures.corrupt_served), (0, 0));
    }
}

/// Guards against serving corrupt chunks and against delays caused by the peer that sends them.
#[test]
fn corrupted_chunks() {
    check(FaultKind::Corrupt);
}

/// Guards against accepting truncated chunks.
#[test]
fn truncated_chunks() {
    check(FaultKind::Truncate);
}

/// Guards against waiting for a stalled link instead of fetching from another peer.
#[test]
fn stalled_link() {
    check(FaultKind::Stall);
}

/// Guards against waiting for a failed peer, including one that was designated to fetch from the origin.
#[test]
fn peer_dies() {
    check(FaultKind::PeerDies);
}

/// Guards against relying on a peer that claims to hold chunks but does not serve them.
#[test]
fn peer_lies_about_what_it_holds() {
    check(FaultKind::PeerLies);
}

/// Guards against depending on the origin although peers hold all chunks.
#[test]
fn origin_down_with_peers_holding_everything() {
    check(FaultKind::OriginDown);
}

/// Guards against depending on a store that refuses all requests.
#[test]
fn store_refuses() {
    check(FaultKind::StoreRefuses);
}

/// Guards against completing an old version before a newer one is fetched.
#[test]
fn version_changes_during_transfer() {
    check(FaultKind::VersionChange);
}

/// Guards against discarding the chunks of a version to which the fleet is rolled back.
#[test]
fn rollback_during_transfer() {
    check(FaultKind::Rollback);
}

/// Guards against a restarted host that cannot join a transfer in progress.
#[test]
fn host_restarts_during_transfer() {
    check(FaultKind::Restart);
}

/// Guards against failures when all timeouts of a paused host expire at once.
#[test]
fn pause_longer_than_every_timeout() {
    check(FaultKind::Pause);
}

/// Guards against a region that waits for regions it cannot reach.
#[test]
fn partition_for_part_of_the_transfer() {
    check(FaultKind::Partition);
}
