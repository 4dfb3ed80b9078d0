//! Weights, orders and the prefix cache of a model engine; lost when the engine crashes.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Prefixes that the cache holds.
const CACHED_PREFIXES: usize = 64;
/// Bytes of a prompt that name its prefix.
const PREFIX_BYTES: usize = 24;
/// Cache events become visible after this time.
const EVENT_LAG: Duration = Duration::from_millis(700);
/// Every event of this number is missing from the published events.
const EVENT_GAP: u64 = 7;
/// Published cache events that are kept.
const KEPT_EVENTS: usize = 256;

/// Fencing number of an order: configuration revision, then agent incarnation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber {
    /// Configuration revision.
    pub revision: u64,
    /// Incarnation of the agent.
    pub incarnation: u64,
}

/// Body of a load or unload order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderBody {
    /// Model of the order.
    pub model: String,
    /// Manifest of the order.
    pub manifest: String,
    /// Fencing number of the order.
    pub fencing: FencingNumber,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    seq: u64,
    prefix: String,
    kind: &'static str,
    #[serde(skip)]
    at: Option<Instant>,
}

/// What an engine holds.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Manifests whose bytes were received and verified.
    pub verified: HashSet<String>,
    /// Manifest that serves, by model.
    pub loaded: HashMap<String, String>,
    /// Last order that was accepted.
    pub last_order: FencingNumber,
    /// Manifest whose load is in progress, by model; a newer order for the model replaces it.
    pub loading: HashMap<String, String>,
    /// Rises when the cache is emptied.
    pub cache_epoch: u64,
    cached: VecDeque<String>,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
}

impl EngineState {
    /// Uses the prefix of `prompt`; true if it was cached.
    pub fn touch_prefix(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_BYTES).collect();
        if let Some(position) = self.cached.iter().position(|cached| *cached == prefix) {
            self.cached.remove(position);
            self.cached.push_back(prefix);
            return true;
        }
        if self.cached.len() >= CACHED_PREFIXES
            && let Some(evicted) = self.cached.pop_front()
        {
            self.push_event(evicted, "evicted");
        }
        self.push_event(prefix.clone(), "added");
        self.cached.push_back(prefix);
        false
    }

    /// Empties the cache.
    pub fn reset_cache(&mut self) {
        self.cached.clear();
        self.cache_epoch += 1;
    }

    /// Events above `after` that are visible by now.
    #[must_use]
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let visible = |event: &&CacheEvent| {
            event.seq > after && event.at.is_none_or(|at| at.elapsed() >= EVENT_LAG)
        };
        self.events.iter().filter(visible).cloned().collect()
    }

    fn push_event(&mut self, prefix: String, kind: &'static str) {
        self.event_seq += 1;
        if self.event_seq.is_multiple_of(EVENT_GAP) {
            return;
        }
        if self.events.len() >= KEPT_EVENTS {
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
