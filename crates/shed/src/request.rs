//! What load shedding needs to know of a request, and how the request ended.

use std::time::Duration;

use base::{ServiceId, TeamId};
use serde::{Deserialize, Serialize};

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
    /// No upstream took the request because all were too loaded for its limit.
    Refused,
    /// No upstream took the request for another reason, such as that there was none. It says nothing about the load.
    Unavailable,
}

/// Rule that determines the limit of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedCause {
    /// The targets of its own and the more urgent ranks; nothing of it is shed.
    Target,
    /// Its rank is shed in favour of more urgent ones.
    Rank,
    /// Its team is beyond its fair share, so it is shed one rank earlier.
    Share,
    /// It is late and may only use capacity that no other request needs.
    Late,
    /// Its rank or team was served too rarely, so only its own target applies.
    Floor,
}

impl ShedCause {
    /// All causes.
    pub(crate) const ALL: [Self; 5] =
        [Self::Target, Self::Rank, Self::Share, Self::Late, Self::Floor];

    /// Name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Rank => "rank",
            Self::Share => "share",
            Self::Late => "late",
            Self::Floor => "floor",
        }
    }
}

/// Limit of a request, and why it applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShedLimit {
    /// Longest predicted time to the first event with which the request may be placed.
    pub delay: Duration,
    /// Rule that determines the limit.
    pub cause: ShedCause,
}

/// How a request was treated, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShedRecord {
    /// Limit of the request when it ended.
    pub limit: ShedLimit,
    /// False if there are too many teams to keep a label in metrics for each.
    pub is_team_listed: bool,
}
