//! Concurrency limit of one simulated upstream and a record of the work that it ran.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::http::lock;

/// Period after an upstream becomes cold in which excess work does not crash it, so that its agent can detect the
/// change with the next status read.
const COLD_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkEnd {
    /// The run is still in progress.
    Running,
    /// The whole response was produced.
    Finished,
    /// The agent closed the connection.
    Cancelled,
    /// The upstream crashed.
    Crashed,
}

/// One run of a request by an upstream.
#[derive(Clone, Debug)]
pub struct WorkRecord {
    /// Prompt of a model request, or reference of a service request.
    pub reference: CompactString,
    /// Attempt id that the caller sent; empty if none.
    pub attempt: CompactString,
    /// Time at which the upstream accepted the request.
    pub accepted_at: Instant,
    /// How the run ended.
    pub end: WorkEnd,
}

/// All runs of one upstream, including those before a restart.
#[derive(Debug, Default)]
pub struct WorkLog {
    records: Mutex<Vec<WorkRecord>>,
}

impl WorkLog {
    fn push(&self, reference: CompactString, attempt: CompactString) -> usize {
        let mut records = lock(&self.records);
        let accepted_at = Instant::now();
        records.push(WorkRecord { reference, attempt, accepted_at, end: WorkEnd::Running });
        records.len() - 1
    }

    fn finish(&self, index: usize, end: WorkEnd) {
        lock(&self.records)[index].end = end;
    }

    /// Number of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// True if nothing has run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns a copy of all records in order of acceptance.
    #[must_use]
    pub fn records(&self) -> Vec<WorkRecord> {
        lock(&self.records).clone()
    }
}

/// Work in progress of one upstream and its current concurrency limit.
#[derive(Debug)]
pub struct LoadGauge {
    cold_limit: u32,
    warm_limit: u32,
    state: Mutex<GaugeState>,
    log: WorkLog,
}

#[derive(Debug, Default)]
struct GaugeState {
    incarnation: u64,
    in_use: u32,
    limit: u32,
    over_limit_peak: u32,
    over_limit_count: u32,
    crashes: u32,
    grace_until: Option<Instant>,
}

/// Error of accepting work: the upstream is so far above its limit that it must crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverloadCrash;

impl LoadGauge {
    /// Creates the gauge of a cold upstream; its limit starts at `cold_limit` and grows to `warm_limit`.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Arc<Self> {
        let state = GaugeState { incarnation: 1, limit: cold_limit, ..GaugeState::default() };
        Arc::new(Self { cold_limit, warm_limit, state: Mutex::new(state), log: WorkLog::default() })
    }

    /// Accepts and records one unit of work.
    ///
    /// # Errors
    /// Fails if the work in progress now exceeds the current limit by more than a quarter, and by more than one; the
    /// upstream must then crash. The work is recorded in both cases.
    pub fn accept(
        self: &Arc<Self>,
        reference: CompactString,
        attempt: CompactString,
    ) -> Result<WorkGuard, OverloadCrash> {
        let index = self.log.push(reference, attempt);
        let mut state = lock(&self.state);
        state.in_use += 1;
        let in_grace = state.grace_until.is_some_and(|until| Instant::now() < until);
        let excess = state.in_use.saturating_sub(state.limit);
        if excess > 0 && !in_grace {
            state.over_limit_peak = state.over_limit_peak.max(excess);
            state.over_limit_count += 1;
            if excess > (state.limit / 4).max(1) {
                self.log.finish(index, WorkEnd::Crashed);
                return Err(OverloadCrash);
            }
        }
        let incarnation = state.incarnation;
        Ok(WorkGuard { gauge: Arc::clone(self), index, incarnation, ended: false })
    }

    /// Drops all work in progress and restarts cold, with a new incarnation.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        log::info!("event=upstream_crashed in_use={} bears={}", state.in_use, state.limit);
        state.incarnation += 1;
        state.crashes += 1;
        state.in_use = 0;
        state.limit = self.cold_limit;
        state.grace_until = None;
    }

    /// Makes the upstream cold without a restart.
    pub fn set_cold(&self) {
        let mut state = lock(&self.state);
        state.limit = self.cold_limit;
        state.grace_until = Some(Instant::now() + COLD_GRACE_PERIOD);
    }

    /// Sets the current limit to the warm limit, for measurements that start with a warm fleet.
    pub fn set_warm(&self) {
        lock(&self.state).limit = self.warm_limit;
    }

    /// Number of starts so far; increases with every crash.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        lock(&self.state).incarnation
    }

    /// Units of work in progress.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        lock(&self.state).in_use
    }

    /// Current concurrency limit.
    #[must_use]
    pub fn current_limit(&self) -> u32 {
        lock(&self.state).limit
    }

    /// Work in progress as a fraction of the warm limit.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        f64::from(self.in_use()) / f64::from(self.warm_limit)
    }

    /// Maximum by which accepted work exceeded the limit at that moment.
    #[must_use]
    pub fn over_limit_peak(&self) -> u32 {
        lock(&self.state).over_limit_peak
    }

    /// Number of times that work was accepted above the limit.
    #[must_use]
    pub fn over_limit_count(&self) -> u32 {
        lock(&self.state).over_limit_count
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        lock(&self.state).crashes
    }

    /// Log of all runs.
    #[must_use]
    pub fn log(&self) -> &WorkLog {
        &self.log
    }

    fn release(&self, incarnation: u64, index: usize, end: WorkEnd) {
        let mut state = lock(&self.state);
        if state.incarnation != incarnation {
            drop(state);
            self.log.finish(index, WorkEnd::Crashed);
            return;
        }
        state.in_use -= 1;
        if end == WorkEnd::Finished && state.limit < self.warm_limit {
            // The upstream gains one slot per completed run. A limiter that doubles its limit with each full round of
            // successful work therefore stays within the limit.
            state.limit += 1;
        }
        drop(state);
        self.log.finish(index, end);
    }
}

/// Unit of work in progress; counts as cancelled if dropped before [`WorkGuard::finish`].
#[derive(Debug)]
pub struct WorkGuard {
    gauge: Arc<LoadGauge>,
    index: usize,
    incarnation: u64,
    ended: bool,
}

impl WorkGuard {
    /// True if the upstream has crashed since it accepted the work.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.gauge.incarnation() != self.incarnation
    }

    /// Marks the work as complete.
    pub fn finish(mut self) {
        self.ended = true;
        self.gauge.release(self.incarnation, self.index, WorkEnd::Finished);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.gauge.release(self.incarnation, self.index, WorkEnd::Cancelled);
        }
    }
}
