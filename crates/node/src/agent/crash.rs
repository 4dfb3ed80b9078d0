//! Tells a crash of the upstream from a broken connection, and keeps this agent's crash table.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{Clock, ContentDigest, Incarnation, UpstreamId};
use config::AgentSettings;
use log::warn;
use route::{CrashTable, CrashVerdict};
use wire::CrashNotice;

use super::{admit::WorkAdmitter, monitor::UpstreamMonitor, progress::ProgressTable};
use crate::context::NodeContext;

/// Judges broken connections.
pub struct CrashWatch {
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
    /// Incarnation whose crash was recorded last, so that each crash is recorded once.
    last_crashed: Option<Incarnation>,
}

impl CrashWatch {
    /// Creates the watch.
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

    /// Decides whether the upstream crashed after a connection to it broke: it names another incarnation, or it does
    /// not answer. All requests in flight on `incarnation` become suspects.
    pub async fn judge(&self, incarnation: Incarnation) -> bool {
        let state = self.monitor.read(self.clock.now()).await;
        let crashed = !state.answered || state.incarnation != incarnation;
        if crashed {
            self.record_crash(incarnation);
        }
        crashed
    }

    /// True if this incarnation of the upstream is known to have crashed.
    #[must_use]
    pub fn has_crashed(&self, incarnation: Incarnation) -> bool {
        self.lock().last_crashed == Some(incarnation)
    }

    /// Waits until the upstream names another incarnation, which means that work sent to `incarnation` is lost.
    pub async fn replaced(&self, incarnation: Incarnation) {
        let mut upstream = self.monitor.subscribe();
        let replaced =
            upstream.wait_for(|state| state.answered && state.incarnation != incarnation);
        if replaced.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// What may be done with a request now.
    #[must_use]
    pub fn verdict(&self, fingerprint: Option<&ContentDigest>) -> CrashVerdict {
        let now = self.clock.now();
        fingerprint.map_or(CrashVerdict::Unsuspected, |fingerprint| {
            self.lock().table.verdict(now, fingerprint)
        })
    }

    /// Notes that a request ended without a crash; in isolation this clears a suspect.
    pub fn note_success(&self, fingerprint: Option<&ContentDigest>, isolated: bool) {
        let now = self.clock.now();
        if let Some(fingerprint) = fingerprint {
            self.lock().table.record_success(now, fingerprint, isolated);
        }
    }

    /// Takes over the evidence of a notice; a notice without a fingerprint is ignored.
    pub fn apply(&self, notice: &CrashNotice) {
        let Ok(evidence) = notice.evidence() else { return };
        self.lock().table.apply_evidence(self.clock.now(), &evidence);
    }

    fn record_crash(&self, incarnation: Incarnation) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.last_crashed.replace(incarnation) == Some(incarnation) {
            return;
        }
        let in_flight = self.progress.in_flight(incarnation);
        let requests = in_flight.len();
        let known: Vec<_> = in_flight.into_iter().flatten().collect();
        if known.len() == requests {
            state.table.record_upstream_crash(now, &self.upstream, known);
        } else {
            // A request without a fingerprint shared the upstream, so nothing ran in isolation.
            for fingerprint in known {
                state.table.record_crash(now, &self.upstream, fingerprint, false);
            }
        }
        drop(state);
        warn!(
            "event=upstream_crashed upstream={} incarnation={incarnation} in_flight={requests}",
            self.upstream
        );
        self.admitter.note_upstream_lost();
    }

    fn lock(&self) -> MutexGuard<'_, CrashState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
