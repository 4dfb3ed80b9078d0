//! Cache events of the engine, kept for the entries that probe this agent.
//!
//! Entries use them as hints only: a gap or a new generation makes them forget what they knew.

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

/// Events come late anyway, so a slower poll than that of the status is enough.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Events kept; an entry that is further behind sees a gap.
const MAX_EVENTS: usize = 256;
/// Events in one status reply: two replies a second with 16 prefixes of some 60 bytes cost 2 KB/s at the most.
const MAX_EVENTS_PER_REPLY: usize = 16;

#[derive(Debug, Default)]
struct EventLog {
    epoch: Option<UpstreamEpoch>,
    events: VecDeque<CacheEvent>,
}

/// Recent cache events of the engine.
#[derive(Debug, Default)]
pub struct CacheFeed {
    log: Mutex<EventLog>,
}

impl CacheFeed {
    /// Starts polling the engine.
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

    /// Number of the engine's cache lifetime, and the events after `after` if that belongs to the same lifetime.
    #[must_use]
    pub fn since(&self, generation: u64, after: u64) -> (u64, Vec<CacheNotice>) {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let current = log.epoch.map_or(0, generation_of);
        let after = if generation == current { after } else { 0 };
        let events = log.events.iter().filter(|event| event.seq > after);
        (current, events.take(MAX_EVENTS_PER_REPLY).map(to_notice).collect())
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

/// Differs between lifetimes of the engine's cache; 0 stands for none.
fn generation_of(epoch: UpstreamEpoch) -> u64 {
    epoch.incarnation.rotate_left(17).wrapping_add(epoch.cache_epoch).max(1)
}

fn to_notice(event: &CacheEvent) -> CacheNotice {
    CacheNotice {
        seq: event.seq,
        prefix: event.prefix.to_string(),
        evicted: event.kind == CacheEventKind::Evicted,
    }
}
