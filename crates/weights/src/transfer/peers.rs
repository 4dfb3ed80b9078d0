//! State of the peers of a transfer.

use std::time::{Duration, Instant};

use base::HostId;
use rand::{Rng, RngExt};

use crate::{
    bitmap::ChunkSet,
    ranks::FetchView,
    sources::{FetchFault, SourceHealth},
};

/// Maximum number of contacts in other regions.
const MAX_CONTACTS: usize = 32;

/// Location of a peer relative to this host, nearest first: same data centre, same region or another region.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Proximity {
    DataCentre,
    Region,
    OtherRegion,
}

#[derive(Debug)]
struct PeerState {
    host: HostId,
    proximity: Proximity,
    held: ChunkSet,
    queued: u32,
    outstanding: u32,
    last_report: Option<Instant>,
    query_sent: Option<Instant>,
    /// Failures of fetches.
    fetch_health: SourceHealth,
    /// Failures of queries. Kept separately, because a peer that responds to queries may still fail to deliver chunks.
    query_health: SourceHealth,
}

/// The peers of a transfer and how many of them hold each chunk.
#[derive(Debug)]
pub(super) struct PeerTable {
    peers: Vec<PeerState>,
    /// Number of known holders in the region, by chunk index.
    holders: Vec<u32>,
}

impl PeerTable {
    pub fn new(chunks: u32) -> Self {
        Self { peers: Vec::new(), holders: vec![0; chunks as usize] }
    }

    /// Replaces the peers by those of `view`. Keeps the state of peers that remain, and peers with fetches in flight.
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
            self.peers.iter().filter(|state| state.proximity == Proximity::OtherRegion).count();
        if contacts < MAX_CONTACTS && self.position(host).is_none() {
            let chunks = self.chunks();
            self.peers.push(PeerState::new(host.clone(), Proximity::OtherRegion, chunks));
        }
    }

    /// Number of peers in the region that are known to hold chunk `index`.
    pub fn holders(&self, index: u32) -> u32 {
        self.holders.get(index as usize).copied().unwrap_or(0)
    }

    /// Records the chunks that a peer holds. Returns the highest chunk that is thereby available in the region for the
    /// first time, if any.
    pub fn record_held_chunks(
        &mut self,
        now: Instant,
        host: &str,
        bitmap: &[u8],
        queued: u32,
    ) -> Option<u32> {
        let chunks = self.chunks();
        let position = self.position(host)?;
        let state = &mut self.peers[position];
        state.query_sent = None;
        state.query_health.record_success();
        state.last_report = Some(now);
        state.queued = queued;
        let held = ChunkSet::from_bitmap(chunks, bitmap);
        let mut first_seen = None;
        if state.proximity != Proximity::OtherRegion {
            for index in 0..chunks {
                let (before, after) = (state.held.contains(index), held.contains(index));
                let count = &mut self.holders[index as usize];
                if after && !before && *count == 0 {
                    first_seen = Some(index);
                }
                *count = *count + u32::from(after) - u32::from(before);
            }
        }
        state.held = held;
        first_seen
    }

    /// Removes a chunk that a peer claimed to hold but did not deliver.
    pub fn remove_claim(&mut self, host: &str, index: u32) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            if state.held.remove(index) && state.proximity != Proximity::OtherRegion {
                self.holders[index as usize] -= 1;
            }
        }
    }

    pub fn record_success(&mut self, host: &str) {
        if let Some(position) = self.position(host) {
            self.peers[position].fetch_health.record_success();
        }
    }

    pub fn record_fault(&mut self, now: Instant, host: &str, fault: FetchFault, jitter: f64) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            state.query_sent = None;
            state.fetch_health.record_fault(now, fault, jitter);
        }
    }

    pub fn record_query_failed(&mut self, now: Instant, host: &str, jitter: f64) {
        if let Some(position) = self.position(host) {
            let state = &mut self.peers[position];
            state.query_sent = None;
            state.query_health.record_fault(now, FetchFault::Unreachable, jitter);
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

    /// Chooses the least loaded available holder of a chunk, preferring this host's data centre if the load is equal.
    /// With `other_region`, only peers of other regions are considered, otherwise only peers of this host's region.
    pub fn best_holder(
        &self,
        now: Instant,
        index: u32,
        max_outstanding: u32,
        other_region: bool,
        rng: &mut impl Rng,
    ) -> Option<HostId> {
        self.peers
            .iter()
            .filter(|state| (state.proximity == Proximity::OtherRegion) == other_region)
            .filter(|state| state.held.contains(index) && state.outstanding < max_outstanding)
            .filter(|state| state.is_available(now))
            .min_by_key(|state| {
                (state.outstanding * 2 + state.queued, state.proximity, rng.random::<u32>())
            })
            .map(|state| state.host.clone())
    }

    /// True if the last contact with some holder in the region was successful, even if that holder is busy now.
    pub fn has_healthy_holder(&self, index: u32) -> bool {
        self.peers.iter().any(|state| {
            state.proximity != Proximity::OtherRegion
                && state.held.contains(index)
                && !state.is_failing()
        })
    }

    /// Returns the peers that are due for a query and records the query as sent.
    pub fn take_due_queries(&mut self, now: Instant, interval: Duration) -> Vec<HostId> {
        let due = self.peers.iter_mut().filter(|state| {
            let recent = state.last_report.is_some_and(|last_report| now < last_report + interval);
            !recent
                && state.query_sent.is_none()
                && !state.held.is_full()
                && state.is_available(now)
        });
        due.map(|state| {
            state.query_sent = Some(now);
            state.host.clone()
        })
        .collect()
    }

    /// Peers of the region that are not known to hold chunk `index`.
    pub fn peers_without(&self, index: u32) -> impl Iterator<Item = &HostId> {
        let in_region = self.peers.iter().filter(|state| state.proximity != Proximity::OtherRegion);
        in_region.filter(move |state| !state.held.contains(index)).map(|state| &state.host)
    }

    /// True if `count` chunks are more than the peers of the region hold on average.
    pub fn is_above_average(&self, count: u32) -> bool {
        let in_region =
            || self.peers.iter().filter(|state| state.proximity != Proximity::OtherRegion);
        let total: u32 = in_region().map(|state| state.held.count()).sum();
        u64::from(count) * in_region().count() as u64 > u64::from(total)
    }

    /// Records queries without a response within `limit` as timed out.
    pub fn expire_queries(
        &mut self,
        now: Instant,
        limit: Duration,
        mut jitter: impl FnMut() -> f64,
    ) {
        for state in &mut self.peers {
            if state.query_sent.is_some_and(|query_sent| now >= query_sent + limit) {
                state.query_sent = None;
                state.query_health.record_fault(now, FetchFault::Stalled, jitter());
            }
        }
    }

    pub fn clear_pending_queries(&mut self) {
        for state in &mut self.peers {
            state.query_sent = None;
        }
    }

    pub fn held_counts(&self) -> Vec<(HostId, u32)> {
        self.peers.iter().map(|state| (state.host.clone(), state.held.count())).collect()
    }

    fn chunks(&self) -> u32 {
        u32::try_from(self.holders.len()).unwrap_or(u32::MAX)
    }

    fn position(&self, host: &str) -> Option<usize> {
        self.peers.iter().position(|state| state.host == host)
    }

    fn count_holders(&mut self) {
        self.holders.fill(0);
        for state in self.peers.iter().filter(|state| state.proximity != Proximity::OtherRegion) {
            for index in state.held.iter() {
                self.holders[index as usize] += 1;
            }
        }
    }
}

impl PeerState {
    fn is_available(&self, now: Instant) -> bool {
        self.fetch_health.is_available(now) && self.query_health.is_available(now)
    }

    fn is_failing(&self) -> bool {
        self.fetch_health.is_failing() || self.query_health.is_failing()
    }

    fn new(host: HostId, proximity: Proximity, chunks: u32) -> Self {
        Self {
            host,
            proximity,
            held: ChunkSet::new(chunks),
            queued: 0,
            outstanding: 0,
            last_report: None,
            query_sent: None,
            fetch_health: SourceHealth::default(),
            query_health: SourceHealth::default(),
        }
    }
}
