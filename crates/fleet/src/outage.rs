//! Decides whether failed requests show that the store is unavailable.

use std::time::{Duration, Instant};

/// Time from the start of a failed request until which it shows that the store was unavailable. A request that times out
/// says nothing about the time shortly before its end.
const MAX_FAILURE_TIME: Duration = Duration::from_millis(500);

/// Evaluates the outcomes of successive requests to the store.
///
/// A single failure may concern only its connection: a pending watch may be cut, and a response may be lost, while the
/// store serves everyone else. Only a failure of the request that follows shows that the store is unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageDetector {
    failures: u32,
}

impl OutageDetector {
    /// Creates the detector of a process that has sent no request yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// True if the last request failed. The next one must not wait for changes, so that its outcome is known at once.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failures > 0
    }

    /// Records that the store has responded; true if the request before failed.
    pub fn record_response(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Records that the request sent at `requested` failed at `now`. Returns the last time at which the store is known
    /// to have been unavailable; `None` if the failure does not show that it is.
    pub fn record_failure(&mut self, requested: Instant, now: Instant) -> Option<Instant> {
        self.failures = self.failures.saturating_add(1);
        (self.failures > 1).then(|| now.min(requested + MAX_FAILURE_TIME))
    }
}
