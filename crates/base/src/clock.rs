//! The clock as an interface, so that decisions never read time by themselves.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Source of monotonic time. No decision depends on wall-clock time, which differs between hosts.
pub trait Clock: Send + Sync {
    /// Monotonic time, for every interval and deadline.
    fn now(&self) -> Instant;
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
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
