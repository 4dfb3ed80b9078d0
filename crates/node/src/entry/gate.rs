//! Closes the entry for new requests after a pause of the process, until its view of the fleet is fresh again.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Gap between two ticks that counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Period after a pause in which the gate stays closed. The control module detects the pause at its own next tick,
/// within at most this time, and then marks the view as not fresh.
const HOLD_AFTER_PAUSE: Duration = Duration::from_millis(500);

/// Gate that is open while the process runs without pauses.
#[derive(Debug)]
pub struct PauseGate {
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    last_tick: Instant,
    closed_until: Instant,
}

impl PauseGate {
    /// Creates an open gate; `now` is its first tick.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { state: Mutex::new(GateState { last_tick: now, closed_until: now }) }
    }

    /// Records a tick. Returns the gap since the last tick if it counts as a pause.
    pub fn tick(&self, now: Instant) -> Option<Duration> {
        let mut state = self.lock();
        let gap = now.saturating_duration_since(state.last_tick);
        state.last_tick = now;
        let paused = gap > PAUSE_THRESHOLD;
        if paused {
            state.closed_until = now + HOLD_AFTER_PAUSE;
        }
        paused.then_some(gap)
    }

    /// Returns true if the gate is open. It is closed from the end of a pause on, even before the next tick.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let state = self.lock();
        let gap = now.saturating_duration_since(state.last_tick);
        gap <= PAUSE_THRESHOLD && now >= state.closed_until
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
