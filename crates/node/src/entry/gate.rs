//! Closes the entry for new work after a pause of the process, until its knowledge is fresh again.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Gap between two ticks that counts as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time after a pause for which the gate stays closed. The control part notices the pause within its own tick of at
/// most this length and then marks the view as not fresh.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Tells whether the process has been running without a pause.
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
    /// Creates a gate that is open.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { state: Mutex::new(GateState { last_tick: now, closed_until: now }) }
    }

    /// Records a tick; returns the gap if the process was paused.
    pub fn tick(&self, now: Instant) -> Option<Duration> {
        let mut state = self.lock();
        let gap = now.saturating_duration_since(state.last_tick);
        state.last_tick = now;
        let paused = gap > PAUSE_THRESHOLD;
        if paused {
            state.closed_until = now + SETTLE_TIME;
        }
        paused.then_some(gap)
    }

    /// False from the end of a pause on, even before the next tick, until the process has settled.
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
