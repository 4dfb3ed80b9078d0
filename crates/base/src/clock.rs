//! The clock as an interface, so that decisions never read time by themselves.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time. No decision depends on wall-clock time, which differs between hosts.
pub trait Clock: Send + Sync {
    /// Monotonic time, for every interval and deadline.
    fn now(&self) -> Instant;

    /// Time for which the host has been suspended since its boot; the monotonic clock does not count it.
    fn suspended(&self) -> Duration {
        Duration::ZERO
    }
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn suspended(&self) -> Duration {
        // The monotonic clock is read first, so that the time between the two calls is never counted as negative.
        let monotonic = clock_time(ClockId::Monotonic);
        clock_time(ClockId::Boottime).saturating_sub(monotonic)
    }
}

fn clock_time(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    // Both clocks start at zero when the host boots.
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// Detects that the process did not run: the gap between two ticks is far longer than the tick interval, or the host was
/// suspended meanwhile.
///
/// A paused process does not know what changed meanwhile, so it has to refresh its knowledge before it hands out work.
#[derive(Debug)]
pub struct PauseDetector {
    threshold: Duration,
    last_tick: Mutex<Option<(Instant, Duration)>>,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `threshold`.
    #[must_use]
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_tick: Mutex::new(None) }
    }

    /// Records a tick; returns the gap since the last one if it exceeded the threshold.
    pub fn tick(&self, clock: &dyn Clock) -> Option<Duration> {
        let (now, suspended) = (clock.now(), clock.suspended());
        let mut last_tick =
            self.last_tick.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let gap = last_tick.map_or(Duration::ZERO, |(last, suspended_before)| {
            now.saturating_duration_since(last) + suspended.saturating_sub(suspended_before)
        });
        *last_tick = Some((now, suspended));
        (gap > self.threshold).then_some(gap)
    }
}
