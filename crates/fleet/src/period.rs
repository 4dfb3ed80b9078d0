//! Bounds on the time of a change that a process learns of later.

use std::time::{Duration, Instant};

/// Maximum time from a change to the arrival of the response to a watch that waits for it, while the store is available
/// and this process gets its share of the processor.
const CHANGE_DELAY: Duration = Duration::from_millis(200);
/// Duration of a watch above which it must have waited for its changes. A shorter one may have returned changes that had
/// been made before it began.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Period in which items were received. A change that is received in it was made after its begin, or, if the item comes
/// with an age, at most that age before its begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivePeriod {
    /// Earliest time at which the items can have been changed; for items with an age, the time at which they were
    /// requested.
    pub begin: Instant,
    /// Time at which the items arrived.
    pub end: Instant,
}

impl ReceivePeriod {
    /// Creates the period of items that arrive at the moment of their change.
    #[must_use]
    pub fn at(now: Instant) -> Self {
        Self { begin: now, end: now }
    }

    /// Creates the period of the changes that a watch returns at `end`. It was requested at `requested`, and the store
    /// last responded at `last_response`.
    #[must_use]
    pub fn of_watch(requested: Instant, last_response: Option<Instant>, end: Instant) -> Self {
        let has_waited = end.saturating_duration_since(requested) > MIN_WAIT;
        let latest = if has_waited { end } else { last_response.unwrap_or(requested) };
        Self { begin: latest.checked_sub(CHANGE_DELAY).unwrap_or(latest), end }
    }

    /// Length of the period.
    #[must_use]
    pub fn length(self) -> Duration {
        self.end.saturating_duration_since(self.begin)
    }
}
