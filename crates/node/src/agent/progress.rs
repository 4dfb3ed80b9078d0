//! Requests in progress: what a planned stop waits for, and what was in flight when the upstream crashed.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{ContentDigest, Incarnation};
use compact_str::CompactString;
use log::warn;
use tokio::{sync::watch, time::timeout};
use wire::Forward;

/// One request in progress.
#[derive(Clone, Debug)]
struct ProgressRecord {
    team: CompactString,
    target: CompactString,
    keyed: bool,
    since: Instant,
    fingerprint: Option<ContentDigest>,
    /// Incarnation of the upstream that works on it; `None` while it waits.
    upstream: Option<Incarnation>,
}

/// Table of requests in progress.
#[derive(Default)]
pub struct ProgressTable {
    records: Mutex<HashMap<u64, ProgressRecord>>,
    next_id: AtomicU64,
    count: watch::Sender<usize>,
}

/// Keeps a request in the table until it is dropped.
pub struct ProgressGuard {
    table: Arc<ProgressTable>,
    id: u64,
}

impl ProgressTable {
    /// Adds a request.
    #[must_use]
    pub fn enter(self: &Arc<Self>, forward: &Forward, now: Instant) -> ProgressGuard {
        let target = if forward.service.is_empty() { &forward.model } else { &forward.service };
        let record = ProgressRecord {
            team: forward.team.as_str().into(),
            target: target.as_str().into(),
            keyed: !forward.key.is_empty(),
            since: now,
            fingerprint: ContentDigest::from_slice(&forward.fingerprint).ok(),
            upstream: None,
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.update(|records| {
            records.insert(id, record);
        });
        ProgressGuard { table: self.clone(), id }
    }

    /// Fingerprints of the requests that this incarnation of the upstream works on; `None` for requests without one.
    #[must_use]
    pub fn in_flight(&self, incarnation: Incarnation) -> Vec<Option<ContentDigest>> {
        let records = self.lock();
        let running = records.values().filter(|record| record.upstream == Some(incarnation));
        running.map(|record| record.fingerprint).collect()
    }

    /// Waits until nothing is in progress, at most `limit`; logs and counts what is still held then.
    pub async fn finish(&self, limit: Duration, now: impl Fn() -> Instant) -> u32 {
        let mut count = self.count.subscribe();
        let _ = timeout(limit, count.wait_for(|count| *count == 0)).await;
        let records = self.lock();
        for record in records.values() {
            warn!(
                "event=request_held team={} target={} keyed={} age_ms={} at_upstream={}",
                record.team,
                record.target,
                record.keyed,
                now().saturating_duration_since(record.since).as_millis(),
                record.upstream.is_some()
            );
        }
        u32::try_from(records.len()).unwrap_or(u32::MAX)
    }

    fn update(&self, change: impl FnOnce(&mut HashMap<u64, ProgressRecord>)) {
        let mut records = self.lock();
        change(&mut records);
        self.count.send_replace(records.len());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, ProgressRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProgressGuard {
    /// Notes that the upstream works on the request from now on.
    pub fn note_sent(&self, incarnation: Incarnation) {
        if let Some(record) = self.table.lock().get_mut(&self.id) {
            record.upstream = Some(incarnation);
        }
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.table.update(|records| {
            records.remove(&self.id);
        });
    }
}
