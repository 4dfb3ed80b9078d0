//! Admission of work: the limit and the queue together.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{RefusalReason, TeamId};

use crate::{
    concurrency::{
        ConcurrencyLimit, LimitFall, LimitOptions, UpstreamEpoch, WorkPermit, WorkResult,
    },
    queue::{FairQueue, Offered, TeamShares, WorkId, WorkItem},
};

/// Retry delay while no service time is known yet.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
/// Bounds of every retry delay that is named.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(30);
/// Weight of a new sample in the average service time.
const SERVICE_WEIGHT: f64 = 0.125;

/// Options of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Bounds of the limit.
    pub limit: LimitOptions,
    /// Requests that wait at most.
    pub queue_length: usize,
}

/// Whether new work is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionGate {
    /// New work is taken.
    Open,
    /// New work is refused for this reason; work that waits stays and does not start.
    Held(RefusalReason),
    /// New work and work that waits is refused for this reason; work in flight runs on.
    Closed(RefusalReason),
}

/// Why and for how long work is refused. It never reached the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a new attempt makes sense.
    pub retry_after: Duration,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send this work to the upstream, and report its end with [`AdmissionControl::finish`].
    Start(WorkId),
    /// Refuse this work as not run.
    Refuse(WorkId, WorkRefusal),
    /// Log that the limit fell.
    Fell(LimitFall),
}

#[derive(Debug)]
struct RunningWork {
    permit: WorkPermit,
    started: Instant,
    team: TeamId,
    isolated: bool,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: ConcurrencyLimit,
    queue: FairQueue,
    gate: AdmissionGate,
    running: HashMap<WorkId, RunningWork>,
    /// Isolated work whose turn has come; nothing else starts until it has run, so that it is not starved.
    pending_isolated: Option<WorkItem>,
    service_seconds: Option<f64>,
}

impl AdmissionControl {
    /// Creates admission with a cold limit, an empty queue and an open gate.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            limit: ConcurrencyLimit::new(options.limit),
            queue: FairQueue::new(options.queue_length),
            gate: AdmissionGate::Open,
            running: HashMap::new(),
            pending_isolated: None,
            service_seconds: None,
        }
    }

    /// Takes new work: it starts, waits or is refused.
    pub fn offer(&mut self, item: WorkItem, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if let AdmissionGate::Held(reason) | AdmissionGate::Closed(reason) = self.gate {
            actions.push(self.refuse(item.id, reason));
            return actions;
        }
        if item.deadline <= now {
            actions.push(self.refuse(item.id, RefusalReason::DeadlineExceeded));
            return actions;
        }
        let time_left = item.deadline - now;
        let wait = self.expected_wait(&item, now);
        if wait > time_left {
            let retry_after = (wait - time_left).clamp(MIN_RETRY, MAX_RETRY);
            let refusal = WorkRefusal { reason: RefusalReason::Overloaded, retry_after };
            actions.push(AdmissionAction::Refuse(item.id, refusal));
            return actions;
        }
        self.drop_expired(now, &mut actions);
        match self.queue.offer(item, now) {
            Offered::Queued => {}
            Offered::Displaced(item) | Offered::Full(item) => {
                actions.push(self.refuse(item.id, RefusalReason::Overloaded));
            }
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Takes the end of work that was started.
    pub fn finish(&mut self, id: WorkId, result: WorkResult, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let Some(work) = self.running.remove(&id) else {
            return actions;
        };
        if let WorkResult::Success { .. } = result {
            let sample = now.saturating_duration_since(work.started).as_secs_f64();
            let average = self.note_service_time(sample);
            if average > 0.0 {
                self.queue.correct_charge(&work.team, sample / average);
            }
        }
        actions.extend(self.limit.complete(work.permit, result).map(AdmissionAction::Fell));
        self.advance(now, &mut actions);
        actions
    }

    /// Withdraws work that waits; returns false if it does not wait here. Work in flight is ended with
    /// [`finish`](Self::finish).
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        let is_pending = self.pending_isolated.as_ref().is_some_and(|item| item.id == id);
        if is_pending {
            self.pending_isolated = None;
        }
        is_pending || self.queue.take(id).is_some()
    }

    /// Drops work past its deadline and starts what may start.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Takes what the upstream says about its lifetime.
    pub fn observe(&mut self, epoch: UpstreamEpoch) -> Option<LimitFall> {
        self.limit.observe(epoch)
    }

    /// Takes the loss of the upstream: the next one starts cold.
    pub fn note_upstream_lost(&mut self) -> LimitFall {
        self.limit.fall(LimitFall::UpstreamLost)
    }

    /// Changes the gate.
    pub fn set_gate(&mut self, gate: AdmissionGate, now: Instant) -> Vec<AdmissionAction> {
        self.gate = gate;
        let mut actions = Vec::new();
        if let AdmissionGate::Closed(reason) = gate {
            let waiting = self.pending_isolated.take().into_iter().chain(self.queue.take_all());
            let ids: Vec<_> = waiting.map(|item| item.id).collect();
            actions.extend(ids.into_iter().map(|id| self.refuse(id, reason)));
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Puts new bounds of the limit in force.
    pub fn set_bounds(&mut self, cold_limit: u32, warm_limit: u32) {
        self.limit.set_bounds(cold_limit, warm_limit);
    }

    /// Puts new shares in force.
    pub fn set_shares(&mut self, shares: TeamShares) {
        self.queue.set_shares(shares);
    }

    /// The gate in force.
    #[must_use]
    pub fn gate(&self) -> AdmissionGate {
        self.gate
    }

    /// Requests that may be in flight now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.limit.in_use()
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + usize::from(self.pending_isolated.is_some())
    }

    /// Time of the next deadline of waiting work; call [`tick`](Self::tick) then.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let pending = self.pending_isolated.as_ref().map(|item| item.deadline);
        self.queue.next_deadline().into_iter().chain(pending).min()
    }

    /// When a new attempt makes sense: the time in which what waits now is dispatched.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let wait = self.service_seconds.map(|_| self.dispatch_time(self.queued() + 1));
        wait.unwrap_or(DEFAULT_RETRY).clamp(MIN_RETRY, MAX_RETRY)
    }

    fn refuse(&self, id: WorkId, reason: RefusalReason) -> AdmissionAction {
        AdmissionAction::Refuse(id, WorkRefusal { reason, retry_after: self.retry_after() })
    }

    fn can_start_at_once(&self, item: &WorkItem) -> bool {
        self.gate == AdmissionGate::Open && self.queued() == 0 && self.is_startable(item.isolated)
    }

    fn is_startable(&self, isolated: bool) -> bool {
        let isolated_runs = self.running.values().any(|work| work.isolated);
        let idle = self.limit.in_use() == 0;
        !isolated_runs && self.limit.has_room() && (!isolated || idle)
    }

    fn start(&mut self, item: &WorkItem, now: Instant, actions: &mut Vec<AdmissionAction>) {
        if let Some(permit) = self.limit.try_admit() {
            let work = RunningWork {
                permit,
                started: now,
                team: item.team.clone(),
                isolated: item.isolated,
            };
            self.running.insert(item.id, work);
            actions.push(AdmissionAction::Start(item.id));
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        self.drop_expired(now, actions);
        self.dispatch(now, actions);
    }

    fn drop_expired(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        let pending = self.pending_isolated.take_if(|item| item.deadline <= now);
        let expired = pending.into_iter().chain(self.queue.take_expired(now));
        let ids: Vec<_> = expired.map(|item| item.id).collect();
        actions.extend(ids.into_iter().map(|id| self.refuse(id, RefusalReason::DeadlineExceeded)));
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        if self.gate != AdmissionGate::Open {
            return;
        }
        loop {
            if let Some(item) = self.pending_isolated.take() {
                if !self.is_startable(true) {
                    self.pending_isolated = Some(item);
                    return;
                }
                self.start(&item, now, actions);
            }
            if !self.is_startable(false) {
                return;
            }
            let Some(item) = self.queue.pop(self.limit.limit()) else {
                return;
            };
            if item.isolated {
                self.pending_isolated = Some(item);
            } else {
                self.start(&item, now, actions);
            }
        }
    }

    fn expected_wait(&self, item: &WorkItem, now: Instant) -> Duration {
        if self.can_start_at_once(item) {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead_of(item, now) + usize::from(self.pending_isolated.is_some());
        self.dispatch_time(ahead + 1)
    }

    /// Time in which `count` requests are dispatched at the measured service time; zero while none is measured.
    fn dispatch_time(&self, count: usize) -> Duration {
        let seconds = self.service_seconds.unwrap_or(0.0) * count as f64;
        Duration::from_secs_f64(seconds / f64::from(self.limit.limit()))
    }

    /// Adds a sample to the average service time and returns the average, both in seconds.
    fn note_service_time(&mut self, sample: f64) -> f64 {
        let average = self.service_seconds.get_or_insert(sample);
        *average += (sample - *average) * SERVICE_WEIGHT;
        *average
    }
}
