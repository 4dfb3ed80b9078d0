//! Counts that forget, and credits that turn a share into single admissions.

use std::time::{Duration, Instant};

/// Sum of amounts, of which each loses weight exponentially with its age.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCount {
    value: f64,
    updated: Instant,
    time_constant: Duration,
}

/// Fraction of a value that is left after `elapsed`.
fn remaining(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

impl DecayingCount {
    pub(crate) fn new(time_constant: Duration, now: Instant) -> Self {
        Self { value: 0.0, updated: now, time_constant }
    }

    pub(crate) fn value(&self, now: Instant) -> f64 {
        self.value * remaining(now.saturating_duration_since(self.updated), self.time_constant)
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value(now) + amount;
        self.updated = self.updated.max(now);
    }
}

/// Credit that earns a share of each request and pays for each request that is placed. A request may be admitted
/// against it as soon as the credit, with what the request itself earns, reaches 1. Over time this admits the share,
/// even where an entry sees only a few requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionCredit {
    value: f64,
    updated: Instant,
}

/// Highest credit: at most two requests in succession are admitted because earlier ones were not.
const MAX_CREDIT: f64 = 2.0;
/// Lowest credit, so that a time of plenty does not delay admissions in the next shortage for long.
const MIN_CREDIT: f64 = -2.0;
/// Time constant with which a debt is forgotten: a fraction of the 8 s over which the shares must hold.
const DEBT_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Sums of shares such as 0.2 are slightly below 1 in binary.
const ROUNDING: f64 = 1e-9;

impl AdmissionCredit {
    /// Creates a credit with a start value, which is random where many entries see few requests each.
    pub(crate) fn new(value: f64, now: Instant) -> Self {
        Self { value, updated: now }
    }

    fn value(&self, now: Instant) -> f64 {
        if self.value >= 0.0 {
            return self.value;
        }
        self.value * remaining(now.saturating_duration_since(self.updated), DEBT_TIME_CONSTANT)
    }

    /// True if a request that earns `share` may be admitted.
    pub(crate) fn admits(&self, share: f64, now: Instant) -> bool {
        self.value(now) + share >= 1.0 - ROUNDING
    }

    /// True if requests that were admitted against the credit have not been placed, or none came.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        self.value(now) >= MAX_CREDIT - ROUNDING
    }

    /// Records a request that earns `share`.
    pub(crate) fn record(&mut self, share: f64, is_placed: bool, now: Instant) {
        let paid = if is_placed { 1.0 } else { 0.0 };
        self.value = (self.value(now) + share - paid).clamp(MIN_CREDIT, MAX_CREDIT);
        self.updated = self.updated.max(now);
    }
}
