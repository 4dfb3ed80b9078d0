//! Counts requests per team and kind, and computes the report.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use base::{Outcome, TeamId};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    report::{BurnReport, BurnRow, LatencyRow, WindowRow},
    window::{RequestResult, WindowRing},
};

/// Sliding windows and the number of their buckets.
const WINDOWS: [(Duration, usize); 3] =
    [(Duration::from_secs(5 * 60), 30), (Duration::from_secs(60 * 60), 60), (BUDGET_PERIOD, 60)];

/// Time over which an error budget is spent: the longest window, because counters do not outlive the process.
pub const BUDGET_PERIOD: Duration = Duration::from_secs(6 * 60 * 60);

/// First token of a model answer: the target of docs/design.md, section 4, which 95 in 100 have to reach.
pub const MODEL_OBJECTIVE: Objective = Objective { fraction: 0.95, in_time_ms: 340 };
/// Whole answer of an idempotent call. Callers repeat such a call themselves after about a second.
pub const IDEMPOTENT_OBJECTIVE: Objective = Objective { fraction: 0.99, in_time_ms: 1_000 };
/// Whole answer of a keyed call. Nobody but the owner may run it, so it cannot be moved to a faster upstream.
pub const KEYED_OBJECTIVE: Objective = Objective { fraction: 0.99, in_time_ms: 2_000 };

/// Teams that are counted apart; requests of further teams are counted together as [`OTHER_TEAMS`].
const MAX_TEAMS: usize = 256;
/// Name under which the teams beyond the bound are counted; no id of a configuration contains an asterisk.
const OTHER_TEAMS: &str = "*";

/// Longest latency that the histogram tells apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;
const LATENCY_DIGITS: u8 = 2;
/// The histogram covers the running span of this length and the one before it.
const LATENCY_SPAN: Duration = Duration::from_secs(60 * 60);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Generation by a model.
    Model,
    /// Idempotent call of a plain service.
    Idempotent,
    /// Call with a request key.
    Keyed,
}

impl fmt::Display for RequestKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Model => "model",
            Self::Idempotent => "idempotent",
            Self::Keyed => "keyed",
        })
    }
}

/// Service-level objective of one kind of request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Fraction of requests to answer in time, below 1.
    pub fraction: f64,
    /// Time to the first token of a model answer, or to the whole answer of a call, in milliseconds.
    pub in_time_ms: u64,
}

/// Objectives of all kinds; settings may override the defaults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveSet {
    /// Of model requests.
    pub model: Objective,
    /// Of idempotent calls.
    pub idempotent: Objective,
    /// Of keyed calls.
    pub keyed: Objective,
}

impl Default for ObjectiveSet {
    fn default() -> Self {
        Self { model: MODEL_OBJECTIVE, idempotent: IDEMPOTENT_OBJECTIVE, keyed: KEYED_OBJECTIVE }
    }
}

impl ObjectiveSet {
    /// The objective of a kind.
    #[must_use]
    pub fn of(&self, kind: RequestKind) -> Objective {
        match kind {
            RequestKind::Model => self.model,
            RequestKind::Idempotent => self.idempotent,
            RequestKind::Keyed => self.keyed,
        }
    }
}

/// Latencies of one kind.
#[derive(Debug)]
struct LatencyMeter {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    span: u64,
}

impl LatencyMeter {
    fn new() -> Self {
        let histogram =
            Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("the bounds are valid");
        Self { current: histogram.clone(), previous: histogram, span: 0 }
    }

    fn record(&mut self, elapsed: Duration, latency: Duration) {
        self.advance(elapsed);
        self.current.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
    }

    fn advance(&mut self, elapsed: Duration) {
        let span = elapsed.as_secs() / LATENCY_SPAN.as_secs();
        if span == self.span {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if span > self.span + 1 {
            self.previous.reset();
        }
        self.span = span;
    }

    fn row(&mut self, elapsed: Duration, kind: RequestKind) -> LatencyRow {
        self.advance(elapsed);
        let mut both = self.current.clone();
        both.add(&self.previous).expect("both histograms have the same bounds");
        LatencyRow {
            kind,
            count: both.len(),
            p50_ms: both.value_at_quantile(0.5),
            p95_ms: both.value_at_quantile(0.95),
            p99_ms: both.value_at_quantile(0.99),
            max_ms: both.max(),
        }
    }
}

/// Service-level counters of one entry.
#[derive(Debug)]
pub struct ServiceMeter {
    objectives: ObjectiveSet,
    started: Instant,
    rings: BTreeMap<(TeamId, RequestKind), [WindowRing; WINDOWS.len()]>,
    latencies: BTreeMap<RequestKind, LatencyMeter>,
}

impl ServiceMeter {
    /// Creates a meter that starts counting at `now`.
    #[must_use]
    pub fn new(now: Instant, objectives: ObjectiveSet) -> Self {
        Self { objectives, started: now, rings: BTreeMap::new(), latencies: BTreeMap::new() }
    }

    /// Counts a request that ended at `now`. `latency` is the time to the first token of a model answer, or to the
    /// whole answer of a call.
    pub fn record(
        &mut self,
        now: Instant,
        team: &TeamId,
        kind: RequestKind,
        outcome: Outcome,
        latency: Duration,
    ) -> RequestResult {
        let in_time = Duration::from_millis(self.objectives.of(kind).in_time_ms);
        let result = match outcome {
            Outcome::Answered if latency <= in_time => RequestResult::InTime,
            Outcome::Answered => RequestResult::Late,
            Outcome::NotRun => RequestResult::NotRun,
            Outcome::Unknown => RequestResult::Unknown,
        };
        let elapsed = now.saturating_duration_since(self.started);
        let mut key = (team.clone(), kind);
        if !self.rings.contains_key(&key) && self.rings.len() >= MAX_TEAMS * 3 {
            key.0 = OTHER_TEAMS.into();
        }
        let rings = self
            .rings
            .entry(key)
            .or_insert_with(|| WINDOWS.map(|(window, buckets)| WindowRing::new(window, buckets)));
        rings.iter_mut().for_each(|ring| ring.count(elapsed, result));
        if outcome == Outcome::Answered {
            let meter = self.latencies.entry(kind).or_insert_with(LatencyMeter::new);
            meter.record(elapsed, latency);
        }
        result
    }

    /// Report at `now`.
    #[must_use]
    pub fn report(&mut self, now: Instant) -> BurnReport {
        let elapsed = now.saturating_duration_since(self.started);
        let objectives = self.objectives;
        let rows = self.rings.iter_mut().map(|((team, kind), rings)| {
            let objective = objectives.of(*kind);
            let windows = rings.iter_mut().zip(WINDOWS).map(|(ring, (window, _))| WindowRow {
                window_s: window.as_secs(),
                counts: ring.total(elapsed),
                burn_rate: 0.0,
            });
            BurnRow::new(team.clone(), *kind, objective, windows.collect())
        });
        let rows = rows.filter(|row| row.windows.iter().any(|row| row.counts.total() > 0));
        BurnReport {
            covered_s: elapsed.min(BUDGET_PERIOD).as_secs(),
            rows: rows.collect(),
            latencies: self
                .latencies
                .iter_mut()
                .map(|(kind, meter)| meter.row(elapsed, *kind))
                .collect(),
        }
    }
}
