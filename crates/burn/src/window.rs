//! Counters over sliding windows, as rings of buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a request ended, as the service-level objectives count it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// Answered within the time of the objective.
    InTime,
    /// Answered later than that.
    Late,
    /// Not run.
    NotRun,
    /// The outcome is unknown, or the answer broke off.
    Unknown,
}

/// Requests of one window by result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResultCounts {
    /// Answered in time.
    pub in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
}

impl ResultCounts {
    /// All requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_time + self.late + self.not_run + self.unknown
    }

    /// Requests that miss the objective.
    #[must_use]
    pub fn missed(&self) -> u64 {
        self.total() - self.in_time
    }

    /// Rate at which these requests consume the error budget: 1 uses up exactly the budget, 0 if there were none.
    /// `objective` is the fraction of requests to answer in time.
    #[must_use]
    pub fn burn_rate(&self, objective: f64) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        self.missed() as f64 / self.total() as f64 / (1.0 - objective).max(f64::EPSILON)
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
    }

    pub(crate) fn count(&mut self, result: RequestResult) {
        match result {
            RequestResult::InTime => self.in_time += 1,
            RequestResult::Late => self.late += 1,
            RequestResult::NotRun => self.not_run += 1,
            RequestResult::Unknown => self.unknown += 1,
        }
    }
}

/// One sliding window. Its oldest bucket leaves it whole, so the window is up to one bucket shorter than named.
#[derive(Clone, Debug)]
pub(crate) struct WindowRing {
    bucket: Duration,
    buckets: Vec<ResultCounts>,
    newest: u64,
}

impl WindowRing {
    pub(crate) fn new(window: Duration, buckets: usize) -> Self {
        let bucket = window / u32::try_from(buckets).unwrap_or(u32::MAX).max(1);
        Self { bucket, buckets: vec![ResultCounts::default(); buckets.max(1)], newest: 0 }
    }

    /// Counts a request; `elapsed` is the time since the meter started.
    pub(crate) fn count(&mut self, elapsed: Duration, result: RequestResult) {
        self.advance(elapsed);
        let position = self.position(self.newest);
        self.buckets[position].count(result);
    }

    pub(crate) fn total(&mut self, elapsed: Duration) -> ResultCounts {
        self.advance(elapsed);
        let mut total = ResultCounts::default();
        self.buckets.iter().for_each(|counts| total.add(counts));
        total
    }

    fn advance(&mut self, elapsed: Duration) {
        let index =
            u64::try_from(elapsed.as_nanos() / self.bucket.as_nanos().max(1)).unwrap_or(u64::MAX);
        let length = self.buckets.len() as u64;
        for passed in self.newest.saturating_add(1)..=index.min(self.newest.saturating_add(length))
        {
            let position = self.position(passed);
            self.buckets[position] = ResultCounts::default();
        }
        self.newest = self.newest.max(index);
    }

    fn position(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }
}
