//! Updates the index of prompt prefixes with the cache events in status responses.

use std::time::Instant;

use route::{CacheChange, CacheEvent, PrefixIndex};
use wire::{CacheNotice, StatusResponse};

/// Applies the cache events of a status response. If the cache generation has changed, the known prefixes of the
/// upstream are removed first.
pub fn apply_cache_events(
    index: &mut PrefixIndex,
    now: Instant,
    upstream: &str,
    known_generation: u64,
    status: &StatusResponse,
) {
    if status.cache_generation != known_generation {
        index.remove_upstream(upstream);
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
