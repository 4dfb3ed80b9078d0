//! Requests that crash upstreams, known by the fingerprint of their content.
//!
//! A crash makes suspects of all requests in flight, because nobody can tell which of them caused it. A suspect runs
//! again only while nothing else is in flight on its upstream, which then proves its guilt or clears it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use base::{ContentDigest, UpstreamId};

/// Fingerprint of the content of a request.
pub type Fingerprint = ContentDigest;

/// Crashes of one upstream that are reported closer together than this are one crash. The reports come from several
/// processes and travel for different times; an upstream needs longer than this to start and to crash again.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Crashes kept for one fingerprint; two are enough for the verdict, the rest tells late reports of them apart.
const MAX_CRASHES_PER_RECORD: usize = 4;

/// Default of [`CrashTableOptions::shared_limit`]: one crash may be that of a neighbour.
const SHARED_CRASH_LIMIT: u32 = 2;

/// Limits of a [`CrashTable`].
#[derive(Clone, Copy, Debug)]
pub struct CrashTableOptions {
    /// Fingerprints held at most; suspects are dropped before refused fingerprints, older ones first.
    pub capacity: usize,
    /// Time after the last crash until a fingerprint is forgotten.
    pub expiry: Duration,
    /// Time after the last crash until a fingerprint that crashed only in company is no longer refused but a suspect.
    pub shared_expiry: Duration,
    /// Crashes after which a fingerprint is refused even if none of them happened in isolation.
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

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may run beside other requests.
    Unsuspected,
    /// It may run only while nothing else is in flight on the upstream.
    Isolate,
    /// It is refused.
    Refuse {
        /// Time until it is no longer refused.
        retry_after: Duration,
    },
}

/// Evidence about one fingerprint, as it is sent to other processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Upstream of the last crash.
    pub upstream: UpstreamId,
    /// Crashes of upstreams with the request in flight.
    pub crashes: u32,
    /// True if one of these crashes happened in isolation.
    pub isolated: bool,
    /// Time since the last crash.
    pub age: Duration,
    /// True if the request has run in isolation without a crash after these crashes.
    pub cleared: bool,
}

/// One crash of an upstream with the request in flight.
#[derive(Clone, Debug)]
struct CrashSighting {
    upstream: UpstreamId,
    at: Instant,
}

/// What is known about one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    sightings: Vec<CrashSighting>,
    /// Highest count that another process reported; it may know crashes that this one does not.
    reported: u32,
    isolated: bool,
    last_crash: Instant,
    /// Set by a success in isolation. The record then stays, so that late reports of the same crashes are recognised.
    cleared: bool,
}

impl CrashRecord {
    fn new(at: Instant) -> Self {
        Self { sightings: Vec::new(), reported: 0, isolated: false, last_crash: at, cleared: false }
    }

    fn crashes(&self) -> u32 {
        u32::try_from(self.sightings.len()).unwrap_or(u32::MAX).max(self.reported)
    }

    fn condemned(&self, shared_limit: u32) -> bool {
        !self.cleared && (self.isolated || self.crashes() >= shared_limit)
    }

    /// Counts a crash unless it is known; returns true if it is new.
    fn add_sighting(&mut self, upstream: &str, at: Instant) -> bool {
        let known = self.sightings.iter().any(|sighting| {
            sighting.upstream == upstream && distance(sighting.at, at) < SAME_CRASH_WINDOW
        });
        if known {
            return false;
        }
        if self.sightings.len() == MAX_CRASHES_PER_RECORD {
            self.sightings.remove(0);
        }
        self.sightings.push(CrashSighting { upstream: upstream.into(), at });
        self.last_crash = self.last_crash.max(at);
        true
    }
}

/// Table of requests that crashed upstreams; held by each entry and each agent.
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

    /// Tells how a request may run at `now`. An agent asks again when it takes the request from its queue.
    #[must_use]
    pub fn verdict(&self, now: Instant, fingerprint: &Fingerprint) -> CrashVerdict {
        let Some(record) = self.records.get(fingerprint).filter(|record| !record.cleared) else {
            return CrashVerdict::Unsuspected;
        };
        let age = now.saturating_duration_since(record.last_crash);
        if age >= self.options.expiry {
            return CrashVerdict::Unsuspected;
        }
        // A neighbour of crashing requests may have shared two crashes, so its refusal is short. It stays a suspect.
        let refused_for =
            if record.isolated { self.options.expiry } else { self.options.shared_expiry };
        if record.condemned(self.options.shared_limit) && age < refused_for {
            return CrashVerdict::Refuse { retry_after: refused_for - age };
        }
        CrashVerdict::Isolate
    }

    /// Records that `upstream` crashed with these requests in flight, and returns the evidence to share.
    ///
    /// For the agent, which knows all requests in flight on its upstream.
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

    /// Records that `upstream` crashed with this request in flight, and returns the evidence to share, or nothing if
    /// the crash was known.
    ///
    /// For the entry, which knows only its own request; `isolated` is true if the agent was told to run it alone.
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

    /// Records that a request ended without a crash, and returns the evidence to share if that clears a suspect.
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

    /// Takes over evidence from another process; returns true if it changed the table and is worth passing on.
    pub fn apply_evidence(&mut self, now: Instant, evidence: &CrashEvidence) -> bool {
        if evidence.age >= self.options.expiry {
            return false;
        }
        let at = now.checked_sub(evidence.age).unwrap_or(now);
        if evidence.cleared {
            return self.apply_clearance(at, evidence);
        }
        if !self.records.contains_key(&evidence.fingerprint) {
            self.make_room(now);
        }
        let record =
            self.records.entry(evidence.fingerprint).or_insert_with(|| CrashRecord::new(at));
        if record.cleared {
            let known = distance(record.last_crash, at) < SAME_CRASH_WINDOW
                || at < record.last_crash
                || !record.add_sighting(&evidence.upstream, at);
            if known && !evidence.isolated {
                return false;
            }
            *record = CrashRecord::new(at);
        }
        if now.saturating_duration_since(record.last_crash) >= self.options.expiry {
            *record = CrashRecord::new(at);
        }
        let count_rose = evidence.crashes > record.crashes();
        let newly_isolated = evidence.isolated && !record.isolated;
        let new_crash = record.add_sighting(&evidence.upstream, at);
        record.reported = record.reported.max(evidence.crashes);
        record.isolated |= evidence.isolated;
        new_crash || count_rose || newly_isolated
    }

    /// What is known about a fingerprint at `now`, to be shared.
    #[must_use]
    pub fn evidence(&self, now: Instant, fingerprint: &Fingerprint) -> Option<CrashEvidence> {
        let record = self.records.get(fingerprint)?;
        let last = record.sightings.iter().max_by_key(|sighting| sighting.at)?;
        Some(CrashEvidence {
            fingerprint: *fingerprint,
            upstream: last.upstream.clone(),
            crashes: record.crashes(),
            isolated: record.isolated,
            age: now.saturating_duration_since(record.last_crash),
            cleared: record.cleared,
        })
    }

    /// Number of fingerprints held, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets expired records.
    pub fn expire(&mut self, now: Instant) {
        let expiry = self.options.expiry;
        self.records.retain(|_, record| now.saturating_duration_since(record.last_crash) < expiry);
    }

    /// A clearance holds for the crashes that its sender knew; a later crash, or one in isolation, outweighs it.
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

    fn make_room(&mut self, now: Instant) {
        if self.records.len() < self.options.capacity {
            return;
        }
        self.expire(now);
        while self.records.len() >= self.options.capacity.max(1) {
            let limit = self.options.shared_limit;
            let least = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.condemned(limit), record.last_crash))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(least) = least else { return };
            self.records.remove(&least);
        }
    }
}

fn distance(left: Instant, right: Instant) -> Duration {
    left.saturating_duration_since(right).max(right.saturating_duration_since(left))
}
