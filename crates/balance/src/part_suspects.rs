//! Detects prompt parts that crash each upstream that begins to answer a request with them.
//!
//! All requests in flight at a crash are suspect, except those whose parts an upstream has answered: a part that crashes
//! upstreams is never answered. Entries share crashes and the successes that clear a suspect, and each reaches its own
//! verdicts, which are the same given the same evidence.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{BuildHasher, RandomState},
    time::{Duration, Instant},
};

use base::{PromptPartId, UpstreamId};

use crate::attribution::{SuspectCrash, find_culprits};

/// Time for which crashes count, and for which a part is refused after the last crash.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of crashes from which a culprit is refused without exception. Below, single requests are let through, so that
/// a harmless part is cleared.
const FINAL_CRASHES: usize = 5;
/// Interval between requests with a suspect part that all entries together let through.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a success at this entry keeps a part out of the suspects of later crashes. It covers the parts that
/// most requests have, of which there are always some in flight that have not begun.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(10);
/// Number of the last requests of this entry that show which parts most requests have, and the minimum number for that.
const RECENT_REQUESTS: usize = 32;
const MIN_RECENT_REQUESTS: usize = 8;
/// Minimum time between two reports of this entry that the same part is harmless.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of crashes that are kept. Those that no verdict is based on are evicted first, and older ones first.
const MAX_CRASHES: usize = 128;
/// Maximum numbers of requests kept for one crash, and of parts of one request; further ones are ignored.
const MAX_REQUESTS: usize = 32;
const MAX_PARTS: usize = 64;
/// Maximum number of parts whose last success is kept; the one with the oldest success is evicted first.
const MAX_SUCCESSES: usize = 1_024;
/// Maximum number of crashes per verdict that are sent to entries that may not know them. They suffice for the verdict.
const MAX_REPEATED: usize = 8;
/// Number of times that the same evidence is sent to the other entries, because datagrams may be lost.
const EVIDENCE_COPIES: u32 = 4;
/// Interval between these copies, so that a short fault of the network does not hit all of them.
const COPY_INTERVAL: Duration = Duration::from_millis(200);
/// Range of the time after which the caller of a refused request may return.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// A crash of an upstream, as exchanged between entries. Each reports only its own requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamCrash {
    /// Upstream that crashed.
    pub upstream: UpstreamId,
    /// Start of the upstream's process in Unix milliseconds.
    pub started_ms: u64,
    /// Time since the crash.
    pub age: Duration,
    /// Suspect parts of each request in flight.
    pub requests: Vec<Vec<PromptPartId>>,
}

/// A success of a request with a part that was suspect, as exchanged between entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartSuccess {
    /// Part that is harmless.
    pub part: PromptPartId,
    /// Time since the success.
    pub age: Duration,
}

/// Evidence for or against prompt parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartEvidence {
    /// An upstream crashed.
    Crash(UpstreamCrash),
    /// A request succeeded.
    Success(PartSuccess),
}

/// Begin or end of the refusal of requests that have all of the given parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartVerdictChange {
    /// The parts.
    pub parts: Vec<PromptPartId>,
    /// Number of crashes attributed to them.
    pub crashes: usize,
    /// True if such requests are now refused, false if they may run again.
    pub refused: bool,
}

#[derive(Debug)]
struct KnownCrash {
    upstream: UpstreamId,
    started_ms: u64,
    at: Instant,
    requests: Vec<BTreeSet<PromptPartId>>,
    /// True if a verdict is based on this crash.
    is_needed: bool,
}

#[derive(Debug)]
struct KnownSuccess {
    at: Instant,
    reported_at: Option<Instant>,
}

#[derive(Debug)]
struct QueuedEvidence {
    evidence: PartEvidence,
    queued_at: Instant,
    due_at: Instant,
    copies_left: u32,
}

#[derive(Debug)]
struct PartVerdict {
    parts: BTreeSet<PromptPartId>,
    crashes: usize,
    last_crash: Instant,
    /// Time at which this entry lets a request through; `None` if it never does.
    next_trial: Option<Instant>,
}

impl PartVerdict {
    fn applies_to(&self, now: Instant, parts: &[PromptPartId]) -> bool {
        now.saturating_duration_since(self.last_crash) < CRASH_RETENTION
            && self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Prompt parts that are suspected of crashing upstreams, as one entry knows them.
#[derive(Debug)]
pub struct PartSuspects {
    entries: u32,
    hasher: RandomState,
    crashes: Vec<KnownCrash>,
    successes: HashMap<PromptPartId, KnownSuccess>,
    /// Parts of the last requests that callers sent, whether they were refused or not.
    recent: VecDeque<Vec<PromptPartId>>,
    verdicts: Vec<PartVerdict>,
    outbox: Vec<QueuedEvidence>,
    changes: Vec<PartVerdictChange>,
}

impl Default for PartSuspects {
    fn default() -> Self {
        Self::new()
    }
}

impl PartSuspects {
    /// Creates a detector without any evidence.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: 1,
            hasher: RandomState::new(),
            crashes: Vec::new(),
            successes: HashMap::new(),
            recent: VecDeque::new(),
            verdicts: Vec::new(),
            outbox: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Sets the number of live entries, which share the requests that are let through.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
    }

    /// Time after which the caller may return if a request with these parts is refused; `None` if it may run.
    #[must_use]
    pub fn refusal_time(&self, now: Instant, parts: &[PromptPartId]) -> Option<Duration> {
        let refused_until = |verdict: &PartVerdict| {
            verdict.next_trial.unwrap_or(verdict.last_crash + CRASH_RETENTION)
        };
        let applicable = self.verdicts.iter().filter(|verdict| verdict.applies_to(now, parts));
        let until = applicable.map(refused_until).max()?;
        let (shortest, longest) = RETRY_AFTER_RANGE;
        Some(until.saturating_duration_since(now).clamp(shortest, longest))
    }

    /// Like [`PartSuspects::refusal_time`] for a new request, but lets one through now and then while there are few
    /// crashes.
    pub fn admit(&mut self, now: Instant, parts: &[PromptPartId]) -> Option<Duration> {
        self.record_request(parts);
        let refused_for = self.refusal_time(now, parts)?;
        let is_due = |verdict: &PartVerdict| verdict.next_trial.is_some_and(|at| at <= now);
        let mut applicable: Vec<_> =
            self.verdicts.iter_mut().filter(|verdict| verdict.applies_to(now, parts)).collect();
        if !applicable.iter().all(|verdict| is_due(verdict)) {
            return Some(refused_for);
        }
        for verdict in &mut applicable {
            verdict.next_trial = Some(now + TRIAL_INTERVAL * self.entries);
        }
        None
    }

    /// Records that an upstream crashed with own requests in flight, and reports it to the other entries. Returns the
    /// suspect parts of each of them.
    pub fn record_crash(&mut self, now: Instant, crash: UpstreamCrash) -> Vec<Vec<PromptPartId>> {
        let at = now.checked_sub(crash.age).unwrap_or(now);
        let is_suspect = |part: &PromptPartId| {
            self.successes.get(part).is_none_or(|success| success.at + SUCCESS_VALIDITY < at)
        };
        let suspects = crash
            .requests
            .iter()
            .map(|parts| parts.iter().filter(|part| is_suspect(part)).cloned().collect::<Vec<_>>());
        let requests: Vec<_> = suspects.filter(|parts| !parts.is_empty()).collect();
        if requests.is_empty() {
            return requests;
        }
        let crash = UpstreamCrash { requests: requests.clone(), ..crash };
        if self.add_crash(now, &crash) {
            self.queue(now, PartEvidence::Crash(crash));
            self.update_verdicts(now);
        }
        requests
    }

    /// Records that an upstream has answered a request with these parts, or has been doing so for longer than it takes
    /// to crash.
    pub fn record_success(&mut self, now: Instant, parts: &[PromptPartId]) {
        let mut has_cleared = false;
        for part in parts {
            let has_crash = self.has_open_crash(part, now);
            self.add_success(part, now);
            if has_crash {
                self.report_success(now, part);
                has_cleared = true;
            }
        }
        if has_cleared {
            self.update_verdicts(now);
        }
    }

    /// Merges evidence from another entry; true if it was not known yet.
    pub fn apply_evidence(&mut self, now: Instant, evidence: &PartEvidence) -> bool {
        let is_new = match evidence {
            PartEvidence::Crash(crash) => {
                let is_new = self.add_crash(now, crash);
                for part in crash.requests.iter().flatten() {
                    self.contradict(now, crash.age, part);
                }
                is_new
            }
            PartEvidence::Success(success) => {
                let at = now.checked_sub(success.age).unwrap_or(now);
                let is_new = self.has_open_crash(&success.part, at);
                if is_new {
                    self.add_success(&success.part, at);
                }
                is_new
            }
        };
        if is_new {
            self.update_verdicts(now);
        }
        is_new
    }

    /// Evidence to send to the other entries now. The same evidence is returned again after some time.
    pub fn take_due_evidence(&mut self, now: Instant) -> Vec<PartEvidence> {
        let mut due = Vec::new();
        for queued in self.outbox.iter_mut().filter(|queued| queued.due_at <= now) {
            let mut evidence = queued.evidence.clone();
            let (PartEvidence::Crash(UpstreamCrash { age, .. })
            | PartEvidence::Success(PartSuccess { age, .. })) = &mut evidence;
            *age += now.saturating_duration_since(queued.queued_at);
            due.push(evidence);
            queued.due_at = now + COPY_INTERVAL;
            queued.copies_left -= 1;
        }
        self.outbox.retain(|queued| queued.copies_left > 0);
        due
    }

    /// Crashes on which the verdicts are based, for an entry that may not know them, such as one that has just started.
    #[must_use]
    pub fn verdict_evidence(&self, now: Instant) -> Vec<PartEvidence> {
        let mut repeated: BTreeMap<usize, BTreeSet<&PromptPartId>> = BTreeMap::new();
        for verdict in &self.verdicts {
            let is_basis = |crash: &KnownCrash| {
                let mut parts = crash.requests.iter().flatten();
                crash.is_needed && parts.any(|part| verdict.parts.contains(part))
            };
            let crashes = self.crashes.iter().enumerate().rev();
            for (index, _) in crashes.filter(|(_, crash)| is_basis(crash)).take(MAX_REPEATED) {
                repeated.entry(index).or_default().extend(&verdict.parts);
            }
        }
        let evidence = repeated.into_iter().map(|(index, suspects)| {
            let crash = &self.crashes[index];
            let is_suspect =
                |part: &&PromptPartId| suspects.contains(part) && self.is_open(part, crash.at);
            let requests = crash.requests.iter();
            let requests: BTreeSet<Vec<_>> =
                requests.map(|parts| parts.iter().filter(is_suspect).cloned().collect()).collect();
            PartEvidence::Crash(UpstreamCrash {
                upstream: crash.upstream.clone(),
                started_ms: crash.started_ms,
                age: now.saturating_duration_since(crash.at),
                requests: requests.into_iter().filter(|parts| !parts.is_empty()).collect(),
            })
        });
        evidence.collect()
    }

    /// Removes crashes that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        let known = self.crashes.len();
        self.crashes.retain(|crash| now.saturating_duration_since(crash.at) < CRASH_RETENTION);
        if self.crashes.len() != known {
            self.update_verdicts(now);
        }
    }

    /// Takes the changes of verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<PartVerdictChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_request(&mut self, parts: &[PromptPartId]) {
        if self.recent.len() >= RECENT_REQUESTS {
            self.recent.pop_front();
        }
        self.recent.push_back(parts.iter().take(MAX_PARTS).cloned().collect());
    }

    /// True if most requests of this entry have all of the parts, so that some of them are in flight at any crash.
    fn is_common(&self, parts: &BTreeSet<PromptPartId>) -> bool {
        let has_parts =
            |request: &&Vec<PromptPartId>| parts.iter().all(|part| request.contains(part));
        self.recent.len() >= MIN_RECENT_REQUESTS
            && self.recent.iter().filter(has_parts).count() * 2 > self.recent.len()
    }

    /// True if no success of the part is known since `at`.
    fn is_open(&self, part: &PromptPartId, at: Instant) -> bool {
        self.successes.get(part).is_none_or(|success| success.at < at)
    }

    /// True if the part is suspect in a crash before `at`.
    fn has_open_crash(&self, part: &PromptPartId, at: Instant) -> bool {
        self.crashes.iter().any(|crash| {
            crash.at <= at
                && crash.requests.iter().any(|request| request.contains(part))
                && self.is_open(part, crash.at)
        })
    }

    /// Adds a crash or further requests of a known one; true if anything is new.
    fn add_crash(&mut self, now: Instant, crash: &UpstreamCrash) -> bool {
        if crash.age >= CRASH_RETENTION {
            return false;
        }
        let at = now.checked_sub(crash.age).unwrap_or(now);
        let is_same = |known: &KnownCrash| {
            known.upstream == crash.upstream && known.started_ms == crash.started_ms
        };
        let index = match self.crashes.iter().position(is_same) {
            Some(index) => index,
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    let evicted = self.crashes.iter().enumerate();
                    let evicted = evicted.min_by_key(|(_, known)| (known.is_needed, known.at));
                    let evicted = evicted.map_or(0, |(index, _)| index);
                    self.crashes.remove(evicted);
                }
                self.crashes.push(KnownCrash {
                    upstream: crash.upstream.clone(),
                    started_ms: crash.started_ms,
                    at,
                    requests: Vec::new(),
                    is_needed: false,
                });
                self.crashes.len() - 1
            }
        };
        let known = &mut self.crashes[index];
        known.at = known.at.min(at);
        let mut is_new = false;
        for parts in &crash.requests {
            let request: BTreeSet<_> = parts.iter().take(MAX_PARTS).cloned().collect();
            if known.requests.len() < MAX_REQUESTS && !known.requests.contains(&request) {
                known.requests.push(request);
                is_new = true;
            }
        }
        is_new
    }

    fn queue(&mut self, now: Instant, evidence: PartEvidence) {
        let copies_left = EVIDENCE_COPIES;
        self.outbox.push(QueuedEvidence { evidence, queued_at: now, due_at: now, copies_left });
    }

    fn add_success(&mut self, part: &PromptPartId, at: Instant) {
        if let Some(success) = self.successes.get_mut(part) {
            success.at = success.at.max(at);
            return;
        }
        if self.successes.len() >= MAX_SUCCESSES {
            let oldest = self.successes.iter().min_by_key(|(_, success)| success.at);
            if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
                self.successes.remove(&oldest);
            }
        }
        self.successes.insert(part.clone(), KnownSuccess { at, reported_at: None });
    }

    fn report_success(&mut self, now: Instant, part: &PromptPartId) {
        let Some(success) = self.successes.get_mut(part) else { return };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_INTERVAL;
        if success.reported_at.is_some_and(is_recent) {
            return;
        }
        success.reported_at = Some(now);
        let age = now.saturating_duration_since(success.at);
        let success = PartSuccess { part: part.clone(), age };
        self.queue(now, PartEvidence::Success(success));
    }

    /// Reports a success if another entry suspects its part in a crash before it, and the part has been in several
    /// crashes, so that the entry may be about to refuse it.
    fn contradict(&mut self, now: Instant, age: Duration, part: &PromptPartId) {
        let at = now.checked_sub(age).unwrap_or(now);
        let has_part =
            |crash: &&KnownCrash| crash.requests.iter().any(|parts| parts.contains(part));
        if !self.is_open(part, at) && self.crashes.iter().filter(has_part).count() > 1 {
            self.report_success(now, part);
        }
    }

    fn update_verdicts(&mut self, now: Instant) {
        let suspects = self.crashes.iter().map(|crash| SuspectCrash {
            at: crash.at,
            requests: crash
                .requests
                .iter()
                .map(|parts| {
                    parts.iter().filter(|part| self.is_open(part, crash.at)).cloned().collect()
                })
                .collect(),
        });
        let culprits = find_culprits(&suspects.collect::<Vec<_>>());
        for crash in &mut self.crashes {
            crash.is_needed = false;
        }
        let mut verdicts = Vec::with_capacity(culprits.len());
        for culprit in culprits {
            // Some requests with a part that most requests have are in flight at any crash, and after a start of all
            // entries none may have succeeded yet. Refusing them needs more crashes, and always lets some through.
            let is_common = self.is_common(&culprit.parts);
            if culprit.weight < FINAL_CRASHES && is_common {
                continue;
            }
            let is_final = culprit.weight >= FINAL_CRASHES && !culprit.is_ambiguous && !is_common;
            for index in &culprit.evidence {
                self.crashes[*index].is_needed = true;
            }
            let last_crash = culprit.crashes.iter().map(|index| self.crashes[*index].at).max();
            let last_crash = last_crash.unwrap_or(now);
            let before = self.verdicts.iter().find(|before| before.parts == culprit.parts);
            let next_trial = match before {
                _ if is_final => None,
                Some(before) if before.last_crash == last_crash => before.next_trial,
                _ => Some(last_crash + self.first_trial(&culprit.parts, culprit.crashes.len())),
            };
            let crashes = culprit.crashes.len();
            verdicts.push(PartVerdict { parts: culprit.parts, crashes, last_crash, next_trial });
        }
        let before = std::mem::replace(&mut self.verdicts, verdicts);
        let change = |verdict: &PartVerdict, refused| PartVerdictChange {
            parts: verdict.parts.iter().cloned().collect(),
            crashes: verdict.crashes,
            refused,
        };
        let lacks = |verdicts: &[PartVerdict], verdict: &PartVerdict| {
            !verdicts.iter().any(|other| other.parts == verdict.parts)
        };
        let begun = self.verdicts.iter().filter(|verdict| lacks(&before, verdict));
        let begun = begun.map(|verdict| change(verdict, true));
        let ended = before.iter().filter(|verdict| lacks(&self.verdicts, verdict));
        let ended = ended.map(|verdict| change(verdict, false));
        let changes: Vec<_> = begun.chain(ended).collect();
        self.changes.extend(changes);
    }

    /// Time from the last crash until this entry lets a request through. The times of all entries are spread evenly over
    /// the time in which each lets one through.
    fn first_trial(&self, parts: &BTreeSet<PromptPartId>, crashes: usize) -> Duration {
        let hash = self.hasher.hash_one((parts, crashes));
        let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        TRIAL_INTERVAL + (TRIAL_INTERVAL * self.entries).mul_f64(fraction)
    }
}
