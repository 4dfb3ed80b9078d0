//! Decides whether new requests are accepted. The gate is closed or held during planned stops, while the data centre is
//! out of service or the host is leaving, while the upstream is down, and after a pause of this process.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{Clock, PauseDetector, RefusalReason};
use config::{AgentSettings, HostState};
use limit::AdmissionGate;
use log::{info, warn};

use super::{
    admit::{AdmissionState, WorkAdmitter},
    monitor::{UpstreamMonitor, UpstreamState},
};
use crate::{
    context::NodeContext,
    view::{FleetView, ViewReader},
};

const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Gap between two ticks that counts as a pause of the process; the fleet may have changed unnoticed during it.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Minimum time after a pause during which the gate is held. The deadlines of requests that arrived during the pause
/// are unknown, because they are relative; in this time these requests are read and refused, and the control module
/// detects the pause as well.
const MIN_HOLD_AFTER_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the admission gate up to date.
pub struct GateController {
    context: NodeContext,
    clock: Arc<dyn Clock>,
    settings: AgentSettings,
    view: ViewReader,
    monitor: Arc<UpstreamMonitor>,
    admitter: Arc<WorkAdmitter>,
    pauses: PauseDetector,
    /// End of the last pause; `None` once the state of the fleet and the upstream has been refreshed.
    resumed_at: Mutex<Option<Instant>>,
}

impl GateController {
    /// Starts the task that updates the gate when the view or the upstream changes, and at each tick.
    #[must_use]
    pub fn spawn(
        context: &NodeContext,
        settings: &AgentSettings,
        view: ViewReader,
        monitor: Arc<UpstreamMonitor>,
        admitter: Arc<WorkAdmitter>,
    ) -> Arc<Self> {
        let gate = Arc::new(Self {
            context: context.clone(),
            clock: context.clock.clone(),
            settings: settings.clone(),
            view,
            monitor,
            admitter,
            pauses: PauseDetector::new(PAUSE_THRESHOLD),
            resumed_at: Mutex::default(),
        });
        let task_gate = gate.clone();
        context.spawn_traffic(async move { task_gate.update_loop().await });
        gate
    }

    /// Returns true from the end of a pause until the state has been refreshed. Detects a pause even before the next
    /// tick: it is called directly before each request is sent, so that no request is sent on stale state.
    pub fn is_stale(&self) -> bool {
        if let Some(gap) = self.pauses.tick(&*self.clock) {
            warn!("event=pause_detected gap_ms={}", gap.as_millis());
            *self.lock() = Some(self.clock.now());
            self.admitter.set_gate(AdmissionGate::Held(RefusalReason::Refreshing));
        }
        self.lock().is_some()
    }

    /// Updates the gate without waiting for the next tick, and returns its new state.
    pub fn update_now(&self) -> AdmissionGate {
        // Called for its side effect: it detects a pause that has just ended.
        let _ = self.is_stale();
        let state = self.state(&self.monitor.get());
        let gate = state.gate;
        self.admitter.update(state);
        gate
    }

    /// Returns true if this agent refuses new requests because it is stopping, its data centre is out of service or its
    /// host is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.admitter.gate() == AdmissionGate::Closed(RefusalReason::Draining)
    }

    async fn update_loop(&self) {
        let mut view = self.view.clone();
        let mut upstream = self.monitor.subscribe();
        let mut last = None;
        loop {
            let gate = self.update_now();
            if last.replace(gate) != Some(gate) {
                info!("event=gate_changed gate={gate:?}");
            }
            tokio::select! {
                () = view.changed() => {}
                _ = upstream.changed() => {}
                () = self.context.draining.cancelled(), if !self.context.draining.is_cancelled() => {}
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
        }
    }

    fn state(&self, upstream: &UpstreamState) -> AdmissionState {
        let view = self.view.get();
        let record = view.as_ref().and_then(|view| view.config.upstream(&self.settings.upstream));
        AdmissionState {
            gate: self.gate(view.as_deref(), record.is_some(), upstream),
            bounds: record.map(|record| (record.cold_limit, record.warm_limit)),
            shares: view.as_ref().map_or_else(Default::default, |view| {
                view.config.teams.iter().map(|team| (team.id.clone(), team.share)).collect()
            }),
            epoch: upstream.responded.then(|| upstream.epoch()),
        }
    }

    fn gate(
        &self,
        view: Option<&FleetView>,
        is_registered: bool,
        upstream: &UpstreamState,
    ) -> AdmissionGate {
        let Some(view) = view else {
            return AdmissionGate::Closed(RefusalReason::NotReady);
        };
        if self.context.draining.is_cancelled()
            || self.is_out_of_service(view)
            || self.is_leaving(view)
        {
            AdmissionGate::Closed(RefusalReason::Draining)
        } else if !is_registered || !upstream.up {
            AdmissionGate::Closed(RefusalReason::NotReady)
        } else if !view.fresh || self.is_refreshing(upstream) {
            AdmissionGate::Held(RefusalReason::Refreshing)
        } else {
            AdmissionGate::Open
        }
    }

    fn is_out_of_service(&self, view: &FleetView) -> bool {
        let registered = view.config.upstream(&self.settings.upstream);
        let data_centre = registered.map(|record| &record.data_centre);
        view.config.is_out_of_service(&self.settings.common.data_centre)
            || data_centre.is_some_and(|data_centre| view.config.is_out_of_service(data_centre))
    }

    fn is_leaving(&self, view: &FleetView) -> bool {
        let host = &self.settings.common.host;
        view.hosts
            .hosts
            .iter()
            .any(|record| record.id == *host && record.state == HostState::Leaving)
    }

    fn is_refreshing(&self, upstream: &UpstreamState) -> bool {
        let mut resumed_at = self.lock();
        let Some(resumed) = *resumed_at else { return false };
        let read_since = upstream.responded && upstream.read_at.is_some_and(|at| at >= resumed);
        let held_long_enough =
            self.clock.now().saturating_duration_since(resumed) >= MIN_HOLD_AFTER_PAUSE;
        if read_since && held_long_enough {
            *resumed_at = None;
        }
        resumed_at.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.resumed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
