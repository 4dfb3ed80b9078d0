//! Transfer policy of one host: budgets, backoff, timeouts, newer versions, and priority of live requests.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::ContentDigest;
use bytes::Bytes;
use proptest::prelude::*;
use weights::{
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchId, FetchPlan, FetchPlanOptions,
    LinkPacer, LiveLoad, PeerRecord, TransferOptions, UploadOptions, VerifiedChunk, WantedVersion,
};

const CHUNKS: u32 = 20;
const CHUNK_BYTES: usize = 100;
/// Link speed in bytes per second: a chunk takes 100 ms, a whole transfer 2 s.
const LINK: u64 = 1_000;
const STEP: Duration = Duration::from_millis(50);

struct Harness {
    plan: FetchPlan,
    now: Instant,
    contents: Vec<(Arc<ChunkManifest>, Vec<u8>)>,
    hosts: Arc<[PeerRecord]>,
    active: BTreeMap<FetchId, (ContentDigest, u32, ChunkSource)>,
    origin_chunks: usize,
}

fn peer_record(index: usize) -> PeerRecord {
    PeerRecord {
        host: format!("h{index}").into(),
        data_centre: format!("d{}", index % 2).into(),
        region: "r".into(),
    }
}

fn full_bitmap() -> Vec<u8> {
    vec![0xff; 3]
}

impl Harness {
    fn new(hosts: usize) -> Self {
        Self::with_origins(hosts, TransferOptions::default().origins)
    }

    fn with_origins(hosts: usize, origins: usize) -> Self {
        let transfer =
            TransferOptions { link_bytes_per_s: LINK, origins, ..TransferOptions::default() };
        let options = FetchPlanOptions {
            memory_bytes: 2 * u64::from(CHUNKS) * CHUNK_BYTES as u64,
            transfer,
            upload: UploadOptions::default(),
        };
        let contents = (0..3_u8)
            .map(|version| {
                let size = CHUNKS as usize * CHUNK_BYTES;
                let content: Vec<u8> = (0..size)
                    .map(|position| (position / CHUNK_BYTES) as u8 ^ (version << 6))
                    .collect();
                let manifest = ChunkManifest::build(&content, CHUNK_BYTES as u64).unwrap();
                (Arc::new(manifest), content)
            })
            .collect();
        let mut harness = Self {
            plan: FetchPlan::new(options, peer_record(0), 1),
            now: Instant::now(),
            contents,
            hosts: (0..hosts).map(peer_record).collect(),
            active: BTreeMap::new(),
            origin_chunks: 0,
        };
        harness.want(&[(0, true)]);
        harness
    }

    fn digest(&self, version: usize) -> ContentDigest {
        self.contents[version].0.digest()
    }

    fn want(&mut self, versions: &[(usize, bool)]) {
        let wanted = versions.iter().map(|(version, fetch)| WantedVersion {
            manifest: self.digest(*version),
            size_bytes: self.contents[*version].0.size_bytes(),
            fetch: *fetch,
            hosts: self.hosts.clone(),
        });
        let actions = self.plan.set_wanted(self.now, wanted.collect());
        self.apply(actions);
        for (version, _) in versions {
            let manifest = self.contents[*version].0.clone();
            self.plan.add_manifest(self.now, manifest);
        }
    }

    fn apply(&mut self, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Chunk { manifest, index, source, id } => {
                    self.origin_chunks += usize::from(matches!(source, ChunkSource::Origin(_)));
                    self.active.insert(id, (manifest, index, source));
                }
                FetchAction::Cancel { id } => {
                    self.active.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let actions = self.plan.poll(self.now);
        self.apply(actions);
    }

    fn record_held(&mut self, host: usize, bitmap: &[u8]) {
        let digest = self.digest(0);
        self.plan.record_held_chunks(self.now, digest, &peer_record(host).host, bitmap, 0);
    }

    fn chunk(&self, digest: ContentDigest, index: u32) -> Result<VerifiedChunk, FetchFault> {
        let (manifest, content) =
            self.contents.iter().find(|(manifest, _)| manifest.digest() == digest).unwrap();
        let chunk = content.chunks(CHUNK_BYTES).nth(index as usize).unwrap();
        VerifiedChunk::verify(manifest, index, Bytes::copy_from_slice(chunk))
    }

    /// Completes the fetch `id` with the chunk, or with `fault`.
    fn finish_fetch(&mut self, id: FetchId, fault: Option<FetchFault>) {
        let Some((digest, index, _)) = self.active.remove(&id) else { return };
        let result = fault.map_or_else(|| self.chunk(digest, index), Err);
        let actions = self.plan.record_chunk(self.now, digest, index, id, result);
        self.apply(actions);
    }

    fn finish_all(&mut self, fault: Option<FetchFault>) {
        for id in self.active.keys().copied().collect::<Vec<_>>() {
            self.finish_fetch(id, fault);
        }
    }

    fn requests_to(&self, host: usize) -> usize {
        let source = ChunkSource::Peer(peer_record(host).host);
        self.active.values().filter(|(_, _, other)| *other == source).count()
    }

    /// Runs until the version is complete; returns the number of steps.
    fn run_until_complete(&mut self, version: usize) -> usize {
        for step in 0..20_000 {
            if self.plan.store().is_complete(self.digest(version)) {
                return step;
            }
            self.step();
            self.finish_all(None);
        }
        panic!("version {version} is not complete after 20,000 steps");
    }
}

/// Guards against an immediate further request to the sender of a corrupt or truncated chunk.
#[test]
fn sender_of_corrupted_or_truncated_chunks_is_not_asked_again_at_once() {
    for fault in [FetchFault::Corrupt, FetchFault::Truncated] {
        let mut harness = Harness::new(3);
        harness.record_held(1, &full_bitmap());
        harness.step();
        assert!(harness.requests_to(1) > 0);
        harness.finish_all(Some(fault));
        harness.record_held(2, &full_bitmap());
        harness.step();
        assert_eq!(harness.requests_to(1), 0, "{fault:?}");
        assert!(harness.requests_to(2) > 0, "{fault:?}");
        harness.run_until_complete(0);
    }
}

/// Guards against waiting forever for a stalled peer, and against a retry that waits for the stalled fetch.
#[test]
fn stalled_fetch_is_cancelled_and_retried_from_another_peer() {
    let mut harness = Harness::new(3);
    harness.record_held(1, &full_bitmap());
    harness.step();
    let stalled = harness.requests_to(1);
    assert!(stalled > 0);
    let mut steps = 0;
    while !harness.plan.store().is_complete(harness.digest(0)) {
        harness.record_held(2, &full_bitmap());
        harness.step();
        let from_other = ChunkSource::Peer(peer_record(2).host);
        let active = harness.active.iter().filter(|(_, fetch)| fetch.2 == from_other);
        for id in active.map(|(id, _)| *id).collect::<Vec<_>>() {
            harness.finish_fetch(id, None);
        }
        steps += 1;
        assert!(
            steps < 400,
            "the chunks of the stalled peer are never requested from another peer"
        );
    }
    assert_eq!(harness.requests_to(1), 0);
}

/// Guards against repeated requests to a peer that claims chunks but does not deliver them.
#[test]
fn peer_with_false_claims_does_not_block_the_transfer() {
    let mut harness = Harness::new(2);
    for _ in 0..2_000 {
        harness.record_held(1, &full_bitmap());
        harness.step();
        let ids: Vec<_> = harness.active.iter().map(|(id, fetch)| (*id, fetch.2.clone())).collect();
        for (id, source) in ids {
            let is_false_claim = matches!(source, ChunkSource::Peer(_));
            harness.finish_fetch(id, is_false_claim.then_some(FetchFault::NotHeld));
        }
    }
    assert!(harness.plan.store().is_complete(harness.digest(0)));
}

/// Guards against a request to a store before the retry delay that it asked for has passed.
#[test]
fn retry_delay_of_a_store_is_honoured() {
    let mut harness = Harness::new(1);
    let delay = Duration::from_secs(4);
    while harness.active.is_empty() {
        harness.step();
    }
    harness.finish_all(Some(FetchFault::RetryAfter(delay)));
    let refused_at = harness.now;
    while harness.active.is_empty() {
        harness.step();
    }
    assert!(harness.now - refused_at >= delay);
    harness.run_until_complete(0);
}

/// Guards against transfers that depend on the origin although peers hold all chunks.
#[test]
fn transfer_completes_from_peers_while_the_origin_is_down() {
    let mut harness = Harness::new(4);
    (1..4).for_each(|host| harness.record_held(host, &full_bitmap()));
    harness.run_until_complete(0);
    assert_eq!(harness.origin_chunks, 0);
}

/// Guards against a region that waits forever for designated fetchers that are down.
#[test]
fn last_host_alive_fetches_everything_from_the_origin() {
    let mut harness = Harness::new(10);
    harness.run_until_complete(0);
    assert_eq!(harness.origin_chunks, CHUNKS as usize);
}

/// Guards against an older version that delays a newer one, and against a rollback that fetches chunks again.
#[test]
fn newer_version_cancels_the_older_and_rollback_keeps_its_chunks() {
    let mut harness = Harness::new(1);
    while harness.plan.store().held_bytes() < 500 {
        harness.step();
        harness.finish_all(None);
    }
    harness.step();
    let held = harness.plan.store().held_bytes();
    harness.want(&[(1, true), (0, false)]);
    let old = harness.digest(0);
    assert!(harness.active.values().all(|(digest, _, _)| *digest != old));
    harness.step();
    assert_eq!(harness.plan.store().held_bytes(), held);
    let before = harness.origin_chunks;
    harness.want(&[(0, true)]);
    harness.run_until_complete(0);
    assert!(harness.origin_chunks - before <= CHUNKS as usize - held as usize / CHUNK_BYTES);
}

/// Guards against a model of lower priority that delays the one needed by the preset in force, or that never starts.
#[test]
fn models_of_other_presets_follow_by_priority() {
    let mut harness = Harness::new(1);
    harness.want(&[(0, true), (1, true), (2, true)]);
    harness.run_until_complete(0);
    harness.run_until_complete(1);
    // The memory bound allows two versions, so the third one must be skipped.
    for _ in 0..100 {
        harness.step();
    }
    assert_eq!(harness.plan.store().manifest(harness.digest(2)), None);
}

/// Guards against a pause after which all timeouts expire at once and leave the transfer without sources.
#[test]
fn transfer_continues_after_a_pause_longer_than_every_timeout() {
    let mut harness = Harness::new(3);
    harness.record_held(1, &full_bitmap());
    harness.step();
    harness.now += Duration::from_secs(3_600);
    harness.plan.resume(harness.now);
    harness.step();
    harness.record_held(1, &full_bitmap());
    harness.record_held(2, &full_bitmap());
    assert!(harness.run_until_complete(0) < 200);
}

/// Guards against transfers that starve live requests of bandwidth.
#[test]
fn fetches_and_uploads_yield_to_live_requests() {
    let mut steps = Vec::new();
    for load in [LiveLoad::Idle, LiveLoad::Busy, LiveLoad::Slow] {
        let mut harness = Harness::new(2);
        harness.plan.set_load(load);
        harness.record_held(1, &full_bitmap());
        steps.push(harness.run_until_complete(0));
    }
    assert!(steps[0] < steps[1] && steps[1] * 2 < steps[2], "{steps:?}");
    let now = Instant::now();
    let mut pacer = LinkPacer::new(LINK);
    let waits = |pacer: &mut LinkPacer| (0..10).map(|_| pacer.admit(now, 100)).max().unwrap();
    let idle = waits(&mut pacer.clone());
    pacer.set_load(LiveLoad::Slow);
    assert!(waits(&mut pacer) > idle * 5);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    /// Guards against exceeding the budgets and against mixed or partial weights, for random sequences of events.
    #[test]
    fn budgets_hold_for_any_sequence_of_events(
        hosts in 1_usize..8,
        events in proptest::collection::vec((0_u8..10, any::<u32>()), 1..300),
    ) {
        let mut harness = Harness::new(hosts);
        let options = TransferOptions::default();
        let size = u64::from(CHUNKS) * CHUNK_BYTES as u64;
        let mut uploads: BTreeMap<ContentDigest, (Instant, u64)> = BTreeMap::new();
        for (kind, value) in events {
            let id = harness.active.keys().nth(value as usize % harness.active.len().max(1)).copied();
            match (kind, id) {
                (0, Some(id)) => harness.finish_fetch(id, Some(FetchFault::Corrupt)),
                (1, Some(id)) => harness.finish_fetch(id, Some(FetchFault::Unreachable)),
                (2, Some(id)) => harness.finish_fetch(id, Some(FetchFault::RetryAfter(STEP))),
                (3, _) => harness.record_held(value as usize % hosts, &value.to_le_bytes()),
                (4, _) => harness.want(&[(value as usize % 3, true), (value as usize / 3 % 3, false)]),
                (5, _) => {
                    let digest = harness.digest(value as usize % 3);
                    let index = value % CHUNKS;
                    let served = harness.plan.serve_chunk(harness.now, digest, index, "h1", &[]);
                    if let Ok(data) = served {
                        let sent = uploads.entry(digest).or_insert((harness.now, 0));
                        sent.1 += data.len() as u64;
                        prop_assert!(sent.1 <= size * 2, "more than two copies uploaded");
                        if value % 2 == 0 { harness.plan.finish_upload(); }
                    }
                }
                (6, _) => harness.plan.finish_upload(),
                (_, Some(id)) => harness.finish_fetch(id, None),
                _ => {}
            }
            harness.step();
            prop_assert!(harness.active.len() <= options.max_in_flight);
            let origin = ChunkSource::Origin(0);
            let from_origin = harness.active.values().filter(|fetch| fetch.2 == origin).count();
            prop_assert!(from_origin <= 2 * options.max_from_origin as usize);
            prop_assert!(harness.plan.store().held_bytes() <= harness.plan.store().bound_bytes());
            for (manifest, content) in &harness.contents {
                if let Some(whole) = harness.plan.store().all_chunks(manifest.digest()) {
                    prop_assert_eq!(&whole.concat(), content);
                }
            }
        }
        harness.want(&[(2, true)]);
        harness.run_until_complete(2);
    }
}

/// Guards against a panic on each failed fetch of a manifest in an agent without configured sources.
#[test]
fn host_without_sources_and_peers_survives_failed_fetches() {
    let mut harness = Harness::with_origins(1, 0);
    let manifest = ContentDigest::of(b"never obtained");
    let want =
        WantedVersion { manifest, size_bytes: 100, fetch: true, hosts: harness.hosts.clone() };
    harness.plan.set_wanted(harness.now, vec![want]);
    for _ in 0..200 {
        for action in harness.plan.poll(harness.now) {
            let FetchAction::Manifest { manifest, id, .. } = action else { continue };
            harness.plan.record_manifest(harness.now, manifest, id, Err(FetchFault::NotHeld));
        }
        harness.now += STEP;
    }
}
