//! Decides where an agent requests the manifest of a version.
//!
//! The agents that fetch chunks from the origin read the manifest there; all others ask an agent that comes before them
//! in the same order. The agents form a tree, so that no agent and not the origin sends it to the whole fleet: on an
//! origin of 4.4 Mbit/s, 32 readers would delay the first chunk by 0.4 s.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::DataCentreId;
use rand::{Rng, RngExt, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use crate::{
    fetch::SwarmPeer,
    manifest::WeightsId,
    neighbours::origin_order,
    origin::{OriginGate, OriginRole},
};

/// Number of agents that ask the same agent first. A manifest of 6 kilobytes takes about 6 ms on a host's link.
const TREE_DEGREE: usize = 4;
/// Number of requests to that agent before others are asked.
const PARENT_REQUESTS: u32 = 3;
/// Duration of a failed request from which on the agent asked is considered dead. A live one responds within a round trip
/// to another region.
const SILENT_CALL: Duration = Duration::from_millis(200);
/// Delays between two requests to other agents: the first one, which doubles after each failure, and the longest one.
const PEER_RETRY: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(160));
/// Range of the random factor of a delay.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Source from which a manifest is requested.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ManifestSource {
    /// The origin of weights.
    Origin,
    /// Another agent, by its address.
    Peer(SocketAddr),
}

/// Search for the manifest of one version.
#[derive(Debug)]
pub struct ManifestSearch {
    weights: WeightsId,
    own: SwarmPeer,
    peers: Vec<SocketAddr>,
    order: Vec<SocketAddr>,
    role: OriginRole,
    gate: OriginGate,
    has_origin: bool,
    started: Instant,
    peer_failures: u32,
    next_peer_at: Instant,
    /// Time of the request under way.
    called_at: Option<Instant>,
    /// Agents that did not respond.
    silent: HashSet<SocketAddr>,
}

impl ManifestSearch {
    /// Starts a search. `gate` is what the agent already knows about the origin.
    #[must_use]
    pub fn new(weights: WeightsId, own: SwarmPeer, gate: OriginGate, now: Instant) -> Self {
        Self {
            weights,
            order: vec![own.address],
            own,
            peers: Vec::new(),
            role: OriginRole { position: 0, fetchers: 1, agents: 1 },
            gate,
            has_origin: false,
            started: now,
            peer_failures: 0,
            next_peer_at: now,
            called_at: None,
            silent: HashSet::new(),
        }
    }

    /// Version whose manifest is searched.
    #[must_use]
    pub fn weights(&self) -> &WeightsId {
        &self.weights
    }

    /// Position of this agent among those that may call the origin.
    #[must_use]
    pub fn role(&self) -> OriginRole {
        self.role
    }

    /// What this agent knows about the origin.
    #[must_use]
    pub fn gate(&self) -> OriginGate {
        self.gate
    }

    /// Updates the other agents and the data centre of the origin; `None` if there is no origin.
    pub fn update_peers(&mut self, peers: &[SwarmPeer], origin: Option<&DataCentreId>) {
        self.has_origin = origin.is_some();
        let (order, fetchers) = origin_order(&self.weights, &self.own, peers, origin);
        self.role = OriginRole::new(&order, fetchers, self.own.address);
        self.order = order;
        self.peers = peers.iter().map(|peer| peer.address).collect();
    }

    /// Returns the source to ask now; `None` if a request is under way or it is too early for one. The caller records
    /// the result of each request.
    pub fn next_source(&mut self, now: Instant, rng: &mut impl Rng) -> Option<ManifestSource> {
        if self.called_at.is_some() {
            return None;
        }
        let has_waited = now.saturating_duration_since(self.started) >= self.role.takeover_delay();
        let source = if self.has_origin && has_waited && self.gate.may_call(now) {
            self.gate.record_called(now);
            ManifestSource::Origin
        } else if now >= self.next_peer_at {
            ManifestSource::Peer(self.pick_peer(rng)?)
        } else {
            return None;
        };
        self.called_at = Some(now);
        Some(source)
    }

    /// Earliest time at which [`ManifestSearch::next_source`] may return another source.
    #[must_use]
    pub fn next_at(&self) -> Instant {
        self.gate.retry_at().map_or(self.next_peer_at, |at| at.min(self.next_peer_at))
    }

    /// Records that a source did not send a valid manifest.
    pub fn record_failed(&mut self, source: ManifestSource, now: Instant, rng: &mut impl Rng) {
        let called_at = self.called_at.take();
        match source {
            ManifestSource::Origin => self.gate.record_failed(&self.role, now, rng),
            ManifestSource::Peer(peer) => {
                let is_silent =
                    called_at.is_some_and(|at| now.saturating_duration_since(at) >= SILENT_CALL);
                if is_silent {
                    self.silent.insert(peer);
                }
                let (first, longest) = PEER_RETRY;
                let delay = first * 2_u32.saturating_pow(self.peer_failures.min(8));
                self.peer_failures += 1;
                self.next_peer_at = now + delay.min(longest).mul_f64(rng.random_range(JITTER));
            }
        }
    }

    /// Records that a source sent the manifest. Its agents have it from the origin, so the origin responds, unless they
    /// had it before the last failure.
    pub fn record_found(&mut self, source: ManifestSource, now: Instant) {
        self.called_at = None;
        match source {
            ManifestSource::Origin => self.gate.record_answered(now),
            ManifestSource::Peer(_) => self.gate.record_evidence(now),
        }
    }

    /// The first requests go to the nearest ancestor in the tree that responds. It may not get the manifest, so later ones
    /// alternate between the head of the order, where agents take over from one another, and a random agent.
    fn pick_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let is_usable = |address: &&SocketAddr| {
            **address != self.own.address && !self.silent.contains(*address)
        };
        if self.peer_failures < PARENT_REQUESTS {
            let mut position = self.role.position as usize;
            while position > 0 {
                position = (position - 1) / TREE_DEGREE;
                if let Some(address) = self.order.get(position).filter(is_usable) {
                    return Some(*address);
                }
            }
        }
        if self.peer_failures.is_multiple_of(2) {
            let count = (self.role.fetchers + self.peer_failures) as usize;
            let head: Vec<_> = self.order.iter().take(count).filter(is_usable).collect();
            if let Some(address) = head.choose(rng) {
                return Some(**address);
            }
        }
        let others: Vec<_> = self.order.iter().filter(is_usable).collect();
        others.choose(rng).map(|address| **address).or_else(|| self.peers.choose(rng).copied())
    }
}
