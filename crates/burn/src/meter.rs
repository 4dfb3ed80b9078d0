//! Counts requests by team and kind, and creates the report.

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

/// Length and number of buckets of each sliding window, the shortest first.
const WINDOWS: [(Duration, usize); 3] =
    [(Duration::from_secs(5 * 60), 30), (Duration::from_secs(60 * 60), 60), (BUDGET_PERIOD, 60)];

/// Period of the error budget. It is no longer than the longest window, because the counters are lost when the process
/// ends.
pub const BUDGET_PERIOD: Duration = Duration::from_secs(6 * 60 * 60);

/// Default objective of the time to the first token of a model response: the target of docs/design.md, section 4, which
/// 95 of 100 requests have to meet.
pub const MODEL_OBJECTIVE: Objective = Objective { fraction: 0.95, in_time_ms: 340 };
/// Default objective of the time to the complete response of an idempotent request. Callers retry such a request
/// themselves after about one second.
pub const IDEMPOTENT_OBJECTIVE: Objective = Objective { fraction: 0.99, in_time_ms: 1_000 };
/// Default objective of the time to the complete response of a request with a key. Only the owner of the key may run
/// the request, so it cannot be moved to a faster upstream.
pub const KEYED_OBJECTIVE: Objective = Objective { fraction: 0.99, in_time_ms: 2_000 };

/// Number of teams, with requests of all three kinds, that are counted separately. Requests of further teams are
/// counted together as [`OTHER_TEAMS`].
const MAX_TEAMS: usize = 256;
/// Name under which teams beyond [`MAX_TEAMS`] are counted. It cannot be the id of a team, because the ids of a
/// configuration contain no asterisk.
const OTHER_TEAMS: &str = "*";

/// Upper bound of the latency histograms in milliseconds; longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 600_000;
/// Precision of the latency histograms in significant decimal digits.
const LATENCY_DIGITS: u8 = 2;
/// Length of one latency period; the reported percentiles cover the current and the previous period.
const LATENCY_PERIOD: Duration = Duration::from_secs(60 * 60);

/// Kind of a request, which determines its objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Generation request to a model.
    Model,
    /// Idempotent request to a plain service.
    Idempotent,
    /// Request with a request key.
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

/// Service-level objective for one kind of request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Fraction of requests that have to be answered in time; below 1.
    pub fraction: f64,
    /// Time limit in milliseconds: to the first token of a model response, or to the complete response of another
    /// request.
    pub in_time_ms: u64,
}

/// Objectives for all kinds of requests; the settings may override the defaults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveSet {
    /// Objective for requests to models.
    pub model: Objective,
    /// Objective for idempotent requests to plain services.
    pub idempotent: Objective,
    /// Objective for requests with a request key.
    pub keyed: Objective,
}

impl Default for ObjectiveSet {
    fn default() -> Self {
        Self { model: MODEL_OBJECTIVE, idempotent: IDEMPOTENT_OBJECTIVE, keyed: KEYED_OBJECTIVE }
    }
}

impl ObjectiveSet {
    /// Returns the objective for `kind`.
    #[must_use]
    pub fn of(&self, kind: RequestKind) -> Objective {
        match kind {
            RequestKind::Model => self.model,
            RequestKind::Idempotent => self.idempotent,
            RequestKind::Keyed => self.keyed,
        }
    }
}

/// Latencies of the answered requests of one kind.
#[derive(Debug)]
struct LatencyMeter {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// Index of the current period, counted from the start of the meter.
    period: u64,
}

impl LatencyMeter {
    fn new() -> Self {
        let histogram =
            Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS).expect("the bounds are valid");
        Self { current: histogram.clone(), previous: histogram, period: 0 }
    }

    fn record(&mut self, elapsed: Duration, latency: Duration) {
        self.advance(elapsed);
        self.current.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
    }

    fn advance(&mut self, elapsed: Duration) {
        let period = elapsed.as_secs() / LATENCY_PERIOD.as_secs();
        if period == self.period {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if period > self.period + 1 {
            self.previous.reset();
        }
        self.period = period;
    }

    fn create_row(&mut self, elapsed: Duration, kind: RequestKind) -> LatencyRow {
        self.advance(elapsed);
        let mut combined = self.current.clone();
        combined.add(&self.previous).expect("both histograms have the same bounds");
        LatencyRow {
            kind,
            count: combined.len(),
            p50_ms: combined.value_at_quantile(0.5),
            p95_ms: combined.value_at_quantile(0.95),
            p99_ms: combined.value_at_quantile(0.99),
            max_ms: combined.max(),
        }
    }
}

/// Counts the requests of one entry by result and measures their latency.
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

    /// Counts a request that ended at `now` and returns its result. `latency` is the time to the first token of a model
    /// response, or to the complete response of another request.
    pub fn record(
        &mut self,
        now: Instant,
        team: &TeamId,
        kind: RequestKind,
        outcome: Outcome,
        latency: Duration,
    ) -> RequestResult {
        let time_limit = Duration::from_millis(self.objectives.of(kind).in_time_ms);
        let result = match outcome {
            Outcome::Answered if latency <= time_limit => RequestResult::InTime,
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

    /// Creates the report at `now`, without teams and kinds that had no requests in any window.
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
                .map(|(kind, meter)| meter.create_row(elapsed, *kind))
                .collect(),
        }
    }
}
