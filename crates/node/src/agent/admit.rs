//! Attaches admission to tasks: a request waits for its turn, and its ticket returns the slot.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Clock, RefusalReason, TeamId};
use limit::{
    AdmissionAction, AdmissionControl, AdmissionGate, AdmissionOptions, LimitFall, LimitOptions,
    TeamShares, UpstreamEpoch, WorkId, WorkItem, WorkRefusal, WorkResult,
};
use log::{info, warn};
use tokio::sync::{Notify, oneshot};
use wire::LoadReport;

use crate::context::NodeContext;

/// Time until an upstream has noticed that a request was cancelled or its connection broke; its slot is kept meanwhile.
const CANCEL_SETTLE: Duration = Duration::from_millis(50);
/// Longest time between two looks at the deadlines of waiting work.
const MAX_TICK: Duration = Duration::from_secs(1);

type Grant = Result<(), WorkRefusal>;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Team of the caller.
    pub team: TeamId,
    /// Priority inside the team.
    pub priority: u8,
    /// Work that has not started by then is refused.
    pub deadline: Instant,
    /// True if it may run only alone.
    pub isolated: bool,
}

/// What the gate and the configuration say now.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionState {
    /// Whether new work is taken.
    pub gate: AdmissionGate,
    /// Concurrent requests that the upstream bears when cold and when warm.
    pub bounds: Option<(u32, u32)>,
    /// Shares of the teams.
    pub shares: TeamShares,
    /// Lifetime of the upstream, if it answers.
    pub epoch: Option<UpstreamEpoch>,
}

/// Admission of all requests of one agent.
pub struct WorkAdmitter {
    context: NodeContext,
    clock: Arc<dyn Clock>,
    state: Mutex<AdmitterState>,
    next_id: AtomicU64,
    changed: Notify,
}

struct AdmitterState {
    control: AdmissionControl,
    waiting: HashMap<WorkId, oneshot::Sender<Grant>>,
}

/// Slot of admitted work. Dropping it without [`WorkTicket::finish`] counts as cancelled.
pub struct WorkTicket {
    admitter: Arc<WorkAdmitter>,
    id: WorkId,
    returned: bool,
}

impl WorkAdmitter {
    /// Creates admission with a closed gate; [`WorkAdmitter::update`] opens it.
    #[must_use]
    pub fn spawn(context: &NodeContext, queue_length: usize) -> Arc<Self> {
        // The bounds come with the first configuration; until then the gate is closed.
        let options = AdmissionOptions { limit: LimitOptions::new(1, 1), queue_length };
        let mut control = AdmissionControl::new(options);
        let closed = AdmissionGate::Closed(RefusalReason::NotReady);
        control.set_gate(closed, context.clock.now());
        let admitter = Arc::new(Self {
            context: context.clone(),
            clock: context.clock.clone(),
            state: Mutex::new(AdmitterState { control, waiting: HashMap::new() }),
            next_id: AtomicU64::new(0),
            changed: Notify::new(),
        });
        let task_admitter = admitter.clone();
        context.spawn_traffic(async move { task_admitter.tick_loop().await });
        admitter
    }

    /// Waits until the work may start.
    ///
    /// # Errors
    /// Fails if the work is refused; the upstream has not seen it then.
    pub async fn admit(self: &Arc<Self>, request: AdmitRequest) -> Result<WorkTicket, WorkRefusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let AdmitRequest { team, priority, deadline, isolated } = request;
        let item = WorkItem { id, team, priority, deadline, isolated };
        // Made before the work is offered, so that a dropped wait withdraws it.
        let mut ticket = WorkTicket { admitter: self.clone(), id, returned: false };
        self.change(|state, now| {
            state.waiting.insert(id, sender);
            state.control.offer(item, now)
        });
        let grant = receiver.await.unwrap_or(Err(WorkRefusal {
            reason: RefusalReason::Draining,
            retry_after: Duration::ZERO,
        }));
        ticket.returned = grant.is_err();
        grant.map(|()| ticket)
    }

    /// Puts a new state of gate, bounds, shares and upstream in force.
    pub fn update(&self, update: AdmissionState) {
        self.change(|state, now| {
            let mut actions = Vec::new();
            if let Some((cold_limit, warm_limit)) = update.bounds {
                state.control.set_bounds(cold_limit, warm_limit);
            }
            state.control.set_shares(update.shares);
            // The limit falls before the gate opens, so that a restarted upstream is never met with a warm limit.
            let fall = update.epoch.and_then(|epoch| state.control.observe(epoch));
            actions.extend(fall.map(AdmissionAction::Fell));
            actions.extend(state.control.set_gate(update.gate, now));
            actions
        });
    }

    /// Changes only the gate.
    pub fn set_gate(&self, gate: AdmissionGate) {
        self.change(|state, now| state.control.set_gate(gate, now));
    }

    /// Takes the loss of the upstream.
    pub fn note_upstream_lost(&self) {
        self.change(|state, _| vec![AdmissionAction::Fell(state.control.note_upstream_lost())]);
    }

    /// The gate in force.
    #[must_use]
    pub fn gate(&self) -> AdmissionGate {
        self.lock().control.gate()
    }

    /// Load for entries.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            limit: state.control.limit(),
            in_use: state.control.in_use(),
            queued: u32::try_from(state.control.queued()).unwrap_or(u32::MAX),
        }
    }

    /// When a new attempt makes sense.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.lock().control.retry_after()
    }

    async fn tick_loop(&self) {
        loop {
            let now = self.clock.now();
            let next = self.lock().control.next_wake();
            let delay = next.map_or(MAX_TICK, |at| at.saturating_duration_since(now));
            tokio::select! {
                () = tokio::time::sleep(delay.min(MAX_TICK)) => {}
                () = self.changed.notified() => {}
            }
            self.change(|state, now| state.control.tick(now));
        }
    }

    fn change(&self, step: impl FnOnce(&mut AdmitterState, Instant) -> Vec<AdmissionAction>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let wake_before = state.control.next_wake();
        let actions = step(&mut state, now);
        for action in actions {
            state.apply(action);
        }
        let wake = state.control.next_wake();
        if wake.is_some_and(|wake| wake_before.is_none_or(|before| wake < before)) {
            self.changed.notify_one();
        }
    }

    /// Withdraws work that still waits; false if it was granted or refused before.
    fn withdraw(&self, id: WorkId) -> bool {
        let mut waited = false;
        self.change(|state, now| {
            waited = state.waiting.remove(&id).is_some();
            if !waited {
                return Vec::new();
            }
            state.control.withdraw(id);
            state.control.tick(now)
        });
        waited
    }

    fn finish(&self, id: WorkId, result: WorkResult) {
        self.change(|state, now| state.control.finish(id, result, now));
    }

    fn lock(&self) -> MutexGuard<'_, AdmitterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmitterState {
    fn apply(&mut self, action: AdmissionAction) {
        let (id, grant) = match action {
            AdmissionAction::Start(id) => (id, Ok(())),
            AdmissionAction::Refuse(id, refusal) => (id, Err(refusal)),
            AdmissionAction::Fell(fall) => {
                let limit = self.control.limit();
                match fall {
                    LimitFall::Overload => {
                        info!("event=limit_fell cause={} limit={limit}", fall.as_str());
                    }
                    _ => warn!("event=limit_fell cause={} limit={limit}", fall.as_str()),
                }
                return;
            }
        };
        if let Some(sender) = self.waiting.remove(&id) {
            // If the waiting side is gone, its ticket returns the slot.
            let _ = sender.send(grant);
        }
    }
}

impl WorkTicket {
    /// Returns the slot with the result of the work. After a failure the upstream may still work on it for a moment, so
    /// the slot is kept as after a cancellation.
    pub fn finish(mut self, result: WorkResult) {
        if result != WorkResult::Neutral {
            self.returned = true;
            self.admitter.finish(self.id, result);
        }
    }

    /// Returns the slot of work that was not sent.
    pub fn release(mut self) {
        self.returned = true;
        self.admitter.finish(self.id, WorkResult::Neutral);
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        if self.returned || self.admitter.withdraw(self.id) {
            return;
        }
        let (admitter, id) = (self.admitter.clone(), self.id);
        self.admitter.context.spawn_traffic(async move {
            tokio::time::sleep(CANCEL_SETTLE).await;
            admitter.finish(id, WorkResult::Neutral);
        });
    }
}
