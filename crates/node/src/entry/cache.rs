//! Takes the cache events of status replies over into the index of prompt prefixes.

use std::time::Instant;

use route::{CacheChange, CacheEvent, PrefixIndex};
use wire::{CacheNotice, StatusReply};

/// Applies the events of a reply. A new lifetime of the engine's cache forgets all that was known of the old one.
pub fn apply_cache_events(
    index: &mut PrefixIndex,
    now: Instant,
    upstream: &str,
    known_generation: u64,
    status: &StatusReply,
) {
    if status.cache_generation != known_generation {
        index.forget(upstream);
    }
    let events: Vec<_> = status.cache_events.iter().map(to_event).collect();
    index.apply_events(now, upstream, &events);
}

fn to_event(notice: &CacheNotice) -> CacheEvent {
    CacheEvent {
        seq: notice.seq,
        prefix: notice.prefix.as_str().into(),
        change: if notice.evicted { CacheChange::Evicted } else { CacheChange::Added },
    }
}
