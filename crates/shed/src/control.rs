//! Decides with which predicted time to the first event a request may be placed.

use std::time::{Duration, Instant};

use crate::{ContentionTable, ShedOutcome, ShedRequest};

/// Factor on a target within which the first event must be predicted. It equals the tolerance of the load balancer, so
/// that the most urgent rank is admitted as at services without load shedding.
const TARGET_TOLERANCE: f64 = 1.3;
/// Factor on the limit of the most urgent rank that the least urgent rank has. With a target of 400 ms it gives 312 ms,
/// more than 1.5 times the prediction at an idle engine (150 to 180 ms), so that engines with room are used.
const LEAST_URGENT_FACTOR: f64 = 0.6;
/// Factor on the limit of the most urgent rank that late requests have. It is below that of every rank.
const LATE_FACTOR: f64 = 0.5;

/// Load shedding of one entry.
#[derive(Debug, Default)]
pub struct ShedControl {
    contention: ContentionTable,
}

impl ShedControl {
    /// Creates a control without services; [`ShedControl::set_contention`] adds them.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies what is known of the services that are contended.
    pub fn set_contention(&mut self, contention: ContentionTable) {
        self.contention = contention;
    }

    /// Longest predicted time to the first event with which the request may be placed; `None` if its service is not
    /// contended.
    #[must_use]
    pub fn delay_limit(&self, request: &ShedRequest, _now: Instant) -> Option<Duration> {
        if !self.contention.is_contended(&request.service) {
            return None;
        }
        let ranks = self.contention.ranks(&request.service)?;
        let shortest = ranks.values().min().copied().unwrap_or(request.target);
        let top = shortest.min(request.target).mul_f64(TARGET_TOLERANCE);
        let Some(left) = request.time_to_target else { return Some(top.mul_f64(LATE_FACTOR)) };
        let bound = ranks
            .range(..=request.rank)
            .map(|(_, target)| *target)
            .min()
            .unwrap_or(request.target)
            .min(request.target)
            .mul_f64(TARGET_TOLERANCE);
        let factor = if self.contention.is_ranked(&request.service) {
            let position = ranks.range(..request.rank).count();
            let steps = ranks.len().saturating_sub(1).max(1);
            1.0 - (1.0 - LEAST_URGENT_FACTOR) * (position as f64 / steps as f64).min(1.0)
        } else {
            1.0
        };
        Some(bound.mul_f64(factor).min(left.mul_f64(TARGET_TOLERANCE)))
    }

    /// Records the final outcome of a request.
    pub fn record(&mut self, _request: &ShedRequest, _outcome: ShedOutcome, _now: Instant) {}
}
