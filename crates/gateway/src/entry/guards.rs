//! Guards that record the end of a request or an attempt, even if the caller disconnects before it is complete.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use balance::AttemptOutcome;
use base::UpstreamId;
use fleet::UpstreamRecord;
use tokio::sync::Notify;

use super::{crashes::log_crashes, request::RequestContext, shared::EntryShared};

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

/// Counts an attempt that may still be sent until it is sent or ends, even if it is cancelled.
pub(super) struct ConnectingGuard<'a> {
    request: &'a RequestContext,
}

impl<'a> ConnectingGuard<'a> {
    pub(super) fn new(request: &'a RequestContext) -> Self {
        request.progress().attempts.begin_connecting();
        Self { request }
    }
}

impl Drop for ConnectingGuard<'_> {
    fn drop(&mut self) {
        self.request.progress().attempts.end_connecting();
    }
}

/// Records the outcome of an attempt; it counts as abandoned if the caller disconnects first.
pub(crate) struct AttemptGuard {
    shared: Arc<EntryShared>,
    record: Arc<UpstreamRecord>,
    outcome: AttemptOutcome,
    monitor: Arc<AttemptMonitor>,
}

/// Connects an attempt with the request, which may make another one beside it.
#[derive(Debug)]
pub(super) struct AttemptMonitor {
    /// Notified while the response takes long; shared by the attempts of a request that are open at the same time.
    slow: Arc<Notify>,
    is_replaced: AtomicBool,
}

impl AttemptMonitor {
    pub(super) fn new(slow: Arc<Notify>) -> Self {
        Self { slow, is_replaced: AtomicBool::new(false) }
    }

    /// Reports that the response takes long.
    pub(super) fn notify_slow(&self) {
        self.slow.notify_one();
    }

    /// Records that another upstream was faster, which counts as a failure of the attempt when it is cancelled.
    pub(super) fn set_replaced(&self) {
        self.is_replaced.store(true, Ordering::Relaxed);
    }
}

impl AttemptGuard {
    pub(super) fn new(
        shared: Arc<EntryShared>,
        record: Arc<UpstreamRecord>,
        monitor: Arc<AttemptMonitor>,
    ) -> Self {
        shared.balancer().record_sent(&record.upstream, shared.clock.now());
        Self { shared, record, outcome: AttemptOutcome::Abandoned, monitor }
    }

    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.record.upstream
    }

    pub(super) fn record(&self) -> &Arc<UpstreamRecord> {
        &self.record
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
        let upstream = &self.record.upstream;
        let is_replaced = self.monitor.is_replaced.load(Ordering::Relaxed);
        if is_replaced && self.outcome == AttemptOutcome::Abandoned {
            self.outcome = AttemptOutcome::Failed;
        }
        self.shared.balancer().record_outcome(upstream, self.outcome, now);
        if self.outcome == AttemptOutcome::Unreachable {
            let confirmed = self.shared.crashes().record_unreachable(now, upstream);
            log_crashes(&self.shared, confirmed);
        }
        self.shared.waiting.wake();
    }
}
