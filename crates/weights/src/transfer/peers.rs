//! What a transfer knows about the peers it talks to.

use std::time::{Duration, Instant};

use base::HostId;
use rand::{Rng, RngExt};

use crate::{
    bitmap::ChunkSet,
    ranks::FetchView,
    sources::{FetchFault, SourceHealth},
};

/// Fetchers of other regions that are asked at most.
const MAX_CONTACTS: usize = 32;

/// How far a peer is away.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Proximity {
    DataCentre,
    Region,
    Abroad,
}

#[derive(Debug)]
struct PeerState {
    host: HostId,
    proximity: Proximity,
    have: ChunkSet,
    queued: u32,
    outstanding: u32,
    heard: Option<Instant>,
    asked: Option<Instant>,
    /// Outcome of fetches.
    health: SourceHealth,
    /// Outcome of questions. Kept apart, since an answer proves that a peer is reachable but not that it delivers.
    answers: SourceHealth,
}

/// The peers of a transfer and how many of them hold each chunk.
#[derive(Debug)]
pub(super) struct PeerTable {
    peers: Vec<PeerState>,
    /// Holders in the region, by chunk.
    holders: Vec<u32>,
}

impl PeerTable {
    pub fn new(chunks: u32) -> Self {
        Self { peers: Vec::new(), holders: vec![0; chunks as usize] }
    }

    /// Takes over the peers of a view and keeps what is known about those that stay.
    pub fn set_peers(&mut self, view: &FetchView) {
        let chunks = self.chunks();
        let mut known = std::mem::take(&mut self.peers);
        for record in view.peers() {
            let proximity = Proximity::of(view, &record.host);
            let state = match known.iter().position(|state| state.host == record.host) {
                Some(position) => PeerState { proximity, ..known.swap_remove(position) },
                None => PeerState::new(record.host.clone(), proximity, chunks),
            };
            self.peers.push(state);
        }
        known.retain(|state| state.outstanding > 0);
        self.peers.append(&mut known);
        self.count_holders();
    }

    pub fn add_contact(&mut self, host: &HostId) {
        let contacts =
            self.peers.iter().filter(|state| state.proximity == Proximity::Abroad).count();
        if contacts < MAX_CONTACTS && self.position(host).is_none() {
            let chunks = self.chunks();
            self.peers.push(PeerState::new(host.clone(), Proximity::Abroad, chunks));
        }
    }

    /// Number of peers in the region that are known to hold the chunk.
    pub fn holders(&self, index: u32) -> u32 {
        self.holders.get(index as usize).copied().unwrap_or(0)
    }

    /// Records what a peer holds; returns the highest chunk that is seen in the region for the first time.
    pub fn record_have(
        &mut self,
        now: Instant,
        host: &str,
        bitmap: &[u8],
        queued: u32,
    ) -> Option<u32> {
        let chunks = self.chunks();
        let position = self.position(host)?;
        let state = &mut self.peers[position];
        state.asked = None;
        state.answers.record_success();
        state.heard = Some(now);
        state.queued = queued;
        let have = ChunkSet::from_bitmap(chunks, bitmap);
        let mut first_seen = None;
        if state.proximity != Proximity::Abroad {
            for index in 0..chunks {
                let (before, after) = (state.have.contains(index), have.contains(index));
                let count = &mut self.holders[index as usize];
                if after && !before && *count == 0 {
                    first_seen = Some(index);
                }
                *count = *count + u32::from(after) - u32::from(before);
            }
        }
        state.have = have;
        first_seen
    }

    /// Strikes a chunk that a peer claimed and does not deliver.
    pub fn retract(&mut self, host: &str, index: u32) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            if state.have.remove(index) && state.proximity != Proximity::Abroad {
                self.holders[index as usize] -= 1;
            }
        }
    }

    pub fn record_success(&mut self, host: &str) {
        if let Some(position) = self.position(host) {
            self.peers[position].health.record_success();
        }
    }

    pub fn record_fault(&mut self, now: Instant, host: &str, fault: FetchFault, jitter: f64) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            state.asked = None;
            state.health.record_fault(now, fault, jitter);
        }
    }

    pub fn record_unanswered(&mut self, now: Instant, host: &str, jitter: f64) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            state.asked = None;
            state.answers.record_fault(now, FetchFault::Unreachable, jitter);
        }
    }

    pub fn is_failing(&self, host: &str) -> bool {
        self.position(host).is_some_and(|position| self.peers[position].is_failing())
    }

    pub fn add_outstanding(&mut self, host: &str) {
        if let Some(position) = self.position(host) {
            self.peers[position].outstanding += 1;
        }
    }

    pub fn remove_outstanding(&mut self, host: &str) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// Chooses the least loaded available holder, the own data centre first among equals.
    pub fn best_holder(
        &self,
        now: Instant,
        index: u32,
        max_outstanding: u32,
        abroad: bool,
        rng: &mut impl Rng,
    ) -> Option<HostId> {
        self.peers
            .iter()
            .filter(|state| (state.proximity == Proximity::Abroad) == abroad)
            .filter(|state| state.have.contains(index) && state.outstanding < max_outstanding)
            .filter(|state| state.is_available(now))
            .min_by_key(|state| {
                (state.outstanding * 2 + state.queued, state.proximity, rng.random::<u32>())
            })
            .map(|state| state.host.clone())
    }

    /// True if a holder in the region did not fail when it was last contacted; it may be busy now.
    pub fn has_sound_holder(&self, index: u32) -> bool {
        self.peers.iter().any(|state| {
            state.proximity != Proximity::Abroad
                && state.have.contains(index)
                && !state.is_failing()
        })
    }

    /// Peers to ask which chunks they hold; marks them as asked.
    pub fn take_questions(&mut self, now: Instant, interval: Duration) -> Vec<HostId> {
        let due = self.peers.iter_mut().filter(|state| {
            let recent = state.heard.is_some_and(|heard| now < heard + interval);
            !recent && state.asked.is_none() && !state.have.is_full() && state.is_available(now)
        });
        due.map(|state| {
            state.asked = Some(now);
            state.host.clone()
        })
        .collect()
    }

    /// Peers of the region that are not known to hold the chunk.
    pub fn without(&self, index: u32) -> impl Iterator<Item = &HostId> {
        let near = self.peers.iter().filter(|state| state.proximity != Proximity::Abroad);
        near.filter(move |state| !state.have.contains(index)).map(|state| &state.host)
    }

    /// True if a peer with `count` chunks holds more than the peers of the region do on average.
    pub fn is_ahead(&self, count: u32) -> bool {
        let near = || self.peers.iter().filter(|state| state.proximity != Proximity::Abroad);
        let total: u32 = near().map(|state| state.have.count()).sum();
        u64::from(count) * near().count() as u64 > u64::from(total)
    }

    /// Counts questions that were not answered within `limit` as stalled.
    pub fn expire_questions(
        &mut self,
        now: Instant,
        limit: Duration,
        mut jitter: impl FnMut() -> f64,
    ) {
        for state in &mut self.peers {
            if state.asked.is_some_and(|asked| now >= asked + limit) {
                state.asked = None;
                state.answers.record_fault(now, FetchFault::Stalled, jitter());
            }
        }
    }

    pub fn forget_questions(&mut self) {
        for state in &mut self.peers {
            state.asked = None;
        }
    }

    pub fn summary(&self) -> Vec<(HostId, u32)> {
        self.peers.iter().map(|state| (state.host.clone(), state.have.count())).collect()
    }

    fn chunks(&self) -> u32 {
        u32::try_from(self.holders.len()).unwrap_or(u32::MAX)
    }

    fn position(&self, host: &str) -> Option<usize> {
        self.peers.iter().position(|state| state.host == host)
    }

    fn count_holders(&mut self) {
        self.holders.fill(0);
        for state in self.peers.iter().filter(|state| state.proximity != Proximity::Abroad) {
            for index in state.have.iter() {
                self.holders[index as usize] += 1;
            }
        }
    }
}

impl PeerState {
    fn is_available(&self, now: Instant) -> bool {
        self.health.is_available(now) && self.answers.is_available(now)
    }

    fn is_failing(&self) -> bool {
        self.health.is_failing() || self.answers.is_failing()
    }

    fn new(host: HostId, proximity: Proximity, chunks: u32) -> Self {
        Self {
            host,
            proximity,
            have: ChunkSet::new(chunks),
            queued: 0,
            outstanding: 0,
            heard: None,
            asked: None,
            health: SourceHealth::default(),
            answers: SourceHealth::default(),
        }
    }
}
