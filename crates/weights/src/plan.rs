//! All transfers of one host: which versions it fetches, in which order, and which chunks it uploads to peers.

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
    transfer::{ChunkTransfer, FetchAction, FetchId, TransferOptions},
    upload::{PeerStanding, UploadBudget, UploadOptions, UploadVerdict},
};

/// Number of hosts per region that request a manifest from the origin without waiting for peers.
const MANIFEST_FETCHERS: usize = 2;
/// Initial and maximum backoff between attempts to fetch a manifest.
const MANIFEST_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(2));
/// Timeout of an attempt to fetch a manifest.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay per rank before the remaining hosts request a manifest from the origin.
const MANIFEST_ORIGIN_DELAY: Duration = Duration::from_millis(400);

/// Limits on the transfers of one host.
#[derive(Clone, Debug)]
pub struct FetchPlanOptions {
    /// Maximum memory for chunks, in bytes.
    pub memory_bytes: u64,
    /// Limits that apply to each transfer.
    pub transfer: TransferOptions,
    /// Limits on uploads to peers.
    pub upload: UploadOptions,
}

/// Version that the host should hold. Lists of wanted versions are sorted by descending priority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// Digest of the manifest.
    pub manifest: ContentDigest,
    /// Size of the weights in bytes.
    pub size_bytes: u64,
    /// False if chunks that are already held are kept while memory allows, but missing ones are not fetched. This is
    /// used for the previous version, in case of a rollback.
    pub fetch: bool,
    /// Hosts known to want the same version, including this one.
    pub hosts: Arc<[PeerRecord]>,
}

#[derive(Debug)]
struct ManifestFetch {
    view: FetchView,
    started: Instant,
    attempts: u32,
    next_attempt: Instant,
    in_progress: Option<(FetchId, Instant)>,
    /// Origin to which the attempt in progress was sent; `None` if it was sent to a peer.
    requested_origin: Option<usize>,
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
    wanted: Vec<WantedVersion>,
    manifest_fetches: BTreeMap<ContentDigest, ManifestFetch>,
    transfers: BTreeMap<ContentDigest, ChunkTransfer>,
    next_id: FetchId,
    rng: ChaCha8Rng,
}

impl FetchPlan {
    /// Creates a plan without wanted versions. `own` is the record of this host.
    #[must_use]
    pub fn new(options: FetchPlanOptions, own: PeerRecord, seed: u64) -> Self {
        Self {
            store: ChunkStore::new(options.memory_bytes),
            uploads: UploadBudget::new(options.upload),
            downloads: LinkPacer::new(options.transfer.link_bytes_per_s),
            options,
            own,
            wanted: Vec::new(),
            manifest_fetches: BTreeMap::new(),
            transfers: BTreeMap::new(),
            next_id: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the wanted versions, given in descending order of priority, and the hosts that want them. Versions that
    /// do not fit into the memory bound are skipped. For versions that are no longer wanted, fetches are cancelled and
    /// chunks are evicted.
    pub fn set_wanted(&mut self, now: Instant, wanted: Vec<WantedVersion>) -> Vec<FetchAction> {
        let mut memory_left = self.options.memory_bytes;
        let (fetched, kept): (Vec<WantedVersion>, Vec<WantedVersion>) =
            wanted.into_iter().partition(|want| want.fetch);
        let before = std::mem::take(&mut self.wanted);
        for want in fetched.into_iter().chain(kept) {
            let known = self.wanted.iter().any(|other| other.manifest == want.manifest);
            if !known && want.size_bytes <= memory_left {
                memory_left -= want.size_bytes;
                self.wanted.push(want);
            }
        }
        let digests: Vec<_> = self.wanted.iter().map(|want| want.manifest).collect();
        let fetched: Vec<_> =
            self.wanted.iter().filter(|want| want.fetch).map(|want| want.manifest).collect();
        self.store.retain(&digests);
        self.uploads.retain(&digests);
        self.manifest_fetches.retain(|digest, _| fetched.contains(digest));
        let mut actions = Vec::new();
        let obsolete = self.transfers.extract_if(.., |digest, _| !fetched.contains(digest));
        for (_, mut transfer) in obsolete {
            actions.append(&mut transfer.cancel_all());
        }
        for want in self.wanted.clone() {
            let old = before.iter().find(|old| old.manifest == want.manifest);
            let hosts_changed = old.is_some_and(|old| old.hosts != want.hosts);
            if want.fetch {
                self.start(now, want, hosts_changed);
            }
        }
        actions
    }

    fn start(&mut self, now: Instant, want: WantedVersion, hosts_changed: bool) {
        let digest = want.manifest;
        // Prefer the record in the host list, which contains the region; the settings only contain the data centre.
        let own = want.hosts.iter().find(|record| record.host == self.own.host);
        let own = own.unwrap_or(&self.own).clone();
        if let Some(transfer) = self.transfers.get_mut(&digest) {
            if hosts_changed {
                transfer.set_view(FetchView::new(own, want.hosts));
            }
            return;
        }
        let view = FetchView::new(own, want.hosts);
        let origins = self.options.transfer.origins;
        let Some(manifest) = self.store.manifest(digest).cloned() else {
            let fetch = self.manifest_fetches.entry(digest).or_insert_with(|| ManifestFetch {
                view: view.clone(),
                started: now,
                attempts: 0,
                next_attempt: now,
                in_progress: None,
                requested_origin: None,
                origins: vec![SourceHealth::default(); origins],
            });
            fetch.view = view;
            return;
        };
        let held = self.store.held(digest).expect("the manifest is stored");
        let options = self.options.transfer.clone();
        let transfer = ChunkTransfer::new(manifest, held, view, options, now, &mut self.rng);
        self.transfers.insert(digest, transfer);
    }

    /// Sets the load from live requests, which determines how much of the link fetches may use.
    pub fn set_load(&mut self, load: LiveLoad) {
        self.downloads.set_load(load);
    }

    /// Restarts all delays after a pause of the process.
    pub fn resume(&mut self, now: Instant) {
        for transfer in self.transfers.values_mut() {
            transfer.resume(now);
        }
        for fetch in self.manifest_fetches.values_mut() {
            fetch.started = now;
        }
    }

    /// Adds a manifest that need not be fetched, for example because this host publishes it. Ignored if the version is
    /// not wanted.
    pub fn add_manifest(&mut self, now: Instant, manifest: Arc<ChunkManifest>) {
        let digest = manifest.digest();
        if let Some(want) = self.wanted.iter().find(|want| want.manifest == digest).cloned() {
            self.store.add_manifest(manifest);
            self.manifest_fetches.remove(&digest);
            if want.fetch {
                self.start(now, want, false);
            }
        }
    }

    /// Records the result of [`FetchAction::Manifest`]. The manifest must come from [`ChunkManifest::parse`].
    pub fn record_manifest(
        &mut self,
        now: Instant,
        digest: ContentDigest,
        id: FetchId,
        result: Result<Arc<ChunkManifest>, FetchFault>,
    ) {
        match result {
            Ok(manifest) if manifest.digest() == digest => self.add_manifest(now, manifest),
            Ok(_) => {}
            Err(fault) => {
                let Some(fetch) = self.manifest_fetches.get_mut(&digest) else { return };
                if fetch.in_progress.is_none_or(|(expected, _)| expected != id) {
                    return;
                }
                fetch.in_progress = None;
                let (first, longest) = MANIFEST_BACKOFF;
                let wait = first.mul_f64(1.25_f64.powi(fetch.attempts.min(40).cast_signed()));
                let wait = wait.min(longest).mul_f64(self.rng.random_range(0.75..1.25));
                // An origin that requests a retry delay is not contacted for that time; other sources are used
                // meanwhile.
                let requested = fetch.requested_origin.take();
                if let Some(health) = requested.and_then(|origin| fetch.origins.get_mut(origin)) {
                    health.record_fault(now, fault, self.rng.random());
                }
                fetch.next_attempt = now + wait;
            }
        }
    }

    /// Records the result of [`FetchAction::Chunk`]. Returns the actions that follow, such as cancelling fetches that
    /// are no longer needed.
    pub fn record_chunk(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        index: u32,
        id: FetchId,
        result: Result<VerifiedChunk, FetchFault>,
    ) -> Vec<FetchAction> {
        let Some(transfer) = self.transfers.get_mut(&manifest) else { return Vec::new() };
        match result.map(|chunk| self.store.insert(chunk)) {
            Ok(Ok(())) if self.store.chunk(manifest, index).is_some() => {
                transfer.record_held(now, index, id)
            }
            Ok(_) => {
                transfer.record_fault(now, id, FetchFault::Corrupt, &mut self.rng);
                Vec::new()
            }
            Err(fault) => {
                transfer.record_fault(now, id, fault, &mut self.rng);
                Vec::new()
            }
        }
    }

    /// Records the chunks that a peer reports to hold, in a response, in a chunk message or in its own request.
    /// `queued` is the number of chunk requests that wait at the peer.
    pub fn record_held_chunks(
        &mut self,
        now: Instant,
        manifest: ContentDigest,
        peer: &str,
        bitmap: &[u8],
        queued: u32,
    ) {
        if let Some(transfer) = self.transfers.get_mut(&manifest) {
            transfer.record_held_chunks(now, peer, bitmap, queued);
        }
    }

    /// Records that [`FetchAction::HeldChunks`] failed or got no response.
    pub fn record_held_chunks_failed(&mut self, now: Instant, manifest: ContentDigest, peer: &str) {
        if let Some(transfer) = self.transfers.get_mut(&manifest) {
            transfer.record_held_chunks_failed(now, peer, &mut self.rng);
        }
    }

    /// Returns the fetches to start at `now`. All versions share the limit on fetches in flight: those of lower
    /// priority get what the ones of higher priority cannot use.
    pub fn poll(&mut self, now: Instant) -> Vec<FetchAction> {
        let mut actions = self.poll_manifest_fetches(now);
        let limit = self.fetch_limit(now);
        let mut in_flight: usize = self.transfers.values().map(ChunkTransfer::in_flight).sum();
        for want in &self.wanted {
            let Some(transfer) = self.transfers.get_mut(&want.manifest) else { continue };
            let own = transfer.in_flight();
            let allowance = own + limit.saturating_sub(in_flight);
            let id = &mut self.next_id;
            let launched = transfer.poll(now, allowance, id, &mut self.rng);
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

    /// Maximum number of fetches in flight. While there are live requests, a new fetch may only start once the previous
    /// ones would be complete at the share of the link that is available to transfers.
    fn fetch_limit(&self, now: Instant) -> usize {
        let limit = self.options.transfer.max_in_flight;
        match self.downloads.load() {
            LiveLoad::Idle => limit,
            LiveLoad::Busy if self.downloads.is_free(now) => limit.div_ceil(2),
            LiveLoad::Slow if self.downloads.is_free(now) => 1,
            _ => 0,
        }
    }

    fn poll_manifest_fetches(&mut self, now: Instant) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        for (digest, fetch) in &mut self.manifest_fetches {
            if let Some((id, started)) = fetch.in_progress {
                if now < started + MANIFEST_TIMEOUT {
                    continue;
                }
                fetch.in_progress = None;
                actions.push(FetchAction::Cancel { id });
                let requested = fetch.requested_origin.take();
                if let Some(health) = requested.and_then(|origin| fetch.origins.get_mut(origin)) {
                    health.record_fault(now, FetchFault::Stalled, 0.5);
                }
            }
            if now < fetch.next_attempt {
                continue;
            }
            let id = self.next_id;
            self.next_id += 1;
            fetch.in_progress = Some((id, now));
            fetch.attempts += 1;
            let source = choose_manifest_source(*digest, fetch, now, &mut self.rng);
            fetch.requested_origin = match source {
                ChunkSource::Origin(origin) => Some(origin),
                ChunkSource::Peer(_) => None,
            };
            actions.push(FetchAction::Manifest { manifest: *digest, source, id });
        }
        actions
    }

    /// Decides about a peer's request for a chunk. `Ok` adds the upload to the queue; [`Self::finish_upload`] must be
    /// called afterwards.
    ///
    /// # Errors
    /// Fails with [`FetchFault::NotHeld`] if the chunk is not stored, and with [`FetchFault::RetryAfter`] if the upload
    /// queue is full or the upload budget is used up.
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
            Some(transfer) if transfer.is_in_other_region(peer) => PeerStanding::OtherRegion,
            Some(transfer) if transfer.is_above_average(peer_bitmap) => PeerStanding::AboveAverage,
            _ => PeerStanding::BelowAverage,
        };
        let size = listed.size_bytes();
        match self.uploads.admit(now, manifest, size, bytes, chunk_time, standing) {
            UploadVerdict::Send => Ok(data),
            UploadVerdict::Busy(wait) => Err(FetchFault::RetryAfter(wait)),
        }
    }

    /// Removes an upload accepted by [`Self::serve_chunk`] from the queue.
    pub fn finish_upload(&mut self) {
        self.uploads.finish();
    }

    /// Number of uploads that are queued or being served.
    #[must_use]
    pub fn queued_uploads(&self) -> u32 {
        u32::try_from(self.uploads.in_service()).unwrap_or(u32::MAX)
    }

    /// Bitmap of the stored chunks of a manifest; empty if the manifest is not stored.
    #[must_use]
    pub fn bitmap(&self, manifest: ContentDigest) -> Bytes {
        match self.transfers.get(&manifest) {
            Some(transfer) => transfer.bitmap(),
            None => self.store.held(manifest).map(|held| held.to_bitmap()).unwrap_or_default(),
        }
    }

    /// Store of the chunks and manifests that this host holds.
    #[must_use]
    pub fn store(&self) -> &ChunkStore {
        &self.store
    }

    /// Upload budgets and queue length.
    #[must_use]
    pub fn uploads(&self) -> &UploadBudget {
        &self.uploads
    }

    /// Transfer of a manifest, complete or not; `None` if it has not started or the version is not wanted.
    #[must_use]
    pub fn transfer(&self, manifest: ContentDigest) -> Option<&ChunkTransfer> {
        self.transfers.get(&manifest)
    }

    /// Versions that are fetched, then those that are only kept, each group in descending order of priority.
    #[must_use]
    pub fn wanted(&self) -> &[WantedVersion] {
        &self.wanted
    }

    /// True if any manifest or chunk is still missing.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.manifest_fetches.is_empty()
            || self.transfers.values().any(|transfer| !transfer.is_complete())
    }
}

/// Chooses the source of the next attempt to fetch a manifest. The first hosts of the region use the origin; the others
/// use peers, and the origin only after a delay that grows with the rank.
fn choose_manifest_source(
    digest: ContentDigest,
    fetch: &ManifestFetch,
    now: Instant,
    rng: &mut ChaCha8Rng,
) -> ChunkSource {
    let view = &fetch.view;
    let rank = view.manifest_rank(digest);
    let waited = now.saturating_duration_since(fetch.started);
    let wait = MANIFEST_ORIGIN_DELAY * u32::try_from(rank.min(MANIFEST_FETCHERS * 8)).unwrap_or(0);
    let peers: Vec<_> = view.peers().collect();
    let prefers_origin = rank < MANIFEST_FETCHERS || waited >= wait;
    // Every other attempt goes to a peer, so that a host whose peers hold the manifest is not blocked while the origin
    // is down.
    let asks_origin = peers.is_empty() || prefers_origin && fetch.attempts % 2 == 1;
    let origin = fetch.origins.iter().position(|health| health.is_available(now));
    match origin.filter(|_| asks_origin) {
        Some(origin) => ChunkSource::Origin(origin),
        None if peers.is_empty() => ChunkSource::Origin(0),
        None => ChunkSource::Peer(peers[rng.random_range(0..peers.len())].host.clone()),
    }
}
