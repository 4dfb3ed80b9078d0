//! Tells how long a load order may rest on a verification of the staged chunks.

use std::time::{Duration, Instant};

use base::Clock;

/// Age of a verification up to which a load may be ordered. The platform excuses a chunk that became corrupt within 3 s
/// before the engine takes it; the rest of that time is for the order to reach the engine.
const MAX_VERIFICATION_AGE: Duration = Duration::from_secs(2);

/// Verification of all staged chunks of an engine.
#[derive(Clone, Copy, Debug)]
pub struct StagingVerification {
    begun_at: Instant,
    /// Time for which the host had been suspended since boot when the verification began.
    suspended: Duration,
    /// Start time of the engine in Unix milliseconds.
    engine_started_ms: u64,
}

impl StagingVerification {
    /// Begins the verification, at an engine that was started at `engine_started_ms`. No chunk has been read yet.
    #[must_use]
    pub fn new(engine_started_ms: u64, clock: &dyn Clock) -> Self {
        let (begun_at, suspended) = (clock.now(), clock.time_suspended());
        Self { begun_at, suspended, engine_started_ms }
    }

    /// Time since the first chunk was read, with the time for which the host was suspended meanwhile.
    #[must_use]
    pub fn age(&self, clock: &dyn Clock) -> Duration {
        clock.now().saturating_duration_since(self.begun_at)
            + clock.time_suspended().saturating_sub(self.suspended)
    }

    /// True if a load may be ordered now at an engine that was started at `engine_started_ms`. A restart of the engine
    /// may have changed its staging area.
    #[must_use]
    pub fn is_current(&self, engine_started_ms: u64, clock: &dyn Clock) -> bool {
        self.engine_started_ms == engine_started_ms && self.age(clock) <= MAX_VERIFICATION_AGE
    }
}
