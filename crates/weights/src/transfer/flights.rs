//! Fetches in flight, and their mean duration, from which timeouts are derived.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{sources::ChunkSource, transfer::FetchId};

/// Weight of a new sample in the moving average of fetch durations.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Timeout of a fetch as a multiple of the mean duration.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Maximum timeout of a fetch.
const MAX_FETCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Assumed duration of a fetch before the first sample, as a multiple of the time that a chunk takes on the link.
const INITIAL_CHUNK_TIMES: u32 = 8;

/// A fetch in flight; `deadline` is the time at which it times out.
#[derive(Clone, Debug)]
pub(super) struct ActiveFetch {
    pub index: u32,
    pub source: ChunkSource,
    pub started: Instant,
    pub deadline: Instant,
}

/// The fetches in flight of a transfer.
#[derive(Debug)]
pub(super) struct FetchTable {
    active: BTreeMap<FetchId, ActiveFetch>,
    min_fetch_timeout: Duration,
    mean_duration: Duration,
}

impl FetchTable {
    pub fn new(min_fetch_timeout: Duration, chunk_time: Duration) -> Self {
        Self {
            active: BTreeMap::new(),
            min_fetch_timeout,
            mean_duration: chunk_time * INITIAL_CHUNK_TIMES,
        }
    }

    pub fn len(&self) -> usize {
        self.active.len()
    }

    pub fn insert(&mut self, id: FetchId, fetch: ActiveFetch) {
        self.active.insert(id, fetch);
    }

    pub fn remove(&mut self, id: FetchId) -> Option<ActiveFetch> {
        self.active.remove(&id)
    }

    /// Removes a successful fetch. If it was from a peer, its duration enters the moving average.
    pub fn finish(&mut self, now: Instant, id: FetchId) -> Option<ActiveFetch> {
        let fetch = self.active.remove(&id)?;
        if matches!(fetch.source, ChunkSource::Peer(_)) {
            let sample = now.saturating_duration_since(fetch.started);
            self.mean_duration =
                self.mean_duration.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT);
        }
        Some(fetch)
    }

    pub fn take_chunk(&mut self, index: u32) -> Vec<(FetchId, ActiveFetch)> {
        self.active.extract_if(.., |_, fetch| fetch.index == index).collect()
    }

    pub fn take_all(&mut self) -> Vec<(FetchId, ActiveFetch)> {
        std::mem::take(&mut self.active).into_iter().collect()
    }

    pub fn has_chunk(&self, index: u32) -> bool {
        self.active.values().any(|fetch| fetch.index == index)
    }

    pub fn is_fetching(&self, index: u32, source: &ChunkSource) -> bool {
        self.active.values().any(|fetch| fetch.index == index && fetch.source == *source)
    }

    pub fn count_from(&self, source: &ChunkSource) -> u32 {
        let count = self.active.values().filter(|fetch| fetch.source == *source).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub fn timed_out(&self, now: Instant) -> Vec<FetchId> {
        let timed_out = self.active.iter().filter(|(_, fetch)| now >= fetch.deadline);
        timed_out.map(|(id, _)| *id).collect()
    }

    /// Chunks with only one fetch, which has taken longer than `factor` times the mean duration.
    pub fn slow_chunks(&self, now: Instant, factor: f64) -> Vec<u32> {
        let limit = self.mean_duration.mul_f64(factor).max(self.min_fetch_timeout / 4);
        let slow = self.active.values().filter(|fetch| {
            now.saturating_duration_since(fetch.started) > limit
                && self.active.values().filter(|other| other.index == fetch.index).count() == 1
        });
        slow.map(|fetch| fetch.index).collect()
    }

    /// Timeout of a fetch, derived from the mean duration.
    pub fn fetch_timeout(&self) -> Duration {
        self.mean_duration
            .mul_f64(TIMEOUT_FACTOR)
            .clamp(self.min_fetch_timeout, MAX_FETCH_TIMEOUT.max(self.min_fetch_timeout))
    }
}
