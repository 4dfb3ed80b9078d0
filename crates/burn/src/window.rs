//! Counters over sliding windows, kept as rings of buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a request ended, as the service-level objectives count it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// Answered within the time limit of the objective.
    InTime,
    /// Answered after the time limit of the objective.
    Late,
    /// Certainly not run by any upstream.
    NotRun,
    /// The outcome is unknown, or the response was cut off.
    Unknown,
}

/// Number of requests by result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResultCounts {
    /// Answered within the time limit of the objective.
    pub in_time: u64,
    /// Answered after the time limit.
    pub late: u64,
    /// Certainly not run by any upstream.
    pub not_run: u64,
    /// The outcome is unknown, or the response was cut off.
    pub unknown: u64,
}

impl ResultCounts {
    /// Number of all requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_time + self.late + self.not_run + self.unknown
    }

    /// Number of requests that were not answered in time.
    #[must_use]
    pub fn missed(&self) -> u64 {
        self.total() - self.in_time
    }

    /// Burn rate of the error budget: at a rate of 1 the whole budget is used up exactly at the end of its period.
    /// Returns 0 if there were no requests. `objective` is the fraction of requests that have to be answered in time.
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

/// A sliding window. The oldest bucket is discarded as a whole, so the window covers up to one bucket less than its
/// nominal length.
#[derive(Clone, Debug)]
pub(crate) struct WindowRing {
    bucket: Duration,
    buckets: Vec<ResultCounts>,
    /// Index of the current bucket, counted from the start of the meter.
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
        for entered in self.newest.saturating_add(1)..=index.min(self.newest.saturating_add(length))
        {
            let position = self.position(entered);
            self.buckets[position] = ResultCounts::default();
        }
        self.newest = self.newest.max(index);
    }

    fn position(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }
}
