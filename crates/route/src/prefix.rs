//! Index of the prompt prefixes cached by upstreams, built from cache events that may be late or missing.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::UpstreamId;
use compact_str::CompactString;

/// Expiry of an indexed prefix. It is then assumed to be evicted, because engines do not report every eviction.
const PREFIX_EXPIRY: Duration = Duration::from_secs(120);

/// Maximum number of prefixes kept for one upstream. The oldest is dropped first.
const MAX_PREFIXES_PER_UPSTREAM: usize = 256;

/// Maximum length of a prefix, in bytes. Longer ones are not indexed.
const MAX_PREFIX_BYTES: usize = 256;

/// Kind of change that a cache event reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix was cached.
    Added,
    /// The prefix was evicted.
    Evicted,
}

/// Change of the prefix cache, as reported by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number, which the engine increments by one for every event.
    pub seq: u64,
    /// Prompt prefix that was added or evicted.
    pub prefix: CompactString,
    /// Whether the prefix was added or evicted.
    pub change: CacheChange,
}

/// Prefixes cached by one upstream, oldest first.
#[derive(Debug, Default)]
struct PrefixCache {
    last_seq: Option<u64>,
    prefixes: VecDeque<(Instant, CompactString)>,
}

impl PrefixCache {
    fn remove(&mut self, prefix: &str) {
        self.prefixes.retain(|(_, cached)| cached != prefix);
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

/// Index from prompt prefixes to the upstreams that probably cache them.
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

    /// Applies cache events in order of arrival. A gap in the sequence numbers drops all prefixes of the upstream,
    /// because an eviction may have been lost. Events that were already applied are skipped.
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

    /// Records that the upstream has just served a prompt with this prefix, which it therefore caches.
    pub fn record_served(&mut self, now: Instant, upstream: &str, prefix: &str) {
        self.caches.entry(upstream.into()).or_default().add(now, prefix);
    }

    /// Removes all information about an upstream that restarted or whose engine reset its cache.
    pub fn remove_upstream(&mut self, upstream: &str) {
        self.caches.remove(upstream);
    }

    /// Returns the sequence number of the last event applied for an upstream, or `None` before the first one.
    #[must_use]
    pub fn last_seq(&self, upstream: &str) -> Option<u64> {
        self.caches.get(upstream)?.last_seq
    }

    /// Returns the upstreams that cache the longest known prefix of a prompt, sorted by id.
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
        let Some(max_length) = longest.values().copied().max() else { return Vec::new() };
        let mut holders: Vec<_> = longest
            .into_iter()
            .filter(|(_, length)| *length == max_length)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        holders.sort_unstable();
        holders
    }
}
