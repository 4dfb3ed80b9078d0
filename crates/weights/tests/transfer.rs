//! The transfer policy of one host: budgets, back-off, timeouts, overtaking, yielding to requests.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::ContentDigest;
use bytes::Bytes;
use proptest::prelude::*;
use weights::{
    ChunkManifest, ChunkSource, FetchAction, FetchFault, FetchPlan, FetchPlanOptions, FetchTicket,
    FetchWant, LinkPacer, LiveLoad, PeerRecord, TransferOptions, UploadOptions, VerifiedChunk,
};

const CHUNKS: u32 = 20;
const CHUNK_BYTES: usize = 100;
/// One chunk takes 100 ms, a transfer 2 s.
const LINK: u64 = 1_000;
const STEP: Duration = Duration::from_millis(50);

struct Bench {
    plan: FetchPlan,
    now: Instant,
    contents: Vec<(Arc<ChunkManifest>, Vec<u8>)>,
    hosts: Arc<[PeerRecord]>,
    flights: BTreeMap<FetchTicket, (ContentDigest, u32, ChunkSource)>,
    origin_chunks: usize,
}

fn record(index: usize) -> PeerRecord {
    PeerRecord {
        host: format!("h{index}").into(),
        data_centre: format!("d{}", index % 2).into(),
        region: "r".into(),
    }
}

fn full_bitmap() -> Vec<u8> {
    vec![0xff; 3]
}

impl Bench {
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
        let mut bench = Self {
            plan: FetchPlan::new(options, record(0), 1),
            now: Instant::now(),
            contents,
            hosts: (0..hosts).map(record).collect(),
            flights: BTreeMap::new(),
            origin_chunks: 0,
        };
        bench.want(&[(0, true)]);
        bench
    }

    fn digest(&self, version: usize) -> ContentDigest {
        self.contents[version].0.digest()
    }

    fn want(&mut self, versions: &[(usize, bool)]) {
        let wants = versions.iter().map(|(version, fetch)| FetchWant {
            manifest: self.digest(*version),
            size_bytes: self.contents[*version].0.size_bytes(),
            fetch: *fetch,
            hosts: self.hosts.clone(),
        });
        let actions = self.plan.set_wants(self.now, wants.collect());
        self.note(actions);
        for (version, _) in versions {
            let manifest = self.contents[*version].0.clone();
            self.plan.add_manifest(self.now, manifest);
        }
    }

    fn note(&mut self, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Chunk { manifest, index, source, ticket } => {
                    self.origin_chunks += usize::from(matches!(source, ChunkSource::Origin(_)));
                    self.flights.insert(ticket, (manifest, index, source));
                }
                FetchAction::Cancel { ticket } => {
                    self.flights.remove(&ticket);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let actions = self.plan.poll(self.now);
        self.note(actions);
    }

    fn have(&mut self, host: usize, bitmap: &[u8]) {
        let digest = self.digest(0);
        self.plan.record_have(self.now, digest, &record(host).host, bitmap, 0);
    }

    fn chunk(&self, digest: ContentDigest, index: u32) -> Result<VerifiedChunk, FetchFault> {
        let (manifest, content) =
            self.contents.iter().find(|(manifest, _)| manifest.digest() == digest).unwrap();
        let chunk = content.chunks(CHUNK_BYTES).nth(index as usize).unwrap();
        VerifiedChunk::verify(manifest, index, Bytes::copy_from_slice(chunk))
    }

    /// Ends the fetch `ticket`: with the chunk, or with `fault`.
    fn end(&mut self, ticket: FetchTicket, fault: Option<FetchFault>) {
        let Some((digest, index, _)) = self.flights.remove(&ticket) else { return };
        let result = fault.map_or_else(|| self.chunk(digest, index), Err);
        let actions = self.plan.record_chunk(self.now, digest, index, ticket, result);
        self.note(actions);
    }

    fn end_all(&mut self, fault: Option<FetchFault>) {
        for ticket in self.flights.keys().copied().collect::<Vec<_>>() {
            self.end(ticket, fault);
        }
    }

    fn asked(&self, host: usize) -> usize {
        let source = ChunkSource::Peer(record(host).host);
        self.flights.values().filter(|(_, _, other)| *other == source).count()
    }

    /// Runs until the version is whole; returns the steps taken.
    fn finish(&mut self, version: usize) -> usize {
        for step in 0..20_000 {
            if self.plan.store().is_whole(self.digest(version)) {
                return step;
            }
            self.step();
            self.end_all(None);
        }
        panic!("version {version} did not become whole");
    }
}

/// Guards against asking the sender of a corrupted or truncated chunk again at once.
#[test]
fn sender_of_corrupted_or_truncated_chunks_is_left_alone() {
    for fault in [FetchFault::Corrupt, FetchFault::Truncated] {
        let mut bench = Bench::new(3);
        bench.have(1, &full_bitmap());
        bench.step();
        assert!(bench.asked(1) > 0);
        bench.end_all(Some(fault));
        bench.have(2, &full_bitmap());
        bench.step();
        assert_eq!(bench.asked(1), 0, "{fault:?}");
        assert!(bench.asked(2) > 0, "{fault:?}");
        bench.finish(0);
    }
}

/// Guards against waiting for ever on a stalled link, and against a retry that waits for the stalled fetch.
#[test]
fn stalled_fetch_is_cancelled_and_asked_elsewhere() {
    let mut bench = Bench::new(3);
    bench.have(1, &full_bitmap());
    bench.step();
    let stalled = bench.asked(1);
    assert!(stalled > 0);
    let mut steps = 0;
    while !bench.plan.store().is_whole(bench.digest(0)) {
        bench.have(2, &full_bitmap());
        bench.step();
        let from_other = ChunkSource::Peer(record(2).host);
        let flights = bench.flights.iter().filter(|(_, flight)| flight.2 == from_other);
        for ticket in flights.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            bench.end(ticket, None);
        }
        steps += 1;
        assert!(steps < 400, "the chunks of the stalled peer are never asked for elsewhere");
    }
    assert_eq!(bench.asked(1), 0);
}

/// Guards against a peer that claims chunks and does not deliver them being asked for them over and over.
#[test]
fn lying_peer_does_not_hold_up_the_transfer() {
    let mut bench = Bench::new(2);
    for _ in 0..2_000 {
        bench.have(1, &full_bitmap());
        bench.step();
        let tickets: Vec<_> =
            bench.flights.iter().map(|(ticket, flight)| (*ticket, flight.2.clone())).collect();
        for (ticket, source) in tickets {
            let lies = matches!(source, ChunkSource::Peer(_));
            bench.end(ticket, lies.then_some(FetchFault::NotHeld));
        }
    }
    assert!(bench.plan.store().is_whole(bench.digest(0)));
}

/// Guards against a store that names a retry delay being asked before it.
#[test]
fn retry_delay_of_a_store_is_honoured() {
    let mut bench = Bench::new(1);
    let delay = Duration::from_secs(4);
    while bench.flights.is_empty() {
        bench.step();
    }
    bench.end_all(Some(FetchFault::RetryAfter(delay)));
    let refused_at = bench.now;
    while bench.flights.is_empty() {
        bench.step();
    }
    assert!(bench.now - refused_at >= delay);
    bench.finish(0);
}

/// Guards against transfers that need the origin although peers hold everything.
#[test]
fn peers_that_hold_everything_suffice_while_the_origin_is_down() {
    let mut bench = Bench::new(4);
    (1..4).for_each(|host| bench.have(host, &full_bitmap()));
    bench.finish(0);
    assert_eq!(bench.origin_chunks, 0);
}

/// Guards against a region that waits for ever for a dead designated fetcher.
#[test]
fn last_host_alive_draws_everything_from_the_origin() {
    let mut bench = Bench::new(10);
    bench.finish(0);
    assert_eq!(bench.origin_chunks, CHUNKS as usize);
}

/// Guards against an older version holding up a newer one, and against a rollback that transfers again.
#[test]
fn newer_version_cancels_the_older_and_rollback_keeps_its_chunks() {
    let mut bench = Bench::new(1);
    while bench.plan.store().held_bytes() < 500 {
        bench.step();
        bench.end_all(None);
    }
    bench.step();
    let held = bench.plan.store().held_bytes();
    bench.want(&[(1, true), (0, false)]);
    let old = bench.digest(0);
    assert!(bench.flights.values().all(|(digest, _, _)| *digest != old));
    bench.step();
    assert_eq!(bench.plan.store().held_bytes(), held);
    let before = bench.origin_chunks;
    bench.want(&[(0, true)]);
    bench.finish(0);
    assert!(bench.origin_chunks - before <= CHUNKS as usize - held as usize / CHUNK_BYTES);
}

/// Guards against a less urgent model delaying the one that the preset in force needs, and against it never starting.
#[test]
fn models_of_other_presets_follow_by_priority() {
    let mut bench = Bench::new(1);
    bench.want(&[(0, true), (1, true), (2, true)]);
    bench.finish(0);
    bench.finish(1);
    // Memory holds two versions; the third is left out.
    for _ in 0..100 {
        bench.step();
    }
    assert_eq!(bench.plan.store().manifest(bench.digest(2)), None);
}

/// Guards against a pause that makes every timeout expire at once and leaves the transfer without sources.
#[test]
fn transfer_continues_after_a_pause_longer_than_every_timeout() {
    let mut bench = Bench::new(3);
    bench.have(1, &full_bitmap());
    bench.step();
    bench.now += Duration::from_secs(3_600);
    bench.plan.resume(bench.now);
    bench.step();
    bench.have(1, &full_bitmap());
    bench.have(2, &full_bitmap());
    assert!(bench.finish(0) < 200);
}

/// Guards against transfers that take the link from live requests.
#[test]
fn fetches_and_uploads_yield_to_live_requests() {
    let mut steps = Vec::new();
    for load in [LiveLoad::Idle, LiveLoad::Busy, LiveLoad::Slow] {
        let mut bench = Bench::new(2);
        bench.plan.set_load(load);
        bench.have(1, &full_bitmap());
        steps.push(bench.finish(0));
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

    /// Guards against exceeding the budgets and against holding mixed or partial weights, over any order of events.
    #[test]
    fn budgets_hold_over_any_order_of_events(
        hosts in 1_usize..8,
        events in proptest::collection::vec((0_u8..10, any::<u32>()), 1..300),
    ) {
        let mut bench = Bench::new(hosts);
        let options = TransferOptions::default();
        let size = u64::from(CHUNKS) * CHUNK_BYTES as u64;
        let mut uploads: BTreeMap<ContentDigest, (Instant, u64)> = BTreeMap::new();
        for (kind, value) in events {
            let ticket = bench.flights.keys().nth(value as usize % bench.flights.len().max(1)).copied();
            match (kind, ticket) {
                (0, Some(ticket)) => bench.end(ticket, Some(FetchFault::Corrupt)),
                (1, Some(ticket)) => bench.end(ticket, Some(FetchFault::Unreachable)),
                (2, Some(ticket)) => bench.end(ticket, Some(FetchFault::RetryAfter(STEP))),
                (3, _) => bench.have(value as usize % hosts, &value.to_le_bytes()),
                (4, _) => bench.want(&[(value as usize % 3, true), (value as usize / 3 % 3, false)]),
                (5, _) => {
                    let digest = bench.digest(value as usize % 3);
                    let index = value % CHUNKS;
                    let served = bench.plan.serve_chunk(bench.now, digest, index, "h1", &[]);
                    if let Ok(data) = served {
                        let sent = uploads.entry(digest).or_insert((bench.now, 0));
                        sent.1 += data.len() as u64;
                        prop_assert!(sent.1 <= size * 2, "more than two copies uploaded");
                        if value % 2 == 0 { bench.plan.finish_upload(); }
                    }
                }
                (6, _) => bench.plan.finish_upload(),
                (_, Some(ticket)) => bench.end(ticket, None),
                _ => {}
            }
            bench.step();
            prop_assert!(bench.flights.len() <= options.max_in_flight);
            let origin = ChunkSource::Origin(0);
            let from_origin = bench.flights.values().filter(|flight| flight.2 == origin).count();
            prop_assert!(from_origin <= 2 * options.max_from_origin as usize);
            prop_assert!(bench.plan.store().held_bytes() <= bench.plan.store().bound_bytes());
            for (manifest, content) in &bench.contents {
                if let Some(whole) = bench.plan.store().whole(manifest.digest()) {
                    prop_assert_eq!(&whole.concat(), content);
                }
            }
        }
        bench.want(&[(2, true)]);
        bench.finish(2);
    }
}

/// Guards against a panic that an agent without sources ran into with each manifest that it could not obtain.
#[test]
fn host_without_sources_and_peers_survives_refusals() {
    let mut bench = Bench::with_origins(1, 0);
    let manifest = ContentDigest::of(b"never obtained");
    let want = FetchWant { manifest, size_bytes: 100, fetch: true, hosts: bench.hosts.clone() };
    bench.plan.set_wants(bench.now, vec![want]);
    for _ in 0..200 {
        for action in bench.plan.poll(bench.now) {
            let FetchAction::Manifest { manifest, ticket, .. } = action else { continue };
            bench.plan.record_manifest(bench.now, manifest, ticket, Err(FetchFault::NotHeld));
        }
        bench.now += STEP;
    }
}
