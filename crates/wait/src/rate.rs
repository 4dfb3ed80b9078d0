//! Recent rate at which queued requests are placed.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Period over which the rate is measured. It spans two of the intervals in which hosts were seen to change their speed
/// (600 ms), and is short compared with bursts of 3 to 5 s.
const RATE_WINDOW: Duration = Duration::from_millis(1_200);
/// Minimum observed time before a rate is stated. Reports of agents arrive every 100 to 200 ms, and a queue may be
/// served in steps of that length.
const MIN_OBSERVED: Duration = Duration::from_millis(250);
/// Maximum number of recorded placements, far above what one entry places within the window.
const MAX_RECORDED: usize = 256;

/// Placements within the last [`RATE_WINDOW`] while requests were queued.
#[derive(Debug, Default)]
pub(crate) struct DequeueRate {
    placed: VecDeque<Instant>,
    /// Time since which requests have been queued without interruption.
    busy_since: Option<Instant>,
}

impl DequeueRate {
    /// Records that a request was queued while the queue was empty.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that the queue has become empty.
    pub(crate) fn end(&mut self) {
        self.busy_since = None;
        self.placed.clear();
    }

    pub(crate) fn record_placed(&mut self, now: Instant) {
        if self.placed.len() == MAX_RECORDED {
            self.placed.pop_front();
        }
        self.placed.push_back(now);
    }

    /// Placements per second; `None` until requests have been queued for [`MIN_OBSERVED`]. One placement is added to
    /// those observed, so that a short pause does not look like a standstill.
    pub(crate) fn per_second(&mut self, now: Instant) -> Option<f64> {
        while self.placed.front().is_some_and(|at| now.saturating_duration_since(*at) > RATE_WINDOW)
        {
            self.placed.pop_front();
        }
        let observed = now.saturating_duration_since(self.busy_since?).min(RATE_WINDOW);
        (observed >= MIN_OBSERVED).then(|| (self.placed.len() + 1) as f64 / observed.as_secs_f64())
    }
}
