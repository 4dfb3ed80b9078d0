//! Table of the requests in progress. A planned stop waits for them, and after a crash of the upstream those in flight
//! are suspects.

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

/// A request in progress.
#[derive(Clone, Debug)]
struct ProgressRecord {
    team: CompactString,
    destination: CompactString,
    keyed: bool,
    started: Instant,
    fingerprint: Option<ContentDigest>,
    /// Incarnation of the upstream that the request was sent to; `None` while it is queued.
    upstream: Option<Incarnation>,
}

/// Table of the requests in progress.
#[derive(Default)]
pub struct ProgressTable {
    records: Mutex<HashMap<u64, ProgressRecord>>,
    next_id: AtomicU64,
    count: watch::Sender<usize>,
}

/// Removes a request from the table when it is dropped.
pub struct ProgressGuard {
    table: Arc<ProgressTable>,
    id: u64,
}

impl ProgressTable {
    /// Adds a queued request to the table, until the returned guard is dropped.
    #[must_use]
    pub fn add(self: &Arc<Self>, forward: &Forward, now: Instant) -> ProgressGuard {
        let destination =
            if forward.service.is_empty() { &forward.model } else { &forward.service };
        let record = ProgressRecord {
            team: forward.team.as_str().into(),
            destination: destination.as_str().into(),
            keyed: !forward.key.is_empty(),
            started: now,
            fingerprint: ContentDigest::from_slice(&forward.fingerprint).ok(),
            upstream: None,
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.update(|records| {
            records.insert(id, record);
        });
        ProgressGuard { table: self.clone(), id }
    }

    /// Returns the fingerprints of the requests in flight on this incarnation of the upstream, with `None` for each
    /// request without one.
    #[must_use]
    pub fn in_flight(&self, incarnation: Incarnation) -> Vec<Option<ContentDigest>> {
        let records = self.lock();
        let running = records.values().filter(|record| record.upstream == Some(incarnation));
        running.map(|record| record.fingerprint).collect()
    }

    /// Waits until no request is in progress, at most for `limit`. Logs the requests that are left and returns their
    /// number.
    pub async fn wait_until_idle(&self, limit: Duration, now: impl Fn() -> Instant) -> u32 {
        let mut count = self.count.subscribe();
        let _ = timeout(limit, count.wait_for(|count| *count == 0)).await;
        let records = self.lock();
        for record in records.values() {
            warn!(
                "event=request_held team={} target={} keyed={} age_ms={} at_upstream={}",
                record.team,
                record.destination,
                record.keyed,
                now().saturating_duration_since(record.started).as_millis(),
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
    /// Records that the request is sent to this incarnation of the upstream.
    pub fn mark_sent(&self, incarnation: Incarnation) {
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
