//! Guards that record the end of a request or of a send, also if the caller leaves in the middle of it.

use std::sync::{Arc, atomic::Ordering};

use balance::SendOutcome;
use base::UpstreamId;

use super::{control::log_crashes, shared::EntryShared};

/// Bytes of request bodies that an entry holds at most, well below the memory of its host.
const MAX_HELD_BODIES: usize = 48 << 20;

/// Counts a request as long as it is not answered in full.
pub(crate) struct InFlight {
    shared: Arc<EntryShared>,
    body_bytes: usize,
}

impl InFlight {
    pub(super) fn new(shared: Arc<EntryShared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared, body_bytes: 0 }
    }

    /// Reserves memory for the body; false if too much is held already.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let held = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.body_bytes += bytes;
        held + bytes <= MAX_HELD_BODIES
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared.body_bytes.fetch_sub(self.body_bytes, Ordering::Relaxed);
    }
}

/// Records how a send ended, also if the caller leaves in the middle of it.
pub(crate) struct SendGuard {
    shared: Arc<EntryShared>,
    upstream: UpstreamId,
    outcome: SendOutcome,
}

impl SendGuard {
    pub(super) fn new(shared: Arc<EntryShared>, upstream: UpstreamId) -> Self {
        shared.board().record_sent(&upstream, shared.clock.now());
        Self { shared, upstream, outcome: SendOutcome::Abandoned }
    }

    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    pub(super) fn end(mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }

    pub(crate) fn answer(self) {
        self.end(SendOutcome::Answered);
    }

    pub(crate) fn fail(self) {
        self.end(SendOutcome::Failed);
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.board().record_outcome(&self.upstream, self.outcome, now);
        if self.outcome == SendOutcome::Unreachable {
            let confirmed = self.shared.crashes().record_unreachable(now, &self.upstream);
            log_crashes(&self.shared, confirmed);
        }
    }
}
