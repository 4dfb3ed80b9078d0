//! Hard limit on the number of concurrent requests to one upstream.
//!
//! A cold upstream, such as one that has just started or has an empty cache, can handle fewer requests than a warm one.
//! The limit starts at the cold limit, increases by one after as many successes as the limit allows requests, and
//! returns to the cold limit on any sign that the upstream is cold again.

use std::time::Duration;

use base::Incarnation;

/// Weight of a new sample in the short-term latency average.
const SHORT_WEIGHT: f64 = 0.25;
/// Weight of a new sample above the baseline. It is low so that the baseline does not follow a latency jump.
const BASELINE_RISE_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new sample below the baseline. It is higher because latency drops while an upstream warms up.
const BASELINE_FALL_WEIGHT: f64 = 0.125;
/// Number of samples after a decrease that are not checked for a latency jump.
const MIN_SAMPLES: u32 = 8;

/// Bounds of the limit and thresholds of the latency jump.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// Number of concurrent requests that a cold upstream can handle; at least 1.
    pub cold_limit: u32,
    /// Number of concurrent requests that a warm upstream can handle; at least `cold_limit`.
    pub warm_limit: u32,
    /// The limit decreases when the short-term latency average exceeds the baseline by this factor.
    pub jump_factor: f64,
    /// Latency averages up to this value never count as a jump, because scheduling noise dominates there.
    pub min_jump_latency: Duration,
}

impl LimitOptions {
    /// Creates options with these bounds and default thresholds. Raises `cold_limit` to at least 1, and `warm_limit` to
    /// at least `cold_limit`.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.max(1);
        Self {
            cold_limit,
            warm_limit: warm_limit.max(cold_limit),
            jump_factor: 3.0,
            min_jump_latency: Duration::from_millis(100),
        }
    }
}

/// State reported by an upstream whose change shows that the upstream is cold again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamEpoch {
    /// Incarnation of the upstream process; changes with each restart.
    pub incarnation: Incarnation,
    /// Number of resets of its prompt cache; 0 for plain services.
    pub cache_epoch: u64,
}

/// Reason why the limit was decreased.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecrease {
    /// The upstream reports a new incarnation.
    NewIncarnation,
    /// The upstream has reset its prompt cache.
    CacheReset,
    /// Latency rose far above the baseline.
    LatencyJump,
    /// The connection broke or the upstream stopped responding.
    UpstreamLost,
    /// The upstream refused work because of its load; the limit is halved, down to at least the cold limit.
    Overload,
}

impl LimitDecrease {
    /// Name of the reason in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NewIncarnation => "new_incarnation",
            Self::CacheReset => "cache_reset",
            Self::LatencyJump => "latency_jump",
            Self::UpstreamLost => "upstream_lost",
            Self::Overload => "overload",
        }
    }
}

/// Result of admitted work, as reported to [`ConcurrencyLimit::complete`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkResult {
    /// The upstream sent the whole response.
    Success {
        /// Time until the first byte of the response.
        latency: Duration,
    },
    /// The work failed or was cancelled, which says nothing about the capacity of the upstream.
    Neutral,
    /// The upstream refused the work because of its load.
    Overloaded,
}

/// Permit for one request in flight; return it with [`ConcurrencyLimit::complete`].
#[derive(Debug)]
#[must_use = "return the permit with `complete`"]
pub struct WorkPermit {
    generation: u64,
    counts_toward_growth: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatencyTrend {
    short: f64,
    baseline: f64,
    samples: u32,
}

impl LatencyTrend {
    fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            (self.short, self.baseline) = (sample, sample);
            return;
        }
        self.short += (sample - self.short) * SHORT_WEIGHT;
        let weight =
            if sample < self.baseline { BASELINE_FALL_WEIGHT } else { BASELINE_RISE_WEIGHT };
        self.baseline += (sample - self.baseline) * weight;
    }

    fn has_jumped(&self, options: &LimitOptions) -> bool {
        self.samples > MIN_SAMPLES
            && self.short > self.baseline * options.jump_factor
            && self.short > options.min_jump_latency.as_secs_f64()
    }
}

/// Adaptive concurrency limit and the number of requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    options: LimitOptions,
    limit: u32,
    in_use: u32,
    round_successes: u32,
    /// Incremented with each decrease; tells permits from before the decrease apart.
    generation: u64,
    epoch: Option<UpstreamEpoch>,
    trend: LatencyTrend,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `cold_limit`.
    #[must_use]
    pub fn new(options: LimitOptions) -> Self {
        Self {
            limit: options.cold_limit,
            options,
            in_use: 0,
            round_successes: 0,
            generation: 0,
            epoch: None,
            trend: LatencyTrend::default(),
        }
    }

    /// Number of requests that may be in flight at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of requests in flight. Exceeds the limit only after the limit has been lowered.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// True if another request may start under the limit.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_use < self.limit
    }

    /// Admits one request; `None` if as many requests are in flight as the limit allows.
    pub fn try_admit(&mut self) -> Option<WorkPermit> {
        if !self.has_room() {
            return None;
        }
        self.in_use += 1;
        // Success while at most half of the limit is in use does not show that the upstream can handle more.
        let counts_toward_growth = self.in_use * 2 > self.limit;
        Some(WorkPermit { generation: self.generation, counts_toward_growth })
    }

    /// Takes back a permit with the result of its work; returns the reason if the result decreased the limit.
    ///
    /// Results of work that started before the last decrease neither raise nor lower the limit.
    pub fn complete(&mut self, permit: WorkPermit, result: WorkResult) -> Option<LimitDecrease> {
        self.in_use = self.in_use.saturating_sub(1);
        if permit.generation != self.generation {
            return None;
        }
        match result {
            WorkResult::Success { latency } => {
                self.trend.record(latency);
                if self.trend.has_jumped(&self.options) {
                    return Some(self.decrease(LimitDecrease::LatencyJump));
                }
                if permit.counts_toward_growth {
                    self.grow();
                }
                None
            }
            WorkResult::Neutral => None,
            WorkResult::Overloaded => Some(self.decrease(LimitDecrease::Overload)),
        }
    }

    /// Records the epoch that the upstream reports; lowers the limit and returns the reason if the upstream is cold
    /// again.
    pub fn observe_epoch(&mut self, epoch: UpstreamEpoch) -> Option<LimitDecrease> {
        let previous = self.epoch.replace(epoch)?;
        if previous.incarnation != epoch.incarnation {
            Some(self.decrease(LimitDecrease::NewIncarnation))
        } else if previous.cache_epoch != epoch.cache_epoch {
            Some(self.decrease(LimitDecrease::CacheReset))
        } else {
            None
        }
    }

    /// Lowers the limit: to half, but not below `cold_limit`, after an overload, and to `cold_limit` for any other
    /// reason. Returns the reason.
    pub fn decrease(&mut self, reason: LimitDecrease) -> LimitDecrease {
        let halved = (self.limit / 2).max(self.options.cold_limit);
        self.limit =
            if reason == LimitDecrease::Overload { halved } else { self.options.cold_limit };
        self.generation += 1;
        self.round_successes = 0;
        self.trend = LatencyTrend::default();
        reason
    }

    /// Replaces the bounds and clamps the limit to them.
    pub fn set_bounds(&mut self, cold_limit: u32, warm_limit: u32) {
        let bounds = LimitOptions::new(cold_limit, warm_limit);
        self.options.cold_limit = bounds.cold_limit;
        self.options.warm_limit = bounds.warm_limit;
        self.limit = self.limit.clamp(bounds.cold_limit, bounds.warm_limit);
    }

    fn grow(&mut self) {
        self.round_successes += 1;
        if self.round_successes >= self.limit && self.limit < self.options.warm_limit {
            self.limit += 1;
            self.round_successes = 0;
        }
    }
}
