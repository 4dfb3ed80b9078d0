//! When this process reads the configuration service and the host list.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Readers that always read; further ranks take over.
const ACTIVE_READERS: usize = 2;
/// A process of rank n takes over when no read has succeeded for n times this long.
const TAKEOVER_STEP: Duration = Duration::from_secs(2);
/// Time for which a takeover lasts; without it, the own reads would end the takeover at once.
const TAKEOVER_HOLD: Duration = Duration::from_secs(30);
/// Time without any peer after which a process counts as isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(10);
/// Range of the interval between reads of an isolated process; 6,720 of them cause at most 700 calls a second.
const ISOLATED_INTERVAL: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(30));
/// Back-off after the first failed read; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Relayed ages are too young by the latency of each hop. Without this tolerance, peers that tell one another of the
/// same read would keep renewing it.
const RELAY_TOLERANCE: Duration = Duration::from_millis(250);
/// Wait for the answer before a read counts as failed, on top of the wait that the read itself asks for.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// One of the two things that are read.
#[derive(Debug)]
pub(crate) struct ReadLine {
    started: Instant,
    in_flight_until: Option<Instant>,
    next_at: Instant,
    failures: u32,
}

impl ReadLine {
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, in_flight_until: None, next_at: now, failures: 0 }
    }

    /// When the last read was started.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// True if a read is due; the caller then sends it.
    pub(crate) fn start(&mut self, now: Instant, wait: Duration) -> bool {
        if self.in_flight_until.is_some_and(|deadline| now < deadline) || now < self.next_at {
            return false;
        }
        self.started = now;
        self.in_flight_until = Some(now + wait + READ_TIMEOUT);
        true
    }

    /// Records an answer; the next read is due `interval` after the start of this one, or at once if that has passed.
    pub(crate) fn succeed(&mut self, now: Instant, interval: Duration) {
        self.in_flight_until = None;
        self.failures = 0;
        self.next_at = (self.started + interval).max(now);
    }

    /// Records a failure and backs off: doubling, with equal jitter, up to [`MAX_BACKOFF`].
    pub(crate) fn fail(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.in_flight_until = None;
        let doubled = FIRST_BACKOFF * 2_u32.pow(self.failures.min(5));
        self.failures += 1;
        let ceiling = doubled.min(MAX_BACKOFF);
        self.next_at = now + ceiling.mul_f64(rng.random_range(0.5..=1.0));
    }

    /// Shortens a back-off because another process has read successfully.
    pub(crate) fn retry_soon(&mut self, now: Instant, rng: &mut dyn Rng) {
        if self.failures > 0 {
            self.failures = 0;
            self.next_at =
                self.next_at.min(now + FIRST_BACKOFF.mul_f64(rng.random_range(0.1..=1.0)));
        }
    }
}

/// Decides whether this process is a reader now.
#[derive(Debug)]
pub(crate) struct ReaderRole {
    rank: Option<usize>,
    last_read: Option<Instant>,
    /// Since when the active readers have had the chance to be heard.
    since: Instant,
    held_until: Option<Instant>,
}

impl ReaderRole {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rank: None, last_read: None, since: now, held_until: None }
    }

    pub(crate) fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    pub(crate) fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// True if this process stands by for the active readers and therefore has to follow their reads closely.
    pub(crate) fn stands_by(&self) -> bool {
        self.rank.is_some_and(|rank| rank >= ACTIVE_READERS)
    }

    /// Records a successful read of this process.
    pub(crate) fn record_own_read(&mut self, at: Instant) {
        self.last_read = Some(at);
    }

    /// Records a read by another process of the data centre; returns true if it is newer than the last one known.
    pub(crate) fn record_foreign_read(&mut self, at: Instant) -> bool {
        let newer = self.last_read.is_none_or(|last| at > last + RELAY_TOLERANCE);
        if newer {
            self.last_read = Some(at);
        }
        newer
    }

    /// Forgets how old the last read is; after a pause its age says nothing about the readers.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.last_read = None;
        self.since = now;
        self.held_until = None;
    }

    /// Age of the last successful read known, in milliseconds; `u64::MAX` if none is known.
    pub(crate) fn read_age_ms(&self, now: Instant) -> u64 {
        self.last_read.map_or(u64::MAX, |last| {
            u64::try_from(now.saturating_duration_since(last).as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// True if this process reads now. The second value is true when a takeover has just begun.
    pub(crate) fn reads(&mut self, now: Instant) -> (bool, bool) {
        let Some(rank) = self.rank else { return (false, false) };
        if rank < ACTIVE_READERS {
            return (true, false);
        }
        if self.held_until.is_some_and(|until| now < until) {
            return (true, false);
        }
        let threshold = TAKEOVER_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        let last = self.last_read.map_or(self.since, |last| last.max(self.since));
        let due = now.saturating_duration_since(last) > threshold;
        self.held_until = due.then_some(now + TAKEOVER_HOLD);
        (due, due)
    }
}

/// Lets a process read the service that no peer talks to, for example because every address it knows was replaced.
#[derive(Debug)]
pub(crate) struct IsolationWatch {
    last_contact: Instant,
    next_read: Option<Instant>,
}

impl IsolationWatch {
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_contact: now, next_read: None }
    }

    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.next_read = None;
    }

    /// True if a read is due. The interval is long and random, because a fault may isolate every process at once.
    pub(crate) fn read_due(&mut self, now: Instant, rng: &mut dyn Rng) -> bool {
        if now.saturating_duration_since(self.last_contact) < ISOLATED_AFTER {
            return false;
        }
        let due = self.next_read.is_some_and(|at| now >= at);
        if due || self.next_read.is_none() {
            let (shortest, longest) = ISOLATED_INTERVAL;
            self.next_read = Some(now + rng.random_range(shortest..=longest));
        }
        due
    }
}
