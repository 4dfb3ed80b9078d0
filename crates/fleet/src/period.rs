//! Bounds on the time of a change that a process learns of later.

use std::time::{Duration, Instant};

/// Interval at which [`WatchTimer::record_waiting`] is called while a watch is pending.
pub const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from a change to the arrival of the response to a watch that waits for it, while the store is available
/// and this process gets its share of the processor.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

/// Period in which the changes of received items can have been made. If an item comes with an age, the change was made
/// earlier by that age: an item of age 2 s that was requested at 10 s and arrived at 11 s was changed between 8 and 9 s.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivePeriod {
    /// Earliest time of the changes; for items with an age, the time at which they were requested.
    pub begin: Instant,
    /// Time at which the items arrived.
    pub end: Instant,
}

impl ReceivePeriod {
    /// Length of the period.
    #[must_use]
    pub fn length(self) -> Duration {
        self.end.saturating_duration_since(self.begin)
    }

    /// Shifts the begin earlier by the time for which the host was suspended within the period.
    #[must_use]
    pub fn with_suspension(self, suspended: Duration) -> Self {
        Self { begin: earlier(self.begin, suspended), ..self }
    }
}

/// Determines the periods of changes that a series of watches returns.
///
/// A watch returns a change at once, so a change is made after the last time at which the watch was still waiting. The
/// time of arrival proves nothing, because this process may have been paused before it could read the response, and a
/// large response takes a while to arrive.
#[derive(Debug)]
pub struct WatchTimer {
    /// Time after which the changes that have not been received yet were made, or the start of the last request that
    /// failed. Time limits count while the store is available, so a change made before an outage has ended counts from
    /// its end.
    earliest: Instant,
    /// Time of the last request, a watch or a listing.
    requested: Instant,
    /// Last check of the pending watch.
    last_check: Option<Instant>,
    /// Times at which the pending watch is known to have had no complete response, the latest last.
    pending_at: Vec<Instant>,
    /// Time at which the head of the response arrived.
    head_at: Option<Instant>,
}

impl WatchTimer {
    /// Creates the timer of a process that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            earliest: now,
            requested: now,
            last_check: None,
            pending_at: Vec::new(),
            head_at: None,
        }
    }

    /// Records that a watch or a listing is requested.
    pub fn record_request(&mut self, now: Instant) {
        self.requested = now;
        self.last_check = Some(now);
        self.pending_at.clear();
        self.head_at = None;
    }

    /// Records that the response has not arrived. A check counts only if the next one is on time: a late one shows that
    /// this process was paused, and the response may have arrived meanwhile.
    pub fn record_waiting(&mut self, now: Instant) {
        let previous = self.last_check.replace(now);
        let is_on_time = |previous: &Instant| {
            now.saturating_duration_since(*previous) <= WAIT_CHECK_INTERVAL * 2
        };
        if let Some(previous) = previous.filter(is_on_time) {
            self.pending_at.push(previous);
        }
    }

    /// Records when the head of the response arrived; without it, the response counts as arriving all at once.
    pub fn record_response_head(&mut self, at: Instant) {
        self.head_at = Some(at);
    }

    /// Last time at which the watch was waiting for a change, `None` if that is not known. Right after the request, a
    /// missing response may also be on its way.
    fn waiting_at(&self) -> Option<Instant> {
        let answered_by = self.requested + CHANGE_DELAY;
        let is_waiting =
            |at: &Instant| *at >= answered_by && self.head_at.is_none_or(|head_at| *at <= head_at);
        self.pending_at.iter().copied().rev().find(is_waiting)
    }

    /// Records the response to the watch and returns the period of its changes.
    pub fn record_watch(&mut self, now: Instant) -> ReceivePeriod {
        if let Some(waiting) = self.waiting_at() {
            self.earliest = self.earliest.max(earlier(waiting, CHANGE_DELAY));
        }
        let period = ReceivePeriod { begin: self.earliest, end: now };
        // The response contains all changes that were made before the request.
        self.earliest = self.earliest.max(self.requested);
        period
    }

    /// Records the response to the listing and returns its period.
    pub fn record_listing(&mut self, now: Instant) -> ReceivePeriod {
        self.earliest = self.requested;
        ReceivePeriod { begin: self.requested, end: now }
    }

    /// Records that all changes made before `at` have been received by other means than a request to the store.
    pub fn record_confirmed(&mut self, at: Instant) {
        self.earliest = self.earliest.max(at);
    }

    /// Time after which all changes were made that have not been received yet.
    #[must_use]
    pub fn unseen_since(&self) -> Instant {
        self.earliest
    }

    /// Records that the connection of the request was closed before a response arrived, while the store was available.
    /// A change that was made while the watch was still waiting would have been returned.
    pub fn record_cut(&mut self) {
        if let Some(waiting) = self.waiting_at() {
            self.earliest = self.earliest.max(earlier(waiting, CHANGE_DELAY));
        }
    }

    /// Records that the request failed, so that the store was unavailable after its start.
    pub fn record_failure(&mut self) {
        self.earliest = self.earliest.max(self.requested);
    }

    /// Shifts all recorded times earlier, because the host was suspended for `suspended` since then.
    pub fn record_suspension(&mut self, suspended: Duration) {
        self.earliest = earlier(self.earliest, suspended);
        self.requested = earlier(self.requested, suspended);
        let checks = self.last_check.iter_mut().chain(&mut self.pending_at);
        for time in checks.chain(&mut self.head_at) {
            *time = earlier(*time, suspended);
        }
    }
}

/// `time` shifted by `span`, or unchanged if the clock cannot represent that.
fn earlier(time: Instant, span: Duration) -> Instant {
    time.checked_sub(span).unwrap_or(time)
}
