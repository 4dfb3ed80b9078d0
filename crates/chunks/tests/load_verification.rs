//! Tests when weights count as loaded from valid chunks.

use std::time::{Duration, Instant};

use base::ModelId;
use chunks::{
    ChunkSet, EngineLoad, LoadVerdict, LoadVerification, OrderReport, WeightsId, kept_layers,
};
use proptest::prelude::*;

const MODEL: ModelId = ModelId::const_new("m");
const TICK: Duration = Duration::from_millis(100);

fn report(load_orders: u64, loaded: u64) -> OrderReport {
    OrderReport { started_at_ms: 7, load_orders, busy: false, loaded }
}

fn load(load_orders: u64, version: u64) -> EngineLoad {
    EngineLoad { weights: WeightsId { model: MODEL, version }, started_at_ms: 7, load_orders }
}

fn chunk_set(chunks: &[u32]) -> ChunkSet {
    let mut set = ChunkSet::new();
    chunks.iter().for_each(|index| {
        set.insert(*index);
    });
    set
}

/// Weights counted as usable as soon as the engine reported them.
#[test]
fn load_is_used_before_its_chunks_were_read() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(0, 1), &MODEL, now);
    assert_eq!(loads.verdict(&load(0, 1)), LoadVerdict::Verified);
    loads.observe(&report(1, 2), &MODEL, now + TICK);
    assert_eq!(loads.verdict(&load(1, 2)), LoadVerdict::Unverified);
    assert_eq!(loads.record_read(load(1, 2), ChunkSet::new()), LoadVerdict::Verified);
    assert_eq!(loads.verdict(&load(1, 2)), LoadVerdict::Verified);
}

/// Guards against an engine that is taken out of use while an order for newer weights is under way or has failed.
#[test]
fn verified_load_is_doubted_after_a_further_order() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(0, 1), &MODEL, now);
    loads.observe(&OrderReport { busy: true, ..report(1, 1) }, &MODEL, now + TICK);
    loads.record_read(load(1, 2), chunk_set(&[3]));
    assert_eq!(loads.verdict(&load(1, 1)), LoadVerdict::Verified);
    assert_eq!(loads.verdict(&load(1, 2)), LoadVerdict::Corrupt(chunk_set(&[3])));
}

/// Chunks that were read for an order counted for another one, which the engine accepted later.
#[test]
fn verification_of_one_order_is_used_for_a_later_one() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(0, 1), &MODEL, now);
    loads.record_read(load(1, 3), ChunkSet::new());
    loads.observe(&report(1, 2), &MODEL, now + TICK);
    assert_eq!(loads.verdict(&load(1, 2)), LoadVerdict::Unverified);
    loads.observe(&report(2, 3), &MODEL, now + TICK * 2);
    assert_eq!(loads.verdict(&load(2, 3)), LoadVerdict::Unverified);
}

/// A load of an engine's earlier process counted for the weights that the engine loaded after its restart.
#[test]
fn verification_outlives_a_restart_of_the_engine() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(1, 0), &MODEL, now);
    loads.record_read(load(1, 2), ChunkSet::new());
    loads.observe(&report(1, 2), &MODEL, now + TICK);
    let restarted = EngineLoad { started_at_ms: 8, ..load(1, 2) };
    loads.observe(&OrderReport { started_at_ms: 8, ..report(1, 2) }, &MODEL, now + TICK * 2);
    assert_eq!(loads.verdict(&restarted), LoadVerdict::Unverified);
}

/// A corrupt chunk that was replaced just after the engine had taken it counted as valid.
#[test]
fn chunk_that_was_replaced_at_the_time_of_the_acceptance_counts_as_valid() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(0, 1), &MODEL, now);
    loads.record_write(&load(1, 2).weights, 5);
    loads.record_written(&load(1, 2).weights, 5, now + TICK / 2);
    loads.observe(&report(1, 1), &MODEL, now + TICK);
    loads.observe(&report(1, 2), &MODEL, now + TICK * 2);
    let verdict = loads.record_read(load(1, 2), ChunkSet::new());
    assert_eq!(verdict, LoadVerdict::Corrupt(chunk_set(&[5])));
}

/// Weights that were loaded again after the engine had given them up counted as verified, because their version had been.
#[test]
fn reload_of_a_verified_version_is_used_unverified() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(1, 0), &MODEL, now);
    loads.record_read(load(1, 2), ChunkSet::new());
    loads.observe(&report(1, 2), &MODEL, now + TICK);
    loads.observe(&report(2, 0), &MODEL, now + TICK * 2);
    loads.observe(&report(3, 2), &MODEL, now + TICK * 3);
    assert_eq!(loads.verdict(&load(3, 2)), LoadVerdict::Unverified);
}

/// Guards against loads that are doubted because of writes that had ended before the engine can have accepted the order.
#[test]
fn chunk_written_before_the_order_counts_as_corrupt() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(0, 1), &MODEL, now);
    loads.record_write(&load(1, 2).weights, 5);
    loads.record_written(&load(1, 2).weights, 5, now + TICK / 2);
    loads.observe(&report(0, 1), &MODEL, now + TICK);
    assert_eq!(loads.record_read(load(1, 2), ChunkSet::new()), LoadVerdict::Verified);
}

/// What an earlier process of the agent had verified counted although this process found corrupt chunks, or had seen
/// the engine accept the order.
#[test]
fn earlier_process_is_believed_against_what_was_read() {
    let now = Instant::now();
    let mut loads = LoadVerification::new();
    loads.observe(&report(1, 2), &MODEL, now);
    assert!(loads.is_inherited(&load(1, 2)));
    loads.record_read(load(1, 2), chunk_set(&[0]));
    loads.record_verified(load(1, 2));
    assert_eq!(loads.verdict(&load(1, 2)), LoadVerdict::Corrupt(chunk_set(&[0])));
    loads.observe(&report(2, 3), &MODEL, now + TICK);
    assert!(!loads.is_inherited(&load(2, 3)));
    loads.record_verified(load(2, 3));
    assert_eq!(loads.verdict(&load(2, 3)), LoadVerdict::Unverified);
}

/// Layers that depend on a chunk, as the platform assigns them.
fn needs(layer: u32, index: u32, chunks: u32, layers: u32) -> bool {
    let first = layer * chunks / layers;
    let end = ((layer + 1) * chunks).div_ceil(layers);
    (first..end).contains(&index)
}

proptest! {
    /// Guards against layers that stay loaded although a corrupt chunk is part of them.
    #[test]
    fn layer_of_a_corrupt_chunk_is_kept(
        chunks in 1_u32..100,
        layers in 1_u32..40,
        corrupt in prop::collection::vec(0_u32..100, 1..8),
    ) {
        let corrupt = chunk_set(&corrupt);
        let kept = kept_layers(&corrupt, chunks, layers);
        let is_valid = |layer| corrupt.iter().all(|index| !needs(layer, index, chunks, layers));
        prop_assert!(kept.is_empty() || kept.start > 0 && kept.end <= layers);
        prop_assert!(kept.clone().all(is_valid));
        prop_assert_eq!(kept.is_empty(), !(1..layers).any(is_valid));
    }
}
