//! What load shedding needs to know of a request, and how the request ended.

use std::time::Duration;

use base::{ServiceId, TeamId};

use crate::RequestRank;

/// Properties of a request that determine how long a prediction it is admitted with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShedRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Urgency; 0 is the most urgent.
    pub rank: RequestRank,
    /// Team that owns the caller's key; `None` if the caller has no key.
    pub team: Option<TeamId>,
    /// Time left until the first event is late; `None` if it is already late.
    pub time_to_target: Option<Duration>,
    /// Latency target of the request's route.
    pub target: Duration,
}

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShedOutcome {
    /// An upstream took the request; with the predicted time to the first event at its first attempt.
    Placed(Duration),
    /// No upstream took the request.
    Refused,
}
