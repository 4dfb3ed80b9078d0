//! Compares the outcomes that callers received with the work that the stand-ins ran.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use base::DataCentreId;
use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    ledger::{AttemptResult, RequestKind, RequestRecord},
    platform::work::{WorkEnd, WorkRecord},
};

/// Maximum latency that the histogram can record, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of the histogram.
const LATENCY_DIGITS: u8 = 3;

/// Work that one upstream ran.
#[derive(Clone, Debug)]
pub struct UpstreamWork {
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Runs in order of acceptance.
    pub records: Vec<WorkRecord>,
    /// Maximum by which accepted work exceeded the concurrency limit of the upstream.
    pub over_limit_peak: u32,
    /// Number of crashes.
    pub crashes: u32,
}

/// Period in which a data centre was out of service, measured between the publications of the two changes.
#[derive(Clone, Debug)]
pub struct OutWindow {
    /// Id of the data centre.
    pub data_centre: DataCentreId,
    /// Time at which the change that takes it out of service was published.
    pub out_at: Instant,
    /// Time at which the change that returns it to service was published.
    pub back_at: Instant,
}

/// Result of the comparison, over all requests of a measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServeTally {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests with a complete and correct response.
    pub answered: u64,
    /// Answered requests that took at most [`Observation::in_time_limit`].
    pub in_time: u64,
    /// Requests whose final outcome is "not run".
    pub not_run: u64,
    /// Requests whose final outcome is unknown.
    pub unknown: u64,
    /// Requests rejected as caller errors.
    pub faults: u64,
    /// Requests that ended without an outcome, and confirmed requests that no upstream ran.
    pub lost: u64,
    /// Responses that do not match the request.
    pub wrong_answer: u64,
    /// Bookings that were run more than once.
    pub doubled: u64,
    /// Attempts with outcome "not run" that an upstream did run.
    pub untrue_not_run: u64,
    /// Responses that were cut off in progress although the upstream had not crashed.
    pub cut: u64,
    /// Median latency of answered requests.
    pub p50_ms: f64,
    /// 95th percentile of the latency of answered requests.
    pub p95_ms: f64,
    /// 99th percentile of the latency of answered requests.
    pub p99_ms: f64,
    /// Maximum by which accepted work exceeded the concurrency limit of an upstream.
    pub over_limit_peak: u32,
    /// Number of upstream crashes.
    pub upstream_crashes: u32,
    /// Maximum time in seconds from the publication that takes a data centre out of service to the last new work in
    /// it.
    pub last_new_work_after_out_s: f64,
}

/// Observations of callers and upstreams to compare.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Requests with the results that callers received.
    pub requests: Vec<RequestRecord>,
    /// Work that the upstreams ran.
    pub work: Vec<UpstreamWork>,
    /// Periods in which data centres were out of service.
    pub windows: Vec<OutWindow>,
    /// Maximum duration of a request that counts as in time.
    pub in_time_limit: Duration,
}

impl Observation {
    /// Compares the observations and counts the results.
    #[must_use]
    pub fn tally(&self) -> ServeTally {
        let runs = RunIndex::new(&self.work);
        let mut tally = ServeTally::default();
        let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
            .expect("the bounds are valid");
        for request in &self.requests {
            self.count_result(request, &runs, &mut tally);
            tally.untrue_not_run += runs.count_false_not_run(request);
            tally.cut += runs.count_cut_attempts(request);
            if request.verdict() == AttemptResult::Answered {
                let micros = u64::try_from(request.duration.as_micros()).unwrap_or(u64::MAX);
                latencies.saturating_record(micros);
            }
        }
        tally.doubled = runs.count_duplicate_runs(&self.requests);
        tally.p50_ms = quantile_ms(&latencies, 0.50);
        tally.p95_ms = quantile_ms(&latencies, 0.95);
        tally.p99_ms = quantile_ms(&latencies, 0.99);
        tally.over_limit_peak =
            self.work.iter().map(|work| work.over_limit_peak).max().unwrap_or_default();
        tally.upstream_crashes = self.work.iter().map(|work| work.crashes).sum();
        tally.last_new_work_after_out_s = self.last_new_work().as_secs_f64();
        tally
    }

    fn count_result(&self, request: &RequestRecord, runs: &RunIndex, tally: &mut ServeTally) {
        tally.sent += 1;
        match request.verdict() {
            AttemptResult::Answered if !runs.has_run(&request.reference) => tally.lost += 1,
            AttemptResult::Answered => {
                tally.answered += 1;
                tally.in_time += u64::from(request.duration <= self.in_time_limit);
            }
            AttemptResult::NotRun => tally.not_run += 1,
            AttemptResult::Unknown | AttemptResult::Broken => tally.unknown += 1,
            AttemptResult::NoAnswer | AttemptResult::Silent => tally.lost += 1,
            AttemptResult::Fault(_) => tally.faults += 1,
            AttemptResult::Wrong(_) => tally.wrong_answer += 1,
        }
    }

    fn last_new_work(&self) -> Duration {
        let in_window = |window: &OutWindow| {
            let upstreams = self.work.iter().filter(|work| work.data_centre == window.data_centre);
            let times = upstreams.flat_map(|work| &work.records).map(|record| record.accepted_at);
            times
                .filter(|at| (window.out_at..window.back_at).contains(at))
                .map(|at| at - window.out_at)
                .max()
        };
        self.windows.iter().filter_map(in_window).max().unwrap_or_default()
    }
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    Duration::from_micros(latencies.value_at_quantile(quantile)).as_secs_f64() * 1e3
}

/// Index of all runs by reference, and the attempts that were run.
struct RunIndex<'a> {
    by_reference: HashMap<&'a CompactString, Vec<&'a WorkRecord>>,
    attempts: HashSet<&'a CompactString>,
}

impl<'a> RunIndex<'a> {
    fn new(work: &'a [UpstreamWork]) -> Self {
        let mut by_reference: HashMap<_, Vec<_>> = HashMap::new();
        let mut attempts = HashSet::new();
        for record in work.iter().flat_map(|work| &work.records) {
            by_reference.entry(&record.reference).or_default().push(record);
            attempts.insert(&record.attempt);
        }
        Self { by_reference, attempts }
    }

    fn has_run(&self, reference: &CompactString) -> bool {
        self.by_reference.contains_key(reference)
    }

    fn count_duplicate_runs(&self, requests: &[RequestRecord]) -> u64 {
        let bookings = requests.iter().filter(|request| request.kind == RequestKind::Booking);
        let runs = bookings.filter_map(|request| self.by_reference.get(&request.reference));
        runs.filter(|runs| runs.len() > 1).count() as u64
    }

    /// A booking request carries its attempt id to the service. Retries of other requests have the same content, so a
    /// run is attributed to the last attempt that was sent before it.
    fn count_false_not_run(&self, request: &RequestRecord) -> u64 {
        let refused = (0..)
            .zip(&request.attempts)
            .filter(|(_, attempt)| attempt.result == AttemptResult::NotRun);
        let untrue = refused.filter(|(index, attempt)| {
            if request.kind == RequestKind::Booking {
                self.attempts.contains(&attempt.attempt)
            } else {
                self.runs_of(request, *index).next().is_some()
            }
        });
        untrue.count() as u64
    }

    /// Counts attempts whose response ended early without an outcome, and attempts without a response whose run was
    /// cancelled. Neither counts if the upstream crashed. An attempt that never reached an upstream was not in
    /// progress, so it does not count either.
    fn count_cut_attempts(&self, request: &RequestRecord) -> u64 {
        let cut = (0..).zip(&request.attempts).filter(|(index, attempt)| {
            let runs: Vec<_> = self.runs_of(request, *index).collect();
            let crashed = runs.iter().any(|run| run.end == WorkEnd::Crashed);
            let cancelled = runs.iter().any(|run| run.end == WorkEnd::Cancelled);
            match attempt.result {
                AttemptResult::Broken => !crashed,
                AttemptResult::Unknown | AttemptResult::NoAnswer | AttemptResult::NotRun => {
                    cancelled && !crashed
                }
                _ => false,
            }
        });
        cut.count() as u64
    }

    fn runs_of(
        &self,
        request: &'a RequestRecord,
        index: usize,
    ) -> impl Iterator<Item = &'a WorkRecord> {
        let from = request.attempts[index].sent_at;
        let to = request.attempts.get(index + 1).map(|next| next.sent_at);
        let runs = self.by_reference.get(&request.reference).into_iter().flatten().copied();
        runs.filter(move |run| run.accepted_at >= from && to.is_none_or(|to| run.accepted_at < to))
    }
}
