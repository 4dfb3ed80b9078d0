//! Guards that record the end of a request or an attempt, even if the caller disconnects before it is complete.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use balance::AttemptOutcome;
use base::UpstreamId;
use fleet::UpstreamRecord;
use log::info;
use tokio::sync::Notify;

use super::{crashes::log_crashes, request::RequestContext, shared::EntryShared};

/// Counts a request as in flight until its response is complete.
pub(crate) struct InFlightGuard {
    shared: Arc<EntryShared>,
}

impl InFlightGuard {
    pub(super) fn new(shared: Arc<EntryShared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
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

/// Records how long after the head of a stream its first event arrived, or that there was none until the attempt ended.
pub(super) struct HeadMonitor<'a> {
    shared: &'a EntryShared,
    upstream: &'a UpstreamId,
    sent_at: Instant,
    head_at: Instant,
    has_event: bool,
}

impl<'a> HeadMonitor<'a> {
    /// Monitors a stream whose head has just arrived.
    pub(super) fn new(shared: &'a EntryShared, upstream: &'a UpstreamId, sent_at: Instant) -> Self {
        Self { shared, upstream, sent_at, head_at: shared.clock.now(), has_event: false }
    }

    /// Time at which the attempt is cancelled if it has no event and was to be cancelled at `cancel_at`.
    pub(super) fn defer_cancellation(&self, cancel_at: Instant) -> Instant {
        self.shared.head_trust().defer_cancellation(self.upstream, cancel_at, self.head_at)
    }

    /// Records the first event.
    pub(super) fn record_event(mut self) {
        self.has_event = true;
    }
}

impl Drop for HeadMonitor<'_> {
    fn drop(&mut self) {
        let (upstream, now) = (self.upstream, self.shared.clock.now());
        let mut trust = self.shared.head_trust();
        let is_first_early = if self.has_event {
            trust.record_first_event(upstream, self.sent_at, self.head_at, now)
        } else {
            trust.record_no_event(upstream, self.sent_at, self.head_at, now)
        };
        if is_first_early {
            info!(
                "event=heads_not_trusted upstream={upstream} wait_ms={} gap_ms={}",
                self.head_at.saturating_duration_since(self.sent_at).as_millis(),
                now.saturating_duration_since(self.head_at).as_millis()
            );
        }
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
