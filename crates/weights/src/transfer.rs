//! The transfer of one version to one host, decided from the host's own partial view.

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

pub use self::action::{FetchAction, FetchTicket, TransferOptions};
use self::{
    flights::{Flight, FlightTable},
    peers::{PeerTable, Proximity},
};
use crate::{
    bitmap::ChunkSet,
    manifest::ChunkManifest,
    ranks::{ChunkRank, FetchView},
    sources::{ChunkSource, FetchFault, SourceHealth},
};

/// Shortest and longest time that a substitute waits for the designated fetcher to make progress.
const PATIENCE_RANGE: (Duration, Duration) = (Duration::from_millis(180), Duration::from_secs(30));
/// Part of the transfer's shortest duration that a substitute waits.
const PATIENCE_PART: f64 = 0.3;
/// Ranks behind this one wait no longer than it, so that the last host alive in a region starts soon enough.
const LAST_WAITING_RANK: u32 = 8;
/// Interval between the first requests of successive chunks from the origin, in chunk times of a host's link. Asked for
/// all at once, an origin that shares its link among requests would deliver all chunks late instead of one after
/// another. The origin's link is taken to be twice a host's; less than half a chunk time leaves it no gaps.
const SEED_SPACING: f64 = 0.45;
/// A chunk is announced while no more hosts of the region than this are known to hold it.
const MAX_ANNOUNCED_HOLDERS: u32 = 2;
/// A fetch that takes this many times the usual span is asked for a second time at the end of a transfer.
const SLOW_FETCH_FACTOR: f64 = 2.0;

/// Transfer of one version to this host.
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
    flights: FlightTable,
    started: Instant,
    /// Last time that a chunk was seen in the region for the first time, or that the process resumed.
    seed_progress: Instant,
    /// For each chunk up to the highest one seen in the region: when that chunk or a later one was seen first. Chunks
    /// are drawn in order, so a chunk that others have overtaken for long has lost its fetcher.
    overtaken: Vec<Instant>,
    /// Waiting times start no earlier than this.
    resumed: Instant,
    /// Factor of this host on every waiting time, so that substitutes do not act at the same moment.
    jitter: f64,
}

impl ChunkTransfer {
    /// Starts the transfer of what is missing in `held`.
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
            flights: FlightTable::new(options.min_stall, usual_chunk_time(&manifest, &options)),
            manifest,
            options,
            view,
            started: now,
            seed_progress: now,
            overtaken: Vec::new(),
            resumed: now,
            jitter: rng.random_range(0.75..1.25),
        }
    }

    /// Digest of the manifest.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// The manifest.
    #[must_use]
    pub fn manifest(&self) -> &Arc<ChunkManifest> {
        &self.manifest
    }

    /// Chunks held so far.
    #[must_use]
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// True if nothing is missing.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.is_full()
    }

    /// Fetches in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Replaces the view after a change of the host list.
    pub fn set_view(&mut self, view: FetchView) {
        self.ranks = view.chunk_ranks(self.digest, self.manifest.chunk_count());
        self.peers.set_peers(&view);
        self.view = view;
    }

    /// Restarts every waiting time after a pause, since nothing observed before it says anything about now.
    pub fn resume(&mut self, now: Instant) {
        self.seed_progress = now;
        self.resumed = now;
        self.peers.forget_questions();
    }

    /// Records the chunks that a peer says it holds.
    pub fn record_have(&mut self, now: Instant, peer: &str, bitmap: &[u8], queued: u32) {
        if let Some(highest) = self.peers.record_have(now, peer, bitmap, queued) {
            self.record_seen(now, highest);
        }
    }

    /// Records that a chunk was seen in the region for the first time.
    fn record_seen(&mut self, now: Instant, index: u32) {
        self.seed_progress = now;
        let seen = index as usize + 1;
        if self.overtaken.len() < seen {
            self.overtaken.resize(seen, now);
        }
    }

    /// Records that a question about chunks was not answered.
    pub fn record_have_failed(&mut self, now: Instant, peer: &str, rng: &mut impl Rng) {
        self.peers.record_unanswered(now, peer, rng.random());
    }

    /// Records that a chunk has been verified and stored. Returns the fetches that became superfluous.
    pub fn record_held(
        &mut self,
        now: Instant,
        index: u32,
        ticket: FetchTicket,
    ) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        if self.held.insert(index) {
            if self.peers.holders(index) == 0 {
                self.record_seen(now, index);
            }
            self.announce(index, &mut actions);
        }
        if let Some(flight) = self.flights.finish(now, ticket) {
            self.release(&flight.source);
            match &flight.source {
                ChunkSource::Peer(peer) => self.peers.record_success(peer),
                ChunkSource::Origin(origin) => self.origins[*origin].record_success(),
            }
        }
        for (ticket, flight) in self.flights.take_chunk(index) {
            actions.push(self.cancel(ticket, &flight));
        }
        actions
    }

    /// Tells peers about a chunk that is rare: a question carries the own bitmap. Without this, a chunk that has just
    /// reached a region waits there for the next question, and the first copies decide how soon all links are busy.
    fn announce(&self, index: u32, actions: &mut Vec<FetchAction>) {
        if self.peers.holders(index) > MAX_ANNOUNCED_HOLDERS {
            return;
        }
        let mut told: Vec<HostId> = self.peers.without(index).cloned().collect();
        let rank = self.ranks[index as usize];
        if rank.is_home && rank.own_rank == 0 {
            told.extend(self.view.fetchers_abroad(self.digest, index));
        }
        let manifest = self.digest;
        actions.extend(told.into_iter().map(|peer| FetchAction::Have { manifest, peer }));
    }

    /// True if `peer` is a host of another region that takes part.
    #[must_use]
    pub fn is_abroad(&self, peer: &str) -> bool {
        self.view.is_abroad(peer)
    }

    /// True if a peer that holds `bitmap` is ahead of the others that this host knows.
    #[must_use]
    pub fn is_ahead(&self, bitmap: &[u8]) -> bool {
        self.peers.is_ahead(ChunkSet::from_bitmap(self.manifest.chunk_count(), bitmap).count())
    }

    /// Records that a fetch brought nothing usable.
    pub fn record_fault(
        &mut self,
        now: Instant,
        ticket: FetchTicket,
        fault: FetchFault,
        rng: &mut impl Rng,
    ) {
        let Some(flight) = self.flights.remove(ticket) else { return };
        self.release(&flight.source);
        match &flight.source {
            ChunkSource::Peer(peer) => {
                if fault == FetchFault::NotHeld {
                    self.peers.retract(peer, flight.index);
                }
                self.peers.record_fault(now, peer, fault, rng.random());
            }
            ChunkSource::Origin(origin) => {
                self.origins[*origin].record_fault(now, fault, rng.random());
            }
        }
    }

    /// Abandons everything, because the version is no longer wanted.
    pub fn abandon(&mut self) -> Vec<FetchAction> {
        let rest = self.flights.take_all();
        rest.into_iter().map(|(ticket, flight)| self.cancel(ticket, &flight)).collect()
    }

    /// Decides what to fetch and ask at `now`. `allowance` bounds the fetches in flight, and `next_ticket` numbers them.
    pub fn poll(
        &mut self,
        now: Instant,
        allowance: usize,
        next_ticket: &mut FetchTicket,
        rng: &mut impl Rng,
    ) -> Vec<FetchAction> {
        let mut actions = Vec::new();
        self.expire(now, rng, &mut actions);
        if self.is_complete() {
            return actions;
        }
        self.look_abroad();
        let interval = self.have_interval();
        for peer in self.peers.take_questions(now, interval) {
            actions.push(FetchAction::Have { manifest: self.digest, peer });
        }
        let limit = allowance.min(self.options.max_in_flight);
        if self.flights.len() >= limit {
            return actions;
        }
        let mut candidates: Vec<(u32, u32, u32)> = self
            .held
            .missing()
            .filter(|index| !self.flights.has_chunk(*index))
            .map(|index| (self.peers.holders(index), rng.next_u32(), index))
            .collect();
        let all_requested = candidates.is_empty();
        candidates.sort_unstable();
        for (_, _, index) in candidates {
            if self.flights.len() >= limit {
                break;
            }
            if let Some(source) = self.choose_source(now, index, rng) {
                actions.push(self.launch(now, index, source, next_ticket));
            }
        }
        if all_requested {
            self.repeat_slow(now, limit, next_ticket, rng, &mut actions);
        }
        actions
    }

    /// Chooses the least loaded holder in the region; only the region's fetcher of the chunk goes further.
    fn choose_source(&self, now: Instant, index: u32, rng: &mut impl Rng) -> Option<ChunkSource> {
        let near = self.peers.best_holder(now, index, self.options.max_per_peer, false, rng);
        if let Some(peer) = near {
            return Some(ChunkSource::Peer(peer));
        }
        if self.peers.has_sound_holder(index) {
            return None;
        }
        let rank = self.ranks[index as usize];
        let patience = self.patience();
        let scheduled = self.started + self.chunk_time().mul_f64(SEED_SPACING) * index;
        if now < scheduled {
            return None;
        }
        let overtaken = self.overtaken.get(index as usize).copied();
        let since = overtaken.unwrap_or(self.seed_progress).max(scheduled).max(self.resumed);
        let waited = now.saturating_duration_since(since);
        let turn = rank.own_rank.min(LAST_WAITING_RANK);
        if waited < patience * turn {
            return None;
        }
        let far = self.peers.best_holder(now, index, self.options.max_per_peer, true, rng);
        if let Some(peer) = far {
            return Some(ChunkSource::Peer(peer));
        }
        let home_is_gone = rank
            .home_fetcher
            .is_none_or(|fetcher| self.peers.is_failing(&self.view.host(fetcher).host));
        if !rank.is_home && !home_is_gone && waited < patience * (turn + 1) {
            return None;
        }
        self.choose_origin(now)
    }

    fn choose_origin(&self, now: Instant) -> Option<ChunkSource> {
        let origin = self.origins.iter().position(|health| health.is_available(now))?;
        let in_flight = self.flights.count_from(&ChunkSource::Origin(origin));
        (in_flight < self.options.max_from_origin).then_some(ChunkSource::Origin(origin))
    }

    fn launch(
        &mut self,
        now: Instant,
        index: u32,
        source: ChunkSource,
        next_ticket: &mut FetchTicket,
    ) -> FetchAction {
        let ticket = *next_ticket;
        *next_ticket += 1;
        if let ChunkSource::Peer(peer) = &source {
            self.peers.add_outstanding(peer);
        }
        let stall = match source {
            ChunkSource::Peer(_) => self.flights.stall_time(),
            // Fetchers of all regions queue at the origin's link; its usual delay is a good part of the transfer.
            ChunkSource::Origin(_) => self.flights.stall_time().max(self.shortest_duration()),
        };
        let flight = Flight { index, source: source.clone(), started: now, deadline: now + stall };
        self.flights.insert(ticket, flight);
        FetchAction::Chunk { manifest: self.digest, index, source, ticket }
    }

    /// At the end of a transfer, asks another holder for chunks whose fetch is unusually slow. Each chunk is asked for
    /// at most twice, and the slower fetch is cancelled, so little is transferred for nothing.
    fn repeat_slow(
        &mut self,
        now: Instant,
        limit: usize,
        next_ticket: &mut FetchTicket,
        rng: &mut impl Rng,
        actions: &mut Vec<FetchAction>,
    ) {
        for index in self.flights.slow_chunks(now, SLOW_FETCH_FACTOR) {
            if self.flights.len() >= limit {
                return;
            }
            let Some(peer) = self.peers.best_holder(now, index, 1, false, rng) else { continue };
            let source = ChunkSource::Peer(peer);
            if !self.flights.is_fetching(index, &source) {
                actions.push(self.launch(now, index, source, next_ticket));
            }
        }
    }

    fn expire(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<FetchAction>) {
        for ticket in self.flights.overdue(now) {
            self.record_fault(now, ticket, FetchFault::Stalled, rng);
            actions.push(FetchAction::Cancel { ticket });
        }
        // Answers share the link with chunks, so they may take as long as a chunk does.
        let limit = (self.options.min_stall * 2).max(self.flights.stall_time() / 2);
        self.peers.expire_questions(now, limit, || rng.random());
    }

    /// Adds the fetchers of other regions whose chunks this host draws for its own region.
    fn look_abroad(&mut self) {
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

    fn release(&mut self, source: &ChunkSource) {
        if let ChunkSource::Peer(peer) = source {
            self.peers.remove_outstanding(peer);
        }
    }

    fn cancel(&mut self, ticket: FetchTicket, flight: &Flight) -> FetchAction {
        self.release(&flight.source);
        FetchAction::Cancel { ticket }
    }

    /// Time to wait before asking a peer again which chunks it holds. Chunk messages carry the same information, so a
    /// host that is busy fetching rarely has to ask.
    fn have_interval(&self) -> Duration {
        let idle = self.flights.len() * 2 < self.options.max_in_flight;
        let chunks = if idle { 8 } else { 32 };
        (self.chunk_time() * chunks).clamp(self.options.min_have_interval, Duration::from_secs(2))
    }

    fn chunk_time(&self) -> Duration {
        usual_chunk_time(&self.manifest, &self.options)
    }

    fn patience(&self) -> Duration {
        let (shortest, longest) = PATIENCE_RANGE;
        self.shortest_duration()
            .mul_f64(PATIENCE_PART)
            .clamp(shortest, longest)
            .mul_f64(self.jitter)
    }

    /// Size over link speed: no transfer is faster.
    fn shortest_duration(&self) -> Duration {
        span(self.manifest.size_bytes(), &self.options)
    }

    /// The own bitmap, for messages.
    #[must_use]
    pub fn bitmap(&self) -> Bytes {
        self.held.to_bitmap()
    }

    /// Peers that the transfer talks to, with the chunks that each is known to hold.
    #[must_use]
    pub fn known_peers(&self) -> Vec<(HostId, u32)> {
        self.peers.summary()
    }
}

impl Proximity {
    pub(crate) fn of(view: &FetchView, host: &str) -> Self {
        let own = view.own();
        match view.peers().find(|record| record.host == host) {
            Some(record) if record.data_centre == own.data_centre => Self::DataCentre,
            Some(record) if record.region == own.region => Self::Region,
            _ => Self::Abroad,
        }
    }
}

fn usual_chunk_time(manifest: &ChunkManifest, options: &TransferOptions) -> Duration {
    span(manifest.chunk_bytes().min(manifest.size_bytes()), options)
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
fn span(bytes: u64, options: &TransferOptions) -> Duration {
    Duration::from_secs_f64(bytes as f64 / options.link_bytes_per_s.max(1) as f64)
}
