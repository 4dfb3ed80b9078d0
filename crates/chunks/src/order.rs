//! Decides from an engine's reports whether it has accepted a load order.
//!
//! An order without a response may have been accepted, and may still be accepted while it is under way. It is therefore
//! repeated with the same number of earlier orders, of which the engine accepts at most one, until a report shows that it
//! was accepted or that it cannot be any more.

use std::time::{Duration, Instant};

use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};

use crate::{load::EngineLoad, manifest::WeightsId};

/// Time after an accepted order within which the engine reports that it carries the order out.
const ORDER_REPORT_TIME: Duration = Duration::from_secs(1);

/// What an engine reports about load orders.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReport {
    /// Start time of the engine in Unix milliseconds.
    pub started_at_ms: u64,
    /// Number of orders that the engine has accepted since its start.
    pub load_orders: u64,
    /// True while an order is being carried out.
    pub busy: bool,
    /// Loaded version of the model; 0 if none is loaded.
    pub loaded: WeightsVersion,
}

/// What a report shows about an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderProgress {
    /// Nothing is to be done before the next report.
    Waiting,
    /// The engine has not accepted the order, which must be repeated.
    Unaccepted,
    /// The engine has accepted the order, of which it was not known, and taken the staged chunks.
    Accepted,
    /// The engine has loaded the weights.
    Loaded,
    /// The engine has restarted, or carries the order out no more and has not loaded the weights.
    Failed,
}

/// Load order that an engine has accepted or may accept.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    weights: WeightsId,
    ordered_at: Instant,
    /// Report on which the order is based.
    basis: OrderReport,
    /// Time since which the order is known to be accepted.
    accepted_at: Option<Instant>,
}

impl LoadOrder {
    /// Creates an order, sent after `basis` was reported, of which it is not known whether the engine accepts it.
    #[must_use]
    pub fn new(weights: WeightsId, basis: OrderReport, now: Instant) -> Self {
        Self { weights, ordered_at: now, basis, accepted_at: None }
    }

    /// Records that the engine has stated that it accepted the order.
    #[must_use]
    pub fn with_acceptance(self, now: Instant) -> Self {
        Self { accepted_at: Some(now), ..self }
    }

    /// Weights to load.
    #[must_use]
    pub fn weights(&self) -> &WeightsId {
        &self.weights
    }

    /// Time at which the order was sent first.
    #[must_use]
    pub fn ordered_at(&self) -> Instant {
        self.ordered_at
    }

    /// True if the engine is known to have accepted the order.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }

    /// Load that follows from the order; `None` unless the engine is known to have accepted it.
    #[must_use]
    pub fn load(&self) -> Option<EngineLoad> {
        self.is_accepted().then(|| EngineLoad {
            weights: self.weights.clone(),
            started_at_ms: self.basis.started_at_ms,
            load_orders: self.basis.load_orders + 1,
        })
    }

    /// True if `report` shows that the engine has not accepted the order.
    #[must_use]
    pub fn is_unaccepted(&self, report: &OrderReport) -> bool {
        !self.is_accepted()
            && report.started_at_ms == self.basis.started_at_ms
            && report.load_orders <= self.basis.load_orders
            && report.loaded < self.weights.version
            && !report.busy
    }

    /// Evaluates a report; `None` if the engine did not respond.
    pub fn progress(&mut self, report: Option<&OrderReport>, now: Instant) -> OrderProgress {
        let Some(report) = report else { return OrderProgress::Waiting };
        if report.loaded >= self.weights.version {
            return OrderProgress::Loaded;
        }
        if report.started_at_ms != self.basis.started_at_ms {
            return OrderProgress::Failed;
        }
        if self.is_unaccepted(report) {
            return OrderProgress::Unaccepted;
        }
        let Some(accepted_at) = self.accepted_at else {
            if report.load_orders <= self.basis.load_orders {
                return OrderProgress::Waiting;
            }
            self.accepted_at = Some(now);
            // An engine that is idle may have failed to load, which needs the staged chunks again.
            return if report.busy { OrderProgress::Accepted } else { OrderProgress::Waiting };
        };
        // There is no timeout while the engine is busy: its running requests end first, and it accepts no other order.
        let is_overdue = now.saturating_duration_since(accepted_at) > ORDER_REPORT_TIME;
        if !report.busy && is_overdue { OrderProgress::Failed } else { OrderProgress::Waiting }
    }
}
