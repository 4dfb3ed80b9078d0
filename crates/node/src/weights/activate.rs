//! Activation loop: derives the wanted weights from the published view and has the engine load and unload them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::PauseDetector;
use config::{AgentSettings, FencingMode};
use log::{info, warn};
use ports::{EngineStatus, FencingNumber, LoadOrder, ModelEngine, PlatformError};
use tokio::sync::mpsc;
use weights::{
    ActivationAction, ActivationControl, ActivationEvent, ActivationOptions, EngineView, LiveLoad,
    OrderKind, OrderOutcome,
};

use super::{LoadSignal, rollout::ModelRollout, transfer::TransferDriver, wanted::WantedWeights};
use crate::{
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewReader},
};

const TICK: Duration = Duration::from_millis(100);
/// Gap between two ticks that counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Minimum delay after a pause before a view counts as refreshed. The control task needs a tick to detect the pause and
/// to mark the view that it published earlier as not fresh; until then that view still looks fresh.
const MIN_REFRESH_DELAY: Duration = Duration::from_millis(1_500);
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs transfers, activation and rollouts of one agent.
pub(super) struct ActivationLoop {
    pub context: NodeContext,
    pub settings: AgentSettings,
    pub view: ViewReader,
    pub engine: Arc<dyn ModelEngine>,
    pub pool: Arc<PeerPool>,
    pub driver: Arc<TransferDriver>,
    pub load: LoadSignal,
}

struct LoopState {
    control: ActivationControl,
    wanted: WantedWeights,
    view: Option<Arc<FleetView>>,
    rollouts: Vec<ModelRollout>,
    next_probe: Instant,
    refresh_after: Option<Instant>,
    engine_in_use: u32,
}

impl ActivationLoop {
    pub async fn run(mut self) {
        let (events, mut inbox) = mpsc::unbounded_channel();
        let pauses = PauseDetector::new(PAUSE_THRESHOLD);
        let mut state = LoopState::new(self.context.incarnation, self.context.clock.now());
        loop {
            let event = tokio::time::timeout(TICK, inbox.recv()).await;
            let now = self.context.clock.now();
            if let Some(gap) = pauses.tick(&*self.context.clock) {
                info!("event=weights_paused gap_ms={}", gap.as_millis());
                state.refresh_after = Some(now + MIN_REFRESH_DELAY);
                self.driver.resume();
            }
            if let Ok(Some(event)) = event {
                self.handle_event(&mut state, now, event);
            }
            self.apply_view(&mut state, now);
            self.report_refresh(&mut state, now);
            self.report_complete_versions(&mut state, now).await;
            self.apply_load(&state);
            for action in state.control.poll(now) {
                self.execute(action, &events);
            }
        }
    }

    fn handle_event(&self, state: &mut LoopState, now: Instant, event: LoopEvent) {
        match event {
            LoopEvent::Control(event) => state.control.handle(now, event),
            LoopEvent::Engine(status) => {
                state.engine_in_use = status.in_use;
                state.control.handle(now, ActivationEvent::EngineRead(engine_view(status)));
            }
        }
    }

    fn apply_view(&mut self, state: &mut LoopState, now: Instant) {
        let Some(view) = self.view.get() else { return };
        if state.view.as_ref().is_some_and(|old| Arc::ptr_eq(old, &view)) {
            return;
        }
        let wanted = WantedWeights::from_view(&view, &self.settings);
        self.driver.set_wanted(wanted.fetch.clone());
        let models =
            wanted.served.iter().map(|served| (served.model.clone(), served.manifest)).collect();
        let revision = view.config.revision;
        state.control.handle(now, ActivationEvent::Wanted { revision, models });
        if let Some(record) = view.config.upstream(&self.settings.upstream) {
            state.control.set_fencing(record.fencing);
        }
        state.rollouts.retain(|rollout| wanted.served.iter().any(|served| rollout.matches(served)));
        for served in &wanted.served {
            if !state.rollouts.iter().any(|rollout| rollout.matches(served)) {
                state.rollouts.push(ModelRollout::new(served, &self.settings.upstream));
            }
        }
        state.wanted = wanted;
        state.view = Some(view);
    }

    /// Reports a refresh when the view is fresh. After a pause, the control task asks peers for their state and marks
    /// the view as not fresh until it has their responses.
    fn report_refresh(&self, state: &mut LoopState, now: Instant) {
        let Some(view) = state.view.as_ref().filter(|view| view.fresh) else { return };
        if state.refresh_after.is_none_or(|after| now >= after) {
            state.refresh_after = None;
            let revision = view.config.revision;
            state.control.handle(now, ActivationEvent::Refreshed(revision));
        }
    }

    async fn report_complete_versions(&self, state: &mut LoopState, now: Instant) {
        let Some(view) = state.view.clone() else { return };
        let served = state.wanted.served.clone();
        let complete: Vec<_> = {
            let plan = self.driver.lock_plan();
            let manifests = served.iter().map(|served| served.manifest);
            manifests.filter(|manifest| plan.store().is_complete(*manifest)).collect()
        };
        let is_probe_due = now >= state.next_probe;
        for served in &served {
            let is_complete = complete.contains(&served.manifest);
            let serves_other_version =
                state.control.ready().iter().any(|(model, manifest)| {
                    *model == served.model && *manifest != served.manifest
                });
            let rollout = state.rollouts.iter_mut().find(|rollout| rollout.matches(served));
            let Some(rollout) = rollout else { continue };
            if is_probe_due && is_complete && serves_other_version {
                rollout.probe(&self.pool, &view, served).await;
                state.next_probe = now + PROBE_INTERVAL;
            }
            let open = rollout.is_open(&view, served, is_complete, serves_other_version);
            let gate = ActivationEvent::Gate { model: served.model.clone(), open };
            state.control.handle(now, gate);
        }
        state.control.handle(now, ActivationEvent::VersionsComplete(complete));
    }

    fn apply_load(&self, state: &LoopState) {
        let (in_flight, slow) = self.load.get();
        let load = match (in_flight.max(state.engine_in_use), slow) {
            (0, _) => LiveLoad::Idle,
            (_, false) => LiveLoad::Busy,
            (_, true) => LiveLoad::Slow,
        };
        self.driver.set_load(load);
    }

    fn execute(&self, action: ActivationAction, events: &mpsc::UnboundedSender<LoopEvent>) {
        let engine = self.engine.clone();
        let events = events.clone();
        match action {
            // The control task refreshes without being asked; `report_refresh` reports it once a fresh view is
            // published.
            ActivationAction::Refresh => {}
            ActivationAction::ReadEngine => self.context.spawn_traffic(async move {
                let event = match engine.status().await {
                    Ok(status) => LoopEvent::Engine(status),
                    Err(_) => LoopEvent::Control(ActivationEvent::ReadFailed),
                };
                let _ = events.send(event);
            }),
            ActivationAction::PutWeights { manifest } => {
                let parts = self.driver.lock_plan().store().all_chunks(manifest);
                self.context.spawn_traffic(async move {
                    let complete = match parts {
                        Some(parts) => engine.put_weights(manifest, parts).await.is_ok(),
                        None => false,
                    };
                    let done = ActivationEvent::PutFinished { manifest, complete };
                    let _ = events.send(LoopEvent::Control(done));
                });
            }
            ActivationAction::SendOrder { kind, model, manifest, fencing } => {
                info!(
                    "event=order_sent kind={kind:?} model={model} manifest={manifest} revision={} \
                     incarnation={}",
                    fencing.revision, fencing.incarnation
                );
                let fencing =
                    FencingNumber { revision: fencing.revision, incarnation: fencing.incarnation };
                let order = LoadOrder { model, manifest, fencing };
                self.context.spawn_traffic(async move {
                    let outcome = send_order(&*engine, kind, order).await;
                    let replied = ActivationEvent::OrderResponse(outcome);
                    let _ = events.send(LoopEvent::Control(replied));
                });
            }
        }
    }
}

enum LoopEvent {
    Control(ActivationEvent),
    Engine(EngineStatus),
}

impl LoopState {
    fn new(incarnation: base::Incarnation, now: Instant) -> Self {
        // Until the configuration is known, assume the worst case: the engine ignores fencing numbers.
        let options = ActivationOptions::new(FencingMode::Ignored, incarnation);
        Self {
            control: ActivationControl::new(options),
            wanted: WantedWeights::default(),
            view: None,
            rollouts: Vec::new(),
            next_probe: now,
            refresh_after: None,
            engine_in_use: 0,
        }
    }
}

async fn send_order(engine: &dyn ModelEngine, kind: OrderKind, order: LoadOrder) -> OrderOutcome {
    let (model, manifest) = (order.model.clone(), order.manifest);
    let response = match kind {
        OrderKind::Load => engine.load(order).await,
        OrderKind::Unload => engine.unload(order).await,
    };
    match response {
        Ok(true) => OrderOutcome::Accepted,
        Ok(false) => OrderOutcome::Refused,
        Err(PlatformError::Status { status: 404 }) if kind == OrderKind::Load => {
            warn!("event=order_failed model={model} manifest={manifest} error=\"not uploaded\"");
            OrderOutcome::NotUploaded
        }
        Err(error) => {
            warn!("event=order_failed model={model} manifest={manifest} error=\"{error}\"");
            OrderOutcome::Unknown
        }
    }
}

fn engine_view(status: EngineStatus) -> EngineView {
    EngineView {
        incarnation: status.incarnation,
        loaded: status.loaded.into_iter().map(|loaded| (loaded.model, loaded.manifest)).collect(),
        last_order: status.last_order.map(|last| weights::FencingNumber {
            revision: last.revision,
            incarnation: last.incarnation,
        }),
    }
}
