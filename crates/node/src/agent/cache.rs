//! Recent cache events of the engine, which the agent returns to the entries that probe it.
//!
//! Entries use the events only as hints for placing requests. After a gap in the sequence or in a new cache generation
//! they discard all known prefixes of the cache.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use limit::UpstreamEpoch;
use ports::{CacheEvent, CacheEventKind, ModelEngine};
use wire::CacheNotice;

use super::monitor::UpstreamMonitor;
use crate::context::NodeContext;

/// Longer than the poll interval of the status: the events are only hints and may be late.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of events kept; an entry that is further behind sees a gap.
const MAX_EVENTS: usize = 256;
/// Maximum number of events in one status response. Two responses a second with 16 prefixes of about 60 bytes each take
/// at most 2 KB/s.
const MAX_EVENTS_PER_RESPONSE: usize = 16;

#[derive(Debug, Default)]
struct EventLog {
    epoch: Option<UpstreamEpoch>,
    events: VecDeque<CacheEvent>,
}

/// Polls the cache events of the engine and keeps the recent ones.
#[derive(Debug, Default)]
pub struct CacheFeed {
    log: Mutex<EventLog>,
}

impl CacheFeed {
    /// Starts polling the engine; a plain service is not polled.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        monitor: Arc<UpstreamMonitor>,
        engine: Arc<dyn ModelEngine>,
    ) -> Arc<Self> {
        let feed = Arc::new(Self::default());
        let task_feed = feed.clone();
        context.spawn_traffic(async move {
            loop {
                if monitor.is_model() && monitor.get().up {
                    task_feed.poll(monitor.get().epoch(), &*engine).await;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        feed
    }

    /// Returns the current cache generation (0 before the first poll) and its events after sequence number `after`. If
    /// `generation` is not the current one, `after` is ignored and the events start from the oldest one kept.
    #[must_use]
    pub fn events_since(&self, generation: u64, after: u64) -> (u64, Vec<CacheNotice>) {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let current = log.epoch.map_or(0, cache_generation);
        let after = if generation == current { after } else { 0 };
        let events = log.events.iter().filter(|event| event.seq > after);
        (current, events.take(MAX_EVENTS_PER_RESPONSE).map(to_notice).collect())
    }

    async fn poll(&self, epoch: UpstreamEpoch, engine: &dyn ModelEngine) {
        let after = {
            let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            if log.epoch != Some(epoch) {
                *log = EventLog { epoch: Some(epoch), events: VecDeque::new() };
            }
            log.events.back().map_or(0, |event| event.seq)
        };
        let Ok(events) = engine.cache_events(after).await else { return };
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.epoch != Some(epoch) {
            return;
        }
        log.events.extend(events.into_iter().filter(|event| event.seq > after));
        let excess = log.events.len().saturating_sub(MAX_EVENTS);
        log.events.drain(..excess);
    }
}

/// Returns a number that differs between incarnations and cache epochs of the engine; never 0, which stands for none.
fn cache_generation(epoch: UpstreamEpoch) -> u64 {
    epoch.incarnation.rotate_left(17).wrapping_add(epoch.cache_epoch).max(1)
}

fn to_notice(event: &CacheEvent) -> CacheNotice {
    CacheNotice {
        seq: event.seq,
        prefix: event.prefix.to_string(),
        evicted: event.kind == CacheEventKind::Evicted,
    }
}
