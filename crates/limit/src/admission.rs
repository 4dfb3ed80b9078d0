//! Admission control: combines the concurrency limit with the fair queue.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{RefusalReason, TeamId};

use crate::{
    concurrency::{
        ConcurrencyLimit, LimitDecrease, LimitOptions, UpstreamEpoch, WorkPermit, WorkResult,
    },
    queue::{FairQueue, OfferResult, TeamShares, WorkId, WorkItem},
};

/// Retry delay until a first service time has been measured.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Bounds on the retry delay returned with a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Weight of a new sample in the moving average of the service time.
const SERVICE_WEIGHT: f64 = 0.125;

/// Options of [`AdmissionControl`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Bounds of the concurrency limit.
    pub limit: LimitOptions,
    /// Maximum number of queued requests.
    pub queue_length: usize,
}

/// Whether new work is accepted and queued work may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionGate {
    /// New work is accepted, and queued work starts as the limit allows.
    Open,
    /// New work is refused for this reason; queued work stays queued but does not start.
    Held(RefusalReason),
    /// New and queued work is refused for this reason; work in flight continues.
    Closed(RefusalReason),
}

/// Refusal of work that was not sent to the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkRefusal {
    /// Reason that is returned to the caller.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Action that the caller of [`AdmissionControl`] has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send this work to the upstream, and report its end with [`AdmissionControl::finish`].
    Start(WorkId),
    /// Refuse this work; it has not run.
    Refuse(WorkId, WorkRefusal),
    /// Log that the concurrency limit was lowered.
    LimitDecreased(LimitDecrease),
}

#[derive(Debug)]
struct RunningWork {
    permit: WorkPermit,
    started: Instant,
    team: TeamId,
    isolated: bool,
}

/// Admission control for one upstream.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: ConcurrencyLimit,
    queue: FairQueue,
    gate: AdmissionGate,
    running: HashMap<WorkId, RunningWork>,
    /// Isolated work that is next to start. No other work starts before it, so that it is not starved.
    pending_isolated: Option<WorkItem>,
    /// Moving average of the service time; `None` until the first success.
    service_seconds: Option<f64>,
}

impl AdmissionControl {
    /// Creates admission control with an open gate, an empty queue and the limit of a cold upstream.
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

    /// Offers new work, which is started, queued or refused. Another queued item may be refused to make room for it.
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
            let retry_after = (wait - time_left).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            let refusal = WorkRefusal { reason: RefusalReason::Overloaded, retry_after };
            actions.push(AdmissionAction::Refuse(item.id, refusal));
            return actions;
        }
        self.refuse_expired(now, &mut actions);
        match self.queue.offer(item, now) {
            OfferResult::Queued => {}
            OfferResult::Displaced(item) | OfferResult::Full(item) => {
                actions.push(self.refuse(item.id, RefusalReason::Overloaded));
            }
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Records the end of started work, and starts queued work in its place. Unknown ids are ignored.
    pub fn finish(&mut self, id: WorkId, result: WorkResult, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let Some(work) = self.running.remove(&id) else {
            return actions;
        };
        if let WorkResult::Success { .. } = result {
            let sample = now.saturating_duration_since(work.started).as_secs_f64();
            let average = self.record_service_time(sample);
            if average > 0.0 {
                self.queue.correct_charge(&work.team, sample / average);
            }
        }
        actions
            .extend(self.limit.complete(work.permit, result).map(AdmissionAction::LimitDecreased));
        self.advance(now, &mut actions);
        actions
    }

    /// Removes queued work; returns false if it is not queued. End work in flight with [`finish`](Self::finish)
    /// instead.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let is_pending = self.pending_isolated.as_ref().is_some_and(|item| item.id == id);
        if is_pending {
            self.pending_isolated = None;
        }
        is_pending || self.queue.remove(id).is_some()
    }

    /// Refuses queued work past its deadline and starts the work that may start now.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Records the epoch that the upstream reports; lowers the limit and returns the reason if the upstream is cold
    /// again.
    pub fn observe_epoch(&mut self, epoch: UpstreamEpoch) -> Option<LimitDecrease> {
        self.limit.observe_epoch(epoch)
    }

    /// Records the loss of the upstream and lowers the limit, because the upstream is cold when it is back.
    pub fn record_upstream_lost(&mut self) -> LimitDecrease {
        self.limit.decrease(LimitDecrease::UpstreamLost)
    }

    /// Changes the gate; refuses queued work if it is now closed, and starts work if it is now open.
    pub fn set_gate(&mut self, gate: AdmissionGate, now: Instant) -> Vec<AdmissionAction> {
        self.gate = gate;
        let mut actions = Vec::new();
        if let AdmissionGate::Closed(reason) = gate {
            let queued = self.pending_isolated.take().into_iter().chain(self.queue.remove_all());
            let ids: Vec<_> = queued.map(|item| item.id).collect();
            actions.extend(ids.into_iter().map(|id| self.refuse(id, reason)));
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Replaces the bounds of the concurrency limit and clamps the limit to them.
    pub fn set_bounds(&mut self, cold_limit: u32, warm_limit: u32) {
        self.limit.set_bounds(cold_limit, warm_limit);
    }

    /// Replaces the shares of all teams.
    pub fn set_shares(&mut self, shares: TeamShares) {
        self.queue.set_shares(shares);
    }

    /// Current state of the gate.
    #[must_use]
    pub fn gate(&self) -> AdmissionGate {
        self.gate
    }

    /// Number of requests that may be in flight at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.limit.in_use()
    }

    /// Number of queued requests, including isolated work that is next to start.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + usize::from(self.pending_isolated.is_some())
    }

    /// Earliest deadline of queued work, at which [`tick`](Self::tick) has to be called; `None` if none is queued.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let pending = self.pending_isolated.as_ref().map(|item| item.deadline);
        self.queue.next_deadline().into_iter().chain(pending).min()
    }

    /// Retry delay for refused work: the estimated time until the work that is queued now has been dispatched.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let wait = self.service_seconds.map(|_| self.dispatch_time(self.queued() + 1));
        wait.unwrap_or(DEFAULT_RETRY_DELAY).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn refuse(&self, id: WorkId, reason: RefusalReason) -> AdmissionAction {
        AdmissionAction::Refuse(id, WorkRefusal { reason, retry_after: self.retry_after() })
    }

    fn can_start_immediately(&self, item: &WorkItem) -> bool {
        self.gate == AdmissionGate::Open && self.queued() == 0 && self.is_startable(item.isolated)
    }

    fn is_startable(&self, isolated: bool) -> bool {
        let isolated_running = self.running.values().any(|work| work.isolated);
        let idle = self.limit.in_use() == 0;
        !isolated_running && self.limit.has_room() && (!isolated || idle)
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
        self.refuse_expired(now, actions);
        self.dispatch(now, actions);
    }

    fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<AdmissionAction>) {
        let pending = self.pending_isolated.take_if(|item| item.deadline <= now);
        let expired = pending.into_iter().chain(self.queue.remove_expired(now));
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
        if self.can_start_immediately(item) {
            return Duration::ZERO;
        }
        let ahead =
            self.queue.count_ahead_of(item, now) + usize::from(self.pending_isolated.is_some());
        self.dispatch_time(ahead + 1)
    }

    /// Estimated time to dispatch `count` requests at the average service time; zero until one has been measured.
    fn dispatch_time(&self, count: usize) -> Duration {
        let seconds = self.service_seconds.unwrap_or(0.0) * count as f64;
        Duration::from_secs_f64(seconds / f64::from(self.limit.limit()))
    }

    /// Adds a sample to the average service time and returns the new average, both in seconds.
    fn record_service_time(&mut self, sample: f64) -> f64 {
        let average = self.service_seconds.get_or_insert(sample);
        *average += (sample - *average) * SERVICE_WEIGHT;
        *average
    }
}
