//! Decides when an engine loads staged weights.
//!
//! An engine accepts no requests from the order to load until it has loaded, and its running requests end in between, so
//! the loads of a fleet are spread over the allowed time. All agents derive the same order from the same list of agents,
//! and each computes its own start time from its position. This needs no coordinator, and no agent waits for another one
//! that may be down.

use std::time::{Duration, Instant};

use fleet::WeightsVersion;
use serde::{Deserialize, Serialize};

/// Time in which an idle engine loads weights, including a margin for repeating the order.
pub const LOAD_TIME: Duration = Duration::from_millis(1_200);
/// Expected time in which the running requests of an engine end once it accepts no more: engines that let them end were
/// out of service for 2.0 s on average, 0.8 to 3.0 s.
pub const DRAIN_TIME: Duration = Duration::from_millis(800);

/// Time before the bound from which an engine gets no requests on the older weights: entries leave 0.25 s and 1.5 times the
/// predicted time to the first event, which is usually 0.1 to 0.2 s.
const LAST_BEGIN_TIME: Duration = Duration::from_millis(500);

/// Interval at which an engine that refuses load orders is ordered again, so that it is used in between.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);

/// Inputs that determine when an engine loads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadPosition {
    /// Version that the engine serves; 0 if it serves none.
    pub loaded: WeightsVersion,
    /// Version that the engine has to load.
    pub declared: WeightsVersion,
    /// Number of agents before this one in the order.
    #[serde(rename = "place")]
    pub position: u32,
    /// Total number of agents, including this one.
    pub agents: u32,
}

/// Schedule that spreads the loads of all engines over time.
#[derive(Clone, Copy, Debug)]
pub struct LoadSchedule {
    bound: Duration,
    transfer_time: Duration,
    first_declared: Option<Instant>,
}

impl LoadSchedule {
    /// Creates a schedule. No request may begin on the older version later than `bound` after the declaration of the
    /// new one; `transfer_time` is the minimum time in which a host receives the weights.
    #[must_use]
    pub fn new(bound: Duration, transfer_time: Duration) -> Self {
        Self { bound, transfer_time, first_declared: None }
    }

    /// Sets the time of the declaration that made the loaded version outdated, if it is not the one of the version to
    /// load. Requests may begin on the loaded version until the bound after it.
    #[must_use]
    pub fn with_first_declared(self, first_declared: Option<Instant>) -> Self {
        Self { first_declared, ..self }
    }

    /// Earliest time at which the engine may be ordered to load weights that are staged at `staged_at`. If they are staged
    /// late, the loads are spread over the time that is left, so that not all engines are out of service at once. An
    /// engine that serves no version loads at once. So does every engine if the time of the declaration is unknown,
    /// because the bound may already have passed.
    #[must_use]
    pub fn start(
        &self,
        engine: &LoadPosition,
        declared_at: Option<Instant>,
        staged_at: Instant,
    ) -> Instant {
        let Some(declared_at) = declared_at.filter(|_| engine.loaded != 0) else {
            return staged_at;
        };
        let latest = self.latest_start(declared_at);
        let earliest = staged_at.max(latest.min(declared_at + self.transfer_time));
        let window = latest.saturating_duration_since(earliest);
        let fraction = f64::from(engine.position) / f64::from(engine.agents.max(1));
        earliest + window.mul_f64(fraction.min(1.0))
    }

    /// Earliest time from `earliest` on at which an engine that has refused a load order is ordered again. The engines of a
    /// fleet take turns within [`RETRY_INTERVAL`], because each one is unused for a while before its order.
    #[must_use]
    pub fn retry_start(
        &self,
        engine: &LoadPosition,
        declared_at: Option<Instant>,
        earliest: Instant,
    ) -> Instant {
        let Some(declared_at) = declared_at else { return earliest };
        let fraction = f64::from(engine.position) / f64::from(engine.agents.max(1));
        let turn = declared_at + RETRY_INTERVAL.mul_f64(fraction.min(1.0));
        let overdue = earliest.saturating_duration_since(turn).as_nanos();
        let turns = overdue.div_ceil(RETRY_INTERVAL.as_nanos());
        turn + RETRY_INTERVAL * u32::try_from(turns).unwrap_or(u32::MAX)
    }

    /// Latest time at which an engine is ordered to load a version declared at `declared_at`: until then, requests can begin
    /// on the older weights. The time of the switch is not subtracted, because running requests may end after the bound, and
    /// because a shorter window has more engines out of service at once.
    #[must_use]
    pub fn latest_start(&self, declared_at: Instant) -> Instant {
        let first = self.first_declared.map_or(declared_at, |first| first.min(declared_at));
        first + self.bound.saturating_sub(LAST_BEGIN_TIME)
    }
}
