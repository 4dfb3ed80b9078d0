//! Clock abstraction: code that makes decisions takes the time from a [`Clock`] and never reads it directly.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time. Wall-clock time is not used for decisions, because it differs between hosts.
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time, from which all intervals and deadlines are computed.
    fn now(&self) -> Instant;

    /// Returns how long the host has been suspended since boot; the monotonic clock does not include this time.
    fn time_suspended(&self) -> Duration {
        Duration::ZERO
    }
}

/// Clock that reads the time from the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn time_suspended(&self) -> Duration {
        // The monotonic clock is read first, so that the difference cannot be negative.
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

/// Detects that the process was paused: the gap between two ticks is much longer than the tick interval, or the host
/// was suspended between them.
///
/// After a pause the state of the process is stale, so it has to refresh it before it dispatches work.
#[derive(Debug)]
pub struct PauseDetector {
    threshold: Duration,
    last_tick: Mutex<Option<(Instant, Duration)>>,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `threshold`; the first tick never reports one.
    #[must_use]
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_tick: Mutex::new(None) }
    }

    /// Records a tick; returns the gap since the previous tick if it exceeds the threshold.
    pub fn tick(&self, clock: &dyn Clock) -> Option<Duration> {
        let (now, suspended) = (clock.now(), clock.time_suspended());
        let mut last_tick =
            self.last_tick.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let gap = last_tick.map_or(Duration::ZERO, |(last, suspended_before)| {
            now.saturating_duration_since(last) + suspended.saturating_sub(suspended_before)
        });
        *last_tick = Some((now, suspended));
        (gap > self.threshold).then_some(gap)
    }
}
