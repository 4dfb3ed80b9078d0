//! All transfers of one host: which versions it fetches, in which order, and what it gives to peers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::ContentDigest;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    manifest::ChunkManifest,
    pacing::{LinkPacer, LiveLoad},
    ranks::{FetchView, PeerRecord},
    sources::{ChunkSource, FetchFault, SourceHealth},
    store::{ChunkStore, VerifiedChunk},
    transfer::{ChunkTransfer, FetchAction, FetchTicket, TransferOptions},
    upload::{PeerStanding, UploadBudget, UploadOptions, UploadVerdict},
};

/// Hosts of a region that draw a manifest from the origin without waiting for peers.
const MANIFEST_FETCHERS: usize = 2;
/// First and longest interval between attempts to obtain a manifest.
const MANIFEST_RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(2));
/// Time after which an attempt to obtain a manifest counts as stalled.
const MANIFEST_STALL: Duration = Duration::from_millis(500);
/// Time that a host further down the ranks waits before it draws a manifest from the origin, for each rank.
const MANIFEST_PATIENCE: Duration = Duration::from_millis(400);

/// Limits of all transfers of one host.
#[derive(Clone, Debug)]
pub struct FetchPlanOptions {
    /// Memory for chunks, in bytes.
    pub memory_bytes: u64,
    /// Limits of a transfer.
    pub transfer: TransferOptions,
    /// Limits of uploads.
    pub upload: UploadOptions,
}

/// A version that the host should hold; lists of these are in falling order of priority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FetchWant {
    /// Digest of the manifest.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
    /// False if the version is kept while memory allows but not fetched, as the previous version is for a rollback.
    pub fetch: bool,
    /// Hosts that want the same version, the own one included, as far as this host knows.
    pub hosts: Arc<[PeerRecord]>,
}

#[derive(Debug)]
struct ManifestSearch {
    view: FetchView,
    started: Instant,
    attempts: u32,
    next_attempt: Instant,
    flight: Option<(FetchTicket, Instant)>,
    /// Origin that the attempt in flight asks.
    asked_origin: Option<usize>,
    origins: Vec<SourceHealth>,
}

/// The transfers, the chunk store and the upload budget of one host.
#[derive(Debug)]
pub struct FetchPlan {
    options: FetchPlanOptions,
    store: ChunkStore,
    uploads: UploadBudget,
    own: PeerRecord,
    downloads: LinkPacer,
    wants: Vec<FetchWant>,
    searches: BTreeMap<ContentDigest, ManifestSearch>,
    transfers: BTreeMap<ContentDigest, ChunkTransfer>,
    next_ticket: FetchTicket,
    rng: ChaCha8Rng,
}

impl FetchPlan {
    /// Creates a plan that wants nothing.
    #[must_use]
    pub fn new(options: FetchPlanOptions, own: PeerRecord, seed: u64) -> Self {
        Self {
            store: ChunkStore::new(options.memory_bytes),
            uploads: UploadBudget::new(options.upload),
            downloads: LinkPacer::new(options.transfer.link_bytes_per_s),
            options,
            own,
            wants: Vec::new(),
            searches: BTreeMap::new(),
            transfers: BTreeMap::new(),
            next_ticket: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the versions wanted, the most urgent first, and the hosts that take part. Versions beyond the memory
    /// bound are left out; fetches of versions that are no longer wanted are cancelled and their chunks evicted.
    pub fn set_wants(&mut self, now: Instant, wants: Vec<FetchWant>) -> Vec<FetchAction> {
        let mut memory_left = self.options.memory_bytes;
        let (fetched, kept): (Vec<FetchWant>, Vec<FetchWant>) =
            wants.into_iter().partition(|want| want.fetch);
        let before = std::mem::take(&mut self.wants);
        for want in fetched.into_iter().chain(kept) {
            let known = self.wants.iter().any(|other| other.manifest == want.manifest);
            if !known && want.size_bytes <= memory_left {
                memory_left -= want.size_bytes;
                self.wants.push(want);
            }
        }
        let digests: Vec<_> = self.wants.iter().map(|want| want.manifest).collect();
        let fetched: Vec<_> =
            self.wants.iter().filter(|want| want.fetch).map(|want| want.manifest).collect();
        self.store.retain(&digests);
        self.uploads.retain(&digests);
        self.searches.retain(|digest, _| fetched.contains(digest));
        let mut actions = Vec::new();
        let overtaken = self.transfers.extract_if(.., |digest, _| !fetched.contains(digest));
        for (_, mut transfer) in overtaken {
            actions.append(&mut transfer.abandon());
        }
        for want in self.wants.clone() {
            let old = before.iter().find(|old| old.manifest == want.manifest);
            let moved = old.is_some_and(|old| old.hosts != want.hosts);
            if want.fetch {
                self.start(now, want, moved);
            }
        }
        actions
    }

    fn start(&mut self, now: Instant, want: FetchWant, moved: bool) {
        let digest = want.manifest;
        // The list knows the region of this host; the settings name only its data centre.
        let own = want.hosts.iter().find(|record| record.host == self.own.host);
        let own = own.unwrap_or(&self.own).clone();
        if let Some(transfer) = self.transfers.get_mut(&digest) {
            if moved {
                transfer.set_view(FetchView::new(own, want.hosts));
            }
            return;
        }
        let view = FetchView::new(own, want.hosts);
        let origins = self.options.transfer.origins;
        let Some(manifest) = self.store.manifest(digest).cloned() else {
            let search = self.searches.entry(digest).or_insert_with(|| ManifestSearch {
                view: view.clone(),
                started: now,
                attempts: 0,
                next_attempt: now,
                flight: None,
                asked_origin: None,
                origins: vec![SourceHealth::default(); origins],
            });
            search.view = view;
            return;
        };
        let held = self.store.held(digest).expect("the manifest is held");
        let options = self.options.transfer.clone();
        let transfer = ChunkTransfer::new(manifest, held, view, options, now, &mut self.rng);
        self.transfers.insert(digest, transfer);
    }

    /// Sets what live requests do; fetches yield to them.
    pub fn set_load(&mut self, load: LiveLoad) {
        self.downloads.set_load(load);
    }

    /// Restarts waiting times after the process was paused.
    pub fn resume(&mut self, now: Instant) {
        for transfer in self.transfers.values_mut() {
            transfer.resume(now);
        }
        for search in self.searches.values_mut() {
            search.started = now;
        }
    }

    /// Adds a manifest that is at hand, for example in a publisher.
    pub fn add_manifest(&mut self, now: Instant, manifest: Arc<ChunkManifest>) {
        let digest = manifest.digest();
        if let Some(want) = self.wants.iter().find(|want| want.manifest == digest).cloned() {
            self.store.add_manifest(manifest);
            self.searches.remove(&digest);
            if want.fetch {
                self.start(now, want, false);
            }
        }
    }

    /// Records the outcome of [`FetchAction::Manifest`]. The manifest has been checked by [`ChunkManifest::parse`].
    pub fn record_manifest(
        &mut self,
        now: Instant,
        digest: ContentDigest,
        ticket: FetchTicket,
        result: Result<Arc<ChunkManifest>, FetchFault>,
    ) {
        match result {
            Ok(manifest) if manifest.digest() == digest => self.add_manifest(now, manifest),
            Ok(_) => {}
            Err(fault) => {
                let Some(search) = self.searches.get_mut(&digest) else { return };
                if search.flight.is_none_or(|(expected, _)| expected != ticket) {
                    return;
                }
                search.flight = None;
                let (first, longest) = MANIFEST_RETRY;
                let wait = first.mul_f64(1.25_f64.powi(search.attempts.min(40).cast_signed()));
                let wait = wait.min(longest).mul_f64(self.rng.random_range(0.75..1.25));
                // A store that names a retry delay is left alone for that time; other sources are asked meanwhile.
                let asked = search.asked_origin.take();
                if let Some(health) = asked.and_then(|origin| search.origins.get_mut(origin)) {
                    health.record_fault(now, fault, self.rng.random());
                }
                search.next_attempt = now + wait;
            }
        }
    }

    /// Records the outcome of [`FetchAction::Chunk`].
    pub fn record_chunk(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        index: u32,
        ticket: FetchTicket,
        result: Result<VerifiedChunk, FetchFault>,
    ) -> Vec<FetchAction> {
        let Some(transfer) = self.transfers.get_mut(&manifest) else { return Vec::new() };
        match result.map(|chunk| self.store.insert(chunk)) {
            Ok(Ok(())) if self.store.chunk(manifest, index).is_some() => {
                transfer.record_held(now, index, ticket)
            }
            Ok(_) => {
                transfer.record_fault(now, ticket, FetchFault::Corrupt, &mut self.rng);
                Vec::new()
            }
            Err(fault) => {
                transfer.record_fault(now, ticket, fault, &mut self.rng);
                Vec::new()
            }
        }
    }

    /// Records what a peer says it holds, in an answer, in a chunk message or in its own request.
    pub fn record_have(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        peer: &str,
        bitmap: &[u8],
        queued: u32,
    ) {
        if let Some(transfer) = self.transfers.get_mut(&manifest) {
            transfer.record_have(now, peer, bitmap, queued);
        }
    }

    /// Records that a peer did not answer [`FetchAction::Have`].
    pub fn record_have_failed(&mut self, now: Instant, manifest: ContentDigest, peer: &str) {
        if let Some(transfer) = self.transfers.get_mut(&manifest) {
            transfer.record_have_failed(now, peer, &mut self.rng);
        }
    }

    /// Decides what to fetch at `now`. The limit of fetches in flight is shared: a version that is less urgent gets
    /// what the more urgent ones cannot use.
    pub fn poll(&mut self, now: Instant) -> Vec<FetchAction> {
        let mut actions = self.poll_searches(now);
        let limit = self.fetch_limit(now);
        let mut in_flight: usize = self.transfers.values().map(ChunkTransfer::in_flight).sum();
        for want in &self.wants {
            let Some(transfer) = self.transfers.get_mut(&want.manifest) else { continue };
            let own = transfer.in_flight();
            let allowance = own + limit.saturating_sub(in_flight);
            let ticket = &mut self.next_ticket;
            let launched = transfer.poll(now, allowance, ticket, &mut self.rng);
            for action in &launched {
                if let FetchAction::Chunk { index, .. } = action {
                    self.downloads.admit(now, transfer.manifest().chunk_size(*index));
                }
            }
            actions.extend(launched);
            in_flight = in_flight + transfer.in_flight() - own;
        }
        actions
    }

    /// Fetches that may be in flight. Beside live requests, a new fetch starts only when the bytes of the previous ones
    /// have passed at the share of the link that is left to transfers.
    fn fetch_limit(&self, now: Instant) -> usize {
        let limit = self.options.transfer.max_in_flight;
        match self.downloads.load() {
            LiveLoad::Idle => limit,
            LiveLoad::Busy if self.downloads.is_free(now) => limit.div_ceil(2),
            LiveLoad::Slow if self.downloads.is_free(now) => 1,
            _ => 0,
        }
    }

    fn poll_searches(&mut self, now: Instant) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        for (digest, search) in &mut self.searches {
            if let Some((ticket, started)) = search.flight {
                if now < started + MANIFEST_STALL {
                    continue;
                }
                search.flight = None;
                actions.push(FetchAction::Cancel { ticket });
                let asked = search.asked_origin.take();
                if let Some(health) = asked.and_then(|origin| search.origins.get_mut(origin)) {
                    health.record_fault(now, FetchFault::Stalled, 0.5);
                }
            }
            if now < search.next_attempt {
                continue;
            }
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            search.flight = Some((ticket, now));
            search.attempts += 1;
            let source = choose_manifest_source(*digest, search, now, &mut self.rng);
            search.asked_origin = match source {
                ChunkSource::Origin(origin) => Some(origin),
                ChunkSource::Peer(_) => None,
            };
            actions.push(FetchAction::Manifest { manifest: *digest, source, ticket });
        }
        actions
    }

    /// Decides about a peer's request for a chunk. `Ok` books the upload; [`Self::finish_upload`] follows.
    ///
    /// # Errors
    /// Fails with [`FetchFault::NotHeld`] or [`FetchFault::RetryAfter`] if the chunk cannot be sent now.
    pub fn serve_chunk(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        index: u32,
        peer: &str,
        peer_bitmap: &[u8],
    ) -> Result<Bytes, FetchFault> {
        let data = self.store.chunk(manifest, index).ok_or(FetchFault::NotHeld)?;
        let listed = self.store.manifest(manifest).ok_or(FetchFault::NotHeld)?;
        let bytes = data.len() as u64;
        #[expect(clippy::cast_precision_loss, reason = "a chunk has at most 8 MiB")]
        let chunk_time = Duration::from_secs_f64(
            bytes as f64 / self.options.transfer.link_bytes_per_s.max(1) as f64,
        );
        let transfer = self.transfers.get(&manifest);
        let standing = match transfer {
            Some(transfer) if transfer.is_abroad(peer) => PeerStanding::Abroad,
            Some(transfer) if transfer.is_ahead(peer_bitmap) => PeerStanding::Ahead,
            _ => PeerStanding::Behind,
        };
        let size = listed.size_bytes();
        match self.uploads.admit(now, manifest, size, bytes, chunk_time, standing) {
            UploadVerdict::Send => Ok(data),
            UploadVerdict::Busy(wait) => Err(FetchFault::RetryAfter(wait)),
        }
    }

    /// Ends an upload that [`Self::serve_chunk`] booked.
    pub fn finish_upload(&mut self) {
        self.uploads.finish();
    }

    /// Uploads that are served or wait.
    #[must_use]
    pub fn queued_uploads(&self) -> u32 {
        u32::try_from(self.uploads.in_service()).unwrap_or(u32::MAX)
    }

    /// Bitmap of the chunks held of a manifest; empty if the manifest is not held.
    #[must_use]
    pub fn bitmap(&self, manifest: ContentDigest) -> Bytes {
        match self.transfers.get(&manifest) {
            Some(transfer) => transfer.bitmap(),
            None => self.store.held(manifest).map(|held| held.to_bitmap()).unwrap_or_default(),
        }
    }

    /// The chunk store.
    #[must_use]
    pub fn store(&self) -> &ChunkStore {
        &self.store
    }

    /// The upload budget.
    #[must_use]
    pub fn uploads(&self) -> &UploadBudget {
        &self.uploads
    }

    /// The transfer of a manifest, complete or not.
    #[must_use]
    pub fn transfer(&self, manifest: ContentDigest) -> Option<&ChunkTransfer> {
        self.transfers.get(&manifest)
    }

    /// Versions that are fetched or kept, the most urgent first.
    #[must_use]
    pub fn wants(&self) -> &[FetchWant] {
        &self.wants
    }

    /// True if something is still to be fetched.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.searches.is_empty() || self.transfers.values().any(|transfer| !transfer.is_complete())
    }
}

/// The first hosts of the region ask the origin; others ask peers, and the origin only after a wait by rank.
fn choose_manifest_source(
    digest: ContentDigest,
    search: &ManifestSearch,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> ChunkSource {
    let view = &search.view;
    let rank = view.manifest_rank(digest);
    let waited = now.saturating_duration_since(search.started);
    let wait = MANIFEST_PATIENCE * u32::try_from(rank.min(MANIFEST_FETCHERS * 8)).unwrap_or(0);
    let peers: Vec<_> = view.peers().collect();
    let prefers_origin = rank < MANIFEST_FETCHERS || waited >= wait;
    // Every other attempt goes to a peer, so an origin that is down does not hold up a host whose peers hold all.
    let asks_origin = peers.is_empty() || prefers_origin && search.attempts % 2 == 1;
    let origin = search.origins.iter().position(|health| health.is_available(now));
    match origin.filter(|_| asks_origin) {
        Some(origin) => ChunkSource::Origin(origin),
        None if peers.is_empty() => ChunkSource::Origin(0),
        None => ChunkSource::Peer(peers[rng.random_range(0..peers.len())].host.clone()),
    }
}
