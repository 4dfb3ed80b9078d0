//! The hard limit of concurrent requests on one upstream.
//!
//! The limit starts cold, grows by one step for each full round of successful work, and falls back to cold on any sign
//! that the upstream is cold again.

use std::time::Duration;

use base::Incarnation;

/// Weight of a new sample in the short latency average.
const SHORT_WEIGHT: f64 = 0.25;
/// Weight of a new sample above the baseline: slow, so that a jump stands out.
const RISE_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new sample below the baseline: fast, because latency falls while an upstream warms up.
const FALL_WEIGHT: f64 = 0.125;
/// Samples after a fall before a jump can be detected.
const MIN_SAMPLES: u32 = 8;

/// Bounds of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOptions {
    /// Concurrent requests that a cold upstream bears; at least 1.
    pub cold_limit: u32,
    /// Concurrent requests that a warm upstream bears; at least `cold_limit`.
    pub warm_limit: u32,
    /// The limit falls when the short latency average exceeds the baseline by this factor.
    pub latency_jump: f64,
    /// Latency averages below this are never a jump; scheduling noise dominates there.
    pub min_jump_latency: Duration,
}

impl LimitOptions {
    /// Options with the given bounds, both raised to at least 1 and ordered.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.max(1);
        Self {
            cold_limit,
            warm_limit: warm_limit.max(cold_limit),
            latency_jump: 3.0,
            min_jump_latency: Duration::from_millis(100),
        }
    }
}

/// What an upstream says about its own lifetime.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamEpoch {
    /// Incarnation that the upstream names.
    pub incarnation: Incarnation,
    /// Counter of resets of its prompt cache; 0 for plain services.
    pub cache_epoch: u64,
}

/// Why the limit fell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitFall {
    /// The upstream names a new incarnation.
    NewIncarnation,
    /// The upstream has reset its prompt cache.
    CacheReset,
    /// Latency rose far above the baseline.
    LatencyJump,
    /// The connection broke or the upstream stopped answering.
    UpstreamLost,
    /// The upstream refused work; the limit is halved.
    Overload,
}

impl LimitFall {
    /// Name for logs.
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

/// Result of admitted work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkResult {
    /// The upstream answered in full. `latency` is the time until the first byte of the answer.
    Success {
        /// Time until the first byte.
        latency: Duration,
    },
    /// The work failed or was cancelled; this says nothing about how much the upstream bears.
    Neutral,
    /// The upstream refused the work because of its load.
    Overloaded,
}

/// Permission for one request.
#[derive(Debug)]
#[must_use = "return the permit with `complete`"]
pub struct WorkPermit {
    generation: u64,
    exercised: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatencyTrend {
    short: f64,
    baseline: f64,
    samples: u32,
}

impl LatencyTrend {
    fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            (self.short, self.baseline) = (sample, sample);
            return;
        }
        self.short += (sample - self.short) * SHORT_WEIGHT;
        let weight = if sample < self.baseline { FALL_WEIGHT } else { RISE_WEIGHT };
        self.baseline += (sample - self.baseline) * weight;
    }

    fn has_jumped(&self, options: &LimitOptions) -> bool {
        self.samples > MIN_SAMPLES
            && self.short > self.baseline * options.latency_jump
            && self.short > options.min_jump_latency.as_secs_f64()
    }
}

/// Adaptive limit and the count of requests in flight.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    options: LimitOptions,
    limit: u32,
    in_use: u32,
    round_successes: u32,
    generation: u64,
    epoch: Option<UpstreamEpoch>,
    trend: LatencyTrend,
}

impl ConcurrencyLimit {
    /// Creates a limit that stands at `cold_limit`.
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

    /// Requests that may be in flight now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests in flight. Exceeds the limit only after a fall.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// True if another request may start.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_use < self.limit
    }

    /// Admits one request if there is room.
    pub fn try_admit(&mut self) -> Option<WorkPermit> {
        if !self.has_room() {
            return None;
        }
        self.in_use += 1;
        // Success at low concurrency does not show that the upstream bears more.
        let exercised = self.in_use * 2 > self.limit;
        Some(WorkPermit { generation: self.generation, exercised })
    }

    /// Returns a permit with the result of its work; returns the fall if the result caused one.
    ///
    /// Results of work that started before the last fall neither raise nor lower the limit.
    pub fn complete(&mut self, permit: WorkPermit, result: WorkResult) -> Option<LimitFall> {
        self.in_use = self.in_use.saturating_sub(1);
        if permit.generation != self.generation {
            return None;
        }
        match result {
            WorkResult::Success { latency } => {
                self.trend.add(latency);
                if self.trend.has_jumped(&self.options) {
                    return Some(self.fall(LimitFall::LatencyJump));
                }
                if permit.exercised {
                    self.grow();
                }
                None
            }
            WorkResult::Neutral => None,
            WorkResult::Overloaded => Some(self.fall(LimitFall::Overload)),
        }
    }

    /// Takes what the upstream says about its lifetime; returns the fall if it is cold again.
    pub fn observe(&mut self, epoch: UpstreamEpoch) -> Option<LimitFall> {
        let last = self.epoch.replace(epoch)?;
        if last.incarnation != epoch.incarnation {
            Some(self.fall(LimitFall::NewIncarnation))
        } else if last.cache_epoch != epoch.cache_epoch {
            Some(self.fall(LimitFall::CacheReset))
        } else {
            None
        }
    }

    /// Lowers the limit: half after an overload, else to `cold_limit`.
    pub fn fall(&mut self, fall: LimitFall) -> LimitFall {
        let halved = (self.limit / 2).max(self.options.cold_limit);
        self.limit = if fall == LimitFall::Overload { halved } else { self.options.cold_limit };
        self.generation += 1;
        self.round_successes = 0;
        self.trend = LatencyTrend::default();
        fall
    }

    /// Puts new bounds in force; the limit is moved into them.
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
