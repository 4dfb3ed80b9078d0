//! Which upstreams hold which prompt prefixes, from cache events that arrive late and with gaps.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::UpstreamId;
use compact_str::CompactString;

/// Time after which an event no longer counts; engines evict prefixes without always saying so.
const PREFIX_EXPIRY: Duration = Duration::from_secs(120);

/// Prefixes held for one upstream; the oldest is dropped.
const MAX_PREFIXES_PER_UPSTREAM: usize = 256;

/// Longest prefix that is held, in bytes.
const MAX_PREFIX_BYTES: usize = 256;

/// What an event says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix was cached.
    Added,
    /// The prefix was evicted.
    Evicted,
}

/// One cache event of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Rises by one with every event of the engine.
    pub seq: u64,
    /// Prefix of prompts.
    pub prefix: CompactString,
    /// Added or evicted.
    pub change: CacheChange,
}

/// Prefixes of one upstream, the oldest first.
#[derive(Debug, Default)]
struct PrefixCache {
    last_seq: Option<u64>,
    prefixes: VecDeque<(Instant, CompactString)>,
}

impl PrefixCache {
    fn remove(&mut self, prefix: &str) {
        self.prefixes.retain(|(_, held)| held != prefix);
    }

    fn add(&mut self, at: Instant, prefix: &str) {
        if prefix.is_empty() || prefix.len() > MAX_PREFIX_BYTES {
            return;
        }
        self.remove(prefix);
        if self.prefixes.len() == MAX_PREFIXES_PER_UPSTREAM {
            self.prefixes.pop_front();
        }
        self.prefixes.push_back((at, prefix.into()));
    }
}

/// Prompt prefixes and the upstreams that probably hold them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    caches: BTreeMap<UpstreamId, PrefixCache>,
}

impl PrefixIndex {
    /// Creates an empty index.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies events in the order in which they came. A gap forgets all prefixes of the upstream, because an eviction
    /// may have been lost; events that were applied before are skipped.
    pub fn apply_events(&mut self, now: Instant, upstream: &str, events: &[CacheEvent]) {
        let cache = self.caches.entry(upstream.into()).or_default();
        for event in events {
            match cache.last_seq {
                Some(last) if event.seq <= last => continue,
                Some(last) if event.seq != last + 1 => cache.prefixes.clear(),
                _ => {}
            }
            cache.last_seq = Some(event.seq);
            match event.change {
                CacheChange::Added => cache.add(now, &event.prefix),
                CacheChange::Evicted => cache.remove(&event.prefix),
            }
        }
    }

    /// Records that the upstream has just answered a prompt with this prefix.
    pub fn record_served(&mut self, now: Instant, upstream: &str, prefix: &str) {
        self.caches.entry(upstream.into()).or_default().add(now, prefix);
    }

    /// Forgets an upstream: it restarted, or its engine reset its cache.
    pub fn forget(&mut self, upstream: &str) {
        self.caches.remove(upstream);
    }

    /// Number of the last event that was applied for an upstream.
    #[must_use]
    pub fn last_seq(&self, upstream: &str) -> Option<u64> {
        self.caches.get(upstream)?.last_seq
    }

    /// Upstreams that hold the longest known prefix of this prompt.
    #[must_use]
    pub fn holders(&self, now: Instant, prompt: &str) -> Vec<UpstreamId> {
        let mut longest: HashMap<&UpstreamId, usize> = HashMap::new();
        for (upstream, cache) in &self.caches {
            let length = cache
                .prefixes
                .iter()
                .filter(|(at, _)| now.saturating_duration_since(*at) < PREFIX_EXPIRY)
                .filter(|(_, prefix)| prompt.starts_with(prefix.as_str()))
                .map(|(_, prefix)| prefix.len())
                .max();
            if let Some(length) = length {
                longest.insert(upstream, length);
            }
        }
        let Some(best) = longest.values().copied().max() else { return Vec::new() };
        let mut holders: Vec<_> = longest
            .into_iter()
            .filter(|(_, length)| *length == best)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        holders.sort_unstable();
        holders
    }
}
