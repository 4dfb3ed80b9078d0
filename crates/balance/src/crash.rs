//! Requests that crash the upstreams that run them: noticed at one entry, shared with the others, and refused after some
//! crashes.
//!
//! A broken connection alone proves nothing. It counts once the upstream is found to be down or to have started again
//! shortly afterwards.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{ContentDigest, UpstreamId};
use fleet::FleetView;
use route::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint};

/// Crashes after which a request is refused. Faults of a host or a data centre hit many requests at once, and one that
/// was repeated elsewhere may be hit twice.
const CRASH_LIMIT: u32 = 3;
/// Time after a broken connection within which its upstream must be found down.
const CONFIRM_TIME: Duration = Duration::from_secs(5);
/// Broken connections that wait for a confirmation at most.
const MAX_PENDING: usize = 4_096;
/// Times that evidence is sent to the other entries, because datagrams may be lost.
const SEND_COUNT: u32 = 3;

/// Fingerprint of a request: who sent it, where it goes and what it carries.
#[must_use]
pub fn fingerprint_of(key: &str, path: &str, body: &[u8]) -> Fingerprint {
    let length = |text: &str| u64::try_from(text.len()).unwrap_or(u64::MAX).to_le_bytes();
    let (key_length, path_length) = (length(key), length(path));
    let parts: [&[u8]; 5] = [&key_length, key.as_bytes(), &path_length, path.as_bytes(), body];
    ContentDigest::of(&parts.concat())
}

#[derive(Debug)]
struct PendingLoss {
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    /// Start of the upstream's process.
    born: u64,
    at: Instant,
}

/// What an entry knows of requests that crash upstreams.
#[derive(Debug)]
pub struct CrashWatch {
    table: CrashTable,
    pending: VecDeque<PendingLoss>,
    outbox: Vec<(CrashEvidence, u32)>,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashWatch {
    /// Creates the watch of an entry that has just started.
    #[must_use]
    pub fn new() -> Self {
        let options =
            CrashTableOptions { shared_limit: CRASH_LIMIT, ..CrashTableOptions::default() };
        Self { table: CrashTable::new(options), pending: VecDeque::new(), outbox: Vec::new() }
    }

    /// Time for which a request is refused because it crashed too many upstreams. The fingerprint is only computed if
    /// any crash is known.
    #[must_use]
    pub fn refused_for(
        &self,
        now: Instant,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Duration> {
        if self.table.is_empty() {
            return None;
        }
        match self.table.verdict(now, &fingerprint()) {
            CrashVerdict::Refuse { retry_after } => Some(retry_after),
            CrashVerdict::Unsuspected | CrashVerdict::Isolate => None,
        }
    }

    /// Records that the connection to an upstream, whose process started at `born`, broke while it ran a request.
    pub fn record_lost(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        born: u64,
    ) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        let loss = PendingLoss { fingerprint, upstream: upstream.clone(), born, at: now };
        self.pending.push_back(loss);
    }

    /// Records that a request ended well, which clears it.
    pub fn record_answered(&mut self, now: Instant, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.table.is_empty() {
            return;
        }
        if let Some(evidence) = self.table.record_success(now, &fingerprint(), true) {
            self.outbox.push((evidence, SEND_COUNT));
        }
    }

    /// Records that no connection to an upstream can be made; returns the number of crashes that this confirms.
    pub fn record_unreachable(&mut self, now: Instant, upstream: &str) -> usize {
        self.confirm(now, |loss| loss.upstream == upstream)
    }

    /// Compares with a new view of the fleet; returns the number of crashes that it confirms.
    pub fn record_view(&mut self, now: Instant, view: &FleetView) -> usize {
        self.confirm(now, |loss| {
            view.upstream(&loss.upstream).is_none_or(|record| record.born != loss.born)
        })
    }

    /// Takes over what another entry says; true if it is news.
    pub fn record_evidence(&mut self, now: Instant, evidence: &CrashEvidence) -> bool {
        self.table.apply_evidence(now, evidence)
    }

    /// Evidence that is due to be sent to the other entries.
    pub fn take_due(&mut self) -> Vec<CrashEvidence> {
        let due = self.outbox.iter().map(|(evidence, _)| evidence.clone()).collect();
        self.outbox.retain_mut(|(_, left)| {
            *left -= 1;
            *left > 0
        });
        due
    }

    fn confirm(&mut self, now: Instant, is_down: impl Fn(&PendingLoss) -> bool) -> usize {
        let is_fresh = |loss: &PendingLoss| now.saturating_duration_since(loss.at) <= CONFIRM_TIME;
        let (down, pending): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.pending).into_iter().filter(is_fresh).partition(is_down);
        self.pending = pending;
        let mut confirmed = 0;
        for loss in down {
            let evidence = self.table.record_crash(now, &loss.upstream, loss.fingerprint, false);
            confirmed += usize::from(evidence.is_some());
            self.outbox.extend(evidence.map(|evidence| (evidence, SEND_COUNT)));
        }
        confirmed
    }
}
