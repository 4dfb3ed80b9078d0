//! Detection of requests that crash upstreams, identified by the fingerprint of their content.
//!
//! After a crash all requests that were in flight are suspect, because the one that caused it cannot be determined. A
//! suspect request is run again only in isolation, that is, while nothing else is in flight on its upstream. The
//! outcome of that run either confirms that the request causes crashes or clears it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use base::{ContentDigest, UpstreamId};

/// Digest of a request's content, which identifies copies of the same request.
pub type Fingerprint = ContentDigest;

/// Crash reports about one upstream less than this apart count as one crash. Several processes report a crash, with
/// different delays, and an upstream takes longer than this to restart and crash again.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of crashes kept for one fingerprint. The verdict needs [`CrashTableOptions::shared_limit`] of them,
/// two by default; the others serve to recognise late reports of known crashes.
const MAX_CRASHES_PER_RECORD: usize = 4;

/// Default of [`CrashTableOptions::shared_limit`]. A single crash may have been caused by another request in flight.
const SHARED_CRASH_LIMIT: u32 = 2;

/// Limits of a [`CrashTable`].
#[derive(Clone, Copy, Debug)]
pub struct CrashTableOptions {
    /// Maximum number of fingerprints. Suspect ones are evicted before refused ones, and older ones first.
    pub capacity: usize,
    /// Retention of a fingerprint after its last crash.
    pub expiry: Duration,
    /// Maximum time since the last crash for which a fingerprint that never crashed in isolation is refused. It remains
    /// suspect until `expiry`.
    pub shared_expiry: Duration,
    /// Number of crashes from which a fingerprint is refused even if none of them happened in isolation.
    pub shared_limit: u32,
}

impl Default for CrashTableOptions {
    fn default() -> Self {
        Self {
            capacity: 4_096,
            expiry: Duration::from_secs(600),
            shared_expiry: Duration::from_secs(60),
            shared_limit: SHARED_CRASH_LIMIT,
        }
    }
}

/// Decision on how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The request may run concurrently with others.
    Allow,
    /// The request is suspect and may run only while nothing else is in flight on the upstream.
    Isolate,
    /// The request is refused.
    Refuse {
        /// Time until the request is no longer refused.
        retry_after: Duration,
    },
}

/// Evidence about one fingerprint, as exchanged between processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstream of the last crash.
    pub upstream: UpstreamId,
    /// Number of upstream crashes with the request in flight.
    pub crashes: u32,
    /// True if one of these crashes happened with only this request in flight.
    pub isolated: bool,
    /// Time since the last crash.
    pub age: Duration,
    /// True if the request has run in isolation without a crash after these crashes.
    pub cleared: bool,
}

/// A crash of an upstream with the request in flight.
#[derive(Clone, Debug)]
struct KnownCrash {
    upstream: UpstreamId,
    at: Instant,
}

/// Crashes and status of one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    crashes: Vec<KnownCrash>,
    /// Highest crash count reported by another process, which may know of crashes that this one does not.
    reported_count: u32,
    isolated: bool,
    last_crash: Instant,
    /// True after a successful run in isolation. The record is kept, so that late reports of the same crashes are
    /// recognised.
    cleared: bool,
}

impl CrashRecord {
    fn new(at: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            reported_count: 0,
            isolated: false,
            last_crash: at,
            cleared: false,
        }
    }

    fn crash_count(&self) -> u32 {
        u32::try_from(self.crashes.len()).unwrap_or(u32::MAX).max(self.reported_count)
    }

    /// Returns true if the evidence is sufficient to refuse the request.
    fn is_refusable(&self, shared_limit: u32) -> bool {
        !self.cleared && (self.isolated || self.crash_count() >= shared_limit)
    }

    /// Records a crash unless it is already known. Returns true if it is new.
    fn add_crash(&mut self, upstream: &str, at: Instant) -> bool {
        let is_known = self.crashes.iter().any(|recorded| {
            recorded.upstream == upstream && distance(recorded.at, at) < SAME_CRASH_WINDOW
        });
        if is_known {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES_PER_RECORD {
            self.crashes.remove(0);
        }
        self.crashes.push(KnownCrash { upstream: upstream.into(), at });
        self.last_crash = self.last_crash.max(at);
        true
    }
}

/// Table of requests that may crash upstreams. Every entry and every agent has one.
#[derive(Debug)]
pub struct CrashTable {
    options: CrashTableOptions,
    records: HashMap<Fingerprint, CrashRecord>,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::new(CrashTableOptions::default())
    }
}

impl CrashTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: CrashTableOptions) -> Self {
        Self { options, records: HashMap::new() }
    }

    /// Returns how a request may run at `now`. An agent has to check again when it takes the request from its queue.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: &Fingerprint) -> CrashVerdict {
        let Some(record) = self.records.get(fingerprint).filter(|record| !record.cleared) else {
            return CrashVerdict::Allow;
        };
        let age = now.saturating_duration_since(record.last_crash);
        if age >= self.options.expiry {
            return CrashVerdict::Allow;
        }
        // A harmless request may have been in flight during `shared_limit` crashes caused by others. It is therefore
        // refused only for a short time and remains suspect after it.
        let refused_for =
            if record.isolated { self.options.expiry } else { self.options.shared_expiry };
        if record.is_refusable(self.options.shared_limit) && age < refused_for {
            return CrashVerdict::Refuse { retry_after: refused_for - age };
        }
        CrashVerdict::Isolate
    }

    /// Records that `upstream` crashed with the given requests in flight. Returns the evidence to share with other
    /// processes.
    ///
    /// Called by the agent, which knows all requests in flight on its upstream.
    pub fn record_upstream_crash(
        &mut self,
        now: Instant,
        upstream: &str,
        in_flight: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<CrashEvidence> {
        let in_flight: HashSet<_> = in_flight.into_iter().collect();
        let isolated = in_flight.len() == 1;
        in_flight
            .into_iter()
            .filter_map(|fingerprint| self.record_crash(now, upstream, fingerprint, isolated))
            .collect()
    }

    /// Records that `upstream` crashed with the given request in flight. Returns the evidence to share with other
    /// processes, or `None` if the crash was already known.
    ///
    /// Called by the entry, which knows only its own request. `isolated` is true if the agent was told to run the
    /// request in isolation.
    pub fn record_crash(
        &mut self,
        now: Instant,
        upstream: &str,
        fingerprint: Fingerprint,
        isolated: bool,
    ) -> Option<CrashEvidence> {
        let evidence = CrashEvidence {
            fingerprint,
            upstream: upstream.into(),
            crashes: 1,
            isolated,
            age: Duration::ZERO,
            cleared: false,
        };
        self.apply_evidence(now, &evidence).then(|| self.evidence(now, &fingerprint)).flatten()
    }

    /// Records that a request ended without a crash. Returns the evidence to share with other processes if this clears
    /// a suspect request.
    pub fn record_success(
        &mut self,
        now: Instant,
        fingerprint: &Fingerprint,
        isolated: bool,
    ) -> Option<CrashEvidence> {
        let record = self.records.get_mut(fingerprint)?;
        if !isolated || record.cleared || record.isolated {
            return None;
        }
        record.cleared = true;
        self.evidence(now, fingerprint)
    }

    /// Merges evidence received from another process. Returns true if it changed the table and should be passed on.
    pub fn apply_evidence(&mut self, now: Instant, evidence: &CrashEvidence) -> bool {
        if evidence.age >= self.options.expiry {
            return false;
        }
        let at = now.checked_sub(evidence.age).unwrap_or(now);
        if evidence.cleared {
            return self.apply_clearance(at, evidence);
        }
        if !self.records.contains_key(&evidence.fingerprint) {
            self.evict_if_full(now);
        }
        let record =
            self.records.entry(evidence.fingerprint).or_insert_with(|| CrashRecord::new(at));
        if record.cleared {
            let known = distance(record.last_crash, at) < SAME_CRASH_WINDOW
                || at < record.last_crash
                || !record.add_crash(&evidence.upstream, at);
            if known && !evidence.isolated {
                return false;
            }
            *record = CrashRecord::new(at);
        }
        if now.saturating_duration_since(record.last_crash) >= self.options.expiry {
            *record = CrashRecord::new(at);
        }
        let has_more_crashes = evidence.crashes > record.crash_count();
        let newly_isolated = evidence.isolated && !record.isolated;
        let new_crash = record.add_crash(&evidence.upstream, at);
        record.reported_count = record.reported_count.max(evidence.crashes);
        record.isolated |= evidence.isolated;
        new_crash || has_more_crashes || newly_isolated
    }

    /// Returns the evidence about a fingerprint at `now`, to be shared with other processes.
    #[must_use]
    pub fn evidence(&self, now: Instant, fingerprint: &Fingerprint) -> Option<CrashEvidence> {
        let record = self.records.get(fingerprint)?;
        let last = record.crashes.iter().max_by_key(|crash| crash.at)?;
        Some(CrashEvidence {
            fingerprint: *fingerprint,
            upstream: last.upstream.clone(),
            crashes: record.crash_count(),
            isolated: record.isolated,
            age: now.saturating_duration_since(record.last_crash),
            cleared: record.cleared,
        })
    }

    /// Returns the number of fingerprints in the table, including cleared ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if the table contains no fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes records whose last crash is older than [`CrashTableOptions::expiry`].
    pub fn expire(&mut self, now: Instant) {
        let expiry = self.options.expiry;
        self.records.retain(|_, record| now.saturating_duration_since(record.last_crash) < expiry);
    }

    /// Clears a suspect on evidence from another process, which covers only the crashes known to the sender. A later
    /// crash, or one in isolation, takes precedence.
    fn apply_clearance(&mut self, at: Instant, evidence: &CrashEvidence) -> bool {
        let Some(record) = self.records.get_mut(&evidence.fingerprint) else {
            return false;
        };
        let later_crash = record.last_crash > at + SAME_CRASH_WINDOW;
        if record.cleared || record.isolated || later_crash {
            return false;
        }
        record.cleared = true;
        true
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.records.len() < self.options.capacity {
            return;
        }
        self.expire(now);
        while self.records.len() >= self.options.capacity.max(1) {
            let limit = self.options.shared_limit;
            let evicted = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.is_refusable(limit), record.last_crash))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(evicted) = evicted else { return };
            self.records.remove(&evicted);
        }
    }
}

fn distance(left: Instant, right: Instant) -> Duration {
    left.saturating_duration_since(right).max(right.saturating_duration_since(left))
}
