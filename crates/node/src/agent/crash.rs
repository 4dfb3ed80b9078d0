//! Distinguishes crashes of the upstream from broken connections, and keeps the crash table of this agent.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use base::{Clock, ContentDigest, Incarnation, UpstreamId};
use config::AgentSettings;
use log::warn;
use route::{CrashTable, CrashVerdict};
use wire::CrashNotice;

use super::{
    admit::WorkAdmitter,
    monitor::{UpstreamMonitor, UpstreamState},
    progress::ProgressTable,
};
use crate::context::NodeContext;

/// Detects crashes of the upstream and records the requests that were in flight.
pub struct CrashDetector {
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    monitor: Arc<UpstreamMonitor>,
    admitter: Arc<WorkAdmitter>,
    progress: Arc<ProgressTable>,
    state: Mutex<CrashState>,
}

#[derive(Default)]
struct CrashState {
    table: CrashTable,
    /// Last recorded crash, so that each crash is recorded once.
    last_crash: Option<UpstreamCrash>,
}

struct UpstreamCrash {
    incarnation: Incarnation,
    recorded_at: Instant,
}

impl CrashDetector {
    /// Creates a detector with an empty crash table.
    #[must_use]
    pub fn new(
        context: &NodeContext,
        settings: &AgentSettings,
        monitor: Arc<UpstreamMonitor>,
        admitter: Arc<WorkAdmitter>,
        progress: Arc<ProgressTable>,
    ) -> Arc<Self> {
        let clock = context.clock.clone();
        let upstream = settings.upstream.clone();
        Arc::new(Self { clock, upstream, monitor, admitter, progress, state: Mutex::default() })
    }

    /// Determines whether the upstream crashed; called when a connection to it has broken. It crashed if it reports
    /// another incarnation or does not respond. All requests in flight on `incarnation` are then recorded as suspects.
    pub async fn detect_crash(&self, incarnation: Incarnation) -> bool {
        let state = self.monitor.read(self.clock.now()).await;
        let crashed = !state.responded || state.incarnation != incarnation;
        if crashed {
            self.record_crash(incarnation);
        }
        crashed
    }

    /// Returns true if the last recorded crash is that of the incarnation in `upstream`. The record is removed if the
    /// incarnation has responded since: it did not crash, but failed to respond in time.
    #[must_use]
    pub fn has_crashed(&self, upstream: &UpstreamState) -> bool {
        let mut state = self.lock();
        let Some(crash) = &state.last_crash else { return false };
        if crash.incarnation != upstream.incarnation {
            return false;
        }
        let responded_since =
            upstream.responded && upstream.read_at.is_some_and(|at| at >= crash.recorded_at);
        if responded_since {
            state.last_crash = None;
        }
        !responded_since
    }

    /// Waits until the upstream reports another incarnation, which means that requests sent to `incarnation` are lost.
    pub async fn wait_until_replaced(&self, incarnation: Incarnation) {
        let mut upstream = self.monitor.subscribe();
        let replaced =
            upstream.wait_for(|state| state.responded && state.incarnation != incarnation);
        if replaced.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns how a request may run now. A request without a fingerprint is never suspect.
    #[must_use]
    pub fn verdict(&self, fingerprint: Option<&ContentDigest>) -> CrashVerdict {
        let now = self.clock.now();
        fingerprint.map_or(CrashVerdict::Allow, |request_fingerprint| {
            self.lock().table.verdict(now, request_fingerprint)
        })
    }

    /// Records that a request ended without a crash; if it ran in isolation, it is no longer suspect.
    pub fn record_success(&self, fingerprint: Option<&ContentDigest>, isolated: bool) {
        let now = self.clock.now();
        if let Some(fingerprint) = fingerprint {
            self.lock().table.record_success(now, fingerprint, isolated);
        }
    }

    /// Merges the evidence of a notice into the crash table. A notice without a valid fingerprint is ignored.
    pub fn apply_notice(&self, notice: &CrashNotice) {
        let Ok(evidence) = notice.evidence() else { return };
        self.lock().table.apply_evidence(self.clock.now(), &evidence);
    }

    fn record_crash(&self, incarnation: Incarnation) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.last_crash.as_ref().is_some_and(|crash| crash.incarnation == incarnation) {
            return;
        }
        state.last_crash = Some(UpstreamCrash { incarnation, recorded_at: now });
        let in_flight = self.progress.in_flight(incarnation);
        let requests = in_flight.len();
        let known: Vec<_> = in_flight.into_iter().flatten().collect();
        if known.len() == requests {
            state.table.record_upstream_crash(now, &self.upstream, known);
        } else {
            // A request without a fingerprint ran on the upstream too, so none of the others ran in isolation.
            for fingerprint in known {
                state.table.record_crash(now, &self.upstream, fingerprint, false);
            }
        }
        drop(state);
        warn!(
            "event=upstream_crashed upstream={} incarnation={incarnation} in_flight={requests}",
            self.upstream
        );
        self.admitter.record_upstream_lost();
    }

    fn lock(&self) -> MutexGuard<'_, CrashState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
