//! Decides when an engine changes to staged weights.
//!
//! While an engine changes it accepts nothing, so the changes of a fleet are spread over the time that the users allow.
//! Each agent takes its own turn in an order that all derive from the same list, so nobody coordinates them, and no
//! agent waits for another that may be dead.

use std::time::{Duration, Instant};

use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};

/// Time from the order until the engine serves again, with a reserve for an order that has to be repeated.
const CHANGE_TIME: Duration = Duration::from_millis(1_200);

/// Facts that decide when this engine's turn is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SwitchView {
    /// Version that the engine serves; 0 if it serves none.
    pub loaded: WeightsVersion,
    /// Version that it is to serve.
    pub declared: WeightsVersion,
    /// Agents before this one in the order.
    pub place: u32,
    /// Agents in all.
    pub agents: u32,
}

/// Spreads the changes of a fleet over time.
#[derive(Clone, Copy, Debug)]
pub struct SwitchPlan {
    bound: Duration,
    transfer: Duration,
}

impl SwitchPlan {
    /// Creates the plan: every engine is to change within `bound` of the declaration, and `transfer` is the shortest
    /// time in which a host receives the weights.
    #[must_use]
    pub fn new(bound: Duration, transfer: Duration) -> Self {
        Self { bound, transfer }
    }

    /// Time at which the engine may be told to load staged weights. An engine that serves nothing loads at once, and so
    /// does one whose declaration was not seen, because its time may be up.
    #[must_use]
    pub fn start(&self, view: &SwitchView, declared_at: Option<Instant>, now: Instant) -> Instant {
        let Some(declared_at) = declared_at.filter(|_| view.loaded != 0) else { return now };
        let span = self.bound.saturating_sub(self.transfer).saturating_sub(CHANGE_TIME);
        let part = f64::from(view.place) / f64::from(view.agents.max(1));
        declared_at + self.transfer + span.mul_f64(part.min(1.0))
    }

    /// Latest moment at which an engine may be told to load, so that it serves the version within the bound.
    #[must_use]
    pub fn last_start(&self, declared_at: Instant) -> Instant {
        declared_at + self.bound.saturating_sub(CHANGE_TIME)
    }
}
