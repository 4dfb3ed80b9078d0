//! Tells when an upstream has been writing a response for longer than it takes to crash on the request.

use std::time::{Duration, Instant};

/// Minimum time from the first event to one that shows that the upstream does not crash. An upstream may send the head
/// and some events of a response before the request crashes it, within about 0.1 s.
const MIN_WRITING_TIME: Duration = Duration::from_millis(500);
/// Minimum number of times that events arrived. Two events that are written together may seem far apart if this process
/// paused between them.
const MIN_ARRIVALS: u32 = 4;

/// Progress of one upstream's response.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritingProof {
    first: Option<Instant>,
    arrivals: u32,
    is_proven: bool,
}

impl WritingProof {
    /// Records that events arrived. True once, when this shows that the request does not crash the upstream.
    pub fn record_events(&mut self, now: Instant) -> bool {
        let first = *self.first.get_or_insert(now);
        self.arrivals = self.arrivals.saturating_add(1);
        let is_proven = self.arrivals >= MIN_ARRIVALS
            && now.saturating_duration_since(first) >= MIN_WRITING_TIME;
        let is_new = is_proven && !self.is_proven;
        self.is_proven |= is_proven;
        is_new
    }

    /// True if the request does not crash the upstream.
    #[must_use]
    pub fn is_proven(&self) -> bool {
        self.is_proven
    }
}
