//! Decides when this process reads the configuration service and the host list.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Number of readers that always read; higher ranks are on standby.
const ACTIVE_READERS: usize = 2;
/// A standby of rank n starts to read when no read has succeeded for n times this duration.
const TAKEOVER_DELAY_PER_RANK: Duration = Duration::from_secs(2);
/// Duration of a takeover; without it, the first read of this process would end the takeover.
const TAKEOVER_DURATION: Duration = Duration::from_secs(30);
/// A process that has not heard from any peer for this long is isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Range of the interval between reads of an isolated process; 6,720 isolated processes cause at most 700 requests per
/// second.
const ISOLATED_READ_INTERVAL: (Duration, Duration) =
    (Duration::from_secs(10), Duration::from_secs(30));
/// Backoff after the first failed read; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// The relayed age of a read is too low by the latency of each hop. Without this tolerance, peers that exchange the age
/// of the same read would treat it as a new read each time.
const RELAY_TOLERANCE: Duration = Duration::from_millis(250);
/// Timeout for the response to a read, in addition to the wait time that the read requests from the service.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Schedule of the reads of one document: interval, timeout and backoff.
#[derive(Debug)]
pub(crate) struct ReadSchedule {
    started: Instant,
    deadline: Option<Instant>,
    next_at: Instant,
    failures: u32,
}

impl ReadSchedule {
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, deadline: None, next_at: now, failures: 0 }
    }

    /// Time at which the last read was started.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Starts a read if one is due; returns true if the caller has to send it.
    pub(crate) fn start(&mut self, now: Instant, wait: Duration) -> bool {
        if self.deadline.is_some_and(|deadline| now < deadline) || now < self.next_at {
            return false;
        }
        self.started = now;
        self.deadline = Some(now + wait + READ_TIMEOUT);
        true
    }

    /// Records a response; the next read is due `interval` after the start of this one, or immediately if that time has
    /// passed.
    pub(crate) fn record_success(&mut self, now: Instant, interval: Duration) {
        self.deadline = None;
        self.failures = 0;
        self.next_at = (self.started + interval).max(now);
    }

    /// Records a failure and backs off exponentially, with equal jitter, up to [`MAX_BACKOFF`].
    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.deadline = None;
        let doubled = FIRST_BACKOFF * 2_u32.pow(self.failures.min(5));
        self.failures += 1;
        let backoff = doubled.min(MAX_BACKOFF);
        self.next_at = now + backoff.mul_f64(rng.random_range(0.5..=1.0));
    }

    /// Shortens the backoff because another process has read successfully.
    pub(crate) fn retry_soon(&mut self, now: Instant, rng: &mut dyn Rng) {
        if self.failures > 0 {
            self.failures = 0;
            self.next_at =
                self.next_at.min(now + FIRST_BACKOFF.mul_f64(rng.random_range(0.1..=1.0)));
        }
    }
}

/// Decides whether this process currently reads for its data centre.
#[derive(Debug)]
pub(crate) struct ReaderRole {
    rank: Option<usize>,
    last_read: Option<Instant>,
    /// Earliest time at which reads of the active readers could be observed.
    waiting_since: Instant,
    takeover_until: Option<Instant>,
}

impl ReaderRole {
    pub(crate) fn new(now: Instant) -> Self {
        Self { rank: None, last_read: None, waiting_since: now, takeover_until: None }
    }

    pub(crate) fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    pub(crate) fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// True if this process is a standby, which has to follow the reads of the active readers closely.
    pub(crate) fn is_standby(&self) -> bool {
        self.rank.is_some_and(|rank| rank >= ACTIVE_READERS)
    }

    /// Records a successful read of this process.
    pub(crate) fn record_own_read(&mut self, at: Instant) {
        self.last_read = Some(at);
    }

    /// Records a read by another process of the data centre; returns true if it is newer than the last known one.
    pub(crate) fn record_peer_read(&mut self, at: Instant) -> bool {
        let is_newer = self.last_read.is_none_or(|last| at > last + RELAY_TOLERANCE);
        if is_newer {
            self.last_read = Some(at);
        }
        is_newer
    }

    /// Discards the time of the last read; after a pause or a change of rank, its age does not show that readers failed.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.last_read = None;
        self.waiting_since = now;
        self.takeover_until = None;
    }

    /// Age of the last known successful read in milliseconds; `u64::MAX` if none is known.
    pub(crate) fn read_age_ms(&self, now: Instant) -> u64 {
        self.last_read.map_or(u64::MAX, |last| {
            u64::try_from(now.saturating_duration_since(last).as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Returns whether this process reads now, and whether a takeover has just started.
    pub(crate) fn should_read(&mut self, now: Instant) -> (bool, bool) {
        let Some(rank) = self.rank else { return (false, false) };
        if rank < ACTIVE_READERS {
            return (true, false);
        }
        if self.takeover_until.is_some_and(|until| now < until) {
            return (true, false);
        }
        let delay = TAKEOVER_DELAY_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX);
        let last = self.last_read.map_or(self.waiting_since, |last| last.max(self.waiting_since));
        let due = now.saturating_duration_since(last) > delay;
        self.takeover_until = due.then_some(now + TAKEOVER_DURATION);
        (due, due)
    }
}

/// Makes a process read the service when it has no contact with peers, for example because all peers that it knows
/// were replaced.
#[derive(Debug)]
pub(crate) struct IsolationDetector {
    last_contact: Instant,
    next_read: Option<Instant>,
}

impl IsolationDetector {
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_contact: now, next_read: None }
    }

    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact = now;
        self.next_read = None;
    }

    /// True if a read is due. The interval is long and random, because a fault may isolate all processes at once.
    pub(crate) fn is_read_due(&mut self, now: Instant, rng: &mut dyn Rng) -> bool {
        if now.saturating_duration_since(self.last_contact) < ISOLATION_TIMEOUT {
            return false;
        }
        let due = self.next_read.is_some_and(|at| now >= at);
        if due || self.next_read.is_none() {
            let (shortest, longest) = ISOLATED_READ_INTERVAL;
            self.next_read = Some(now + rng.random_range(shortest..=longest));
        }
        due
    }
}
