//! What one upstream bears and what it really ran.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::http::lock;

/// Time after an upstream turned cold in which excess work does not make it fall over, so that its agent can learn of
/// it by the next status read.
const COLD_GRACE: Duration = Duration::from_millis(1_500);

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkEnd {
    /// Still in progress.
    Running,
    /// The whole answer was produced.
    Finished,
    /// The agent closed the connection.
    Cancelled,
    /// The upstream crashed.
    Crashed,
}

/// One run of a request by an upstream.
#[derive(Clone, Debug)]
pub struct WorkRecord {
    /// Prompt of a model request, or reference of a service call.
    pub reference: CompactString,
    /// Attempt that the caller named; empty if none.
    pub attempt: CompactString,
    /// When the upstream accepted it.
    pub accepted_at: Instant,
    /// How it ended.
    pub end: WorkEnd,
}

/// Every run of one upstream, across its restarts.
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

    /// Copy of all records in order of acceptance.
    #[must_use]
    pub fn records(&self) -> Vec<WorkRecord> {
        lock(&self.records).clone()
    }
}

/// Work in progress of one upstream and how much it bears.
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
    bears: u32,
    over_limit_peak: u32,
    over_limit_times: u32,
    crashes: u32,
    grace_until: Option<Instant>,
}

/// The upstream is so far above what it bears that it crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Collapse;

impl LoadGauge {
    /// Creates the gauge of a cold upstream.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Arc<Self> {
        let state = GaugeState { incarnation: 1, bears: cold_limit, ..GaugeState::default() };
        Arc::new(Self { cold_limit, warm_limit, state: Mutex::new(state), log: WorkLog::default() })
    }

    /// Accepts work.
    ///
    /// # Errors
    /// Fails if the work in progress now exceeds what the upstream bears by a quarter; it then has to crash. The work
    /// is on record in both cases.
    pub fn accept(
        self: &Arc<Self>,
        reference: CompactString,
        attempt: CompactString,
    ) -> Result<WorkGuard, Collapse> {
        let index = self.log.push(reference, attempt);
        let mut state = lock(&self.state);
        state.in_use += 1;
        let in_grace = state.grace_until.is_some_and(|until| Instant::now() < until);
        let excess = state.in_use.saturating_sub(state.bears);
        if excess > 0 && !in_grace {
            state.over_limit_peak = state.over_limit_peak.max(excess);
            state.over_limit_times += 1;
            if excess > (state.bears / 4).max(1) {
                self.log.finish(index, WorkEnd::Crashed);
                return Err(Collapse);
            }
        }
        let incarnation = state.incarnation;
        Ok(WorkGuard { gauge: Arc::clone(self), index, incarnation, ended: false })
    }

    /// Loses all work in progress and comes back cold, with a new incarnation.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        log::info!("event=upstream_crashed in_use={} bears={}", state.in_use, state.bears);
        state.incarnation += 1;
        state.crashes += 1;
        state.in_use = 0;
        state.bears = self.cold_limit;
        state.grace_until = None;
    }

    /// Turns cold without a restart.
    pub fn turn_cold(&self) {
        let mut state = lock(&self.state);
        state.bears = self.cold_limit;
        state.grace_until = Some(Instant::now() + COLD_GRACE);
    }

    /// Lets the upstream bear its warm limit at once; for measurements that start with a warm fleet.
    pub fn turn_warm(&self) {
        lock(&self.state).bears = self.warm_limit;
    }

    /// Number of starts so far; rises with every crash.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        lock(&self.state).incarnation
    }

    /// Work in progress.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        lock(&self.state).in_use
    }

    /// Work that the upstream bears now.
    #[must_use]
    pub fn bears(&self) -> u32 {
        lock(&self.state).bears
    }

    /// Share of the warm limit that is in use.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        f64::from(self.in_use()) / f64::from(self.warm_limit)
    }

    /// Most by which accepted work exceeded what the upstream bore at that moment.
    #[must_use]
    pub fn over_limit_peak(&self) -> u32 {
        lock(&self.state).over_limit_peak
    }

    /// Times that work was accepted above what the upstream bore.
    #[must_use]
    pub fn over_limit_times(&self) -> u32 {
        lock(&self.state).over_limit_times
    }

    /// Crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        lock(&self.state).crashes
    }

    /// Record of all runs.
    #[must_use]
    pub fn log(&self) -> &WorkLog {
        &self.log
    }

    fn leave(&self, incarnation: u64, index: usize, end: WorkEnd) {
        let mut state = lock(&self.state);
        if state.incarnation != incarnation {
            drop(state);
            self.log.finish(index, WorkEnd::Crashed);
            return;
        }
        state.in_use -= 1;
        if end == WorkEnd::Finished && state.bears < self.warm_limit {
            // An upstream gains one slot per completed run; a limit that doubles with each full round of successful
            // work stays within it.
            state.bears += 1;
        }
        drop(state);
        self.log.finish(index, end);
    }
}

/// Work in progress; counts as cancelled when dropped before its end.
#[derive(Debug)]
pub struct WorkGuard {
    gauge: Arc<LoadGauge>,
    index: usize,
    incarnation: u64,
    ended: bool,
}

impl WorkGuard {
    /// True if the upstream crashed since it accepted the work.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.gauge.incarnation() != self.incarnation
    }

    /// Marks the work as complete.
    pub fn finish(mut self) {
        self.ended = true;
        self.gauge.leave(self.incarnation, self.index, WorkEnd::Finished);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.gauge.leave(self.incarnation, self.index, WorkEnd::Cancelled);
        }
    }
}
