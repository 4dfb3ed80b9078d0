//! Decides which piece to fetch from where.
//!
//! One agent in the fleet draws a piece from the origin, one agent in each region draws it from another region, and the
//! others take it from their region. Who that agent is follows from a hash, so nobody has to be asked; if it makes no
//! progress, the next in the order takes over.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{DataCentreId, RegionId, rendezvous_weight};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::list::{PieceIndex, PieceList, PieceSet, WeightsName};

/// Handle of one fetch.
pub type FetchTicket = u64;

/// Time without any new piece after which the next agent in the order takes over, for each place in the order. A piece
/// takes about 50 ms on a link of 9.4 Mbit/s; several of them fit, so that a busy link is not taken for a dead agent.
const TAKEOVER: Duration = Duration::from_millis(350);
/// Time after the start of a transfer in which the other agents say what they hold, before the origin is asked.
const LISTEN_TIME: Duration = Duration::from_millis(40);
/// Places in the order that wait for one another; all later ones wait as long as the last of them.
const MAX_PLACES: u32 = 6;
/// Time for which a source that failed is not asked.
const SOURCE_PAUSE: Duration = Duration::from_millis(600);
/// Time for which a source that is busy is not asked: about one piece on its link.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Agents in the origin's data centre that are enough to draw all pieces there.
const MIN_LOCAL_FETCHERS: usize = 2;
/// Agents that draw pieces from the origin while all goes well. More of them share its link, so that each piece, and
/// each list of digests, takes longer to arrive; fewer could not pass the pieces on as fast as they come.
const ORIGIN_FETCHERS: u32 = 4;

/// Limits of a swarm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SwarmOptions {
    /// Fetches in flight at most: enough to keep the link busy while an answer travels.
    pub max_in_flight: usize,
    /// Fetches in flight from one peer at most.
    pub max_per_peer: usize,
    /// Fetches in flight from the origin at most.
    pub max_from_origin: usize,
}

impl Default for SwarmOptions {
    fn default() -> Self {
        Self { max_in_flight: 3, max_per_peer: 1, max_from_origin: 1 }
    }
}

/// Another agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SwarmPeer {
    /// Address for messages between processes; names the agent.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
}

/// Where a piece comes from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum PieceSource {
    /// Another agent.
    Peer(SocketAddr),
    /// The origin of weights.
    Origin,
}

/// A fetch that the shell has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SwarmFetch {
    /// Handle for the result.
    pub ticket: FetchTicket,
    /// The piece.
    pub index: PieceIndex,
    /// Where to get it.
    pub source: PieceSource,
}

#[derive(Debug)]
struct PieceFlight {
    index: PieceIndex,
    source: PieceSource,
}

/// Transfer of one version to the staging area beside this agent.
#[derive(Debug)]
pub struct PieceSwarm {
    list: Arc<PieceList>,
    options: SwarmOptions,
    own: SwarmPeer,
    peers: Vec<SwarmPeer>,
    origin_data_centre: Option<DataCentreId>,
    holdings: HashMap<SocketAddr, PieceSet>,
    held: PieceSet,
    flights: HashMap<FetchTicket, PieceFlight>,
    paused: HashMap<PieceSource, Instant>,
    next_ticket: FetchTicket,
    started: Instant,
    /// Last time at which a piece was seen for the first time in the fleet, and in this region.
    fleet_progress: Instant,
    region_progress: Instant,
    seen_in_fleet: PieceSet,
    seen_in_region: PieceSet,
    /// For each piece, this agent's place in the order of those that draw it from the origin and of its region's.
    places: Vec<(u32, u32)>,
}

impl PieceSwarm {
    /// Starts the transfer of what is missing in `held`.
    #[must_use]
    pub fn new(
        list: Arc<PieceList>,
        own: SwarmPeer,
        held: PieceSet,
        options: SwarmOptions,
        now: Instant,
    ) -> Self {
        let places = vec![(0, 0); list.digests.len()];
        Self {
            list,
            places,
            options,
            own,
            peers: Vec::new(),
            origin_data_centre: None,
            holdings: HashMap::new(),
            seen_in_fleet: held.clone(),
            seen_in_region: held.clone(),
            held,
            flights: HashMap::new(),
            paused: HashMap::new(),
            next_ticket: 0,
            started: now,
            fleet_progress: now,
            region_progress: now,
        }
    }

    /// Name of the weights.
    #[must_use]
    pub fn name(&self) -> &WeightsName {
        &self.list.name
    }

    /// Digests of the pieces.
    #[must_use]
    pub fn list(&self) -> &Arc<PieceList> {
        &self.list
    }

    /// Pieces that are in memory or lie verified in the staging area.
    #[must_use]
    pub fn held(&self) -> &PieceSet {
        &self.held
    }

    /// True if nothing is missing.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.count() >= self.list.len()
    }

    /// Replaces the other agents and the place of the origin if they differ from those that are known.
    pub fn update_peers(&mut self, peers: &[SwarmPeer], origin: Option<DataCentreId>) {
        if self.peers != peers || self.origin_data_centre != origin {
            self.set_peers(peers.to_vec(), origin);
        }
    }

    fn set_peers(&mut self, peers: Vec<SwarmPeer>, origin: Option<DataCentreId>) {
        self.holdings.retain(|address, _| peers.iter().any(|peer| peer.address == *address));
        self.peers = peers;
        self.origin_data_centre = origin;
        let mut fetchers: Vec<&SwarmPeer> = self
            .peers
            .iter()
            .chain([&self.own])
            .filter(|peer| self.draws_from_origin(peer))
            .collect();
        let name = format!("{}/{}", self.list.name.model, self.list.name.version);
        let weight =
            |peer: &SwarmPeer| rendezvous_weight(name.as_bytes(), &peer.address.to_string());
        fetchers.sort_by_cached_key(|peer| std::cmp::Reverse(weight(peer)));
        fetchers.truncate(ORIGIN_FETCHERS as usize);
        let is_fetcher =
            |peer: &SwarmPeer| fetchers.iter().any(|fetcher| fetcher.address == peer.address);
        let is_own = is_fetcher(&self.own);
        let places = (0..self.list.len())
            .map(|index| {
                // All others come after the fetchers, those of the origin's data centre first.
                let origin = match () {
                    () if is_own => self.place(index, is_fetcher),
                    () if self.draws_from_origin(&self.own) => {
                        ORIGIN_FETCHERS + self.place(index, |peer| self.draws_from_origin(peer))
                    }
                    () => MAX_PLACES,
                };
                (origin, self.place(index, |peer| peer.region == self.own.region))
            })
            .collect();
        self.places = places;
    }

    /// Records which pieces a peer holds.
    pub fn record_holding(&mut self, peer: SocketAddr, pieces: PieceSet, now: Instant) {
        let Some(record) = self.peers.iter().find(|known| known.address == peer) else { return };
        let is_near = record.region == self.own.region;
        for index in (0..self.list.len()).filter(|index| pieces.contains(*index)) {
            if self.seen_in_fleet.insert(index) {
                self.fleet_progress = now;
            }
            if is_near && self.seen_in_region.insert(index) {
                self.region_progress = now;
            }
        }
        self.holdings.insert(peer, pieces);
    }

    /// True if every piece is at this or another agent, so that the origin is not needed any more.
    #[must_use]
    pub fn is_all_in_fleet(&self) -> bool {
        self.seen_in_fleet.count() >= self.list.len()
    }

    /// Records that a piece has arrived whole; returns its number.
    pub fn record_fetched(&mut self, ticket: FetchTicket) -> Option<PieceIndex> {
        let flight = self.flights.remove(&ticket)?;
        self.held.insert(flight.index);
        // Only what others bring restarts the waiting times: an agent that has taken over goes on without a pause.
        self.seen_in_fleet.insert(flight.index);
        self.seen_in_region.insert(flight.index);
        Some(flight.index)
    }

    /// Records that a fetch failed or brought wrong bytes.
    pub fn record_failed(&mut self, ticket: FetchTicket, is_busy: bool, now: Instant) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        let pause = if is_busy { BUSY_PAUSE } else { SOURCE_PAUSE };
        if !is_busy && let PieceSource::Peer(peer) = flight.source {
            // The peer may have lost the piece; its next notice says what it holds.
            if let Some(pieces) = self.holdings.get_mut(&peer) {
                pieces.remove(flight.index);
            }
        }
        self.paused.insert(flight.source, now + pause);
    }

    /// Records that a staged piece turned out to be spoilt or gone.
    pub fn record_spoilt(&mut self, index: PieceIndex) {
        self.held.remove(index);
    }

    /// Fetches to start now. While another transfer goes first, only one is in flight.
    pub fn next_fetches(
        &mut self,
        goes_first: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<SwarmFetch> {
        self.paused.retain(|_, until| *until > now);
        let limit = if goes_first { self.options.max_in_flight } else { 1 };
        let mut fetches = Vec::new();
        while self.flights.len() < limit {
            let Some((index, source)) = self.pick(now, rng) else { break };
            self.next_ticket += 1;
            self.flights.insert(self.next_ticket, PieceFlight { index, source });
            fetches.push(SwarmFetch { ticket: self.next_ticket, index, source });
        }
        fetches
    }

    /// The rarest piece that may be fetched, and from where.
    fn pick(&self, now: Instant, rng: &mut impl Rng) -> Option<(PieceIndex, PieceSource)> {
        let mut best: Option<((usize, u32), PieceIndex, PieceSource)> = None;
        for index in 0..self.list.len() {
            if self.held.contains(index)
                || self.flights.values().any(|flight| flight.index == index)
            {
                continue;
            }
            let Some((holders, source)) = self.source_of(index, now, rng) else { continue };
            let rank = (holders, rng.random());
            if best.is_none_or(|(lowest, ..)| rank < lowest) {
                best = Some((rank, index, source));
            }
        }
        best.map(|(_, index, source)| (index, source))
    }

    /// A source for a piece and the number of holders near this agent.
    fn source_of(
        &self,
        index: PieceIndex,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(usize, PieceSource)> {
        let places = *self.places.get(index as usize)?;
        let holders: Vec<&SwarmPeer> = self
            .peers
            .iter()
            .filter(|peer| {
                self.holdings.get(&peer.address).is_some_and(|held| held.contains(index))
            })
            .collect();
        let near: Vec<&SwarmPeer> =
            holders.iter().copied().filter(|peer| peer.region == self.own.region).collect();
        if !near.is_empty() {
            return self.pick_peer(&near, rng).map(|source| (near.len(), source));
        }
        if !holders.is_empty() {
            return self
                .has_waited(self.region_progress, places.1, now)
                .then(|| self.pick_peer(&holders, rng))
                .flatten()
                .map(|source| (0, source));
        }
        let from_origin =
            self.flights.values().filter(|flight| flight.source == PieceSource::Origin).count();
        let may_ask = now.saturating_duration_since(self.started) >= LISTEN_TIME
            && self.has_waited(self.fleet_progress, places.0, now)
            && from_origin < self.options.max_from_origin
            && !self.paused.contains_key(&PieceSource::Origin);
        may_ask.then_some((0, PieceSource::Origin))
    }

    fn pick_peer(&self, holders: &[&SwarmPeer], rng: &mut impl Rng) -> Option<PieceSource> {
        let free: Vec<PieceSource> = holders
            .iter()
            .map(|peer| PieceSource::Peer(peer.address))
            .filter(|source| {
                let asked = self.flights.values().filter(|flight| flight.source == *source).count();
                asked < self.options.max_per_peer && !self.paused.contains_key(source)
            })
            .collect();
        (!free.is_empty()).then(|| free[rng.random_range(0..free.len())])
    }

    fn draws_from_origin(&self, peer: &SwarmPeer) -> bool {
        let Some(origin) = &self.origin_data_centre else { return true };
        let local = self.peers.iter().filter(|peer| peer.data_centre == *origin).count();
        local < MIN_LOCAL_FETCHERS || peer.data_centre == *origin
    }

    /// Number of agents of a group that come before this one in the order for a piece.
    fn place(&self, index: PieceIndex, is_member: impl Fn(&SwarmPeer) -> bool) -> u32 {
        let subject = format!("{}/{}/{index}", self.list.name.model, self.list.name.version);
        let weight =
            |peer: &SwarmPeer| rendezvous_weight(subject.as_bytes(), &peer.address.to_string());
        let own = weight(&self.own);
        let before = self.peers.iter().filter(|peer| is_member(peer) && weight(peer) > own).count();
        u32::try_from(before).unwrap_or(MAX_PLACES)
    }

    fn has_waited(&self, progress: Instant, place: u32, now: Instant) -> bool {
        now.saturating_duration_since(progress) >= TAKEOVER * place.min(MAX_PLACES)
    }
}
