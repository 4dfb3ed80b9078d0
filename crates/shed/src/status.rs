//! State of load shedding for operators.

use base::{ServiceId, TeamId};
use serde::{Deserialize, Serialize};

use crate::{RequestRank, ShedCause};

/// Load shedding at a contended service, as one entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceId,
    /// Number of steps that are shed: 0 if nothing is; the highest value is `levels`.
    pub level: f64,
    /// Highest value of `level`: the number of ranks, or 1 if the service is not ranked.
    pub levels: usize,
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankUsage>,
    /// Teams with recent requests, sorted by id.
    pub teams: Vec<TeamUsage>,
}

/// Recent requests of a rank, weighted exponentially with a time constant of 4 s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankUsage {
    /// The rank.
    pub rank: RequestRank,
    /// Requests within about a second up to which a team is within its share; `None` if all demand is met.
    pub fair_use: Option<f64>,
    /// All requests.
    pub requests: f64,
    /// Requests that an upstream took.
    pub placed: f64,
    /// Requests that were refused because of load, by the rule that determined their limit.
    pub refused: Vec<(ShedCause, f64)>,
}

/// Recent requests of a team, weighted exponentially with a time constant of 1 s.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The team; empty for callers without a key.
    pub team: TeamId,
    /// Requests on time.
    pub offered: f64,
    /// Requests that an upstream took.
    pub placed: f64,
    /// True if the team uses more than its fair share of a rank, so that its requests are shed one rank earlier.
    pub is_beyond_share: bool,
}
