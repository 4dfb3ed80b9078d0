//! Decides which chunk to fetch next, and from which source.
//!
//! For each chunk, one agent of the fleet fetches it from the origin, one agent per region fetches it from another
//! region, and all others fetch it within their region. Rendezvous hashing determines the order of the agents, without
//! any communication. If an agent makes no progress, the next one in the order takes over.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, rendezvous_weight};
use rand::{Rng, RngExt, seq::IndexedRandom};

use crate::{
    fetch::{ChunkFetch, ChunkSource, FetchFailure, FetchId, SwarmOptions, SwarmPeer},
    manifest::{ChunkIndex, ChunkManifest, ChunkSet, WeightsId},
    neighbours::{IMPORTERS_PER_REGION, choose_neighbours, chunk_subject, importers, origin_order},
    origin::{OriginGate, OriginRole},
};

/// Time without new chunks before the next agent in the order takes over, multiplied by that agent's position. A chunk
/// takes about 50 ms on a link of 9.4 Mbit/s. The delay covers several chunks, so that a busy link is not mistaken for
/// a failed agent.
const TAKEOVER_DELAY: Duration = Duration::from_millis(350);
/// Time for which a chunk is known to be in another region before the next agent in the order takes over, even if other
/// chunks arrive: an agent that is dead would hold up its chunks until all others have arrived. It covers the queues of
/// the few agents that have the chunk.
const IMPORT_TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// Delay between the start of a transfer and the first fetch from the origin, in which the other agents announce their
/// chunks.
const DISCOVERY_TIME: Duration = Duration::from_millis(40);
/// Time without a new chunk in the fleet after which the origin is assumed to be down. Chunks of an origin of 4.4 Mbit/s
/// that eight agents share take 0.7 s.
const ORIGIN_STALL: Duration = Duration::from_millis(1_000);
/// Number of consecutive chunks over which the origin's rate is measured: two from each of four fetchers.
const RATE_CHUNKS: usize = 8;
/// Number of agents behind the fetchers that are told of each chunk from the origin. The next one after them takes over
/// only after 7 s without progress.
const STANDBY_FETCHERS: usize = 6;
/// Agents that only stand by for the first importer of a chunk send one of this many queries to an agent that fetches
/// from the origin. Otherwise the queries to those agents would grow with the fleet.
const STANDBY_QUERIES: u32 = 4;
/// Maximum position in the order. Agents further back wait only as long as an agent at this position.
const MAX_POSITION: u32 = 6;
/// Backoff after a failed fetch from a source.
const SOURCE_BACKOFF: Duration = Duration::from_millis(600);
/// Backoff after a source reported that it is busy: about the time of one chunk on its link.
const BUSY_BACKOFF: Duration = Duration::from_millis(40);
#[derive(Debug)]
struct PendingFetch {
    index: ChunkIndex,
    source: ChunkSource,
}

/// Chunks that another agent has announced.
#[derive(Debug)]
struct PeerChunks {
    /// Chunks that may be fetched from the agent: those announced, without those of which a fetch has failed since.
    chunks: ChunkSet,
    announced: ChunkSet,
    /// The agent is in this agent's region.
    is_local: bool,
}

/// Transfer of one version to this agent.
#[derive(Debug)]
pub struct ChunkSwarm {
    manifest: Arc<ChunkManifest>,
    options: SwarmOptions,
    own: SwarmPeer,
    peers: Vec<SwarmPeer>,
    /// Agents that are told about this agent's chunks.
    neighbours: Vec<SocketAddr>,
    /// Other agents that fetch from the origin.
    origin_fetchers: Vec<SocketAddr>,
    /// Agents that take over first from those.
    standby_fetchers: Vec<SocketAddr>,
    role: OriginRole,
    /// Time without new chunks in the fleet before the next fetcher takes over.
    origin_takeover_delay: Duration,
    gate: OriginGate,
    origin_data_centre: Option<DataCentreId>,
    peer_chunks: BTreeMap<SocketAddr, PeerChunks>,
    /// Chunks that were fetched from the origin since the last notice.
    unannounced_imports: Vec<ChunkIndex>,
    held: ChunkSet,
    in_flight: HashMap<FetchId, PendingFetch>,
    backoffs: HashMap<SocketAddr, Instant>,
    next_id: FetchId,
    started: Instant,
    /// Last time at which any chunk was first seen at another agent of the fleet, and of this region.
    fleet_progress: Instant,
    region_progress: Instant,
    /// Chunks that this agent or, by its last notice, a known agent of the fleet or of this region holds.
    seen_in_fleet: ChunkSet,
    /// Times at which chunks were first seen at other agents.
    first_seen: HashMap<ChunkIndex, Instant>,
    seen_in_region: ChunkSet,
    /// For each chunk, this agent's position among the agents that fetch it from the origin, and among the agents of
    /// its region.
    positions: Vec<(u32, u32)>,
}

impl ChunkSwarm {
    /// Starts a transfer of all chunks that are not in `held`.
    #[must_use]
    pub fn new(
        manifest: Arc<ChunkManifest>,
        own: SwarmPeer,
        held: ChunkSet,
        options: SwarmOptions,
        now: Instant,
    ) -> Self {
        let positions = vec![(0, 0); manifest.digests.len()];
        Self {
            manifest,
            positions,
            options,
            own,
            peers: Vec::new(),
            neighbours: Vec::new(),
            origin_fetchers: Vec::new(),
            standby_fetchers: Vec::new(),
            role: OriginRole { position: 0, fetchers: 1, agents: 1 },
            origin_takeover_delay: TAKEOVER_DELAY,
            gate: OriginGate::new(),
            unannounced_imports: Vec::new(),
            origin_data_centre: None,
            peer_chunks: BTreeMap::new(),
            seen_in_fleet: held.clone(),
            first_seen: HashMap::new(),
            seen_in_region: held.clone(),
            held,
            in_flight: HashMap::new(),
            backoffs: HashMap::new(),
            next_id: 0,
            started: now,
            fleet_progress: now,
            region_progress: now,
        }
    }

    /// Model and version of the weights.
    #[must_use]
    pub fn name(&self) -> &WeightsId {
        &self.manifest.name
    }

    /// Manifest with the digests of all chunks.
    #[must_use]
    pub fn manifest(&self) -> &Arc<ChunkManifest> {
        &self.manifest
    }

    /// Verified chunks that are in memory or in the staging area.
    #[must_use]
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// True if no chunk is missing.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.count() >= self.manifest.len()
    }

    /// Updates the other agents and the data centre of the origin. Does nothing if they have not changed.
    pub fn update_peers(
        &mut self,
        peers: &[SwarmPeer],
        origin: Option<DataCentreId>,
        now: Instant,
    ) {
        if self.peers != peers || self.origin_data_centre != origin {
            self.set_peers(peers.to_vec(), origin);
            self.forget_lost_chunks(now);
        }
    }

    /// Forgets chunks that no known agent holds any more, because the agents that announced them have left or lost them.
    fn forget_lost_chunks(&mut self, now: Instant) {
        let (mut in_fleet, mut in_region) = (self.held.clone(), self.held.clone());
        for peer in self.peer_chunks.values() {
            for index in (0..self.manifest.len()).filter(|index| peer.announced.contains(*index)) {
                in_fleet.insert(index);
                if peer.is_local {
                    in_region.insert(index);
                }
            }
        }
        if in_fleet.count() < self.seen_in_fleet.count() {
            self.first_seen.retain(|index, _| in_fleet.contains(*index));
            // The origin has not had the time to send them again.
            self.fleet_progress = now;
        }
        self.seen_in_fleet = in_fleet;
        self.seen_in_region = in_region;
    }

    fn set_peers(&mut self, peers: Vec<SwarmPeer>, origin: Option<DataCentreId>) {
        let addresses: HashSet<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        self.peer_chunks.retain(|address, _| addresses.contains(address));
        self.neighbours = choose_neighbours(&self.own, &peers);
        self.peers = peers;
        self.origin_data_centre = origin;
        let (order, fetcher_count) = origin_order(
            &self.manifest.name,
            &self.own,
            &self.peers,
            self.origin_data_centre.as_ref(),
        );
        self.role = OriginRole::new(&order, fetcher_count, self.own.address);
        let fetchers = &order[..fetcher_count];
        let is_other = |address: &&SocketAddr| **address != self.own.address;
        let origin_fetchers = fetchers.iter().filter(is_other).copied().collect();
        let standby = order[fetcher_count..].iter().take(STANDBY_FETCHERS).filter(is_other);
        self.standby_fetchers = standby.copied().collect();
        let OriginRole { position, fetchers, .. } = self.role;
        let positions = (0..self.manifest.len())
            .map(|index| {
                // Chunks are dealt out to the fetchers in turn, so that all finish at the same time.
                let origin = match self.role.is_fetcher() {
                    true => (position + fetchers - index % fetchers) % fetchers,
                    false => 0,
                };
                (origin, self.position(index, |peer| peer.region == self.own.region))
            })
            .collect();
        self.positions = positions;
        self.origin_fetchers = origin_fetchers;
    }

    /// Agents to which a notice about this agent's chunks is sent. With `wanted`, the notice also asks for the chunks of
    /// its receivers.
    pub fn notice_targets(&mut self, wanted: bool, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut targets = self.neighbours.clone();
        let imports = std::mem::take(&mut self.unannounced_imports);
        if !imports.is_empty() {
            // The other fetchers must not fetch the same chunks, and learn that the origin responds. The agents that
            // would take over next must not mistake their distance from the fetchers for an outage.
            targets.extend(self.origin_fetchers.iter().chain(&self.standby_fetchers));
        }
        for index in imports {
            targets.extend(importers(&self.own, &self.peers, &self.subject(index)));
        }
        if wanted
            && (self.may_import(1)
                || rng.random_ratio(1, STANDBY_QUERIES)
                    && self.may_import(IMPORTERS_PER_REGION as u32))
        {
            targets.extend(self.origin_fetchers.choose(rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// True if this agent is among the first `importers` agents of its region for a chunk that the region lacks.
    fn may_import(&self, importers: u32) -> bool {
        let mut missing =
            (0..self.manifest.len()).filter(|index| !self.seen_in_region.contains(*index));
        missing.any(|index| {
            self.positions.get(index as usize).is_some_and(|(_, position)| *position < importers)
        })
    }

    fn subject(&self, index: ChunkIndex) -> String {
        chunk_subject(&self.manifest.name.model, self.manifest.name.version, index)
    }

    /// Records which chunks a peer holds. Peers that are not among the known agents are ignored.
    pub fn record_peer_chunks(&mut self, peer: SocketAddr, chunks: ChunkSet, now: Instant) {
        let Some(record) = self.peers.iter().find(|known| known.address == peer) else { return };
        let is_local = record.region == self.own.region;
        let mut has_progressed = false;
        for index in (0..self.manifest.len()).filter(|index| chunks.contains(*index)) {
            if self.seen_in_fleet.insert(index) {
                self.fleet_progress = now;
                self.gate.record_evidence(now);
                self.first_seen.insert(index, now);
                has_progressed = true;
            }
            if is_local && self.seen_in_region.insert(index) {
                self.region_progress = now;
            }
        }
        if has_progressed && let Some(time) = self.origin_chunk_time() {
            // Each fetcher receives one chunk while the origin sends one to each of them.
            self.origin_takeover_delay = TAKEOVER_DELAY.max(time * self.role.fetchers * 2);
        }
        let record = PeerChunks { announced: chunks.clone(), chunks, is_local };
        let announced = self.peer_chunks.get(&peer).map(|previous| previous.announced.clone());
        let has_lost = announced.is_some_and(|announced| {
            (0..self.manifest.len())
                .any(|index| announced.contains(index) && !record.announced.contains(index))
        });
        self.peer_chunks.insert(peer, record);
        if has_lost {
            self.forget_lost_chunks(now);
        }
    }

    /// True if every chunk is held by this agent or can be fetched from another one, so that the origin is no longer
    /// needed.
    #[must_use]
    pub fn fleet_has_all(&self) -> bool {
        let can_fetch = |index| self.peer_chunks.values().any(|peer| peer.chunks.contains(index));
        (0..self.manifest.len()).all(|index| self.held.contains(index) || can_fetch(index))
    }

    /// True if the origin is needed but does not seem to respond: the last call failed, or no chunk has appeared in the
    /// fleet for a while.
    #[must_use]
    pub fn lacks_origin(&self, now: Instant) -> bool {
        let progress = self.fleet_progress.max(self.started);
        self.missing_in_fleet() > 0
            && (self.gate.is_closed() || now.saturating_duration_since(progress) >= ORIGIN_STALL)
    }

    /// Number of chunks that neither this nor, as far as it knows, another agent holds.
    #[must_use]
    pub fn missing_in_fleet(&self) -> u32 {
        self.manifest.len().saturating_sub(self.seen_in_fleet.count())
    }

    /// Observed time of a chunk on the origin's link; `None` if too few chunks were seen. An outage does not count,
    /// because the fastest sequence of chunks is measured.
    #[must_use]
    pub fn origin_chunk_time(&self) -> Option<Duration> {
        let mut seen: Vec<Instant> = self.first_seen.values().copied().collect();
        seen.sort_unstable();
        let spans = seen.windows(RATE_CHUNKS).map(|times| times[RATE_CHUNKS - 1] - times[0]);
        spans.min().map(|span| span / (RATE_CHUNKS as u32 - 1))
    }

    /// Records that a chunk has arrived and was verified. Returns its number, or `None` if the fetch is unknown.
    pub fn record_fetched(&mut self, id: FetchId, now: Instant) -> Option<ChunkIndex> {
        let pending = self.in_flight.remove(&id)?;
        self.held.insert(pending.index);
        if pending.source == ChunkSource::Origin {
            self.gate.record_answered(now);
            self.unannounced_imports.push(pending.index);
        }
        // Own progress does not restart the takeover delays, so that an agent that has taken over fetches without
        // further delays. Only chunks that appear at other agents do.
        self.seen_in_fleet.insert(pending.index);
        self.seen_in_region.insert(pending.index);
        Some(pending.index)
    }

    /// Records that a fetch failed.
    pub fn record_failed(
        &mut self,
        id: FetchId,
        failure: FetchFailure,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let Some(pending) = self.in_flight.remove(&id) else { return };
        let ChunkSource::Peer(peer) = pending.source else {
            match failure {
                FetchFailure::Corrupt => self.gate.record_answered(now),
                FetchFailure::Busy | FetchFailure::Failed => {
                    self.gate.record_failed(&self.role, now, rng);
                }
            }
            return;
        };
        let is_busy = failure == FetchFailure::Busy;
        if !is_busy && let Some(announced) = self.peer_chunks.get_mut(&peer) {
            // The peer may have lost the chunk; its next notice lists the chunks that it holds.
            announced.chunks.remove(pending.index);
        }
        let backoff = if is_busy { BUSY_BACKOFF } else { SOURCE_BACKOFF };
        self.backoffs.insert(peer, now + backoff);
    }

    /// What this agent knows about the origin.
    #[must_use]
    pub fn gate(&self) -> OriginGate {
        self.gate
    }

    /// Replaces what this agent knows about the origin, for example by the knowledge from another transfer.
    pub fn set_gate(&mut self, gate: OriginGate) {
        self.gate = gate;
    }

    /// Records that a staged chunk is corrupt or missing, so that it is fetched again.
    pub fn record_corrupt(&mut self, index: ChunkIndex, now: Instant) {
        self.held.remove(index);
        self.forget_lost_chunks(now);
    }

    /// Returns the fetches to start now. Without priority over other transfers, only one fetch is in flight at a time.
    pub fn next_fetches(
        &mut self,
        has_priority: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<ChunkFetch> {
        self.backoffs.retain(|_, until| *until > now);
        let limit = if has_priority { self.options.max_in_flight } else { 1 };
        let mut fetches = Vec::new();
        while self.in_flight.len() < limit {
            let Some((index, source)) = self.pick(now, rng) else { break };
            if source == ChunkSource::Origin {
                self.gate.record_called(now);
            }
            self.next_id += 1;
            self.in_flight.insert(self.next_id, PendingFetch { index, source });
            fetches.push(ChunkFetch { id: self.next_id, index, source });
        }
        fetches
    }

    /// Next time after `now` at which a fetch becomes possible without an event; `None` if there is none.
    #[must_use]
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        let discovery = (!self.is_complete()).then_some(self.started + DISCOVERY_TIME);
        let probe = self.gate.retry_at().filter(|_| self.role.is_fetcher());
        let backoffs = self.backoffs.values().copied();
        backoffs.chain(discovery).chain(probe).filter(|at| *at > now).min()
    }

    /// Chooses the rarest chunk that may be fetched, and a source for it.
    fn pick(&self, now: Instant, rng: &mut impl Rng) -> Option<(ChunkIndex, ChunkSource)> {
        let mut best: Option<((usize, u32, u32), ChunkIndex, ChunkSource)> = None;
        for index in 0..self.manifest.len() {
            if self.held.contains(index)
                || self.in_flight.values().any(|pending| pending.index == index)
            {
                continue;
            }
            let Some((holders, source)) = self.source_of(index, now, rng) else { continue };
            let rank = match source {
                ChunkSource::Origin => self.origin_rank(index),
                ChunkSource::Peer(_) => (holders, 0, rng.random()),
            };
            if best.is_none_or(|(lowest, ..)| rank < lowest) {
                best = Some((rank, index, source));
            }
        }
        best.map(|(_, index, source)| (index, source))
    }

    /// Rank of a chunk among those that may be fetched from the origin. A fetcher takes its own chunks first, in
    /// ascending order. Agents that take over start from the other end, so that two agents fetch the same chunk only if
    /// it is the last one.
    fn origin_rank(&self, index: ChunkIndex) -> (usize, u32, u32) {
        let position = self.positions[index as usize].0;
        let is_own = self.role.is_fetcher() && position == 0;
        (0, position, if is_own { index } else { u32::MAX - index })
    }

    /// Finds a source for a chunk. Also returns the number of agents in this region that hold the chunk.
    fn source_of(
        &self,
        index: ChunkIndex,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(usize, ChunkSource)> {
        let positions = *self.positions.get(index as usize)?;
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (peer, announced) in &self.peer_chunks {
            if announced.chunks.contains(index) {
                let holders = if announced.is_local { &mut local } else { &mut remote };
                holders.push(*peer);
            }
        }
        if !local.is_empty() {
            return self.pick_peer(&local, rng).map(|source| (local.len(), source));
        }
        if !remote.is_empty() {
            let has_waited = self.has_waited(self.region_progress, positions.1, now)
                || self.first_seen.get(&index).is_some_and(|seen| {
                    now.saturating_duration_since(*seen) >= IMPORT_TAKEOVER_DELAY * positions.1
                });
            return has_waited
                .then(|| self.pick_peer(&remote, rng))
                .flatten()
                .map(|source| (0, source));
        }
        self.may_use_origin(positions.0, now).then_some((0, ChunkSource::Origin))
    }

    /// True if a chunk that no other agent holds may be fetched from the origin now. `position` is the number of
    /// fetchers that come before this agent in the order for the chunk.
    fn may_use_origin(&self, position: u32, now: Instant) -> bool {
        let from_origin =
            self.in_flight.values().filter(|pending| pending.source == ChunkSource::Origin).count();
        if from_origin >= self.options.max_from_origin
            || now.saturating_duration_since(self.started) < DISCOVERY_TIME
            || !self.gate.may_call(now)
        {
            return false;
        }
        if !self.role.is_fetcher() {
            return now.saturating_duration_since(self.fleet_progress)
                >= self.role.takeover_delay();
        }
        // Nobody makes progress while the origin is down, so that time does not count.
        let reopened_at = self.gate.reopened_at().unwrap_or(self.started);
        let waited = now.saturating_duration_since(self.fleet_progress.max(reopened_at));
        self.gate.is_closed() || waited >= self.origin_takeover_delay * position
    }

    fn pick_peer(&self, holders: &[SocketAddr], rng: &mut impl Rng) -> Option<ChunkSource> {
        let free: Vec<ChunkSource> = holders
            .iter()
            .filter(|peer| !self.backoffs.contains_key(*peer))
            .map(|peer| ChunkSource::Peer(*peer))
            .filter(|source| {
                let active =
                    self.in_flight.values().filter(|pending| pending.source == *source).count();
                active < self.options.max_per_peer
            })
            .collect();
        (!free.is_empty()).then(|| free[rng.random_range(0..free.len())])
    }

    /// Position of this agent in the order for a chunk: the number of agents of the group that come before it.
    fn position(&self, index: ChunkIndex, is_member: impl Fn(&SwarmPeer) -> bool) -> u32 {
        let subject = self.subject(index);
        let weight =
            |peer: &SwarmPeer| rendezvous_weight(subject.as_bytes(), &peer.address.to_string());
        let own = weight(&self.own);
        let before = self.peers.iter().filter(|peer| is_member(peer) && weight(peer) > own).count();
        u32::try_from(before).unwrap_or(MAX_POSITION)
    }

    fn has_waited(&self, progress: Instant, position: u32, now: Instant) -> bool {
        now.saturating_duration_since(progress) >= TAKEOVER_DELAY * position.min(MAX_POSITION)
    }
}
