//! Detects requests that crash the upstreams that run them. Entries share the evidence, and a request is refused after
//! a few crashes.
//!
//! A broken connection alone is not evidence. It counts as a crash only if the upstream is found to be down or
//! restarted shortly afterwards.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use base::{ContentDigest, PromptPartId, UpstreamId};
use fleet::FleetView;
use route::{CrashEvidence, CrashTable, CrashTableOptions, CrashVerdict, Fingerprint};

use crate::{
    part_suspects::{PartSuspects, UpstreamCrash},
    request_successes::RequestSuccesses,
};

/// Number of crashes after which a request is refused. With 2, a harmless request could be refused: the failure of a
/// host or a data centre hits many requests at once, and one that is retried elsewhere may be hit twice.
const CRASH_LIMIT: u32 = 3;
/// Maximum time between a broken connection and the detection that its upstream is down or restarted.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of broken connections that wait for confirmation; the oldest are dropped first.
const MAX_PENDING: usize = 4_096;
/// Maximum number of confirmed crashes that wait to be logged; the others are not logged.
const MAX_CONFIRMED: usize = 64;
/// Number of times that the same evidence is sent to the other entries. It is repeated because datagrams may be lost.
const EVIDENCE_COPIES: u32 = 3;

/// Computes the fingerprint of a request from the caller's key, the path and the body. The lengths of key and path are
/// included, so that different splits of the same bytes have different fingerprints.
#[must_use]
pub fn fingerprint_of(key: &str, path: &str, body: &[u8]) -> Fingerprint {
    let length = |text: &str| u64::try_from(text.len()).unwrap_or(u64::MAX).to_le_bytes();
    let (key_length, path_length) = (length(key), length(path));
    let parts: [&[u8]; 5] = [&key_length, key.as_bytes(), &path_length, path.as_bytes(), body];
    ContentDigest::of(&parts.concat())
}

/// A request whose connection to the upstream broke. It waits for confirmation of a crash.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstream that ran the request.
    pub upstream: UpstreamId,
    /// Start of the upstream's process in Unix milliseconds, to detect a restart.
    pub started_ms: u64,
    /// Shared parts of the prompt; empty if the upstream had written enough of the response to clear them, or if it was
    /// about to stop.
    pub suspect_parts: Vec<PromptPartId>,
}

/// A crash that has been confirmed, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmedCrash {
    /// Upstream that crashed.
    pub upstream: UpstreamId,
    /// Number of this entry's requests that were in flight.
    pub requests: usize,
    /// Suspect parts of each of them, without those that succeeded a short time before.
    pub suspect_parts: Vec<Vec<PromptPartId>>,
    /// Time from the first broken connection to its confirmation.
    pub delay: Duration,
}

/// Reason and duration of the refusal of a request because of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashRefusal {
    /// The same request crashed too many upstreams.
    Request(Duration),
    /// Requests with a part of its prompt crashed too many upstreams.
    PromptPart(Duration),
}

impl CrashRefusal {
    /// Name of the reason in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request(_) => "crashes_upstreams",
            Self::PromptPart(_) => "crashing_prompt_part",
        }
    }

    /// Time after which the caller may return.
    #[must_use]
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Request(time) | Self::PromptPart(time) => time,
        }
    }
}

/// Detects requests that crash upstreams, from this entry's broken connections and the evidence of other entries.
#[derive(Debug)]
pub struct CrashDetector {
    table: CrashTable,
    successes: RequestSuccesses,
    parts: PartSuspects,
    pending: VecDeque<(LostRequest, Instant)>,
    confirmed: Vec<ConfirmedCrash>,
    outbox: Vec<(CrashEvidence, u32)>,
}

impl Default for CrashDetector {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashDetector {
    /// Creates a detector without any evidence.
    #[must_use]
    pub fn new() -> Self {
        let options =
            CrashTableOptions { shared_limit: CRASH_LIMIT, ..CrashTableOptions::default() };
        Self {
            table: CrashTable::new(options),
            successes: RequestSuccesses::default(),
            parts: PartSuspects::new(),
            pending: VecDeque::new(),
            confirmed: Vec::new(),
            outbox: Vec::new(),
        }
    }

    /// Evidence for and against prompt parts.
    pub fn parts(&mut self) -> &mut PartSuspects {
        &mut self.parts
    }

    /// Decides whether a new request with these shared parts may run. One with a suspect part may be let through, so
    /// that a harmless part is cleared.
    pub fn admit(
        &mut self,
        now: Instant,
        parts: &[PromptPartId],
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<CrashRefusal> {
        match self.refusal_time(now, fingerprint) {
            Some(time) => Some(CrashRefusal::Request(time)),
            None => self.parts.admit(now, parts).map(CrashRefusal::PromptPart),
        }
    }

    /// Decides whether a request may run at another upstream; `None` if it may.
    #[must_use]
    pub fn refusal(
        &self,
        now: Instant,
        parts: &[PromptPartId],
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<CrashRefusal> {
        match self.refusal_time(now, fingerprint) {
            Some(time) => Some(CrashRefusal::Request(time)),
            None => self.parts.refusal_time(now, parts).map(CrashRefusal::PromptPart),
        }
    }

    /// Remaining time for which a request is refused because it crashed too many upstreams; `None` if it may run. The
    /// fingerprint is computed only if any crash is known.
    #[must_use]
    pub fn refusal_time(
        &self,
        now: Instant,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Duration> {
        if self.table.is_empty() {
            return None;
        }
        match self.table.verdict(now, &fingerprint()) {
            CrashVerdict::Refuse { retry_after } => Some(retry_after),
            CrashVerdict::Allow | CrashVerdict::Isolate => None,
        }
    }

    /// Records that the connection to an upstream broke while it ran a request.
    pub fn record_connection_lost(&mut self, now: Instant, lost: LostRequest) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((lost, now));
    }

    /// Records that a request succeeded. This clears the evidence against it, and crashes of the next 10 s do not count
    /// against it.
    pub fn record_success(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.successes.record(now, fingerprint);
        self.clear(now, &fingerprint);
    }

    /// Records that no connection to an upstream can be made; returns the number of crashes that this confirms.
    pub fn record_unreachable(&mut self, now: Instant, upstream: &str) -> usize {
        self.confirm_crashes(now, |lost| lost.upstream == upstream)
    }

    /// Checks broken connections against a new view of the fleet: an upstream that is no longer listed or was restarted
    /// has crashed. Returns the number of crashes that this confirms.
    pub fn record_view(&mut self, now: Instant, view: &FleetView) -> usize {
        self.confirm_crashes(now, |lost| {
            view.upstream(&lost.upstream).is_none_or(|record| record.started_ms != lost.started_ms)
        })
    }

    /// Merges evidence from another entry; true if it was not known yet. Evidence that a success at this entry refutes is
    /// answered with a clearance.
    pub fn apply_evidence(&mut self, now: Instant, evidence: &CrashEvidence) -> bool {
        let is_new = self.table.apply_evidence(now, evidence);
        let at = now.checked_sub(evidence.age).unwrap_or(now);
        if is_new && !evidence.cleared && self.successes.excludes_crash(&evidence.fingerprint, at) {
            self.clear(now, &evidence.fingerprint);
        }
        is_new
    }

    /// Evidence to send to the other entries now. The same evidence is returned by several calls in a row, because
    /// datagrams may be lost.
    pub fn take_due_evidence(&mut self) -> Vec<CrashEvidence> {
        let due = self.outbox.iter().map(|(evidence, _)| evidence.clone()).collect();
        self.outbox.retain_mut(|(_, copies_left)| {
            *copies_left -= 1;
            *copies_left > 0
        });
        due
    }

    /// Takes the crashes that were confirmed since the last call.
    pub fn take_confirmed(&mut self) -> Vec<ConfirmedCrash> {
        std::mem::take(&mut self.confirmed)
    }

    fn clear(&mut self, now: Instant, fingerprint: &Fingerprint) {
        let evidence = self.table.record_success(now, fingerprint, true);
        self.outbox.extend(evidence.map(|evidence| (evidence, EVIDENCE_COPIES)));
    }

    fn confirm_crashes(&mut self, now: Instant, is_down: impl Fn(&LostRequest) -> bool) -> usize {
        let recent = |at: Instant| now.saturating_duration_since(at) <= CONFIRM_TIMEOUT;
        let (down, pending): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .filter(|(_, at)| recent(*at))
            .partition(|(lost, _)| is_down(lost));
        self.pending = pending;
        let mut count = 0;
        let mut crashes: BTreeMap<(UpstreamId, u64), Vec<(LostRequest, Instant)>> = BTreeMap::new();
        for (lost, at) in down {
            if !self.successes.excludes_crash(&lost.fingerprint, at) {
                let evidence =
                    self.table.record_crash(now, &lost.upstream, lost.fingerprint, false);
                count += usize::from(evidence.is_some());
                self.outbox.extend(evidence.map(|evidence| (evidence, EVIDENCE_COPIES)));
            }
            crashes.entry((lost.upstream.clone(), lost.started_ms)).or_default().push((lost, at));
        }
        for ((upstream, started_ms), lost) in crashes {
            let first = lost.iter().map(|(_, at)| *at).min().unwrap_or(now);
            let delay = now.saturating_duration_since(first);
            let requests = lost.len();
            let suspect_parts = self.parts.record_crash(
                now,
                UpstreamCrash {
                    upstream: upstream.clone(),
                    started_ms,
                    age: delay,
                    requests: lost.into_iter().map(|(lost, _)| lost.suspect_parts).collect(),
                },
            );
            if self.confirmed.len() < MAX_CONFIRMED {
                self.confirmed.push(ConfirmedCrash { upstream, requests, suspect_parts, delay });
            }
        }
        count
    }
}
