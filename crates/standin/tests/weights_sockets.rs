//! Transfers between agents' transfer drivers and chunk servers over real sockets with rate-limited links.

use standin::measure::weights::{FaultKind, RunOptions, run_fleet};

const SIZE: usize = 1 << 20;

async fn transfer(fault: Option<FaultKind>) {
    let options = RunOptions {
        hosts: 7,
        size_bytes: SIZE,
        link_bytes_per_s: SIZE as u64,
        chunks: 32,
        seed: 3,
        fault,
        fault_times: usize::from(fault.is_some()),
    };
    let figures = run_fleet(&options).await.unwrap();
    let dead = usize::from(fault == Some(FaultKind::PeerDies));
    assert_eq!((figures.done.len(), figures.corrupt_served), (7 - dead, 0), "{figures:?}");
    assert!(figures.origin_bytes <= 4 * SIZE as u64, "{figures:?}");
    assert!(figures.max_upload_bytes <= 22 * SIZE as u64 / 10, "{figures:?}");
}

/// Guards against a transfer driver that does not execute the actions of its plan.
#[tokio::test(flavor = "multi_thread")]
async fn weights_reach_every_host() {
    transfer(None).await;
}

/// Guards against serving chunks that were corrupted in transit.
#[tokio::test(flavor = "multi_thread")]
async fn corrupted_chunks_are_fetched_elsewhere() {
    transfer(Some(FaultKind::Corrupt)).await;
}

/// Guards against fetches that hang on connections to a failed peer.
#[tokio::test(flavor = "multi_thread")]
async fn dead_peer_does_not_stop_the_others() {
    transfer(Some(FaultKind::PeerDies)).await;
}

/// Guards against a restarted host that cannot fetch the weights from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_host_starts_from_peers() {
    transfer(Some(FaultKind::Restart)).await;
}
