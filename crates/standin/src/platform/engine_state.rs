//! State of a simulated engine that is lost in a crash: weights, last order and prefix cache.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Maximum number of prefixes in the cache.
const MAX_PREFIXES: usize = 64;
/// Number of characters at the start of a prompt that identify its prefix.
const PREFIX_CHARS: usize = 24;
/// Delay after which a cache event becomes visible to readers.
const EVENT_DELAY: Duration = Duration::from_millis(700);
/// Every event whose sequence number is a multiple of this is never published, to simulate lost events.
const DROPPED_EVENT_INTERVAL: u64 = 7;
/// Maximum number of published cache events that are kept; the oldest is dropped first.
const MAX_EVENTS: usize = 256;

/// Fencing number of an order; ordered by configuration revision, then by agent incarnation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber {
    /// Configuration revision that caused the order.
    pub revision: u64,
    /// Incarnation of the agent that sent the order.
    pub incarnation: u64,
}

/// Body of a load or unload order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderBody {
    /// Id of the model to load or unload.
    pub model: String,
    /// Digest of the manifest of its weights.
    pub manifest: String,
    /// Fencing number, checked against that of the last accepted order.
    pub fencing: FencingNumber,
}

/// A change of the prefix cache, as published to readers.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    seq: u64,
    prefix: String,
    kind: &'static str,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Weights, last order and prefix cache of an engine.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Digests of the manifests whose weights were uploaded and verified.
    pub verified: HashSet<String>,
    /// Digest of the manifest that is served, by model id.
    pub loaded: HashMap<String, String>,
    /// Fencing number of the last accepted order.
    pub last_order: FencingNumber,
    /// Digest of the manifest that is being loaded, by model id; a newer order for the model replaces it.
    pub loading: HashMap<String, String>,
    /// Increases each time the cache is cleared.
    pub cache_epoch: u64,
    cached: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
}

impl EngineState {
    /// Marks the prefix of `prompt` as most recently used and caches it; returns true if it was cached before.
    pub fn touch_prefix(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        if let Some(position) = self.cached.iter().position(|cached| *cached == prefix) {
            self.cached.remove(position);
            self.cached.push_back(prefix);
            return true;
        }
        if self.cached.len() >= MAX_PREFIXES
            && let Some(evicted) = self.cached.pop_front()
        {
            self.push_event(evicted, "evicted");
        }
        self.push_event(prefix.clone(), "added");
        self.cached.push_back(prefix);
        false
    }

    /// Clears the cache and starts a new cache epoch.
    pub fn reset_cache(&mut self) {
        self.cached.clear();
        self.cache_epoch += 1;
    }

    /// Visible events with a sequence number above `after`.
    #[must_use]
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let visible = |event: &&CacheEvent| {
            event.seq > after && event.at.is_none_or(|at| at.elapsed() >= EVENT_DELAY)
        };
        self.events.iter().filter(visible).cloned().collect()
    }

    fn push_event(&mut self, prefix: String, kind: &'static str) {
        self.event_seq += 1;
        if self.event_seq.is_multiple_of(DROPPED_EVENT_INTERVAL) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            seq: self.event_seq,
            prefix,
            kind,
            at: Some(Instant::now()),
        });
    }
}
