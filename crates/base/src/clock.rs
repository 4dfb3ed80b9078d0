//! The clock as an interface, so that decisions never read time by themselves.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for every interval and deadline.
    fn now(&self) -> Instant;
    /// Wall-clock time, for logs and reports only; no decision depends on it.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock that moves only when told to; used by tests and by simulated event scripts.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed_nanos: AtomicU64,
}

impl ManualClock {
    /// Creates a clock that stands at the current instant.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed_nanos: AtomicU64::new(0) }
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        let nanos = u64::try_from(step.as_nanos()).unwrap_or(u64::MAX);
        self.elapsed_nanos.fetch_add(nanos, Ordering::Relaxed);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + Duration::from_nanos(self.elapsed_nanos.load(Ordering::Relaxed))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_nanos(self.elapsed_nanos.load(Ordering::Relaxed))
    }
}

/// Detects that the process was paused: the gap between two ticks is far longer than the tick interval.
///
/// A paused process does not know what changed meanwhile, so it has to refresh its knowledge before it hands out work.
#[derive(Debug)]
pub struct PauseDetector {
    threshold: Duration,
    last_tick: Mutex<Option<Instant>>,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `threshold`.
    #[must_use]
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_tick: Mutex::new(None) }
    }

    /// Records a tick at `now`; returns the gap if it exceeded the threshold.
    pub fn tick(&self, now: Instant) -> Option<Duration> {
        let mut last_tick =
            self.last_tick.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let gap = last_tick.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        *last_tick = Some(now);
        (gap > self.threshold).then_some(gap)
    }
}
