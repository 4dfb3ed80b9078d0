//! Guards that record the end of a request or an attempt, even if the caller disconnects before it is complete.

use std::sync::{Arc, atomic::Ordering};

use balance::AttemptOutcome;
use base::UpstreamId;

use super::{crashes::log_crashes, shared::EntryShared};

/// Maximum total size of buffered request bodies, well below the memory of an entry's host.
const MAX_HELD_BODIES: usize = 48 << 20;

/// Counts a request as in flight until its response is complete.
pub(crate) struct InFlightGuard {
    shared: Arc<EntryShared>,
    body_bytes: usize,
}

impl InFlightGuard {
    pub(super) fn new(shared: Arc<EntryShared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared, body_bytes: 0 }
    }

    /// Reserves memory for the body; false if the limit is exceeded.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let held = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.body_bytes += bytes;
        held + bytes <= MAX_HELD_BODIES
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared.body_bytes.fetch_sub(self.body_bytes, Ordering::Relaxed);
    }
}

/// Records the outcome of an attempt; it counts as abandoned if the caller disconnects first.
pub(crate) struct AttemptGuard {
    shared: Arc<EntryShared>,
    upstream: UpstreamId,
    outcome: AttemptOutcome,
}

impl AttemptGuard {
    pub(super) fn new(shared: Arc<EntryShared>, upstream: UpstreamId) -> Self {
        shared.balancer().record_sent(&upstream, shared.clock.now());
        Self { shared, upstream, outcome: AttemptOutcome::Abandoned }
    }

    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    pub(crate) fn succeed(self) {
        self.finish(AttemptOutcome::Answered);
    }

    pub(crate) fn fail(self) {
        self.finish(AttemptOutcome::Failed);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.balancer().record_outcome(&self.upstream, self.outcome, now);
        if self.outcome == AttemptOutcome::Unreachable {
            let confirmed = self.shared.crashes().record_unreachable(now, &self.upstream);
            log_crashes(&self.shared, confirmed);
        }
        self.shared.waiting.wake();
    }
}
