//! Transfer of one version to one host, based only on what this host knows about its peers.

mod action;
mod flights;
mod peers;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ContentDigest, HostId};
use bytes::Bytes;
use rand::{Rng, RngExt};

pub use self::action::{FetchAction, FetchId, TransferOptions};
use self::{
    flights::{ActiveFetch, FetchTable},
    peers::{PeerTable, Proximity},
};
use crate::{
    bitmap::ChunkSet,
    manifest::ChunkManifest,
    ranks::{ChunkRank, FetchView},
    sources::{ChunkSource, FetchFault, SourceHealth},
};

/// Minimum and maximum delay per rank after which a substitute fetches a chunk in place of the designated fetcher.
const SUBSTITUTE_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(180), Duration::from_secs(30));
/// The same delay as a fraction of the shortest possible duration of the transfer.
const SUBSTITUTE_DELAY_FRACTION: f64 = 0.3;
/// Rank above which the delay no longer grows, so that the last live host of a region does not wait too long.
const MAX_DELAYED_RANK: u32 = 8;
/// Interval between the first requests for successive chunks to the origin, as a multiple of the time that a chunk
/// takes on a host's link. If all chunks were requested at once, an origin that shares its link among requests would
/// deliver all of them late instead of one after another. The origin's link is assumed to be twice as fast as a host's,
/// so an interval below one half keeps it busy.
const ORIGIN_SPACING: f64 = 0.45;
/// Maximum number of known holders in the region at which a newly received chunk is still announced to peers.
const MAX_ANNOUNCED_HOLDERS: u32 = 2;
/// Multiple of the mean fetch duration after which a chunk is requested from a second peer at the end of a transfer.
const SLOW_FETCH_FACTOR: f64 = 2.0;

/// State of the transfer of one version to this host.
#[derive(Debug)]
pub struct ChunkTransfer {
    digest: ContentDigest,
    manifest: Arc<ChunkManifest>,
    options: TransferOptions,
    held: ChunkSet,
    ranks: Vec<ChunkRank>,
    view: FetchView,
    peers: PeerTable,
    origins: Vec<SourceHealth>,
    active: FetchTable,
    started: Instant,
    /// Last time that a chunk became available in the region for the first time, or that the process resumed.
    last_new_chunk: Instant,
    /// For each chunk up to the highest one seen in the region: when that chunk or a later one was first seen. Chunks
    /// are fetched from the origin in order, so if later chunks arrived long ago, the fetcher of this one has failed.
    reached_at: Vec<Instant>,
    /// Time of the start or of the last resumption; delays start no earlier.
    resumed: Instant,
    /// Random factor applied to the substitute delay, so that substitutes do not act simultaneously.
    jitter: f64,
}

impl ChunkTransfer {
    /// Starts the transfer of the chunks that are not in `held`.
    pub fn new(
        manifest: Arc<ChunkManifest>,
        held: ChunkSet,
        view: FetchView,
        options: TransferOptions,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let digest = manifest.digest();
        let ranks = view.chunk_ranks(digest, manifest.chunk_count());
        let mut peers = PeerTable::new(manifest.chunk_count());
        peers.set_peers(&view);
        Self {
            digest,
            held,
            ranks,
            peers,
            origins: vec![SourceHealth::default(); options.origins],
            active: FetchTable::new(
                options.min_fetch_timeout,
                one_chunk_duration(&manifest, &options),
            ),
            manifest,
            options,
            view,
            started: now,
            last_new_chunk: now,
            reached_at: Vec::new(),
            resumed: now,
            jitter: rng.random_range(0.75..1.25),
        }
    }

    /// Digest of the manifest that is being transferred.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// Manifest of the version being transferred.
    #[must_use]
    pub fn manifest(&self) -> &Arc<ChunkManifest> {
        &self.manifest
    }

    /// Chunks that this host holds so far.
    #[must_use]
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// True if this host holds all chunks.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.is_full()
    }

    /// Number of fetches in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// Replaces the view after a change of the host list.
    pub fn set_view(&mut self, view: FetchView) {
        self.ranks = view.chunk_ranks(self.digest, self.manifest.chunk_count());
        self.peers.set_peers(&view);
        self.view = view;
    }

    /// Restarts all delays after a pause of the process, since earlier observations are outdated.
    pub fn resume(&mut self, now: Instant) {
        self.last_new_chunk = now;
        self.resumed = now;
        self.peers.clear_pending_queries();
    }

    /// Records the chunks that a peer reports to hold, and how many chunk requests wait at it.
    pub fn record_held_chunks(&mut self, now: Instant, peer: &str, bitmap: &[u8], queued: u32) {
        if let Some(highest) = self.peers.record_held_chunks(now, peer, bitmap, queued) {
            self.record_seen(now, highest);
        }
    }

    /// Records that a chunk has become available in the region for the first time.
    fn record_seen(&mut self, now: Instant, index: u32) {
        self.last_new_chunk = now;
        let seen = index as usize + 1;
        if self.reached_at.len() < seen {
            self.reached_at.resize(seen, now);
        }
    }

    /// Records that a query for the chunks of a peer failed or got no response.
    pub fn record_held_chunks_failed(&mut self, now: Instant, peer: &str, rng: &mut impl Rng) {
        self.peers.record_query_failed(now, peer, rng.random());
    }

    /// Records that a chunk has been verified and stored. Returns announcements to peers and cancellations of other
    /// fetches of the same chunk.
    pub fn record_held(&mut self, now: Instant, index: u32, id: FetchId) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        if self.held.insert(index) {
            if self.peers.holders(index) == 0 {
                self.record_seen(now, index);
            }
            self.announce(index, &mut actions);
        }
        if let Some(fetch) = self.active.finish(now, id) {
            self.release_source(&fetch.source);
            match &fetch.source {
                ChunkSource::Peer(peer) => self.peers.record_success(peer),
                ChunkSource::Origin(origin) => self.origins[*origin].record_success(),
            }
        }
        for (id, fetch) in self.active.take_chunk(index) {
            actions.push(self.cancel(id, &fetch));
        }
        actions
    }

    /// Announces a chunk that few peers hold, by sending a query that carries this host's bitmap. Otherwise peers would
    /// see a chunk that has just reached the region only with their next query. How soon all links are in use depends
    /// on how quickly the first copies are distributed.
    fn announce(&self, index: u32, actions: &mut Vec<FetchAction>) {
        if self.peers.holders(index) > MAX_ANNOUNCED_HOLDERS {
            return;
        }
        let mut receivers: Vec<HostId> = self.peers.peers_without(index).cloned().collect();
        let rank = self.ranks[index as usize];
        if rank.is_home && rank.own_rank == 0 {
            receivers.extend(self.view.fetchers_in_other_regions(self.digest, index));
        }
        let manifest = self.digest;
        actions
            .extend(receivers.into_iter().map(|peer| FetchAction::HeldChunks { manifest, peer }));
    }

    /// True if `peer` is a host of another region that wants the same version.
    #[must_use]
    pub fn is_in_other_region(&self, peer: &str) -> bool {
        self.view.is_in_other_region(peer)
    }

    /// True if a peer that holds `bitmap` has more chunks than the average of this host's peers in the region.
    #[must_use]
    pub fn is_above_average(&self, bitmap: &[u8]) -> bool {
        self.peers
            .is_above_average(ChunkSet::from_bitmap(self.manifest.chunk_count(), bitmap).count())
    }

    /// Records that a fetch failed.
    pub fn record_fault(
        &mut self,
        now: Instant,
        id: FetchId,
        fault: FetchFault,
        rng: &mut impl Rng,
    ) {
        let Some(fetch) = self.active.remove(id) else { return };
        self.release_source(&fetch.source);
        match &fetch.source {
            ChunkSource::Peer(peer) => {
                if fault == FetchFault::NotHeld {
                    self.peers.remove_claim(peer, fetch.index);
                }
                self.peers.record_fault(now, peer, fault, rng.random());
            }
            ChunkSource::Origin(origin) => {
                self.origins[*origin].record_fault(now, fault, rng.random());
            }
        }
    }

    /// Cancels all fetches when the version is no longer wanted.
    pub fn cancel_all(&mut self) -> Vec<FetchAction> {
        let rest = self.active.take_all();
        rest.into_iter().map(|(id, fetch)| self.cancel(id, &fetch)).collect()
    }

    /// Returns the fetches and queries to start at `now`. `allowance` is the maximum number of fetches in flight;
    /// `next_id` is the next free id and is incremented for each new fetch.
    pub fn poll(
        &mut self,
        now: Instant,
        allowance: usize,
        next_id: &mut FetchId,
        rng: &mut impl Rng,
    ) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        self.expire(now, rng, &mut actions);
        if self.is_complete() {
            return actions;
        }
        self.add_remote_fetchers();
        let interval = self.query_interval();
        for peer in self.peers.take_due_queries(now, interval) {
            actions.push(FetchAction::HeldChunks { manifest: self.digest, peer });
        }
        let limit = allowance.min(self.options.max_in_flight);
        if self.active.len() >= limit {
            return actions;
        }
        let mut candidates: Vec<(u32, u32, u32)> = self
            .held
            .missing()
            .filter(|index| !self.active.has_chunk(*index))
            .map(|index| (self.peers.holders(index), rng.next_u32(), index))
            .collect();
        let all_requested = candidates.is_empty();
        candidates.sort_unstable();
        for (_, _, index) in candidates {
            if self.active.len() >= limit {
                break;
            }
            if let Some(source) = self.choose_source(now, index, rng) {
                actions.push(self.start_fetch(now, index, source, next_id));
            }
        }
        if all_requested {
            self.duplicate_slow_fetches(now, limit, next_id, rng, &mut actions);
        }
        actions
    }

    /// Chooses the least loaded holder in the region. If no healthy host of the region holds the chunk, the designated
    /// fetcher, or a substitute after its delay, uses another region or the origin.
    fn choose_source(&self, now: Instant, index: u32, rng: &mut impl Rng) -> Option<ChunkSource> {
        let local = self.peers.best_holder(now, index, self.options.max_per_peer, false, rng);
        if let Some(peer) = local {
            return Some(ChunkSource::Peer(peer));
        }
        if self.peers.has_healthy_holder(index) {
            return None;
        }
        let rank = self.ranks[index as usize];
        let substitute_delay = self.substitute_delay();
        let scheduled = self.started + self.chunk_time().mul_f64(ORIGIN_SPACING) * index;
        if now < scheduled {
            return None;
        }
        let reached_at = self.reached_at.get(index as usize).copied();
        let since = reached_at.unwrap_or(self.last_new_chunk).max(scheduled).max(self.resumed);
        let waited = now.saturating_duration_since(since);
        let delay_rank = rank.own_rank.min(MAX_DELAYED_RANK);
        if waited < substitute_delay * delay_rank {
            return None;
        }
        let remote = self.peers.best_holder(now, index, self.options.max_per_peer, true, rng);
        if let Some(peer) = remote {
            return Some(ChunkSource::Peer(peer));
        }
        let home_has_failed = rank
            .home_fetcher
            .is_none_or(|fetcher| self.peers.is_failing(&self.view.host(fetcher).host));
        if !rank.is_home && !home_has_failed && waited < substitute_delay * (delay_rank + 1) {
            return None;
        }
        self.choose_origin(now)
    }

    fn choose_origin(&self, now: Instant) -> Option<ChunkSource> {
        let origin = self.origins.iter().position(|health| health.is_available(now))?;
        let in_flight = self.active.count_from(&ChunkSource::Origin(origin));
        (in_flight < self.options.max_from_origin).then_some(ChunkSource::Origin(origin))
    }

    fn start_fetch(
        &mut self,
        now: Instant,
        index: u32,
        source: ChunkSource,
        next_id: &mut FetchId,
    ) -> FetchAction {
        let id = *next_id;
        *next_id += 1;
        if let ChunkSource::Peer(peer) = &source {
            self.peers.add_outstanding(peer);
        }
        let timeout = match source {
            ChunkSource::Peer(_) => self.active.fetch_timeout(),
            // The fetchers of all regions share the origin's link, so that a single chunk may take a good part of the
            // duration of the transfer.
            ChunkSource::Origin(_) => self.active.fetch_timeout().max(self.shortest_duration()),
        };
        let fetch =
            ActiveFetch { index, source: source.clone(), started: now, deadline: now + timeout };
        self.active.insert(id, fetch);
        FetchAction::Chunk { manifest: self.digest, index, source, id }
    }

    /// At the end of a transfer, requests chunks whose fetch is unusually slow from another holder. Each chunk is
    /// requested at most twice and the slower fetch is cancelled, so that few bytes are wasted.
    fn duplicate_slow_fetches(
        &mut self,
        now: Instant,
        limit: usize,
        next_id: &mut FetchId,
        rng: &mut impl Rng,
        actions: &mut Vec<FetchAction>,
    ) {
        for index in self.active.slow_chunks(now, SLOW_FETCH_FACTOR) {
            if self.active.len() >= limit {
                return;
            }
            let Some(peer) = self.peers.best_holder(now, index, 1, false, rng) else { continue };
            let source = ChunkSource::Peer(peer);
            if !self.active.is_fetching(index, &source) {
                actions.push(self.start_fetch(now, index, source, next_id));
            }
        }
    }

    fn expire(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<FetchAction>) {
        for id in self.active.timed_out(now) {
            self.record_fault(now, id, FetchFault::Stalled, rng);
            actions.push(FetchAction::Cancel { id });
        }
        // Responses share the link with chunks, so they may take as long as a chunk.
        let limit = (self.options.min_fetch_timeout * 2).max(self.active.fetch_timeout() / 2);
        self.peers.expire_queries(now, limit, || rng.random());
    }

    /// Adds as contacts the home fetchers of missing chunks for which this host is the designated fetcher of its
    /// region.
    fn add_remote_fetchers(&mut self) {
        for (index, rank) in (0..).zip(&self.ranks) {
            if rank.own_rank == 0
                && let Some(fetcher) = rank.home_fetcher
                && !self.held.contains(index)
                && self.peers.holders(index) == 0
            {
                self.peers.add_contact(&self.view.host(fetcher).host);
            }
        }
    }

    fn release_source(&mut self, source: &ChunkSource) {
        if let ChunkSource::Peer(peer) = source {
            self.peers.remove_outstanding(peer);
        }
    }

    fn cancel(&mut self, id: FetchId, fetch: &ActiveFetch) -> FetchAction {
        self.release_source(&fetch.source);
        FetchAction::Cancel { id }
    }

    /// Interval between queries to a peer for the chunks it holds. Chunk messages contain the same information, so a
    /// host with many fetches in flight can query less often.
    fn query_interval(&self) -> Duration {
        let idle = self.active.len() * 2 < self.options.max_in_flight;
        let chunks = if idle { 8 } else { 32 };
        (self.chunk_time() * chunks)
            .clamp(self.options.min_holdings_interval, Duration::from_secs(2))
    }

    fn chunk_time(&self) -> Duration {
        one_chunk_duration(&self.manifest, &self.options)
    }

    fn substitute_delay(&self) -> Duration {
        let (shortest, longest) = SUBSTITUTE_DELAY_RANGE;
        self.shortest_duration()
            .mul_f64(SUBSTITUTE_DELAY_FRACTION)
            .clamp(shortest, longest)
            .mul_f64(self.jitter)
    }

    /// Lower bound on the duration of the transfer: total size divided by link speed.
    fn shortest_duration(&self) -> Duration {
        transfer_duration(self.manifest.size_bytes(), &self.options)
    }

    /// Bitmap of the chunks that this host holds, for messages.
    #[must_use]
    pub fn bitmap(&self) -> Bytes {
        self.held.to_bitmap()
    }

    /// Peers of the transfer, with the number of chunks that each is known to hold.
    #[must_use]
    pub fn known_peers(&self) -> Vec<(HostId, u32)> {
        self.peers.held_counts()
    }
}

impl Proximity {
    pub(crate) fn of(view: &FetchView, host: &str) -> Self {
        let own = view.own();
        match view.peers().find(|record| record.host == host) {
            Some(record) if record.data_centre == own.data_centre => Self::DataCentre,
            Some(record) if record.region == own.region => Self::Region,
            _ => Self::OtherRegion,
        }
    }
}

fn one_chunk_duration(manifest: &ChunkManifest, options: &TransferOptions) -> Duration {
    transfer_duration(manifest.chunk_bytes().min(manifest.size_bytes()), options)
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
fn transfer_duration(bytes: u64, options: &TransferOptions) -> Duration {
    Duration::from_secs_f64(bytes as f64 / options.link_bytes_per_s.max(1) as f64)
}
