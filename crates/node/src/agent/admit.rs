//! Async interface to admission control: requests wait for a slot, and a ticket returns the slot at the end.

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
    AdmissionAction, AdmissionControl, AdmissionGate, AdmissionOptions, LimitDecrease,
    LimitOptions, TeamShares, UpstreamEpoch, WorkId, WorkItem, WorkRefusal, WorkResult,
};
use log::{info, warn};
use tokio::sync::{Notify, oneshot};
use wire::LoadReport;

use crate::context::NodeContext;

/// Delay before the slot of a cancelled or broken request is returned. The upstream takes some time to notice the
/// closed connection; a slot returned earlier would let more requests run on it than the limit allows.
const SLOT_RELEASE_DELAY: Duration = Duration::from_millis(50);
/// Maximum interval between two checks of the deadlines of queued requests.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

type Grant = Result<(), WorkRefusal>;

/// Request for a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Team of the caller; teams share the slots by weight.
    pub team: TeamId,
    /// Priority among the requests of the team.
    pub priority: u8,
    /// Time at which the request is refused if it has not started.
    pub deadline: Instant,
    /// True if the request may run only while nothing else is in flight.
    pub isolated: bool,
}

/// Inputs of admission control from the gate, the configuration and the upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionState {
    /// Whether new requests are accepted.
    pub gate: AdmissionGate,
    /// Concurrency limits of the upstream when cold and when warm; `None` if it is not registered.
    pub bounds: Option<(u32, u32)>,
    /// Weights of the teams in the queue.
    pub shares: TeamShares,
    /// Incarnation and cache epoch of the upstream; `None` if the last status read failed.
    pub epoch: Option<UpstreamEpoch>,
}

/// Admission control for all requests of one agent.
pub struct WorkAdmitter {
    context: NodeContext,
    clock: Arc<dyn Clock>,
    state: Mutex<AdmitterState>,
    next_id: AtomicU64,
    changed: Notify,
}

struct AdmitterState {
    control: AdmissionControl,
    /// Number of load reports so far.
    load_reports: u64,
    waiting: HashMap<WorkId, oneshot::Sender<Grant>>,
}

/// Slot of an admitted request. Dropping the ticket without [`WorkTicket::finish`] counts as a cancellation.
pub struct WorkTicket {
    admitter: Arc<WorkAdmitter>,
    id: WorkId,
    returned: bool,
}

impl WorkAdmitter {
    /// Creates admission control with a closed gate, which [`WorkAdmitter::update`] opens.
    #[must_use]
    pub fn spawn(context: &NodeContext, queue_length: usize) -> Arc<Self> {
        // Placeholder bounds: the gate stays closed until the first configuration sets the real ones.
        let options = AdmissionOptions { limit: LimitOptions::new(1, 1), queue_length };
        let mut control = AdmissionControl::new(options);
        let closed = AdmissionGate::Closed(RefusalReason::NotReady);
        control.set_gate(closed, context.clock.now());
        let admitter = Arc::new(Self {
            context: context.clone(),
            clock: context.clock.clone(),
            state: Mutex::new(AdmitterState { control, load_reports: 0, waiting: HashMap::new() }),
            next_id: AtomicU64::new(0),
            changed: Notify::new(),
        });
        let task_admitter = admitter.clone();
        context.spawn_traffic(async move { task_admitter.tick_loop().await });
        admitter
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    /// Fails if the request is refused; it was not sent to the upstream.
    pub async fn admit(self: &Arc<Self>, request: AdmitRequest) -> Result<WorkTicket, WorkRefusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let AdmitRequest { team, priority, deadline, isolated } = request;
        let item = WorkItem { id, team, priority, deadline, isolated };
        // Created before the request is offered, so that dropping this future withdraws the request.
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

    /// Applies new states of the gate, the bounds, the shares and the upstream.
    pub fn update(&self, update: AdmissionState) {
        self.change(|state, now| {
            let mut actions = Vec::new();
            if let Some((cold_limit, warm_limit)) = update.bounds {
                state.control.set_bounds(cold_limit, warm_limit);
            }
            state.control.set_shares(update.shares);
            // The limit is lowered before the gate opens, so that a restarted upstream never gets a warm limit.
            let decrease = update.epoch.and_then(|epoch| state.control.observe_epoch(epoch));
            actions.extend(decrease.map(AdmissionAction::LimitDecreased));
            actions.extend(state.control.set_gate(update.gate, now));
            actions
        });
    }

    /// Changes only the gate; the rest of the state stays the same.
    pub fn set_gate(&self, gate: AdmissionGate) {
        self.change(|state, now| state.control.set_gate(gate, now));
    }

    /// Records the loss of the upstream, which lowers the limit.
    pub fn record_upstream_lost(&self) {
        self.change(|state, _| {
            vec![AdmissionAction::LimitDecreased(state.control.record_upstream_lost())]
        });
    }

    /// Returns the current state of the gate.
    #[must_use]
    pub fn gate(&self) -> AdmissionGate {
        self.lock().control.gate()
    }

    /// Returns the load as it is reported to entries.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.load_reports += 1;
        LoadReport {
            limit: state.control.limit(),
            in_use: state.control.in_use(),
            queued: u32::try_from(state.control.queued()).unwrap_or(u32::MAX),
            sequence: state.load_reports,
        }
    }

    /// Returns the delay after which a refused request may be retried.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.lock().control.retry_after()
    }

    async fn tick_loop(&self) {
        loop {
            let now = self.clock.now();
            let next = self.lock().control.next_wakeup();
            let delay = next.map_or(MAX_TICK_INTERVAL, |at| at.saturating_duration_since(now));
            tokio::select! {
                () = tokio::time::sleep(delay.min(MAX_TICK_INTERVAL)) => {}
                () = self.changed.notified() => {}
            }
            self.change(|state, now| state.control.tick(now));
        }
    }

    fn change(&self, step: impl FnOnce(&mut AdmitterState, Instant) -> Vec<AdmissionAction>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let wake_before = state.control.next_wakeup();
        let actions = step(&mut state, now);
        for action in actions {
            state.apply(action);
        }
        let wake = state.control.next_wakeup();
        if wake.is_some_and(|wake| wake_before.is_none_or(|before| wake < before)) {
            self.changed.notify_one();
        }
    }

    /// Cancels a queued request; returns false if it was already granted or refused.
    fn cancel(&self, id: WorkId) -> bool {
        let mut waited = false;
        self.change(|state, now| {
            waited = state.waiting.remove(&id).is_some();
            if !waited {
                return Vec::new();
            }
            state.control.cancel(id);
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
            AdmissionAction::LimitDecreased(decrease) => {
                let limit = self.control.limit();
                match decrease {
                    LimitDecrease::Overload => {
                        info!("event=limit_fell cause={} limit={limit}", decrease.as_str());
                    }
                    _ => warn!("event=limit_fell cause={} limit={limit}", decrease.as_str()),
                }
                return;
            }
        };
        if let Some(sender) = self.waiting.remove(&id) {
            // If the receiver was dropped, its ticket returns the slot.
            let _ = sender.send(grant);
        }
    }
}

impl WorkTicket {
    /// Returns the slot with the result of the request. After a failure the upstream may still be working on it, so the
    /// slot is returned after a delay, as after a cancellation.
    pub fn finish(mut self, result: WorkResult) {
        if result != WorkResult::Neutral {
            self.returned = true;
            self.admitter.finish(self.id, result);
        }
    }

    /// Returns the slot of a request that was not sent.
    pub fn release(mut self) {
        self.returned = true;
        self.admitter.finish(self.id, WorkResult::Neutral);
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        if self.returned || self.admitter.cancel(self.id) {
            return;
        }
        let (admitter, id) = (self.admitter.clone(), self.id);
        self.admitter.context.spawn_traffic(async move {
            tokio::time::sleep(SLOT_RELEASE_DELAY).await;
            admitter.finish(id, WorkResult::Neutral);
        });
    }
}
